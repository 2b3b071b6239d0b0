package health

import "time"

// PauseDetector detects that the process did not run while clocks advanced: it was frozen
// by its host, or had no processor time. Every loop that runs several times a second calls
// Observe. The zero value is a process that has not been observed yet.
type PauseDetector struct {
	lastObserved, resumed time.Time
}

// PauseThreshold is the gap between two observations beyond which the process counts as
// having been paused.
const PauseThreshold = 2 * time.Second

// Observe records that the process runs now. It returns how long the process was paused
// before, 0 if it was not.
func (d *PauseDetector) Observe(now time.Time) time.Duration {
	gap := now.Sub(d.lastObserved)
	if d.lastObserved.IsZero() || gap < 0 {
		gap = 0
	}
	d.lastObserved = now
	if gap <= PauseThreshold {
		return 0
	}
	d.resumed = now
	return gap
}

// ResumedAt returns when the process last resumed after a pause, the zero time if it was
// never paused.
//
// Messages of machines and peers may have been missed during the pause. Their silence
// therefore counts from this instant, a call that was sent before it does not count as
// unanswered, and an elapsed time alone causes nothing irreversible until the others have
// had time to report.
func (d *PauseDetector) ResumedAt() time.Time { return d.resumed }

// Stable reports whether the process has run for longer than interval since it last resumed,
// so that a message has arrived from every peer that sends a message in each interval.
func (d *PauseDetector) Stable(now time.Time, interval time.Duration) bool {
	return now.Sub(d.resumed) > interval
}
