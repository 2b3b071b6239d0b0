package health

import "time"

// PauseDetector notices that a process stood still while clocks ran on: frozen by its
// host, or without processor time. Look is called by every loop that runs a few
// times a second.
type PauseDetector struct {
	lastObserved, resumed time.Time
}

// PauseThreshold is a gap between two looks beyond which the process was not running.
const PauseThreshold = 2 * time.Second

// Observe notes that the process runs now. It returns how long the process stood
// still, 0 if it did not.
func (b *PauseDetector) Observe(now time.Time) time.Duration {
	gap := now.Sub(b.lastObserved)
	if b.lastObserved.IsZero() || gap < 0 {
		gap = 0
	}
	b.lastObserved = now
	if gap <= PauseThreshold {
		return 0
	}
	b.resumed = now
	return gap
}

// ResumedAt is when the process last went on after standing still, or began.
//
// What it heard of others before then proves nothing of them now: their silence
// is its own. So silence counts from here, a question that was asked before does
// not count as unanswered, and nothing that cannot be taken back is done on the
// age of something alone until others had the time to speak.
func (b *PauseDetector) ResumedAt() time.Time { return b.resumed }

// Stable tells that the process has run for long enough since it woke to have
// heard from whoever speaks every so often.
func (b *PauseDetector) Stable(now time.Time, every time.Duration) bool {
	return now.Sub(b.resumed) > every
}
