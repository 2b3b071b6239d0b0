package health

import (
	"testing"
	"time"
)

// A gap between two observations that exceeds the threshold counts as a pause; a clock that
// steps back does not.
func TestPauseDetectorMeasuresPauses(t *testing.T) {
	at := time.Unix(1000, 0)
	var detector PauseDetector
	for _, step := range []struct {
		after, paused time.Duration
	}{{0, 0}, {300 * time.Millisecond, 0}, {sec, 0}, {30 * sec, 30 * sec}, {200 * time.Millisecond, 0}, {-5 * sec, 0}} {
		at = at.Add(step.after)
		if got := detector.Observe(at); got != step.paused {
			t.Fatalf("at %v: paused for %v, wanted %v", at, got, step.paused)
		}
	}
	resumed := time.Unix(1000, 0).Add(31300 * time.Millisecond)
	if !detector.ResumedAt().Equal(resumed) || detector.Stable(resumed.Add(2*sec), 2500*time.Millisecond) || !detector.Stable(resumed.Add(3*sec), 2500*time.Millisecond) {
		t.Fatal(detector.ResumedAt())
	}
}
