package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Machine is a rented machine: its record, what its agent last reported, and what this
// controller has sent to it and concluded about it.
type Machine struct {
	Host          string
	ListedAddress string // in the cloud's list
	Record        records.Machine
	Version       uint64
	AdoptedAt     time.Time // when this process began to answer for it
	Use           *HostUse
	Images        []records.CachedImage // most recently used last

	Agent      AgentState
	Commands   CommandQueue
	Detector   FailureDetector
	Quarantine QuarantineState
	Lifecycle  Lifecycle
	Capacity   CapacityCache
}

// AgentState is what a machine's agent last said.
type AgentState struct {
	Heartbeat          *protocol.Heartbeat // the newest, by epoch and sequence; nil: none yet
	Tasks              map[string]*protocol.TaskStatus
	LastContact        time.Time // latest sign of life, answers to probes included
	LastHeartbeat      time.Time // when a heartbeat of its own last arrived
	HeardAgainAt       time.Time // since when it is heard again, after a silence
	RunningSince       map[string]time.Time
	PreemptionNoticeAt time.Time // when a spot instance announced its end; zero: it has not
	// MinToken is set when the machine has restarted: only what shows a higher fencing
	// token is of its present life. 0: it has not.
	MinToken uint64
}

// CommandQueue is what is sent to a machine, one call at a time.
type CommandQueue struct {
	Pending     []protocol.Command // not sent yet
	Sending     bool
	InFlight    []protocol.Command
	Unknown     []UnknownStart // starts of unknown outcome
	StartSentAt map[string]time.Time
	StopSentAt  map[string]time.Time
}

// FailureDetector is what direct probes of a machine have shown.
type FailureDetector struct {
	Probing       bool
	UnansweredAt  time.Time // when it last failed to answer a probe
	Reachability  health.Reachability
	CancelProbeAt time.Time // when a controller that does not own it last asked it for cancelled tasks
}

// QuarantineState is whether a machine may be given work.
type QuarantineState struct {
	Evidence       quarantine.MachineEvidence
	Active         bool
	ChangedAt      time.Time
	RejectingUntil time.Time // it refused a start for want of capacity
}

// Lifecycle is where a machine stands between boot and return.
type Lifecycle struct {
	Overdue       bool // it did not come up in time
	IdleSince     time.Time
	DrainingSince time.Time // zero: it is not being emptied
	Returning     bool      // a commit or a call to return it is under way
	ReturnRetryAt time.Time
	Gone          bool // the cloud has taken it back, which may not be recorded yet
}

// CapacityCache is what a machine has free and when more of it will be, kept until
// something about its tasks changes.
type CapacityCache struct {
	Free  protocol.MachineResources // unless Stale
	Stale bool
	// Releases and Victims are in order, unless DetailsStale.
	Releases     []Release
	Victims      []Victim
	DetailsStale bool
	UnknownUse   bool // something of unknown size runs there
}

// Age is how long ago a machine was rented.
func (m *Machine) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(m.Record.RentedAtMs))
}

// HasImage tells whether a machine's cache holds an image, as far as known.
func (m *Machine) HasImage(image string) bool {
	return slices.ContainsFunc(m.Images, func(cached records.CachedImage) bool { return cached.Name == image })
}

func (m *Machine) RecordImageUse(name string, gb, cache float64) {
	m.Images = slices.DeleteFunc(m.Images, func(cached records.CachedImage) bool { return cached.Name == name })
	m.Images = append(m.Images, records.CachedImage{Name: name, SizeGB: gb})
	total := 0.0
	for _, cached := range m.Images {
		total += cached.SizeGB
	}
	for len(m.Images) > 1 && cache > 0 && total > cache {
		total -= m.Images[0].SizeGB
		m.Images = m.Images[1:]
	}
}

// RunsOnlyReplicas tells whether a machine runs replicas of services and nothing
// else, none of them just moving.
func (m *Machine) RunsOnlyReplicas() bool {
	for _, slot := range m.Use.Slots {
		if slot.Claim.Spec == nil || slot.Claim.Spec.Shape != protocol.ShapeService || slot.Claim.Pending != nil || len(slot.Claim.Evictions) > 0 {
			return false
		}
	}
	return true
}

// RunsReplicas tells whether a machine runs a replica of a service.
func (m *Machine) RunsReplicas() bool {
	for _, slot := range m.Use.Slots {
		if slot.Claim.Spec != nil && slot.Claim.Spec.Shape == protocol.ShapeService {
			return true
		}
	}
	return false
}

// MachineKind is what a hire asks for.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

func (k MachineKind) Compare(o MachineKind) int {
	return cmp.Or(strings.Compare(k.Type, o.Type), strings.Compare(k.Zone, o.Zone), compareBool(k.Spot, o.Spot))
}

// UnknownStart is a direct start whose fate is unknown. Network and hung machines
// may hold it back for minutes and then execute it, as long as token and
// session still match. Until the machine shows a higher token or a later
// session, the attempt must not be forgotten by the worker (a reap would let
// the late command start it again) nor be counted as gone.
type UnknownStart struct {
	Task         string
	Attempt      uint64
	FencingToken uint64
	AgentEpoch   uint64
	SentAt       time.Time
}

func (m *Machine) Address() string {
	if m.Agent.Heartbeat != nil && m.Agent.Heartbeat.Address != "" {
		return m.Agent.Heartbeat.Address
	}
	return m.ListedAddress
}

func (m *Machine) Kind() MachineKind {
	return MachineKind{m.Record.Type, m.Record.Zone, m.Record.Spot}
}

func IncarnationOf(r *protocol.Heartbeat) health.Incarnation {
	return health.Incarnation{AgentEpoch: r.AgentEpoch, Sequence: r.Sequence, FencingToken: r.FencingToken}
}

// ShowsToken tells whether a machine's own account shows the current token: then
// no command of an earlier owner can act any more, and the account is complete.
func (m *Machine) ShowsToken(shard *Shard) bool {
	return m.Agent.Heartbeat != nil && shard.FencingToken != 0 && m.Agent.Heartbeat.FencingToken >= shard.FencingToken && IncarnationOf(m.Agent.Heartbeat).Valid(m.Agent.MinToken)
}

// HasUnconfirmedStart tells whether a start of this attempt may still be executed.
func (m *Machine) HasUnconfirmedStart(task string, try uint64) bool {
	same := func(c protocol.Command) bool { return c.Verb == "start" && c.Task == task && c.Attempt == try }
	return slices.ContainsFunc(m.Commands.Pending, same) || slices.ContainsFunc(m.Commands.InFlight, same) ||
		slices.ContainsFunc(m.Commands.Unknown, func(u UnknownStart) bool { return u.Task == task && u.Attempt == try })
}

// RunsNothingPlaced tells that a machine shows none of what is placed there as being on it.
func (m *Machine) RunsNothingPlaced() bool {
	for name := range m.Use.Slots {
		if status := m.Agent.Tasks[name]; status != nil && status.Phase != protocol.TaskExited {
			return false
		}
	}
	return true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// RunsTasks reports whether the agent shows any task that has not exited.
func (m *Machine) RunsTasks() bool {
	for _, task := range m.Agent.Tasks {
		if task.Phase != protocol.TaskExited {
			return true
		}
	}
	return false
}
