package placement

import (
	"testing"
	"time"
)

// What idle work may take: all that nobody needs, but the warm room; a small share
// while others wait.
func TestMay(t *testing.T) {
	for name, c := range map[string]struct {
		r    BestEffortCapacity
		want float64
	}{
		"an empty shard":                      {BestEffortCapacity{Total: 400, Free: 400, WarmReserve: 40}, 360},
		"only the warm room is free":          {BestEffortCapacity{Total: 400, Free: 40, WarmReserve: 40, InUse: 100}, 0},
		"it, and idle work has nothing yet":   {BestEffortCapacity{Total: 400, Free: 40, WarmReserve: 40}, 20},
		"others wait":                         {BestEffortCapacity{Total: 400, Free: 100, Contended: true}, 20},
		"others wait, it has its share":       {BestEffortCapacity{Total: 400, Free: 100, InUse: 20, Contended: true}, 0},
		"others wait, little is free":         {BestEffortCapacity{Total: 400, Free: 3, Contended: true}, 3},
		"it has much, others have come since": {BestEffortCapacity{Total: 400, Free: 10, InUse: 300, Contended: true}, 0},
	} {
		if got := c.r.Available(0.05); got != c.want {
			t.Errorf("%s: %v, wanted %v", name, got, c.want)
		}
	}
	if got := (BestEffortCapacity{Total: 400, Free: 41, WarmReserve: 40, InUse: 100}).MaxTasks(0.05, 0.25, true); got != 4 {
		t.Errorf("%d tasks of a quarter CPU in one CPU", got)
	}
}

// On a small shard an idle task is larger than the share, and the room that is free is
// the warm room: six schedules ended with idle arrays that had waited for ever.
func TestSmallShard(t *testing.T) {
	r := BestEffortCapacity{Total: 8, Free: 2, WarmReserve: 1, Contended: true}
	if got := r.MaxTasks(0.05, 2, true); got != 1 {
		t.Errorf("%d tasks where none runs", got)
	}
	if r.InUse = 2; r.MaxTasks(0.05, 2, true) != 0 {
		t.Error("more than one while others wait")
	}
	if r.InUse = 400; r.MaxTasks(0.05, 2, false) != 1 {
		t.Error("a tiny job waits behind another guest's hours of work")
	}
}

func TestRent(t *testing.T) {
	for name, c := range map[string]struct{ need, idle, have, warm, total, others, forIdle float64 }{
		"what is there serves all":             {100, 50, 200, 0, 1000, 0, 0},
		"others first":                         {300, 50, 200, 0, 1000, 100, 50},
		"what others leave serves idle work":   {100, 50, 130, 0, 1000, 0, 20},
		"a mountain of idle work rents little": {100, 50000, 100, 0, 1000, 0, 150},
		"the warm room is not for idle work":   {0, 50, 40, 30, 1000, 0, 40},
	} {
		if others, idle := SplitArrayDemand(c.need, c.idle, c.have, c.warm, 0.15*c.total); others != c.others || idle != c.forIdle {
			t.Errorf("%s: %v and %v", name, others, idle)
		}
	}
}

// An array that has begun and of which nothing runs has its turn again after a while; one
// that has not begun has it at once, one that runs does not need it.
func TestTurn(t *testing.T) {
	for _, c := range []struct {
		some  bool
		waits time.Duration
		want  bool
	}{{false, 0, false}, {true, 0, true}, {true, 10 * time.Second, true}, {true, 31 * time.Second, false}} {
		if got := HasStarted(c.some, c.waits); got != c.want {
			t.Errorf("begun %v, waits for %v: %v", c.some, c.waits, got)
		}
	}
}
