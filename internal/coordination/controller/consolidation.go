package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
)

const (
	consolidationInterval = 10 * time.Second
	consolidationRetry    = 2 * time.Second // after finding no machine worth emptying
	drainTimeout          = 25 * time.Second
)

// consolidate empties the machine whose price is least used, when all that
// runs there are replicas that other machines of the shard can take at once,
// their image at hand. Replicas run for hours; without this a few of them
// keep a costly machine long after the work it was hired for.
func (c *Controller) consolidate(shard *replica.Shard, now time.Time) {
	busy := false
	for _, machine := range shard.Machines {
		if machine.Lifecycle.DrainingSince.IsZero() {
			continue
		}
		if now.Sub(machine.Lifecycle.DrainingSince) > drainTimeout {
			machine.Lifecycle.DrainingSince = time.Time{}
			continue
		}
		c.migrateReplicas(machine, now)
		busy = busy || machine.Record.State == ""
	}
	if busy || now.Sub(shard.DrainedAt) < consolidationInterval || now.Sub(shard.ConsolidationCheckedAt) < consolidationRetry || now.Sub(shard.OwnedSince) < 15*time.Second || len(c.queue(shard, now)) > 0 {
		return
	}
	shard.ConsolidationCheckedAt = now
	capacities := c.capacities(shard, now)
	c.detailCapacities(capacities, now)
	spare, keep := 0.0, 0.0
	on := make(map[string][]replica.Victim)
	movable := make(map[string]bool)
	for _, capacity := range capacities {
		on[capacity.Host] = capacity.Victims
		if capacity.Usable {
			spare += capacity.Free.CPUs
		}
		for _, victim := range capacity.Victims {
			// What is left must hold the warm room and these replicas too.
			keep += victim.Claim.Spec.CPUs * c.policy.WarmShare
		}
		movable[capacity.Host] = capacity.Usable && len(capacity.Victims) > 0 && len(capacity.Releases) == 0 && capacity.Machine.RunsOnlyReplicas()
	}
	slices.SortFunc(capacities, func(a, b *placement.Capacity) int {
		return cmp.Compare(provisioning.WastedPrice(b), provisioning.WastedPrice(a))
	})
	for _, from := range capacities {
		if !movable[from.Host] || provisioning.WastedPrice(from) < 0.6*provisioning.PriceOf(from) || spare-from.Free.CPUs < keep {
			continue
		}
		if !c.fitElsewhere(from, on[from.Host], capacities, now) {
			continue
		}
		c.log.Info("machine draining", "host", from.Host, "replicas", len(on[from.Host]))
		from.Machine.Lifecycle.DrainingSince = now
		shard.DrainedAt = now
		c.migrateReplicas(from.Machine, now)
		c.wake()
		return
	}
}

// migrateReplicas stops what a machine being emptied still runs, one replica of
// each service at a time, so that a service goes on while it moves.
func (c *Controller) migrateReplicas(machine *replica.Machine, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(machine.Use.Slots)) {
		slot := machine.Use.Slots[name]
		if slot == nil {
			continue
		}
		claim := slot.Claim
		if claim.Record == nil || claim.Pending != nil || claim.Spec == nil || len(claim.Evictions) > 0 || len(claim.Record.Placements) < claim.Record.TaskCount {
			continue
		}
		c.evict(claim, slot.Task, now)
		c.sendPendingCommands(c.view.Shards[machine.Record.Shard])
	}
}

// fitElsewhere tries the moves on a copy of the rooms.
func (c *Controller) fitElsewhere(from *placement.Capacity, tasks []replica.Victim, capacities []*placement.Capacity, now time.Time) bool {
	var others []*placement.Capacity
	for _, capacity := range capacities {
		if capacity != from {
			copied := *capacity
			others = append(others, &copied)
		}
	}
	// Moves of one service follow one another: each starts from where the
	// earlier ones went, or a spread service could end with no zone left.
	zones := make(map[*replica.Claim][]string)
	for _, victim := range tasks {
		if _, ok := zones[victim.Claim]; !ok {
			zones[victim.Claim] = c.view.ZonesOf(victim.Claim)
		}
		if i := slices.Index(zones[victim.Claim], from.Zone); i >= 0 {
			zones[victim.Claim] = slices.Delete(zones[victim.Claim], i, i+1)
		}
		z := placement.NewZoneConstraint(victim.Claim.Spec, zones[victim.Claim])
		i := placement.Select(victim.Claim.Spec, victim.Claim.JobID, others, &z, 0, now)
		if i < 0 || !others[i].HasImage(victim.Claim.Spec.Image) {
			return false
		}
		zones[victim.Claim] = append(zones[victim.Claim], others[i].Zone)
		others[i].Allocate(victim.Claim.Spec)
	}
	return true
}
