package replica

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// A direct start that an agent has executed and answered may arrive at the agent again, minutes
// later. As long as the agent keeps the attempt, exited or not, the copy has no effect. Once the
// attempt is reaped, only a fencing token above that of the start refuses the copy.
//
// Each machine therefore has a token of its own, which is its shard's token or a higher one, and
// which rises without a write. Every revision at which a process is known to own a shard is a
// valid token: it is above the tokens of all earlier owners and below those of all later ones,
// who acquire the shard at a later revision.

// OwnedRevision returns the latest revision at which this process is known to own a shard, or 0
// if it does not own the shard.
func (v *View) OwnedRevision(shard *Shard) uint64 {
	if shard == nil || shard.FencingToken == 0 {
		return 0
	}
	return max(shard.FencingToken, v.Revision)
}

// CommandToken returns the fencing token of the messages that this process sends to a machine of
// a shard that it owns.
func (m *Machine) CommandToken(shard *Shard) uint64 {
	return max(shard.FencingToken, m.Commands.Token)
}

// RaiseToken makes the fencing token of a machine higher than a given one and reports whether it
// is. If this process is not known to own the shard at a higher revision, the shard needs a new
// token.
func (v *View) RaiseToken(shard *Shard, machine *Machine, above uint64) bool {
	if machine.CommandToken(shard) > above {
		return true
	}
	if v.OwnedRevision(shard) <= above {
		shard.RenewToken(RenewalNoRevision)
		return false
	}
	machine.Commands.Token = above + 1
	shard.Counts.TokenRaises++
	return true
}

// RecordStarts records the token under which starts are sent directly.
func (q *CommandQueue) RecordStarts(request *protocol.CommandRequest) {
	for _, command := range request.Commands {
		if command.Verb == protocol.VerbStart {
			q.StartTokens[command.Task] = request.FencingToken
		}
	}
}

// HighestStartToken returns the highest token under which a start was sent directly that the
// agent may still execute, or 0 if there is none.
func (q *CommandQueue) HighestStartToken() uint64 {
	highest := uint64(0)
	for _, token := range q.StartTokens {
		highest = max(highest, token)
	}
	return highest
}

// ForgetRefusedStarts drops the records of starts that an agent refuses which has received a
// token.
func (q *CommandQueue) ForgetRefusedStarts(received uint64) {
	maps.DeleteFunc(q.StartTokens, func(_ string, token uint64) bool { return token < received })
}

// tokenResendInterval is the time after which a token that voids starts of unknown outcome is
// sent again to a machine that has not shown it.
const tokenResendInterval = 3 * time.Second

// VoidUnknownStarts raises the token of a machine that has starts of unknown outcome, and reports
// whether to send the token now: once the machine reports it, these starts cannot be executed any
// more. The machine must have been in contact since such a start and must be likely to receive
// calls: otherwise it could not report the token.
func (v *View) VoidUnknownStarts(shard *Shard, machine *Machine, now time.Time) bool {
	hasContactSince := func(start UnknownStart) bool { return machine.Agent.LastContact.After(start.SentAt) }
	if machine.Detector.Reachability.LikelyCannotReceive() || !slices.ContainsFunc(machine.Commands.Unknown, hasContactSince) {
		return false
	}
	before := machine.CommandToken(shard)
	for _, start := range machine.Commands.Unknown {
		v.RaiseToken(shard, machine, start.FencingToken)
	}
	rose := machine.CommandToken(shard) > before
	if !rose && now.Sub(machine.Commands.TokenSentAt) < tokenResendInterval {
		return false
	}
	machine.Commands.TokenSentAt = now
	return true
}

// MayReap reports whether an exited attempt may be reaped in the answer to a heartbeat of its
// machine. The answer then carries a token above that of every direct start of the attempt, also
// of those whose outcome is unknown. The token does not rise while a call with commands is in
// progress, which the agent would refuse.
func (v *View) MayReap(shard *Shard, machine *Machine, task string, attempt uint64) bool {
	if machine.HasQueuedStart(task, attempt) {
		return false
	}
	sent := machine.Commands.StartTokens[task]
	if sent < machine.CommandToken(shard) {
		return true
	}
	return !machine.Commands.Sending && v.RaiseToken(shard, machine, sent)
}
