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
func (n *Controller) consolidate(s *replica.Shard, now time.Time) {
	busy := false
	for _, m := range s.Machines {
		if m.Lifecycle.DrainingSince.IsZero() {
			continue
		}
		if now.Sub(m.Lifecycle.DrainingSince) > drainTimeout {
			m.Lifecycle.DrainingSince = time.Time{}
			continue
		}
		n.migrateReplicas(m, now)
		busy = busy || m.Record.State == ""
	}
	if busy || now.Sub(s.DrainedAt) < consolidationInterval || now.Sub(s.ConsolidationCheckedAt) < consolidationRetry || now.Sub(s.OwnedSince) < 15*time.Second || len(n.queue(s, now)) > 0 {
		return
	}
	s.ConsolidationCheckedAt = now
	rooms := n.capacities(s, now)
	n.detailCapacities(rooms, now)
	spare, keep := 0.0, 0.0
	on := make(map[string][]replica.Victim)
	movable := make(map[string]bool)
	for _, r := range rooms {
		on[r.Host] = r.Victims
		if r.Usable {
			spare += r.Free.CPUs
		}
		for _, v := range r.Victims {
			// What is left must hold the warm room and these replicas too.
			keep += v.Claim.Spec.CPUs * n.policy.WarmShare
		}
		movable[r.Host] = r.Usable && len(r.Victims) > 0 && len(r.Releases) == 0 && r.Machine.RunsOnlyReplicas()
	}
	slices.SortFunc(rooms, func(a, b *placement.Capacity) int {
		return cmp.Compare(provisioning.WastedPrice(b), provisioning.WastedPrice(a))
	})
	for _, from := range rooms {
		if !movable[from.Host] || provisioning.WastedPrice(from) < 0.6*provisioning.PriceOf(from) || spare-from.Free.CPUs < keep {
			continue
		}
		if !n.fitElsewhere(from, on[from.Host], rooms, now) {
			continue
		}
		n.log.Info("emptying a machine", "host", from.Host, "replicas", len(on[from.Host]))
		from.Machine.Lifecycle.DrainingSince = now
		s.DrainedAt = now
		n.migrateReplicas(from.Machine, now)
		n.wake()
		return
	}
}

// migrateReplicas stops what a machine being emptied still runs, one replica of
// each service at a time, so that a service goes on while it moves.
func (n *Controller) migrateReplicas(m *replica.Machine, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.Use.Slots)) {
		p := m.Use.Slots[name]
		if p == nil {
			continue
		}
		c := p.Claim
		if c.Record == nil || c.Pending != nil || c.Spec == nil || len(c.Evictions) > 0 || len(c.Record.Placements) < c.Record.TaskCount {
			continue
		}
		n.evict(c, p.Task, now)
		n.sendPendingCommands(n.view.Shards[m.Record.Shard])
	}
}

// fitElsewhere tries the moves on a copy of the rooms.
func (n *Controller) fitElsewhere(from *placement.Capacity, tasks []replica.Victim, rooms []*placement.Capacity, now time.Time) bool {
	var others []*placement.Capacity
	for _, r := range rooms {
		if r != from {
			c := *r
			others = append(others, &c)
		}
	}
	// Moves of one service follow one another: each starts from where the
	// earlier ones went, or a spread service could end with no zone left.
	zones := make(map[*replica.Claim][]string)
	for _, v := range tasks {
		if _, ok := zones[v.Claim]; !ok {
			zones[v.Claim] = n.view.ZonesOf(v.Claim)
		}
		if i := slices.Index(zones[v.Claim], from.Zone); i >= 0 {
			zones[v.Claim] = slices.Delete(zones[v.Claim], i, i+1)
		}
		z := placement.NewZoneConstraint(v.Claim.Spec, zones[v.Claim])
		i := placement.Select(v.Claim.Spec, v.Claim.JobID, others, &z, 0, now)
		if i < 0 || !others[i].HasImage(v.Claim.Spec.Image) {
			return false
		}
		zones[v.Claim] = append(zones[v.Claim], others[i].Zone)
		others[i].Allocate(v.Claim.Spec)
	}
	return true
}
