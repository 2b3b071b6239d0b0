package health

import "time"

// Reachability records what direct calls and agent epochs show about whether a machine
// receives what is sent to it. In a one-way partition a machine's heartbeats arrive, while
// neither the answers to them nor commands reach the machine, so that the machine seems
// healthy until its lease expires.
// The zero value is a machine that was never called.
type Reachability struct {
	lastAnswer      time.Time // when the machine last answered a direct call
	lastFailure     time.Time // when a direct call to the machine last failed
	lastNewEpoch    time.Time // when the agent epoch last rose between two heartbeats
	repeatedFailure bool      // two calls failed since the last answer, with a message of the machine between them
}

// RecordAnswer records that the machine answered a direct call.
func (r *Reachability) RecordAnswer(now time.Time) { r.lastAnswer, r.repeatedFailure = now, false }

// RecordFailure records that the machine did not answer a direct call. lastContact is when
// the last message of the machine, a heartbeat or an answer, arrived.
func (r *Reachability) RecordFailure(now, lastContact time.Time) {
	r.repeatedFailure = r.repeatedFailure || (r.lastFailure.After(r.lastAnswer) && lastContact.After(r.lastFailure))
	r.lastFailure = now
}

// RecordNewEpoch records that the agent epoch rose between two heartbeats: the machine has
// received no answer to its heartbeats for the length of a lease.
func (r *Reachability) RecordNewEpoch(now time.Time) { r.lastNewEpoch = now }

// LikelyCannotReceive reports whether a command sent now would most likely not reach the
// machine. If the controller is short of processor time, this holds for many healthy
// machines.
func (r *Reachability) LikelyCannotReceive() bool { return r.repeatedFailure }

// CannotReceive reports whether the machine sends heartbeats but does not receive: its lease
// has expired, and since then a direct call has failed and no direct call was answered. The
// result is inferred from missing answers, so it does not prove that the machine's tasks have
// ended.
func (r *Reachability) CannotReceive() bool {
	return r.lastNewEpoch.After(r.lastAnswer) && r.lastFailure.After(r.lastNewEpoch)
}

// reachabilityProbeInterval is the shortest time between two reachability probes of a
// machine.
const reachabilityProbeInterval = 2 * time.Second

// ShouldProbe reports whether to call the machine only to find out whether the machine
// receives calls. This holds if a call failed or the machine's lease expired since its last
// answer, a message of the machine arrived after the last failed call, and
// reachabilityProbeInterval has passed since that call. lastContact is when the last message
// of the machine arrived.
func (r *Reachability) ShouldProbe(now, lastContact time.Time) bool {
	inDoubt := r.lastFailure.After(r.lastAnswer) || r.lastNewEpoch.After(r.lastAnswer)
	return inDoubt && lastContact.After(r.lastFailure) && now.Sub(r.lastFailure) >= reachabilityProbeInterval
}

// CannotReport reports whether a machine's heartbeats do not arrive, though it may answer
// direct calls: no heartbeat has arrived for half a lease, counted from actingSince if the
// owner has received heartbeats only since then. Only answers to heartbeats renew the
// machine's lease, so a task that starts there is lost when the lease expires.
func CannotReport(lastHeartbeat, actingSince, now time.Time, lease time.Duration) bool {
	if actingSince.After(lastHeartbeat) {
		lastHeartbeat = actingSince
	}
	return now.Sub(lastHeartbeat) > lease/2
}

// unreachableLeases is the number of leases for which a machine may be unable to report
// before it is returned.
const unreachableLeases = 2

// Unreachable reports whether the machine has been unable to report (see CannotReport) for
// long enough to be returned.
func Unreachable(lastHeartbeat, actingSince, now time.Time, lease time.Duration) bool {
	return CannotReport(lastHeartbeat, actingSince, now.Add(-unreachableLeases*lease), lease)
}
