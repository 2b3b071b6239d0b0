package placement

import (
	"testing"
	"time"
)

// Best-effort work may use all free capacity except the warm reserve, and only a small share
// while other work waits.
func TestBestEffortIsLimitedToShareWhileOthersWait(t *testing.T) {
	for name, c := range map[string]struct {
		capacity BestEffortCapacity
		want     float64
	}{
		"an empty shard":                {BestEffortCapacity{Total: 400, Free: 400, WarmReserve: 40}, 360},
		"only the warm reserve is free": {BestEffortCapacity{Total: 400, Free: 40, WarmReserve: 40, InUse: 100}, 0},
		"only the warm reserve is free, no best-effort task runs": {BestEffortCapacity{Total: 400, Free: 40, WarmReserve: 40}, 20},
		"others wait":                              {BestEffortCapacity{Total: 400, Free: 100, Contended: true}, 20},
		"others wait, the share is used":           {BestEffortCapacity{Total: 400, Free: 100, InUse: 20, Contended: true}, 0},
		"others wait, little is free":              {BestEffortCapacity{Total: 400, Free: 3, Contended: true}, 3},
		"others wait, more than the share is used": {BestEffortCapacity{Total: 400, Free: 10, InUse: 300, Contended: true}, 0},
	} {
		if got := c.capacity.Available(0.05); got != c.want {
			t.Errorf("%s: got %v CPUs, want %v", name, got, c.want)
		}
	}
	if got := (BestEffortCapacity{Total: 400, Free: 41, WarmReserve: 40, InUse: 100}).MaxTasks(0.05, 0.25, true); got != 4 {
		t.Errorf("%d tasks of a quarter CPU may use one CPU", got)
	}
}

// On a small shard a best-effort task may be larger than the share, and the warm reserve may
// be all the free capacity. One task is granted nevertheless, so that no array waits forever.
func TestOneBestEffortTaskRunsOnSmallShard(t *testing.T) {
	capacity := BestEffortCapacity{Total: 8, Free: 2, WarmReserve: 1, Contended: true}
	if got := capacity.MaxTasks(0.05, 2, true); got != 1 {
		t.Errorf("got %d tasks although no best-effort task runs", got)
	}
	if capacity.InUse = 2; capacity.MaxTasks(0.05, 2, true) != 0 {
		t.Error("a second task is granted while other work waits")
	}
	if capacity.InUse = 400; capacity.MaxTasks(0.05, 2, false) != 1 {
		t.Error("a job that has not started is delayed by another best-effort job")
	}
}

// Machines are provisioned for normal arrays first, and for best-effort arrays up to a limit
// and without use of the warm reserve.
func TestArrayDemandOfBestEffortIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		normalDemand, bestEffortDemand, supply, warmReserve, total, normal, bestEffort float64
	}{
		"the supply serves all":                            {100, 50, 200, 0, 1000, 0, 0},
		"normal arrays first":                              {300, 50, 200, 0, 1000, 100, 50},
		"what normal arrays leave serves best-effort work": {100, 50, 130, 0, 1000, 0, 20},
		"best-effort demand far above its limit":           {100, 50000, 100, 0, 1000, 0, 150},
		"the warm reserve is not for best-effort work":     {0, 50, 40, 30, 1000, 0, 40},
	} {
		if normal, bestEffort := SplitArrayDemand(c.normalDemand, c.bestEffortDemand, c.supply, c.warmReserve, 0.15*c.total); normal != c.normal || bestEffort != c.bestEffort {
			t.Errorf("%s: %v CPUs for normal and %v for best-effort arrays", name, normal, bestEffort)
		}
	}
}

// A started array without a placed task counts as not started once maxUnplaced has passed,
// and as started until then.
func TestStartedArrayWithoutPlacedTasksCountsAsNotStarted(t *testing.T) {
	for _, c := range []struct {
		anyStarted  bool
		unplacedFor time.Duration
		want        bool
	}{{false, 0, false}, {true, 0, true}, {true, 10 * time.Second, true}, {true, 31 * time.Second, false}} {
		if got := HasStarted(c.anyStarted, c.unplacedFor); got != c.want {
			t.Errorf("started %v, unplaced for %v: %v", c.anyStarted, c.unplacedFor, got)
		}
	}
}
