package placement

import (
	"testing"
	"time"
)

// One that has begun waits for its turn, however long; one that has not is given the
// time in which its turn may come.
func TestAhead(t *testing.T) {
	const by = 3 * time.Minute
	for _, c := range []struct {
		waited time.Duration
		begun  bool
		want   bool
	}{{by - time.Second, false, false}, {by, false, true}, {time.Hour, false, true}, {time.Hour, true, false}} {
		if got := StartsAhead(c.waited, by, c.begun); got != c.want {
			t.Errorf("waited %v, begun %v: %v", c.waited, c.begun, got)
		}
	}
}
