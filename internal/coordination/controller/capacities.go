package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// gpuReserveTTL is how long after the latest job with GPUs was received machines with GPUs
// are kept for the next one.
const gpuReserveTTL = 2 * time.Minute

// capacities returns the free capacity of each machine of a shard. Every task that is or may
// be on a machine counts as using capacity, whether it is recorded or only reported. The
// result is valid until the next call.
func (c *Controller) capacities(shard *replica.Shard, now time.Time) []*placement.Capacity {
	return c.capacitiesFor(shard, "", now)
}

// capacitiesFor returns the capacities with the gang holds of one job counted as free.
func (c *Controller) capacitiesFor(shard *replica.Shard, jobID string, now time.Time) []*placement.Capacity {
	c.growScratch(len(shard.Machines))
	all := c.scratch.capacities[:len(shard.Machines)]
	capacities := c.scratch.list[:0]
	for i, machine := range shard.Machines {
		if machineType := c.view.MachineTypes[machine.Record.Type]; machineType != nil {
			c.fillCapacity(&all[i], shard, machine, machineType, now)
			capacities = append(capacities, &all[i])
		}
	}
	if len(c.view.GangReservations) > 0 {
		c.chargeGangHolds(shard, jobID, capacitiesByHost(capacities))
	}
	if now.Sub(c.view.GPUJobSeenAt) < gpuReserveTTL {
		c.keepGPUMachines(capacities)
	}
	return capacities
}

// growScratch makes the reused memory large enough for a number of machines. Each call of
// capacitiesFor overwrites the result of the one before. That is safe because all callers
// hold the lock and none uses its result after another call.
func (c *Controller) growScratch(machines int) {
	if cap(c.scratch.capacities) < machines {
		c.scratch.capacities = make([]placement.Capacity, machines*5/4)
		c.scratch.list = make([]*placement.Capacity, 0, machines*5/4)
	}
}

// fillCapacity sets a capacity to the state of a machine: its free resources, whether new tasks may
// start there, when it is expected to have booted, and which jobs avoid it.
func (c *Controller) fillCapacity(capacity *placement.Capacity, shard *replica.Shard, machine *replica.Machine, machineType *protocol.MachineType, now time.Time) {
	*capacity = placement.Capacity{
		Releases: capacity.Releases[:0], // the memory is reused
		Machine:  machine, Host: machine.Host, Shard: shard.Name,
		Type: machineType, TypeName: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot,
	}
	capacity.Free = c.view.FreeCapacity(machine) // also updates UnknownUse, which acceptsTasks reads, and Tasks
	capacity.Tasks = machine.Capacity.Tasks
	capacity.Usable = c.acceptsTasks(machine, now)
	if machine.Agent.Heartbeat == nil && !machine.Lifecycle.Returning {
		capacity.BootsAt = time.UnixMilli(machine.Record.RentedAtMs).Add(c.provisioner.bootStats.ExpectedBootTime(bootKindOf(machine), machineType.BootTime(), now))
	}
	for _, avoiding := range machine.Quarantine.Evidence.AvoidedBy(now) {
		if job := c.view.Jobs[avoiding]; job != nil && job.OnProbation(now) {
			continue // the job fails on every machine; a retry costs least where its image is cached
		}
		if capacity.AvoidedBy == nil {
			capacity.AvoidedBy = make(map[string]bool)
		}
		capacity.AvoidedBy[avoiding] = true
	}
}

// acceptsTasks reports whether new tasks may be placed on a machine.
func (c *Controller) acceptsTasks(machine *replica.Machine, now time.Time) bool {
	isKnown := machine.Agent.Heartbeat != nil && machine.Address() != ""
	return isKnown && !isLeaving(machine) && !hasUnclearState(machine, now) && !isListFull(machine) && c.isReachable(machine, now)
}

// isListFull reports whether a machine's heartbeat lists so many tasks, most of them exited and not
// reaped yet, that further ones could make it too large.
func isListFull(machine *replica.Machine) bool {
	return len(machine.Agent.Tasks) >= placement.MaxListedTasks
}

// isLeaving reports whether a machine is gone, being drained or returned, or about to be
// preempted by the cloud.
func isLeaving(machine *replica.Machine) bool {
	lifecycle := &machine.Lifecycle
	return lifecycle.Gone || lifecycle.Returning || !lifecycle.DrainingSince.IsZero() || !machine.Agent.PreemptionNoticeAt.IsZero()
}

// hasUnclearState reports whether a machine is quarantined, rejects starts, runs tasks of
// unknown size, which are being ended, or has starts whose outcome stays unknown.
func hasUnclearState(machine *replica.Machine, now time.Time) bool {
	rejecting := !now.After(machine.Quarantine.RejectingUntil)
	return machine.Quarantine.Active || rejecting || machine.Capacity.UnknownUse || machine.Commands.HasOverdueStart(now)
}

// isReachable reports whether a machine was in contact within the policy's SuspectAfter, can receive
// commands, and can report.
func (c *Controller) isReachable(machine *replica.Machine, now time.Time) bool {
	return c.silenceOf(machine, now) < c.policy.SuspectAfter && !machine.Detector.Reachability.CannotReceive() && !c.cannotReport(machine, now)
}

func capacitiesByHost(capacities []*placement.Capacity) map[string]*placement.Capacity {
	byHost := make(map[string]*placement.Capacity, len(capacities))
	for _, capacity := range capacities {
		byHost[capacity.Host] = capacity
	}
	return byHost
}

// keepGPUMachines keeps some idle machines with GPUs for jobs that need the GPUs.
func (c *Controller) keepGPUMachines(capacities []*placement.Capacity) {
	gpuMachines := 0
	for _, capacity := range capacities {
		if capacity.Type.GPUs > 0 {
			gpuMachines++
		}
	}
	machinesToKeep := func(share float64) int {
		return max(c.policy.GPUMachineReserve, int(share*float64(gpuMachines)))
	}
	placement.KeepGPUMachines(capacities, machinesToKeep(c.policy.GPUMachineShare), machinesToKeep(max(c.policy.GPUMachineShare, c.policy.BestEffortGPUMachineShare)))
}

// detailCapacities adds to each capacity when the tasks on its machine should end and which
// of them may be preempted. Passes without blocked work do not need these details. Those of a
// machine are cached until its tasks change.
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

// detailMachine determines a machine's releases and victims, and sorts both.
func (c *Controller) detailMachine(machine *replica.Machine, now time.Time) {
	machine.Capacity.DetailsStale = false
	machine.Capacity.Releases, machine.Capacity.Victims = machine.Capacity.Releases[:0], nil // the slice of victims is not reused, since a pass may still use the old one
	for _, slot := range machine.Use.Slots {                                                 // the order of the map does not matter, since releases and victims are sorted below
		if slot.Claim.Spec == nil || slot.Exited(machine) {
			continue
		}
		c.addRelease(machine, slot, now)
	}
	// Tasks of the lowest priority come first, and among these the ones that lose the least
	// work. The order is total, so that a replay preempts the same tasks.
	slices.SortFunc(machine.Capacity.Victims, func(a, b replica.Victim) int {
		return cmp.Or(cmp.Compare(a.Claim.Spec.Priority(), b.Claim.Spec.Priority()), cmp.Compare(a.LostWork(now), b.LostWork(now)),
			strings.Compare(a.Claim.Key, b.Claim.Key), cmp.Compare(a.Task, b.Task))
	})
	slices.SortFunc(machine.Capacity.Releases, func(a, b replica.Release) int {
		if order := a.At.Compare(b.At); order != 0 {
			return order
		}
		return strings.Compare(a.Spec.JobID, b.Spec.JobID) // two releases of one job need no order, since their resources are the same
	})
}

// evictionTime is how soon an evicted task is expected to have released its capacity.
const evictionTime = 300 * time.Millisecond

// addRelease adds a task's expected end to the releases of its machine, unless the task belongs to
// a service, whose tasks do not end. If the task can be preempted, it is added to the victims.
func (c *Controller) addRelease(machine *replica.Machine, slot *replica.Slot, now time.Time) {
	claim := slot.Claim
	startedAt, running := machine.Agent.RunningSince[slot.TaskName]
	if !running {
		startedAt = now
	}
	_, evicted := claim.Evictions[slot.Task]
	if claim.Spec.Shape != protocol.ShapeService {
		at := startedAt.Add(c.estimateRuntime(claim.Spec))
		if evicted {
			at = now.Add(evictionTime)
		}
		machine.Capacity.Releases = append(machine.Capacity.Releases, replica.Release{At: at, Spec: claim.Spec})
	}
	isOfGang := claim.Spec.Shape == protocol.ShapeGang && claim.Spec.Tasks > 1 // stopping one task of a gang would end all of them
	isReported := machine.Agent.Tasks[slot.TaskName] != nil                    // a task that its agent does not report cannot be stopped yet
	if evicted || isOfGang || !isReported {
		return
	}
	machine.Capacity.Victims = append(machine.Capacity.Victims, replica.Victim{Claim: claim, Task: slot.Task, Host: machine.Host, StartedAt: startedAt})
}
