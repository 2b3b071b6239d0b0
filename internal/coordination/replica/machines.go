package replica

import (
	"fmt"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Name names a placement that is to be stopped, as bookings record it.
func (v *Victim) Name() string { return fmt.Sprintf("%s#%d@%s", v.Claim.Key, v.Task, v.Host) }

// FreeCapacity is what a machine has left: everything that is or may be on it counts,
// recorded or only reported. A task that its worker reports as exited takes no
// room, even before its end is booked.
func (v *View) FreeCapacity(machine *Machine) protocol.MachineResources {
	if !machine.Capacity.Stale {
		return machine.Capacity.Free
	}
	machineType := v.MachineType(machine.Record.Type)
	machine.Capacity.Free = protocol.ResourcesOf(&machineType)
	machine.Capacity.Stale, machine.Capacity.UnknownUse = false, false
	for name, slot := range machine.Use.Slots {
		if status := machine.Agent.Tasks[name]; status != nil && status.Attempt == slot.Attempt && status.Phase == protocol.TaskExited {
			continue
		}
		machine.allocate(slot.Claim.Spec)
	}
	for name, status := range machine.Agent.Tasks {
		if status.Phase != protocol.TaskExited && machine.Use.Slots[name] == nil {
			machine.allocate(v.SpecOfTask(name)) // orphaned, and about to be stopped
			machine.Capacity.Stale = true        // its job may be forgotten any moment, and its size with it
		}
	}
	return machine.Capacity.Free
}

// allocate takes a task's use from the free capacity. A nil spec is of unknown size.
func (m *Machine) allocate(spec *protocol.Submission) {
	if spec == nil {
		m.Capacity.UnknownUse = true
		return
	}
	m.Capacity.Free = m.Capacity.Free.Minus(spec, 1)
}

// Release is a running task with the time its room is expected back.
type Release struct {
	At   time.Time
	Spec *protocol.Submission
}

// Victim is a running task that other work may displace.
type Victim struct {
	Claim     *Claim
	Task      int
	Host      string
	StartedAt time.Time
}

// LostWork is the CPU time that displacing it now would throw away.
func (v *Victim) LostWork(now time.Time) float64 {
	s := v.Claim.Spec
	lost := now.Sub(v.StartedAt).Seconds()
	if s.CheckpointIntervalS > 0 {
		lost = min(lost, s.CheckpointS)
	}
	return max(lost, 0) * max(s.CPUs, 1)
}

func (v *View) ApplyMachine(host string, record *records.Machine, version uint64) {
	machine := v.Machines[host]
	if record == nil {
		return // kept as a tombstone: a return is final
	}
	if machine == nil {
		machine = &Machine{Host: host, AdoptedAt: time.Now(), Agent: AgentState{RunningSince: make(map[string]time.Time)},
			Commands: CommandQueue{StartSentAt: make(map[string]time.Time), StopSentAt: make(map[string]time.Time)}}
		machine.Use = v.HostUse(host)
		machine.Use.Machine = machine
		v.Machines[host] = machine
		v.observer.MachineRecorded(host)
		machine.Record = *record
		if record.State == "" {
			v.Shard(record.Shard).AddMachine(machine)
		}
		v.recallImages(machine)
	}
	machine.Record, machine.Version, machine.Capacity.Stale, machine.Capacity.DetailsStale = *record, version, true, true
	v.Shard(record.Shard).Changed = true
	if record.State != "" {
		v.Shard(record.Shard).RemoveMachine(machine)
	}
	if record.State == records.MachineReturning {
		v.Returns[host] = machine
	} else {
		delete(v.Returns, host)
	}
	if record.State == records.MachineGone {
		for _, slot := range machine.Use.Slots {
			v.MarkDirty(slot.Claim)
		}
		// Only the tombstone stays in memory, and what its worker has said of
		// tasks whose end is not booked yet.
		machine.Agent.Heartbeat, machine.Images, machine.Commands.Pending, machine.Commands.InFlight, machine.Commands.Unknown = nil, nil, nil, nil, nil
		if len(machine.Use.Slots) == 0 {
			machine.Agent.Tasks = nil
		}
		machine.Agent.RunningSince, machine.Commands.StartSentAt, machine.Commands.StopSentAt, machine.Quarantine.Evidence = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, quarantine.MachineEvidence{}
	}
}

func (v *View) MachineType(name string) protocol.MachineType {
	if t := v.MachineTypes[name]; t != nil {
		return *t
	}
	return protocol.MachineType{}
}
