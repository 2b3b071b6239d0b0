package health

import (
	"testing"
	"time"
)

// A machine that sends heartbeats and does not receive is distinguished from one that hung
// for longer than its lease, and from the many healthy machines that answer too late while
// the controller is short of processor time.
func TestReachabilityDetectsMachinesThatCannotReceive(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * sec) }
	for name, c := range map[string]struct {
		record                             func(r *Reachability)
		likelyCannotReceive, cannotReceive bool
	}{
		"one call is lost": {func(r *Reachability) { r.RecordAnswer(at(1)); r.RecordFailure(at(5), at(4)) }, false, false},
		"two calls are lost, a message arrived in between": {func(r *Reachability) {
			r.RecordAnswer(at(1))
			r.RecordFailure(at(5), at(4))
			r.RecordFailure(at(9), at(7))
		}, true, false},
		"two calls are lost, no message arrived in between": {func(r *Reachability) {
			r.RecordAnswer(at(1))
			r.RecordFailure(at(5), at(4))
			r.RecordFailure(at(9), at(4))
		}, false, false},
		"its lease expired, it was not probed since": {func(r *Reachability) { r.RecordFailure(at(5), at(4)); r.RecordNewEpoch(at(30)) }, false, false},
		"its lease expired, and it does not answer": {func(r *Reachability) {
			r.RecordFailure(at(5), at(4))
			r.RecordNewEpoch(at(30))
			r.RecordFailure(at(32), at(31))
		}, true, true},
		"it hung, and answers": {func(r *Reachability) { r.RecordFailure(at(5), at(4)); r.RecordNewEpoch(at(30)); r.RecordAnswer(at(31)) }, false, false},
		"it receives again": {func(r *Reachability) {
			r.RecordNewEpoch(at(30))
			r.RecordFailure(at(32), at(31))
			r.RecordAnswer(at(40))
		}, false, false},
	} {
		var r Reachability
		c.record(&r)
		if r.LikelyCannotReceive() != c.likelyCannotReceive || r.CannotReceive() != c.cannotReceive {
			t.Errorf("%s: likely cannot receive %v, cannot receive %v", name, r.LikelyCannotReceive(), r.CannotReceive())
		}
	}
	var r Reachability
	if r.RecordAnswer(at(1)); r.ShouldProbe(at(29), at(28)) {
		t.Error("probed though it answered its last call")
	}
	r.RecordNewEpoch(at(30))
	if !r.ShouldProbe(at(31), at(30)) {
		t.Error("not probed once its agent epoch has risen")
	}
	if r.RecordFailure(at(32), at(31)); r.ShouldProbe(at(33), at(33)) || !r.ShouldProbe(at(35), at(33)) {
		t.Error("probed again before the probe interval has passed, or not after it")
	}
}

// A machine that answers direct calls while its heartbeats do not arrive loses its tasks with
// each lease. It counts as unable to report after half a lease without a heartbeat, and as
// unreachable after two more leases. Only time in which the machine's owner could receive
// heartbeats counts: not the time before a takeover or during a pause of the process.
func TestMachineWithoutHeartbeatsBecomesUnreachable(t *testing.T) {
	const lease = 12 * time.Second
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		lastHeartbeat, actingSince time.Duration // time before the check
		cannotReport, unreachable  bool
	}{
		{5 * time.Second, time.Hour, false, false},
		{7 * time.Second, time.Hour, true, false},
		{29 * time.Second, time.Hour, true, false},
		{31 * time.Second, time.Hour, true, true},
		{time.Hour, 5 * time.Second, false, false},
		{time.Hour, 31 * time.Second, true, true},
	} {
		lastHeartbeat, actingSince := now.Add(-c.lastHeartbeat), now.Add(-c.actingSince)
		if cannotReport, unreachable := CannotReport(lastHeartbeat, actingSince, now, lease), Unreachable(lastHeartbeat, actingSince, now, lease); cannotReport != c.cannotReport || unreachable != c.unreachable {
			t.Errorf("last heartbeat %v ago, owner acting for %v: cannot report %v, unreachable %v", c.lastHeartbeat, c.actingSince, cannotReport, unreachable)
		}
	}
}
