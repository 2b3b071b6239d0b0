package recovery

import "time"

// Pace spaces the passes over the work, so that they leave the processor to
// answers, however long one takes and however much happens.
type Pace struct {
	Share float64       // most of the time that passes may take
	Least time.Duration // between two passes
	Calm  time.Duration // the same when nothing urgent is new
	Most  time.Duration // a pass is never put off for longer
}

// Pause is how long to wait after a pass that took so long. When nothing urgent
// is new (no one waits for an answer within a second or so), passes take half of
// their share: what is gathered is looked at together.
func (p Pace) Pause(took time.Duration, urgent bool) time.Duration {
	share, least := p.Share, p.Least
	if !urgent {
		share, least = share/2, p.Calm
	}
	pause := time.Duration(float64(took) * (1 - share) / share)
	return max(least, min(pause, max(p.Most, 3*took)))
}
