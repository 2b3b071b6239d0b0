package admission

import "time"

// Throttle spaces the passes over the work, so that they leave the processor to
// answers, however long one takes and however much happens.
type Throttle struct {
	MaxShare  float64       // most of the time that passes may take
	MinPause  time.Duration // between two passes
	IdlePause time.Duration // the same when nothing urgent is new
	MaxPause  time.Duration // a pass is never put off for longer
}

// Pause is how long to wait after a pass that took so long. When nothing urgent
// is new (no one waits for an answer within a second or so), passes take half of
// their share: what is gathered is looked at together.
func (p Throttle) Pause(took time.Duration, urgent bool) time.Duration {
	share, least := p.MaxShare, p.MinPause
	if !urgent {
		share, least = share/2, p.IdlePause
	}
	pause := time.Duration(float64(took) * (1 - share) / share)
	return max(least, min(pause, max(p.MaxPause, 3*took)))
}
