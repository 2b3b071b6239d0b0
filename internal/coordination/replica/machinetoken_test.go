package replica

import (
	"testing"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// ownedMachine returns a machine of a shard that this process acquired at revision 10, with a view
// that has reached a revision.
func ownedMachine(revision uint64) (*View, *Shard, *Machine) {
	view := &View{Shards: make(map[string]*Shard), Revision: revision}
	shard := view.Shard("n0")
	shard.FencingToken = 10
	machine := &Machine{Record: records.Machine{Shard: "n0"}}
	return view, shard, machine
}

// TestOneTokenVoidsAllEarlierStarts guards against a raise for each start of unknown outcome.
func TestOneTokenVoidsAllEarlierStarts(t *testing.T) {
	now := time.Now()
	view, shard, machine := ownedMachine(50)
	heartbeat := &protocol.Heartbeat{AgentEpoch: 1, Sequence: 5}
	for _, task := range []string{"wk-1/0", "wk-1/1", "wk-9/9"} {
		machine.Commands.RecordAnsweredStarts([]protocol.Command{protocol.StartCommand(task, 1)}, machine.CommandToken(shard), heartbeat, now)
	}
	machine.Agent.LastContact = now.Add(time.Second)
	if !view.VoidUnknownStarts(shard, machine, now.Add(time.Second)) {
		t.Error("the token is not to be sent")
	}
	if got := machine.CommandToken(shard); got != 11 || shard.Counts.TokenRaises != 1 {
		t.Errorf("token %d after %d raises, want 11 after one", got, shard.Counts.TokenRaises)
	}
}

// TestTokenStaysBelowNextOwners guards against a token that a later owner's could be below.
func TestTokenStaysBelowNextOwners(t *testing.T) {
	view, shard, machine := ownedMachine(12)
	for range 5 {
		view.RaiseToken(shard, machine, machine.CommandToken(shard))
	}
	if got := machine.CommandToken(shard); got > 12 {
		t.Errorf("token %d at revision 12", got)
	}
	if view.RaiseToken(shard, machine, machine.CommandToken(shard)) || shard.Renewal != RenewalNoRevision {
		t.Errorf("raised beyond the revision; renewal %q", shard.Renewal)
	}
	shard.FencingToken = 0
	if view.RaiseToken(shard, machine, 12) {
		t.Error("a token is raised without the shard")
	}
}

// TestUnknownStartRaisesTokenOnce guards against starts that may be executed after their placement counts as gone.
func TestUnknownStartRaisesTokenOnce(t *testing.T) {
	now := time.Now()
	view, shard, machine := ownedMachine(50)
	machine.Agent.LastContact = now
	machine.Commands.Unknown = []UnknownStart{{Task: "wk-1/0", Attempt: 1, FencingToken: 10, AgentEpoch: 1, SentAt: now.Add(-time.Second)}}
	if !machine.HasUnconfirmedStart("wk-1/0", 1) || machine.HasUnconfirmedStart("wk-1/0", 2) {
		t.Error("the start of unknown outcome counts for the wrong attempt")
	}
	first, second := view.VoidUnknownStarts(shard, machine, now), view.VoidUnknownStarts(shard, machine, now.Add(time.Second))
	later := view.VoidUnknownStarts(shard, machine, now.Add(tokenResendInterval))
	if !first || second || !later || machine.CommandToken(shard) != 11 {
		t.Errorf("sent %v, then %v, later %v, at last %d", first, second, later, machine.CommandToken(shard))
	}
}

// TestNoTokenForMachineThatLikelyCannotReceive guards against tokens that the machine cannot report.
func TestNoTokenForMachineThatLikelyCannotReceive(t *testing.T) {
	now := time.Now()
	view, shard, machine := ownedMachine(50)
	machine.Commands.Unknown = []UnknownStart{{Task: "wk-1/0", Attempt: 1, FencingToken: 10, AgentEpoch: 1, SentAt: now.Add(-3 * time.Second)}}
	machine.Detector.Reachability.RecordFailure(now.Add(-2*time.Second), now.Add(-4*time.Second))
	machine.Agent.LastContact = now.Add(-time.Second)
	machine.Detector.Reachability.RecordFailure(now, machine.Agent.LastContact)
	if view.VoidUnknownStarts(shard, machine, now) || machine.CommandToken(shard) != 10 {
		t.Errorf("the token rose to %d", machine.CommandToken(shard))
	}
}
