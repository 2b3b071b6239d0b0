package health

import "time"

// Reachability is whether a machine hears what is sent to it. One may report and hear
// neither answers nor commands: it seems well while its lease runs out.
type Reachability struct {
	answered, failed time.Time // direct calls
	newEpoch         time.Time // its session, while it reported
	failedTwice      bool      // it left a second call unanswered, and was heard in between
}

// RecordAnswer notes that it answered a direct call.
func (h *Reachability) RecordAnswer(now time.Time) { h.answered, h.failedTwice = now, false }

// RecordFailure notes that it did not answer one, and when it was last heard.
func (h *Reachability) RecordFailure(now, heard time.Time) {
	h.failedTwice = h.failedTwice || (h.failed.After(h.answered) && heard.After(h.failed))
	h.failed = now
}

// RecordNewEpoch notes that its session has risen: no answer to its reports has reached it for
// the length of a lease.
func (h *Reachability) RecordNewEpoch(now time.Time) { h.newEpoch = now }

// Suspect tells that it would not hear a command now, most likely. A controller that
// lacks processor time doubts many.
func (h *Reachability) Suspect() bool { return h.failedTwice }

// CannotReceive tells that it reports and does not hear: its lease has run out, and it answers no
// call since. It was told from what was not answered, so it proves nothing.
func (h *Reachability) CannotReceive() bool {
	return h.newEpoch.After(h.answered) && h.failed.After(h.newEpoch)
}

// reachabilityProbeInterval is how far apart a machine is asked whether it hears.
const reachabilityProbeInterval = 2 * time.Second

// ShouldProbe tells whether to ask a machine for this alone: it left a call unanswered or lost
// its lease, and has been heard since.
func (h *Reachability) ShouldProbe(now, heard time.Time) bool {
	return (h.failed.After(h.answered) || h.newEpoch.After(h.answered)) && heard.After(h.failed) && now.Sub(h.failed) >= reachabilityProbeInterval
}

// CannotReport tells that a machine's reports do not arrive, while it may well answer direct
// calls: none has for half a lease of those that its owner has been there to hear.
// Answers to reports alone renew its lease, so what begins there is lost with it.
func CannotReport(reported, acting, now time.Time, lease time.Duration) bool {
	if acting.After(reported) {
		reported = acting
	}
	return now.Sub(reported) > lease/2
}

// Unreachable tells that it has been so for long enough to be given back.
func Unreachable(reported, acting, now time.Time, lease time.Duration) bool {
	return CannotReport(reported, acting, now.Add(-2*lease), lease)
}
