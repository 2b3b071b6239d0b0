package failover

import (
	"testing"
	"time"
)

// The candidate with the fewest machines takes over first, and all controllers agree on the
// order.
func TestCandidateWithFewestMachinesTakesOverFirst(t *testing.T) {
	candidates := []Candidate{{"n2", 100}, {"n0", 300}, {"n1", 100}}
	for self, want := range map[string]time.Duration{"n1": 0, "n2": takeoverInterval, "n0": 2 * takeoverInterval} {
		if got := TakeoverDelay(self, candidates); got != want {
			t.Errorf("%s waits %v, wanted %v", self, got, want)
		}
	}
	if TakeoverDelay("gone", candidates) != 0 {
		t.Error("a controller that is not a candidate waits")
	}
}
