package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// CommandQueue holds the commands for a machine, which are sent in one call at a time.
type CommandQueue struct {
	Pending     []protocol.Command   // commands that are not sent yet
	Sending     bool                 // a call that sends commands to the machine is in progress
	InFlight    []protocol.Command   // the commands of the call in progress
	Unknown     []UnknownStart       // sent starts of which it is unknown whether the agent executed them
	Token       uint64               // the machine's own fencing token; 0: its shard's
	TokenSentAt time.Time            // when the token was last sent to void starts of unknown outcome
	StartTokens map[string]uint64    // by task: the token of its latest direct start, unless the agent has shown a higher one
	StartSentAt map[string]time.Time // by task: when a start was last sent
	StopSentAt  map[string]time.Time // by task: when a stop was last sent
}

// CommandCounts counts what was sent to the machines of a shard.
type CommandCounts struct {
	Starts, Stops, Reaps int
	TokenRaises          int // number of times that the token of one of the machines was raised
}

// Add counts commands that are sent.
func (c *CommandCounts) Add(commands []protocol.Command) {
	for _, command := range commands {
		switch command.Verb {
		case protocol.VerbStart:
			c.Starts++
		case protocol.VerbStop:
			c.Stops++
		case protocol.VerbReap:
			c.Reaps++
		}
	}
}

// UnknownStart is a start sent directly whose outcome is unknown. The network or a hanging
// machine may delay the command for minutes, and the agent still executes it if fencing token
// and agent epoch match. Until the machine shows a higher token or a later epoch, the attempt
// must not be reaped, since the late command would then start it again, and it must not count
// as gone.
type UnknownStart struct {
	Task         string
	Attempt      uint64
	FencingToken uint64
	AgentEpoch   uint64
	SentAt       time.Time
}

// HasUnconfirmedStart reports whether a start of a task's attempt may still be executed for the
// first time.
func (m *Machine) HasUnconfirmedStart(task string, attempt uint64) bool {
	return m.HasQueuedStart(task, attempt) ||
		slices.ContainsFunc(m.Commands.Unknown, func(start UnknownStart) bool { return start.Task == task && start.Attempt == attempt })
}

// HasQueuedStart reports whether a start of a task's attempt is queued or being sent.
func (m *Machine) HasQueuedStart(task string, attempt uint64) bool {
	isSameStart := func(command protocol.Command) bool {
		return command.Verb == protocol.VerbStart && command.Task == task && command.Attempt == attempt
	}
	return slices.ContainsFunc(m.Commands.Pending, isSameStart) || slices.ContainsFunc(m.Commands.InFlight, isSameStart)
}
