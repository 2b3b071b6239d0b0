package admission

import "time"

// Throttle spaces the passes of a loop, so that requests are answered between them however
// long a pass takes and however often one is due.
type Throttle struct {
	MaxShare  float64       // largest part of the time that passes take, above 0 and up to 1
	MinPause  time.Duration // shortest pause between two passes if the next one is urgent
	IdlePause time.Duration // shortest pause otherwise
	MaxPause  time.Duration // longest pause after passes of up to a third of it
}

const (
	// idleShareDivisor divides MaxShare while nothing urgent waits.
	idleShareDivisor = 2
	// maxPausePasses bounds the pause after a long pass, in durations of that pass.
	maxPausePasses = 3
)

// Pause returns how long to wait after a pass that took so long. While nothing urgent waits
// (no client expects an answer within about a second), passes take half of their share, so
// that more changes are processed together.
func (t Throttle) Pause(took time.Duration, urgent bool) time.Duration {
	share, shortest := t.MaxShare, t.MinPause
	if !urgent {
		share, shortest = share/idleShareDivisor, t.IdlePause
	}
	pause := time.Duration(float64(took) * (1 - share) / share)
	longest := max(t.MaxPause, maxPausePasses*took)
	return max(shortest, min(pause, longest))
}
