package health

import "time"

// Reachability is what direct calls and agent epochs show of whether a machine receives
// what is sent to it. A one-way partition lets a machine's heartbeats through while neither
// answers nor commands arrive there: the machine seems healthy until its lease expires.
// The zero value is a machine that was never called.
type Reachability struct {
	lastAnswer      time.Time // to a direct call
	lastFailure     time.Time // of a direct call
	lastNewEpoch    time.Time // when the agent epoch rose between heartbeats
	repeatedFailure bool      // a second call failed, and the machine was heard in between
}

// RecordAnswer records that the machine answered a direct call.
func (r *Reachability) RecordAnswer(now time.Time) { r.lastAnswer, r.repeatedFailure = now, false }

// RecordFailure records that the machine did not answer a direct call. lastContact is when
// the machine was last heard.
func (r *Reachability) RecordFailure(now, lastContact time.Time) {
	r.repeatedFailure = r.repeatedFailure || (r.lastFailure.After(r.lastAnswer) && lastContact.After(r.lastFailure))
	r.lastFailure = now
}

// RecordNewEpoch records that the agent epoch rose while the machine reported: no answer to
// its heartbeats has reached the machine for the length of a lease.
func (r *Reachability) RecordNewEpoch(now time.Time) { r.lastNewEpoch = now }

// Suspect reports whether the machine would most likely not receive a command now. A
// controller that is short of processor time suspects many machines.
func (r *Reachability) Suspect() bool { return r.repeatedFailure }

// CannotReceive reports whether the machine reports but does not receive: its lease has
// expired, and it has not answered a direct call since. This is inferred from missing
// answers, so it proves nothing about the machine's tasks.
func (r *Reachability) CannotReceive() bool {
	return r.lastNewEpoch.After(r.lastAnswer) && r.lastFailure.After(r.lastNewEpoch)
}

// reachabilityProbeInterval is the shortest time between two reachability probes of a
// machine.
const reachabilityProbeInterval = 2 * time.Second

// ShouldProbe reports whether to call the machine only to learn whether it receives: it has
// missed a call or lost its lease, and was heard since the missed call. lastContact is when
// the machine was last heard.
func (r *Reachability) ShouldProbe(now, lastContact time.Time) bool {
	inDoubt := r.lastFailure.After(r.lastAnswer) || r.lastNewEpoch.After(r.lastAnswer)
	return inDoubt && lastContact.After(r.lastFailure) && now.Sub(r.lastFailure) >= reachabilityProbeInterval
}

// CannotReport reports whether a machine's heartbeats do not arrive, though it may answer
// direct calls: none has arrived for half a lease, counted from actingSince if the owner
// has received heartbeats only since then. Only answers to heartbeats renew the machine's
// lease, so a task that starts there is lost when the lease expires.
func CannotReport(lastHeartbeat, actingSince, now time.Time, lease time.Duration) bool {
	if actingSince.After(lastHeartbeat) {
		lastHeartbeat = actingSince
	}
	return now.Sub(lastHeartbeat) > lease/2
}

// unreachableLeases is for how many leases a machine has to be unable to report before it
// is returned.
const unreachableLeases = 2

// Unreachable reports whether the machine has been unable to report (see CannotReport) for
// long enough to be returned.
func Unreachable(lastHeartbeat, actingSince, now time.Time, lease time.Duration) bool {
	return CannotReport(lastHeartbeat, actingSince, now.Add(-unreachableLeases*lease), lease)
}
