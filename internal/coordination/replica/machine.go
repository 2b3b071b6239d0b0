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
	ListedAddress string // the address in the cloud's list of machines
	Record        records.Machine
	Version       uint64
	AdoptedAt     time.Time // when this process added the machine to the view, or later acquired its shard
	Use           *HostUse
	Images        []records.CachedImage // images in the machine's cache, as far as known; most recently used last

	Agent      AgentState
	Commands   CommandQueue
	Detector   FailureDetector
	Quarantine QuarantineState
	Lifecycle  Lifecycle
	Capacity   CapacityCache
}

// AgentState is what a machine's agent last reported.
type AgentState struct {
	Heartbeat          *protocol.Heartbeat             // the newest heartbeat by agent epoch and sequence; nil: none yet
	Tasks              map[string]*protocol.TaskStatus // by task name: the statuses that the newest heartbeat lists
	LastContact        time.Time                       // when the newest heartbeat or answer to a direct call arrived
	LastHeartbeat      time.Time                       // when a heartbeat last arrived that is not the answer to a direct call
	LastPosition       health.MessagePosition          // position of the latest heartbeat that is not the answer to a direct call; zero: none yet
	ContactRestoredAt  time.Time                       // when contact with the machine was last restored after a silence
	RunningSince       map[string]time.Time            // by task: when the task was first reported as running
	PreemptionNoticeAt time.Time                       // when the agent of a spot instance first reported a preemption notice; zero: none
	// MinToken is set when the machine has restarted: only a heartbeat that shows a higher
	// fencing token is certainly of the machine's present incarnation. 0: no restart observed.
	MinToken uint64
}

// FailureDetector holds the results of probes and other direct calls to a machine.
type FailureDetector struct {
	Probing              bool      // a probe is in progress
	UnansweredAt         time.Time // when a probe last failed
	Reachability         health.Reachability
	CancellationProbedAt time.Time // when this controller last probed the machine for cancelled tasks without acting for its shard
}

// QuarantineState is whether tasks may be placed on a machine, judged by the tasks that
// failed or were rejected there.
type QuarantineState struct {
	Evidence       quarantine.MachineEvidence
	Active         bool      // the machine is quarantined
	ChangedAt      time.Time // when Active last changed
	RejectingUntil time.Time // no task is placed on the machine until this time, since the agent rejected a start for lack of capacity
}

// Lifecycle is the state of a machine between boot and return.
type Lifecycle struct {
	Overdue       bool      // the machine did not boot in the expected time
	IdleSince     time.Time // when the machine became idle; zero: it is in use
	DrainingSince time.Time // when the drain of the machine began; zero: it is not being drained
	Returning     bool      // a commit of the machine's return is in progress
	ReturnRetryAt time.Time // earliest next attempt to return the machine or to record that it is gone
	Gone          bool      // the cloud has confirmed the machine's return, which may not be recorded yet
}

// Age returns how long ago a machine was provisioned.
func (m *Machine) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(m.Record.RentedAtMs))
}

// HasImage reports whether a machine's cache holds an image, as far as known.
func (m *Machine) HasImage(image string) bool {
	return slices.ContainsFunc(m.Images, func(cached records.CachedImage) bool { return cached.Name == image })
}

// RecordImageUse makes an image the machine's most recently used one, and removes the least
// recently used images that no longer fit the machine's cache. sizeGB is the image's size and
// cacheGB the cache's; a cache of 0 GB is unbounded.
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

// RunsOnlyReplicas reports whether all tasks placed on a machine are replicas of services and
// none of them is being moved.
func (m *Machine) RunsOnlyReplicas() bool {
	for _, slot := range m.Use.Slots {
		isMoving := slot.Claim.Pending != nil || len(slot.Claim.Evictions) > 0
		if !slot.isReplica() || isMoving {
			return false
		}
	}
	return true
}

// RunsReplicas reports whether a replica of a service is placed on a machine.
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

// Kind returns the kind that a provision request for an equal machine names.
func (m *Machine) Kind() MachineKind {
	return MachineKind{m.Record.Type, m.Record.Zone, m.Record.Spot}
}

// MessagePositionOf returns the position of a heartbeat among the messages of its agent.
func MessagePositionOf(heartbeat *protocol.Heartbeat) health.MessagePosition {
	return health.MessagePosition{AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence, FencingToken: heartbeat.FencingToken}
}

// ShowsToken reports whether a machine's newest heartbeat is of its present incarnation and
// shows the shard's current fencing token. In that case the agent executes no more commands
// of an earlier owner, and the heartbeat lists every task on the machine.
func (m *Machine) ShowsToken(shard *Shard) bool {
	return m.Agent.Heartbeat != nil && shard.FencingToken != 0 && m.Agent.Heartbeat.FencingToken >= shard.FencingToken &&
		MessagePositionOf(m.Agent.Heartbeat).Valid(m.Agent.MinToken)
}

// RunsNothingPlaced reports whether, by the last report of the agent, none of the tasks that
// are placed on the machine runs there: each placed task has exited or is missing from the
// report.
func (m *Machine) RunsNothingPlaced() bool {
	for name := range m.Use.Slots {
		if status := m.Agent.Tasks[name]; status != nil && status.Phase != protocol.TaskExited {
			return false
		}
	}
	return true
}

// RunsTasks reports whether the agent reports any task that has not exited.
func (m *Machine) RunsTasks() bool {
	for _, task := range m.Agent.Tasks {
		if task.Phase != protocol.TaskExited {
			return true
		}
	}
	return false
}
