package controller

import (
	"context"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// fleetLoop works off the difference between the machines there should be and
// those there are: owners return what is idle, the leader hires.
func (n *Controller) fleetLoop(ctx context.Context) {
	for n.pause(ctx, 700*time.Millisecond+41*time.Nanosecond) {
		n.mu.Lock()
		if n.view.Loaded && len(n.view.MachineTypes) > 0 {
			now := time.Now()
			for _, name := range n.view.ShardNames() {
				if s := n.view.Shards[name]; n.view.IsActive(s) {
					n.scaleIn(s, now)
					n.consolidate(s, now)
				}
			}
			if n.isLeader() {
				n.adoptMachines(now)
				n.retryProvisions(now)
				n.scaleOut(now)
				n.dropGoneGroups()
			}
		}
		n.mu.Unlock()
	}
}

// scaleIn gives back machines that have had nothing to do for a while and
// are not part of the warm room, those that never came up, and sick ones.
func (n *Controller) scaleIn(s *replica.Shard, now time.Time) {
	held := make(map[string]bool)
	services := 0.0
	for c := range s.Claims {
		if c.Record != nil && c.Spec != nil && c.Spec.Shape == protocol.ShapeService {
			services += c.Spec.CPUs * float64(len(c.Record.Placements))
		}
	}
	for _, g := range n.view.GangReservations {
		if h := g.Holds[s.Name]; h != nil && h.Version != 0 && g.Version != 0 {
			for host := range h.Record.TasksByHost {
				held[host] = true // held for a wide job about to start
			}
		}
	}
	wanted := n.kindsInDemand(s, now)
	spare := 0.0
	rooms := n.capacities(s, now)
	for _, r := range rooms {
		if r.Usable && !r.Spot && r.Type.GPUs == 0 {
			spare += r.Free.CPUs
		}
	}
	keep := services * n.policy.WarmShare
	for _, m := range s.Machines {
		if m.Lifecycle.Returning {
			continue
		}
		t := n.view.MachineType(m.Record.Type)
		if m.Agent.Heartbeat == nil {
			age := m.Age(now)
			if age > n.provisioner.bootStats.Expired(bootKindOf(m), t.BootTime(), now) && now.Sub(m.AdoptedAt) > t.BootTime()+n.settings.Workers.LeaseDuration {
				n.log.Info("machine never came up, returned", "host", m.Host, "type", m.Record.Type, "zone", m.Record.Zone, "age", age.Round(time.Second))
				n.returnMachine(s, m)
			}
			continue
		}
		inDemand := wanted[replica.MachineKind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}] && !m.Quarantine.Active && m.Lifecycle.DrainingSince.IsZero()
		if len(m.Use.Slots) > 0 || inDemand || held[m.Host] || m.RunsTasks() || now.Sub(m.AdoptedAt) < n.policy.IdleMachineTTL {
			m.Lifecycle.IdleSince = time.Time{}
			continue
		}
		if m.Lifecycle.IdleSince.IsZero() {
			m.Lifecycle.IdleSince = now
		}
		if (m.Quarantine.Active && now.Sub(m.Quarantine.ChangedAt) > quarantineGrace) || !m.Lifecycle.DrainingSince.IsZero() {
			n.returnMachine(s, m)
			continue
		}
		if now.Sub(m.Lifecycle.IdleSince) < n.policy.IdleMachineTTL {
			continue
		}
		if !m.Record.Spot && t.GPUs == 0 {
			if spare-t.CPUs < keep {
				continue
			}
			spare -= t.CPUs
		}
		n.log.Info("returning an idle machine", "host", m.Host)
		n.returnMachine(s, m)
	}
}

// kindsInDemand tells which kinds of machine the shard's queue could use. While
// the state service is short of budget, work waits beside idle machines; to
// return them and hire others just after would be paid twice.
func (n *Controller) kindsInDemand(s *replica.Shard, now time.Time) map[replica.MachineKind]bool {
	wanted := make(map[replica.MachineKind]bool)
	queue := n.queue(s, now)
	for kind := range s.Kinds {
		if t := n.view.MachineTypes[kind.Type]; t != nil {
			wanted[kind] = slices.ContainsFunc(queue, func(u *placement.QueueEntry) bool {
				return placement.FitsEmpty(u.Spec, t) && placement.Allowed(u.Spec, kind.Type, kind.Zone, kind.Spot) && !n.exceedsLimit(u)
			})
		}
	}
	return wanted
}
