package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// A job that fails on every machine is retried after increasing pauses up to a maximum. A
// success of one of its tasks ends the backoff at once.
func TestRetryPausesGrowUntilSuccess(t *testing.T) {
	now := time.Unix(1000, 0)
	var j JobEvidence
	var pauses []time.Duration
	for i := range 9 {
		j.RecordFailure(fmt.Sprint("m", i), sec, 0.5, now)
		j.RecordFailure(fmt.Sprint("n", i), sec, 0.5, now) // a failure of the same attempt
		if !j.InBackoff(now) || j.InBackoff(j.retryAt) {
			t.Fatal("the next attempt is not delayed until exactly retryAt")
		}
		pauses = append(pauses, j.retryAt.Sub(now))
		now = j.retryAt
	}
	if got, want := fmt.Sprint(pauses), "[2s 4s 8s 16s 30s 30s 30s 30s 30s]"; got != want {
		t.Errorf("pauses %s, wanted %s", got, want)
	}
	if early, late := (&JobEvidence{}), (&JobEvidence{}); true {
		early.RecordFailure("a", sec, 0, now)
		late.RecordFailure("a", sec, 0.99, now)
		if late.retryAt.Sub(early.retryAt) < sec {
			t.Error("jobs that fail together are retried together")
		}
	}
	j.RecordSuccess(now)
	if j.InBackoff(now) || j.Verdict(now) != Healthy {
		t.Error("a job that succeeded is still in backoff")
	}
}
