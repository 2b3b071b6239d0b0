package replica

import (
	"slices"
	"time"
)

// Starts are sent in answers to heartbeats, which an agent executes once or drops. If no later
// heartbeat arrives, a direct call under a higher token settles whether such an answer was executed:
// the agent drops it from then on, and the status in its reply lists what was begun before.
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
	v.RaiseToken(shard, machine, machine.Commands.highestUnknownToken())
	rose := machine.CommandToken(shard) > before
	if !rose && now.Sub(machine.Commands.TokenSentAt) < tokenResendInterval {
		return false
	}
	machine.Commands.TokenSentAt = now
	return true
}
