package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// CommandQueue is what is sent to a machine, one call at a time.
type CommandQueue struct {
	Pending     []protocol.Command   // not sent yet
	Sending     bool                 // a call is in progress
	InFlight    []protocol.Command   // in that call
	Unknown     []UnknownStart       // starts of unknown outcome
	StartSentAt map[string]time.Time // by task: when a start was last sent
	StopSentAt  map[string]time.Time // by task: when a stop was last sent
}

// UnknownStart is a start sent directly whose outcome is unknown. The network or a machine
// that hangs may delay it for minutes and then execute it, as long as fencing token and
// agent epoch still match. Until the machine shows a higher token or a later epoch, the
// agent must not forget the attempt, since the late command would then start it again, nor
// may the attempt count as gone.
type UnknownStart struct {
	Task         string
	Attempt      uint64
	FencingToken uint64
	AgentEpoch   uint64
	SentAt       time.Time
}

// HasUnconfirmedStart reports whether a start of this attempt may still be executed.
func (m *Machine) HasUnconfirmedStart(task string, attempt uint64) bool {
	same := func(command protocol.Command) bool {
		return command.Verb == protocol.VerbStart && command.Task == task && command.Attempt == attempt
	}
	return slices.ContainsFunc(m.Commands.Pending, same) || slices.ContainsFunc(m.Commands.InFlight, same) ||
		slices.ContainsFunc(m.Commands.Unknown, func(start UnknownStart) bool { return start.Task == task && start.Attempt == attempt })
}
