package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/records"
)

const (
	consolidationInterval = 10 * time.Second
	consolidationRetry    = 2 * time.Second  // time before a shard is searched again after no machine was found worth draining
	consolidationDelay    = 15 * time.Second // time after a shard is acquired before its machines are drained
	drainTimeout          = 25 * time.Second
	// minWastedShare is the minimum share of a machine's price that has to be wasted for the
	// machine to be drained.
	minWastedShare = 0.6
)

// consolidate drains the machine with the highest wasted price that runs nothing but service
// replicas and whose replicas all fit at once on other machines of the shard that have cached
// the image. Replicas run for hours, so a few of them would keep an expensive machine long
// after the work for which it was provisioned has ended.
func (c *Controller) consolidate(shard *replica.Shard, now time.Time) {
	draining := c.continueDrains(shard, now)
	if draining || !c.isConsolidationDue(shard, now) {
		return
	}
	shard.ConsolidationCheckedAt = now
	capacities := c.capacities(shard, now)
	c.detailCapacities(capacities, now)
	spare, reserve := c.consolidationMargin(capacities)
	slices.SortFunc(capacities, func(a, b *placement.Capacity) int {
		return cmp.Compare(provisioning.WastedPrice(b), provisioning.WastedPrice(a))
	})
	for _, capacity := range capacities {
		if !isWorthDraining(capacity) || spare-capacity.Free.CPUs < reserve || !c.replicasFitElsewhere(capacity, capacities, now) {
			continue
		}
		c.log.Info("machine draining", "host", capacity.Host, "replicas", len(capacity.Victims))
		capacity.Machine.Lifecycle.DrainingSince = now
		shard.DrainedAt = now
		c.migrateReplicas(capacity.Machine, now)
		c.wake()
		return
	}
}

// continueDrains continues the drains of a shard's machines, cancels those that exceed
// drainTimeout, and reports whether a machine is still being drained.
func (c *Controller) continueDrains(shard *replica.Shard, now time.Time) bool {
	draining := false
	for _, machine := range shard.Machines {
		if machine.Lifecycle.DrainingSince.IsZero() {
			continue
		}
		if now.Sub(machine.Lifecycle.DrainingSince) > drainTimeout {
			machine.Lifecycle.DrainingSince = time.Time{}
			continue
		}
		c.migrateReplicas(machine, now)
		draining = draining || machine.Record.State == records.MachineInUse
	}
	return draining
}

// isConsolidationDue reports whether to look for a machine to drain: at limited intervals, and
// only while the shard's queue is empty.
func (c *Controller) isConsolidationDue(shard *replica.Shard, now time.Time) bool {
	tooSoon := now.Sub(shard.DrainedAt) < consolidationInterval || now.Sub(shard.ConsolidationCheckedAt) < consolidationRetry || now.Sub(shard.OwnedSince) < consolidationDelay
	return !tooSoon && len(c.queue(shard, now)) == 0
}

// consolidationMargin returns the free CPUs of usable machines (spare), and how many CPUs must
// stay free on the other machines after a machine is drained (reserve): the warm reserve.
func (c *Controller) consolidationMargin(capacities []*placement.Capacity) (spare, reserve float64) {
	for _, capacity := range capacities {
		if capacity.Usable {
			spare += capacity.Free.CPUs
		}
		for _, victim := range capacity.Victims {
			reserve += victim.Claim.Spec.CPUs * c.policy.WarmShare
		}
	}
	return spare, reserve
}

// isWorthDraining reports whether a machine runs nothing but replicas and at least
// minWastedShare of its price is wasted.
func isWorthDraining(capacity *placement.Capacity) bool {
	onlyVictims := capacity.Usable && len(capacity.Victims) > 0 && len(capacity.Releases) == 0
	return onlyVictims && capacity.Machine.RunsOnlyReplicas() && provisioning.WastedPrice(capacity) >= minWastedShare*provisioning.PriceOf(capacity)
}

// migrateReplicas evicts the replicas that a draining machine still runs, one replica of each
// service at a time, so that the service's other replicas keep running meanwhile.
func (c *Controller) migrateReplicas(machine *replica.Machine, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(machine.Use.Slots)) {
		slot := machine.Use.Slots[name]
		if slot == nil || !isMovable(slot.Claim) {
			continue
		}
		c.evict(slot.Claim, slot.Task, now)
		c.sendPendingCommands(c.view.Shards[machine.Record.Shard])
	}
}

// isMovable reports whether a replica of a claim may be evicted: all replicas of the claim are
// placed, and no commit or eviction of the claim is in progress.
func isMovable(claim *replica.Claim) bool {
	unchanging := claim.Record != nil && claim.Pending == nil && claim.Spec != nil && len(claim.Evictions) == 0
	return unchanging && len(claim.Record.Placements) >= claim.Record.TaskCount
}

// replicasFitElsewhere reports whether other machines can take all replicas of a machine. It
// places the replicas on copies of the other machines' capacities.
func (c *Controller) replicasFitElsewhere(from *placement.Capacity, capacities []*placement.Capacity, now time.Time) bool {
	var others []*placement.Capacity
	for _, capacity := range capacities {
		if capacity != from {
			copied := *capacity
			others = append(others, &copied)
		}
	}
	// The zones of a service are updated after each of its moves, which prevents a service that
	// is spread over zones from ending up without a permitted zone.
	zones := make(map[*replica.Claim][]string)
	for _, victim := range from.Victims {
		spec := victim.Claim.Spec
		if _, ok := zones[victim.Claim]; !ok {
			zones[victim.Claim] = c.view.ZonesOf(victim.Claim)
		}
		if i := slices.Index(zones[victim.Claim], from.Zone); i >= 0 {
			zones[victim.Claim] = slices.Delete(zones[victim.Claim], i, i+1)
		}
		constraint := placement.NewZoneConstraint(spec, zones[victim.Claim])
		target := placement.Select(spec, victim.Claim.JobID, others, &constraint, 0, now)
		if target < 0 || !others[target].HasImage(spec.Image) {
			return false
		}
		zones[victim.Claim] = append(zones[victim.Claim], others[target].Zone)
		others[target].Allocate(spec)
	}
	return true
}
