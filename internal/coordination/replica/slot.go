package replica

import "madderslip/internal/protocol"

// Slot is a task that is, or may be, on a machine: a placement of a claim, committed or
// being committed.
type Slot struct {
	Claim      *Claim
	Task       int
	Attempt    uint64
	TaskName   string
	Host       *HostUse
	generation uint32 // the claim's generation when Reindex last found the placement
}

// Exited reports whether the machine's agent reports the task's attempt as exited, whether or
// not the end is recorded.
func (s *Slot) Exited(machine *Machine) bool {
	status := machine.Agent.Tasks[s.TaskName]
	return status != nil && status.Attempt == s.Attempt && status.Phase == protocol.TaskExited
}

// isReplica reports whether the task is a replica of a service.
func (s *Slot) isReplica() bool {
	return s.Claim.Spec != nil && s.Claim.Spec.Shape == protocol.ShapeService
}

// SlotKey identifies a slot within its claim.
type SlotKey struct {
	Task int
	Host string
}

// HostUse holds the slots on a host. It is separate from Machine because a claim may be read
// before the record of a machine that the claim names.
type HostUse struct {
	Name    string
	Machine *Machine         // nil until the machine's record is read
	Slots   map[string]*Slot // by task name: the slots of the tasks on the host
}

// HostUse returns the use of a host, and creates it if there is none yet.
func (v *View) HostUse(host string) *HostUse {
	use := v.Hosts[host]
	if use == nil {
		use = &HostUse{Name: host, Slots: make(map[string]*Slot)}
		v.Hosts[host] = use
	}
	return use
}

// Invalidate marks the machine's cached capacity as outdated.
func (h *HostUse) Invalidate() {
	if h.Machine != nil {
		h.Machine.Capacity.Stale, h.Machine.Capacity.DetailsStale = true, true
	}
}
