package recovery

import "time"

// Beat notices that a process stood still while clocks ran on: frozen by its
// host, or without processor time. Look is called by every loop that runs a few
// times a second.
type Beat struct {
	last, woke time.Time
}

// Still is a gap between two looks beyond which the process was not running.
const Still = 2 * time.Second

// Look notes that the process runs now. It returns how long the process stood
// still, 0 if it did not.
func (b *Beat) Look(now time.Time) time.Duration {
	gap := now.Sub(b.last)
	if b.last.IsZero() || gap < 0 {
		gap = 0
	}
	b.last = now
	if gap <= Still {
		return 0
	}
	b.woke = now
	return gap
}

// Woke is when the process last went on after standing still, or began.
//
// What it heard of others before then proves nothing of them now: their silence
// is its own. So silence counts from here, a question that was asked before does
// not count as unanswered, and nothing that cannot be taken back is done on the
// age of something alone until others had the time to speak.
func (b *Beat) Woke() time.Time { return b.woke }

// Settled tells that the process has run for long enough since it woke to have
// heard from whoever speaks every so often.
func (b *Beat) Settled(now time.Time, every time.Duration) bool { return now.Sub(b.woke) > every }
