package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// CommandQueue holds the commands for a machine that are sent directly, in one call at a time, and
// the starts that were sent in the answers to its heartbeats.
type CommandQueue struct {
	Pending     []protocol.Command // stops and heartbeat requests that are not sent yet
	Sending     bool               // a call that sends commands to the machine is in progress
	InFlight    []protocol.Command // the commands of the call in progress
	Unknown     []UnknownStart     // sent starts of which it is unknown whether the agent executed them
	Request     HeartbeatRequest
	Token       uint64               // the machine's own fencing token; 0: its shard's
	TokenSentAt time.Time            // when the token was last sent to void starts of unknown outcome
	StopSentAt  map[string]time.Time // by task: when a stop was last sent
}

// CommandCounts counts what was sent to the machines of a shard.
type CommandCounts struct {
	Starts, Stops, Reaps int
	HeartbeatRequests    int
	TokenRaises          int // number of times that the token of one of the machines was raised
}

// Add counts commands that are sent.
func (c *CommandCounts) Add(commands []protocol.Command) {
	for i := range commands {
		switch command := &commands[i]; {
		case command.IsHeartbeatRequest():
			c.HeartbeatRequests++
		case command.Verb == protocol.VerbStart:
			c.Starts++
		case command.Verb == protocol.VerbStop:
			c.Stops++
		case command.Verb == protocol.VerbReap:
			c.Reaps++
		}
	}
}

// UnknownStart is a start sent in the answer to a heartbeat whose outcome is unknown. An agent has
// one heartbeat in flight at a time, and executes an answer when it arrives or drops it. So the
// outcome is known once a later heartbeat arrives, which is not the answer to a direct call, and
// also once any message shows a higher token or a later epoch, under which the agent drops the
// answer. Until then the attempt must not count as gone.
type UnknownStart struct {
	Task         string
	Attempt      uint64
	FencingToken uint64 // the token of the answer
	AgentEpoch   uint64 // agent epoch and sequence of the heartbeat that was answered
	Sequence     uint64
	SentAt       time.Time
}

// answerTimeout is the time after which an agent drops the answer to a heartbeat.
const answerTimeout = 4 * time.Second

// RecordAnsweredStarts records the starts in the answer to a heartbeat.
func (q *CommandQueue) RecordAnsweredStarts(starts []protocol.Command, token uint64, heartbeat *protocol.Heartbeat, now time.Time) {
	for _, start := range starts {
		q.Unknown = append(q.Unknown, UnknownStart{Task: start.Task, Attempt: start.Attempt, FencingToken: token, AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence, SentAt: now})
	}
}

// ForgetRefused drops the starts of unknown outcome whose answer the sender of a message has executed
// before or drops.
func (q *CommandQueue) ForgetRefused(message *protocol.Heartbeat) {
	q.Unknown = slices.DeleteFunc(q.Unknown, func(start UnknownStart) bool {
		return message.FencingToken > start.FencingToken || message.AgentEpoch > start.AgentEpoch
	})
}

// ForgetAnswered drops the starts of unknown outcome that were sent in answers to earlier
// heartbeats than the given one, which is not the answer to a direct call.
func (q *CommandQueue) ForgetAnswered(heartbeat *protocol.Heartbeat) {
	q.Unknown = slices.DeleteFunc(q.Unknown, func(start UnknownStart) bool {
		return heartbeat.AgentEpoch == start.AgentEpoch && heartbeat.Sequence > start.Sequence
	})
}

// highestUnknownToken returns the highest token of the starts of unknown outcome, or 0 if there are
// none.
func (q *CommandQueue) highestUnknownToken() uint64 {
	highest := uint64(0)
	for _, start := range q.Unknown {
		highest = max(highest, start.FencingToken)
	}
	return highest
}

// HasOverdueStart reports whether a start is of unknown outcome for longer than its agent waits for
// an answer, so that the agent seems unable to send heartbeats.
func (q *CommandQueue) HasOverdueStart(now time.Time) bool {
	return slices.ContainsFunc(q.Unknown, func(start UnknownStart) bool { return now.Sub(start.SentAt) > answerTimeout })
}

// HeartbeatRequest is the state of the direct requests that make an agent send its next heartbeat at
// once, so that the answer can carry starts.
type HeartbeatRequest struct {
	SentAt  time.Time // when a request was last sent that no heartbeat has followed; zero: none
	Attempt uint64    // the attempt that the latest request names
	Listed  uint64    // the refused attempt that the newest message lists; 0: none
}

// heartbeatRequestInterval is the time after which a request that no heartbeat has followed is sent
// again.
const heartbeatRequestInterval = 700 * time.Millisecond

// Next returns the attempt that a request sent now names, and reports whether to send one. A request
// that is sent again names the same attempt: the agent lists at most one for them.
func (r *HeartbeatRequest) Next(now time.Time) (uint64, bool) {
	if now.Sub(r.SentAt) <= heartbeatRequestInterval {
		return 0, false
	}
	if r.SentAt.IsZero() {
		r.Attempt = max(r.Attempt, r.Listed) + 1
	}
	r.SentAt = now
	return r.Attempt, true
}

// HasUnconfirmedStart reports whether it is unknown if a start that was sent of a task's attempt is
// executed.
func (m *Machine) HasUnconfirmedStart(task string, attempt uint64) bool {
	return slices.ContainsFunc(m.Commands.Unknown, func(start UnknownStart) bool { return start.Task == task && start.Attempt == attempt })
}
