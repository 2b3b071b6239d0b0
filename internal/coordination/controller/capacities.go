package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// gpuReserveTTL is how long after the latest job with cards machines are kept
// for the next.
const gpuReserveTTL = 2 * time.Minute

// capacities is what each machine of a shard has free: everything that is or may
// be on it counts, recorded or only reported.
func (n *Controller) capacities(s *replica.Shard, now time.Time) []*placement.Capacity {
	return n.capacitiesFor(s, "", now)
}

// capacitiesFor is rooms, with what is held for the job but counted as free.
func (n *Controller) capacitiesFor(s *replica.Shard, but string, now time.Time) []*placement.Capacity {
	// The rooms of the last call are over: every caller is done with its own before
	// anything else asks, and all hold the lock.
	if cap(n.scratch.capacities) < len(s.Machines) {
		n.scratch.capacities = make([]placement.Capacity, len(s.Machines)*5/4)
		n.scratch.list = make([]*placement.Capacity, 0, len(s.Machines)*5/4)
	}
	all := n.scratch.capacities[:len(s.Machines)]
	out := n.scratch.list[:0]
	for i, m := range s.Machines {
		t := n.view.MachineTypes[m.Record.Type]
		if t == nil {
			continue
		}
		r := &all[i]
		*r = placement.Capacity{Releases: r.Releases[:0], Machine: m, Host: m.Host, Shard: s.Name, TypeName: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot, Type: t}
		r.Free = n.view.FreeCapacity(m)
		// What is of unknown size is being ended by housekeeping.
		r.Usable = m.Agent.Heartbeat != nil && !m.Quarantine.Active && !m.Lifecycle.Gone && !m.Capacity.UnknownUse && m.Lifecycle.DrainingSince.IsZero() && m.Agent.PreemptionNoticeAt.IsZero() && !m.Lifecycle.Returning && m.Address() != "" &&
			n.silenceOf(m, now) < n.policy.SuspectAfter && now.After(m.Quarantine.RejectingUntil) && len(m.Commands.Unknown) == 0 && !m.Detector.Reachability.CannotReceive() && !n.cannotReport(m, now)
		if m.Agent.Heartbeat == nil && !m.Lifecycle.Returning {
			r.BootsAt = time.UnixMilli(m.Record.RentedAtMs).Add(n.provisioner.bootStats.Expected(bootKindOf(m), t.BootTime(), now))
		}
		for _, ref := range m.Quarantine.Evidence.AvoidedBy(now) {
			if j := n.view.Jobs[ref]; j != nil && j.OnProbation(now) {
				continue // the fault is its own, and where its image is costs least
			}
			if r.AvoidedBy == nil {
				r.AvoidedBy = make(map[string]bool)
			}
			r.AvoidedBy[ref] = true
		}
		out = append(out, r)
	}
	if len(n.view.GangReservations) > 0 {
		byHost := make(map[string]*placement.Capacity, len(out))
		for _, r := range out {
			byHost[r.Host] = r
		}
		n.chargeGangHolds(s, but, byHost)
	}
	if now.Sub(n.view.GPUJobSeenAt) < gpuReserveTTL {
		cards := 0
		for _, r := range out {
			if r.Type.GPUs > 0 {
				cards++
			}
		}
		keep := func(share float64) int { return max(n.policy.GPUMachineReserve, int(share*float64(cards))) }
		placement.KeepGPUMachines(out, keep(n.policy.GPUMachineShare), keep(max(n.policy.GPUMachineShare, n.policy.BestEffortGPUMachineShare)))
	}
	return out
}

// detailCapacities notes when the tasks on each machine should end and who might be
// displaced: only a pass with blocked work needs to know. What a machine's
// tasks come to is kept until something about them changes.
func (n *Controller) detailCapacities(rooms []*placement.Capacity, now time.Time) {
	for _, r := range rooms {
		if r.Detailed || r.Machine == nil {
			continue
		}
		r.Detailed = true
		if r.Machine.Capacity.DetailsStale {
			n.detailMachine(r.Machine, now)
		}
		r.Releases = append(r.Releases, r.Machine.Capacity.Releases...)
		r.Victims = r.Machine.Capacity.Victims
	}
}

func (n *Controller) detailMachine(m *replica.Machine, now time.Time) {
	m.Capacity.DetailsStale = false
	m.Capacity.Releases, m.Capacity.Victims = m.Capacity.Releases[:0], nil // the list may still be in use by a pass
	for _, name := range slices.Sorted(maps.Keys(m.Use.Slots)) {
		p := m.Use.Slots[name]
		if p.Claim.Spec == nil || p.Exited(m) {
			continue
		}
		n.addRelease(m, p, now)
	}
	// Most likely to be displaced first; the order is the same every time.
	slices.SortFunc(m.Capacity.Victims, func(a, b replica.Victim) int {
		return cmp.Or(cmp.Compare(a.Claim.Spec.Priority(), b.Claim.Spec.Priority()), cmp.Compare(a.LostWork(now), b.LostWork(now)), strings.Compare(a.Claim.Key, b.Claim.Key), cmp.Compare(a.Task, b.Task))
	})
	slices.SortStableFunc(m.Capacity.Releases, func(a, b replica.Release) int { return a.At.Compare(b.At) })
}

func (n *Controller) addRelease(m *replica.Machine, p *replica.Slot, now time.Time) {
	c := p.Claim
	began, running := m.Agent.RunningSince[p.TaskName]
	if !running {
		began = now
	}
	_, evicted := c.Evictions[p.Task]
	if c.Spec.Shape != protocol.ShapeService {
		at := began.Add(n.estimateRuntime(c.Spec))
		if evicted {
			at = now.Add(300 * time.Millisecond)
		}
		m.Capacity.Releases = append(m.Capacity.Releases, replica.Release{At: at, Spec: c.Spec})
	}
	if evicted {
		return
	}
	if c.Spec.Shape == protocol.ShapeGang && c.Spec.Tasks > 1 {
		return // stopping one task of a gang would end them all
	}
	if m.Agent.Tasks[p.TaskName] == nil {
		return // not there yet: it cannot be stopped
	}
	m.Capacity.Victims = append(m.Capacity.Victims, replica.Victim{Claim: c, Task: p.Task, Host: m.Host, StartedAt: began})
}
