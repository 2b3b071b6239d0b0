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
func (c *Controller) capacities(shard *replica.Shard, now time.Time) []*placement.Capacity {
	return c.capacitiesFor(shard, "", now)
}

// capacitiesFor is rooms, with what is held for the job but counted as free.
func (c *Controller) capacitiesFor(shard *replica.Shard, but string, now time.Time) []*placement.Capacity {
	// The rooms of the last call are over: every caller is done with its own before
	// anything else asks, and all hold the lock.
	if cap(c.scratch.capacities) < len(shard.Machines) {
		c.scratch.capacities = make([]placement.Capacity, len(shard.Machines)*5/4)
		c.scratch.list = make([]*placement.Capacity, 0, len(shard.Machines)*5/4)
	}
	all := c.scratch.capacities[:len(shard.Machines)]
	out := c.scratch.list[:0]
	for i, machine := range shard.Machines {
		machineType := c.view.MachineTypes[machine.Record.Type]
		if machineType == nil {
			continue
		}
		capacity := &all[i]
		*capacity = placement.Capacity{Releases: capacity.Releases[:0], Machine: machine, Host: machine.Host, Shard: shard.Name, TypeName: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot, Type: machineType}
		capacity.Free = c.view.FreeCapacity(machine)
		// What is of unknown size is being ended by housekeeping.
		capacity.Usable = machine.Agent.Heartbeat != nil && !machine.Quarantine.Active && !machine.Lifecycle.Gone && !machine.Capacity.UnknownUse && machine.Lifecycle.DrainingSince.IsZero() && machine.Agent.PreemptionNoticeAt.IsZero() && !machine.Lifecycle.Returning && machine.Address() != "" &&
			c.silenceOf(machine, now) < c.policy.SuspectAfter && now.After(machine.Quarantine.RejectingUntil) && len(machine.Commands.Unknown) == 0 && !machine.Detector.Reachability.CannotReceive() && !c.cannotReport(machine, now)
		if machine.Agent.Heartbeat == nil && !machine.Lifecycle.Returning {
			capacity.BootsAt = time.UnixMilli(machine.Record.RentedAtMs).Add(c.provisioner.bootStats.Expected(bootKindOf(machine), machineType.BootTime(), now))
		}
		for _, jobID := range machine.Quarantine.Evidence.AvoidedBy(now) {
			if job := c.view.Jobs[jobID]; job != nil && job.OnProbation(now) {
				continue // the fault is its own, and where its image is costs least
			}
			if capacity.AvoidedBy == nil {
				capacity.AvoidedBy = make(map[string]bool)
			}
			capacity.AvoidedBy[jobID] = true
		}
		out = append(out, capacity)
	}
	if len(c.view.GangReservations) > 0 {
		byHost := make(map[string]*placement.Capacity, len(out))
		for _, capacity := range out {
			byHost[capacity.Host] = capacity
		}
		c.chargeGangHolds(shard, but, byHost)
	}
	if now.Sub(c.view.GPUJobSeenAt) < gpuReserveTTL {
		cards := 0
		for _, capacity := range out {
			if capacity.Type.GPUs > 0 {
				cards++
			}
		}
		keep := func(share float64) int { return max(c.policy.GPUMachineReserve, int(share*float64(cards))) }
		placement.KeepGPUMachines(out, keep(c.policy.GPUMachineShare), keep(max(c.policy.GPUMachineShare, c.policy.BestEffortGPUMachineShare)))
	}
	return out
}

// detailCapacities notes when the tasks on each machine should end and who might be
// displaced: only a pass with blocked work needs to know. What a machine's
// tasks come to is kept until something about them changes.
func (c *Controller) detailCapacities(capacities []*placement.Capacity, now time.Time) {
	for _, capacity := range capacities {
		if capacity.Detailed || capacity.Machine == nil {
			continue
		}
		capacity.Detailed = true
		if capacity.Machine.Capacity.DetailsStale {
			c.detailMachine(capacity.Machine, now)
		}
		capacity.Releases = append(capacity.Releases, capacity.Machine.Capacity.Releases...)
		capacity.Victims = capacity.Machine.Capacity.Victims
	}
}

func (c *Controller) detailMachine(machine *replica.Machine, now time.Time) {
	machine.Capacity.DetailsStale = false
	machine.Capacity.Releases, machine.Capacity.Victims = machine.Capacity.Releases[:0], nil // the list may still be in use by a pass
	for _, name := range slices.Sorted(maps.Keys(machine.Use.Slots)) {
		slot := machine.Use.Slots[name]
		if slot.Claim.Spec == nil || slot.Exited(machine) {
			continue
		}
		c.addRelease(machine, slot, now)
	}
	// Most likely to be displaced first; the order is the same every time.
	slices.SortFunc(machine.Capacity.Victims, func(a, b replica.Victim) int {
		return cmp.Or(cmp.Compare(a.Claim.Spec.Priority(), b.Claim.Spec.Priority()), cmp.Compare(a.LostWork(now), b.LostWork(now)), strings.Compare(a.Claim.Key, b.Claim.Key), cmp.Compare(a.Task, b.Task))
	})
	slices.SortStableFunc(machine.Capacity.Releases, func(a, b replica.Release) int { return a.At.Compare(b.At) })
}

func (c *Controller) addRelease(machine *replica.Machine, slot *replica.Slot, now time.Time) {
	claim := slot.Claim
	began, running := machine.Agent.RunningSince[slot.TaskName]
	if !running {
		began = now
	}
	_, evicted := claim.Evictions[slot.Task]
	if claim.Spec.Shape != protocol.ShapeService {
		at := began.Add(c.estimateRuntime(claim.Spec))
		if evicted {
			at = now.Add(300 * time.Millisecond)
		}
		machine.Capacity.Releases = append(machine.Capacity.Releases, replica.Release{At: at, Spec: claim.Spec})
	}
	if evicted {
		return
	}
	if claim.Spec.Shape == protocol.ShapeGang && claim.Spec.Tasks > 1 {
		return // stopping one task of a gang would end them all
	}
	if machine.Agent.Tasks[slot.TaskName] == nil {
		return // not there yet: it cannot be stopped
	}
	machine.Capacity.Victims = append(machine.Capacity.Victims, replica.Victim{Claim: claim, Task: slot.Task, Host: machine.Host, StartedAt: began})
}
