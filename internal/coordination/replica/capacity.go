package replica

import (
	"fmt"
	"time"

	"madderslip/internal/protocol"
)

// CapacityCache caches the free capacity of a machine, the expected releases of further
// capacity, and the tasks that may be preempted. The cache is marked stale when the machine's
// record or tasks change.
type CapacityCache struct {
	Free  protocol.MachineResources // the machine's free resources; valid unless Stale is set
	Tasks int                       // number of tasks that the agent lists or that are placed on the machine; valid unless Stale is set
	Stale bool
	// Releases is sorted by time, and Victims so that those to be preempted first come first.
	// Both are valid unless DetailsStale is set.
	Releases     []Release
	Victims      []Victim
	DetailsStale bool
	UnknownUse   bool // a task of unknown size is placed on the machine or reported by its agent
}

// Release is a placed task with the time at which its capacity is expected to become free.
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

// Name identifies the placement to be preempted, in the form that reservations record.
func (v *Victim) Name() string { return fmt.Sprintf("%s#%d@%s", v.Claim.Key, v.Task, v.Host) }

// LostWork returns the work, in CPU seconds, that preempting the task now would lose. A task
// with less than one CPU counts as a task with one.
func (v *Victim) LostWork(now time.Time) float64 {
	spec := v.Claim.Spec
	lost := now.Sub(v.StartedAt).Seconds()
	if spec.CheckpointIntervalS > 0 {
		lost = min(lost, spec.CheckpointS)
	}
	return max(lost, 0) * max(spec.CPUs, 1)
}

// FreeCapacity returns a machine's free capacity, and counts the tasks of the machine. Every task that is or may be on the machine
// uses capacity, whether its placement is recorded or only its agent reports it. A task that
// the agent reports as exited uses none, even before its end is recorded.
func (v *View) FreeCapacity(machine *Machine) protocol.MachineResources {
	if !machine.Capacity.Stale {
		return machine.Capacity.Free
	}
	machineType := v.MachineType(machine.Record.Type)
	machine.Capacity.Free = protocol.ResourcesOf(&machineType)
	machine.Capacity.Stale, machine.Capacity.UnknownUse = false, false
	machine.Capacity.Tasks = len(machine.Agent.Tasks)
	for name, slot := range machine.Use.Slots {
		if machine.Agent.Tasks[name] == nil {
			machine.Capacity.Tasks++
		}
		if !slot.Exited(machine) {
			machine.allocate(slot.Claim.Spec)
		}
	}
	for name, status := range machine.Agent.Tasks {
		if status.Phase != protocol.TaskExited && machine.Use.Slots[name] == nil {
			machine.allocate(v.SpecOfTask(name)) // the task has no placement here and will be stopped
			machine.Capacity.Stale = true        // the task's size becomes unknown when its job is dropped from the view
		}
	}
	return machine.Capacity.Free
}

// allocate subtracts a task's use from the free capacity. A nil spec means a task of unknown
// size.
func (m *Machine) allocate(spec *protocol.Submission) {
	if spec == nil {
		m.Capacity.UnknownUse = true
		return
	}
	m.Capacity.Free = m.Capacity.Free.Minus(spec, 1)
}
