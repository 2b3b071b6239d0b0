package replica

import (
	"fmt"
	"time"

	"madderslip/internal/protocol"
)

// CapacityCache is what a machine has free and when more of it will be, kept until something
// about its tasks changes.
type CapacityCache struct {
	Free  protocol.MachineResources // unless Stale
	Stale bool
	// Releases and Victims are in order, unless DetailsStale.
	Releases     []Release
	Victims      []Victim
	DetailsStale bool
	UnknownUse   bool // something of unknown size runs there
}

// Release is a running task with the time at which its capacity is expected back.
type Release struct {
	At   time.Time
	Spec *protocol.Submission
}

// Victim is a running task that other work may preempt.
type Victim struct {
	Claim     *Claim
	Task      int
	Host      string
	StartedAt time.Time
}

// Name identifies the placement that is to be stopped, as reservations record it.
func (v *Victim) Name() string { return fmt.Sprintf("%s#%d@%s", v.Claim.Key, v.Task, v.Host) }

// LostWork returns the work, in CPU seconds, that preempting the task now would lose. A task
// without CPUs counts as one with a CPU.
func (v *Victim) LostWork(now time.Time) float64 {
	spec := v.Claim.Spec
	lost := now.Sub(v.StartedAt).Seconds()
	if spec.CheckpointIntervalS > 0 {
		lost = min(lost, spec.CheckpointS)
	}
	return max(lost, 0) * max(spec.CPUs, 1)
}

// FreeCapacity returns what a machine has left: everything that is or may be on it counts,
// recorded or only reported. A task that the agent reports as exited uses no capacity, even
// before its end is recorded.
func (v *View) FreeCapacity(machine *Machine) protocol.MachineResources {
	if !machine.Capacity.Stale {
		return machine.Capacity.Free
	}
	machineType := v.MachineType(machine.Record.Type)
	machine.Capacity.Free = protocol.ResourcesOf(&machineType)
	machine.Capacity.Stale, machine.Capacity.UnknownUse = false, false
	for _, slot := range machine.Use.Slots {
		if !slot.Exited(machine) {
			machine.allocate(slot.Claim.Spec)
		}
	}
	for name, status := range machine.Agent.Tasks {
		if status.Phase != protocol.TaskExited && machine.Use.Slots[name] == nil {
			machine.allocate(v.SpecOfTask(name)) // orphaned, and about to be stopped
			machine.Capacity.Stale = true        // its job may be forgotten any moment, and its size with it
		}
	}
	return machine.Capacity.Free
}

// allocate subtracts a task's use from the free capacity. A nil spec is of unknown size.
func (m *Machine) allocate(spec *protocol.Submission) {
	if spec == nil {
		m.Capacity.UnknownUse = true
		return
	}
	m.Capacity.Free = m.Capacity.Free.Minus(spec, 1)
}
