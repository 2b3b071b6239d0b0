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
func (v *View) FreeCapacity(m *Machine) protocol.MachineResources {
	if !m.Capacity.Stale {
		return m.Capacity.Free
	}
	machineType := v.MachineType(m.Record.Type)
	m.Capacity.Free = protocol.ResourcesOf(&machineType)
	m.Capacity.Stale, m.Capacity.UnknownUse = false, false
	for name, slot := range m.Use.Slots {
		if status := m.Agent.Tasks[name]; status != nil && status.Attempt == slot.Attempt && status.Phase == protocol.TaskExited {
			continue
		}
		m.allocate(slot.Claim.Spec)
	}
	for name, status := range m.Agent.Tasks {
		if status.Phase != protocol.TaskExited && m.Use.Slots[name] == nil {
			m.allocate(v.SpecOfTask(name)) // orphaned, and about to be stopped
			m.Capacity.Stale = true        // its job may be forgotten any moment, and its size with it
		}
	}
	return m.Capacity.Free
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

func (v *View) ApplyMachine(host string, r *records.Machine, stamp uint64) {
	m := v.Machines[host]
	if r == nil {
		return // kept as a tombstone: a return is final
	}
	if m == nil {
		m = &Machine{Host: host, AdoptedAt: time.Now(), Agent: AgentState{RunningSince: make(map[string]time.Time)},
			Commands: CommandQueue{StartSentAt: make(map[string]time.Time), StopSentAt: make(map[string]time.Time)}}
		m.Use = v.HostUse(host)
		m.Use.Machine = m
		v.Machines[host] = m
		v.observer.MachineRecorded(host)
		m.Record = *r
		if r.State == "" {
			v.Shard(r.Shard).AddMachine(m)
		}
		v.recallImages(m)
	}
	m.Record, m.Version, m.Capacity.Stale, m.Capacity.DetailsStale = *r, stamp, true, true
	v.Shard(r.Shard).Changed = true
	if r.State != "" {
		v.Shard(r.Shard).RemoveMachine(m)
	}
	if r.State == records.MachineReturning {
		v.Returns[host] = m
	} else {
		delete(v.Returns, host)
	}
	if r.State == records.MachineGone {
		for _, p := range m.Use.Slots {
			v.MarkDirty(p.Claim)
		}
		// Only the tombstone stays in memory, and what its worker has said of
		// tasks whose end is not booked yet.
		m.Agent.Heartbeat, m.Images, m.Commands.Pending, m.Commands.InFlight, m.Commands.Unknown = nil, nil, nil, nil, nil
		if len(m.Use.Slots) == 0 {
			m.Agent.Tasks = nil
		}
		m.Agent.RunningSince, m.Commands.StartSentAt, m.Commands.StopSentAt, m.Quarantine.Evidence = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, quarantine.MachineEvidence{}
	}
}

func (v *View) MachineType(name string) protocol.MachineType {
	if t := v.MachineTypes[name]; t != nil {
		return *t
	}
	return protocol.MachineType{}
}
