package replica

import (
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// ApplyMachine applies a machine's record. A nil record changes nothing: the last record is
// kept as a tombstone, since a return is final.
func (v *View) ApplyMachine(host string, record *records.Machine, version uint64) {
	if record == nil {
		return
	}
	machine := v.Machines[host]
	if machine == nil {
		machine = v.addMachine(host, record)
	}
	machine.Record, machine.Version = *record, version
	machine.Capacity.Stale, machine.Capacity.DetailsStale = true, true
	v.Shard(record.Shard).Changed = true
	if record.State != records.MachineInUse {
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
		machine.releaseMemory()
	}
}

// addMachine adds a machine that the view does not have yet.
func (v *View) addMachine(host string, record *records.Machine) *Machine {
	machine := &Machine{
		Host:      host,
		AdoptedAt: time.Now(),
		Agent:     AgentState{RunningSince: make(map[string]time.Time)},
		Commands:  CommandQueue{StopSentAt: make(map[string]time.Time)},
	}
	machine.Use = v.HostUse(host)
	machine.Use.Machine = machine
	v.Machines[host] = machine
	v.observer.MachineRecorded(host)
	machine.Record = *record
	if record.State == records.MachineInUse {
		v.Shard(record.Shard).AddMachine(machine)
	}
	v.restoreImages(machine)
	return machine
}

// releaseMemory frees most of the memory of a machine that is gone. Its record stays as a
// tombstone. The task statuses that its agent last reported stay too, if the end of a task
// that is placed there is not recorded yet.
func (m *Machine) releaseMemory() {
	m.Agent.Heartbeat, m.Images = nil, nil
	if len(m.Use.Slots) == 0 {
		m.Agent.Tasks = nil
	}
	m.Agent.RunningSince = map[string]time.Time{}
	m.Commands.Pending, m.Commands.InFlight, m.Commands.Unknown = nil, nil, nil
	m.Commands.StopSentAt = map[string]time.Time{}
	m.Quarantine.Evidence = quarantine.MachineEvidence{}
}

// MachineType returns the cloud's machine type of the given name, or an empty one if the cloud
// has not listed it.
func (v *View) MachineType(name string) protocol.MachineType {
	if machineType := v.MachineTypes[name]; machineType != nil {
		return *machineType
	}
	return protocol.MachineType{}
}
