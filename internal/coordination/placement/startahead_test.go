package placement

import (
	"testing"
	"time"
)

// A started array waits for its turn regardless of how long that takes; an array that has not
// started starts ahead of its turn once it has waited for maxWait.
func TestOnlyUnstartedArrayStartsAhead(t *testing.T) {
	const maxWait = 3 * time.Minute
	for _, c := range []struct {
		waited  time.Duration
		started bool
		want    bool
	}{{maxWait - time.Second, false, false}, {maxWait, false, true}, {time.Hour, false, true}, {time.Hour, true, false}} {
		if got := StartsAhead(c.waited, maxWait, c.started); got != c.want {
			t.Errorf("waited %v, started %v: starts ahead %v", c.waited, c.started, got)
		}
	}
}
