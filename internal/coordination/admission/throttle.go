package admission

import "time"

// Throttle determines the pauses between the passes of a loop, so that requests are answered
// between passes regardless of how long a pass takes and how often a pass is due.
type Throttle struct {
	MaxShare  float64       // largest share of time that passes take, above 0 and up to 1
	MinPause  time.Duration // shortest pause between two passes if the next pass is urgent
	IdlePause time.Duration // shortest pause between two passes if the next pass is not urgent
	MaxPause  time.Duration // longest pause between two passes, unless three times the last pass's duration is longer
}

const (
	// idleShareDivisor divides MaxShare while nothing urgent waits.
	idleShareDivisor = 2
	// maxPausePasses bounds the pause as a multiple of the duration of the preceding pass, if
	// that multiple is longer than MaxPause.
	maxPausePasses = 3
)

// Pause returns the pause after a pass that ran for took. While nothing urgent waits (no
// client expects an answer within about a second), the pause is computed with half of
// MaxShare. The passes are then rarer, and each of them processes more changes.
func (t Throttle) Pause(took time.Duration, urgent bool) time.Duration {
	share, shortest := t.MaxShare, t.MinPause
	if !urgent {
		share, shortest = share/idleShareDivisor, t.IdlePause
	}
	pause := time.Duration(float64(took) * (1 - share) / share)
	longest := max(t.MaxPause, maxPausePasses*took)
	return max(shortest, min(pause, longest))
}
