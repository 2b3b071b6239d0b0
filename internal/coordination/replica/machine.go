package replica

import (
	"slices"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Machine is a provisioned machine: its record, what its agent last reported, and what this
// controller has sent to it and concluded about it.
type Machine struct {
	Host          string
	ListedAddress string // in the cloud's list
	Record        records.Machine
	Version       uint64
	AdoptedAt     time.Time // when this process first saw it, or acquired its shard
	Use           *HostUse
	Images        []records.CachedImage // in its cache, as far as known; most recently used last

	Agent      AgentState
	Commands   CommandQueue
	Detector   FailureDetector
	Quarantine QuarantineState
	Lifecycle  Lifecycle
	Capacity   CapacityCache
}

// AgentState is what a machine's agent last reported.
type AgentState struct {
	Heartbeat          *protocol.Heartbeat             // the newest, by epoch and sequence; nil: none yet
	Tasks              map[string]*protocol.TaskStatus // by name, as the newest heartbeat lists them
	LastContact        time.Time                       // latest contact, answers to probes included
	LastHeartbeat      time.Time                       // when a heartbeat of its own last arrived
	HeardAgainAt       time.Time                       // when contact was last restored after a silence
	RunningSince       map[string]time.Time            // by task: when it was first reported as running
	PreemptionNoticeAt time.Time                       // when a spot instance announced its end; zero: it has not
	// MinToken is set when the machine has restarted: only a heartbeat that shows a higher
	// fencing token is of its present incarnation. 0: it has not restarted.
	MinToken uint64
}

// FailureDetector is what direct probes of a machine have shown.
type FailureDetector struct {
	Probing       bool      // a probe is in progress
	UnansweredAt  time.Time // when it last failed to answer a probe
	Reachability  health.Reachability
	CancelProbeAt time.Time // when a controller that does not own it last asked it for cancelled tasks
}

// QuarantineState is whether a machine may be given work.
type QuarantineState struct {
	Evidence       quarantine.MachineEvidence
	Active         bool      // it may not
	ChangedAt      time.Time // when Active last changed
	RejectingUntil time.Time // no start before, after it refused one for want of capacity
}

// Lifecycle is where a machine stands between boot and return.
type Lifecycle struct {
	Overdue       bool      // it did not come up in time
	IdleSince     time.Time // since when it is not needed; zero: it is
	DrainingSince time.Time // zero: it is not being drained
	Returning     bool      // a commit or a call to return it is in progress
	ReturnRetryAt time.Time // not tried again before
	Gone          bool      // the cloud has confirmed its return, which may not be recorded yet
}

// Age returns how long ago a machine was provisioned.
func (m *Machine) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(m.Record.RentedAtMs))
}

// HasImage reports whether a machine's cache holds an image, as far as known.
func (m *Machine) HasImage(image string) bool {
	return slices.ContainsFunc(m.Images, func(cached records.CachedImage) bool { return cached.Name == image })
}

// RecordImageUse makes an image of so many GB the machine's most recently used, and drops
// those used longest ago that its cache, of so many GB, can't hold beside it. A cache of 0 is
// unbounded.
func (m *Machine) RecordImageUse(name string, sizeGB, cacheGB float64) {
	m.Images = slices.DeleteFunc(m.Images, func(cached records.CachedImage) bool { return cached.Name == name })
	m.Images = append(m.Images, records.CachedImage{Name: name, SizeGB: sizeGB})
	total := 0.0
	for _, cached := range m.Images {
		total += cached.SizeGB
	}
	for len(m.Images) > 1 && cacheGB > 0 && total > cacheGB {
		total -= m.Images[0].SizeGB
		m.Images = m.Images[1:]
	}
}

// RunsOnlyReplicas reports whether a machine runs replicas of services and nothing else,
// none of which is being moved.
func (m *Machine) RunsOnlyReplicas() bool {
	for _, slot := range m.Use.Slots {
		isMoving := slot.Claim.Pending != nil || len(slot.Claim.Evictions) > 0
		if !slot.isReplica() || isMoving {
			return false
		}
	}
	return true
}

// RunsReplicas reports whether a machine runs a replica of a service.
func (m *Machine) RunsReplicas() bool {
	for _, slot := range m.Use.Slots {
		if slot.isReplica() {
			return true
		}
	}
	return false
}

// Address returns the address that the agent last reported, or else the cloud's.
func (m *Machine) Address() string {
	if m.Agent.Heartbeat != nil && m.Agent.Heartbeat.Address != "" {
		return m.Agent.Heartbeat.Address
	}
	return m.ListedAddress
}

// Kind returns what a provision for a machine like this one asks for.
func (m *Machine) Kind() MachineKind {
	return MachineKind{m.Record.Type, m.Record.Zone, m.Record.Spot}
}

// IncarnationOf returns from which incarnation of an agent a heartbeat is.
func IncarnationOf(heartbeat *protocol.Heartbeat) health.MessagePosition {
	return health.MessagePosition{AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence, FencingToken: heartbeat.FencingToken}
}

// ShowsToken reports whether a machine's heartbeat shows the shard's current fencing token:
// then no command of an earlier owner is executed any more, and the heartbeat lists every
// task.
func (m *Machine) ShowsToken(shard *Shard) bool {
	return m.Agent.Heartbeat != nil && shard.FencingToken != 0 && m.Agent.Heartbeat.FencingToken >= shard.FencingToken &&
		IncarnationOf(m.Agent.Heartbeat).Valid(m.Agent.MinToken)
}

// RunsNothingPlaced reports whether the agent shows none of what is placed on the machine as
// running there.
func (m *Machine) RunsNothingPlaced() bool {
	for name := range m.Use.Slots {
		if status := m.Agent.Tasks[name]; status != nil && status.Phase != protocol.TaskExited {
			return false
		}
	}
	return true
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
