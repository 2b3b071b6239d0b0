package placement

import (
	"math"
	"time"
)

// BestEffortCapacity is the capacity of a shard, in CPUs, as one pass over its queue sees it.
type BestEffortCapacity struct {
	Total       float64 // of the machines in use
	Free        float64 // not used by any task
	WarmReserve float64 // of the free capacity, kept for services that are about to start
	InUse       float64 // used by best-effort tasks
	Contended   bool    // other work waits for capacity
}

// Available returns how many CPUs best-effort work may start to use now. share, from 0 to 1,
// is the part of the total that best-effort work may use even while other work waits, as
// far as it is free. While none waits it may use all that is free but the warm reserve, or
// the rest of its share where that is more.
func (c BestEffortCapacity) Available(share float64) float64 {
	remainingShare := share*c.Total - c.InUse
	if c.Contended {
		return max(0, min(remainingShare, c.Free))
	}
	return max(0, min(remainingShare, c.Free), c.Free-c.WarmReserve)
}

// roundingTolerance is added to a number of tasks before it is rounded down, so that a
// quotient just below a whole number counts as that number.
const roundingTolerance = 1e-6

// MaxTasks returns how many tasks of so many CPUs may start in the available capacity. It is
// at least 1 where no best-effort task runs: on a small shard the share may be less than a
// task, and what is free no more than the warm reserve for ever. It is also at least 1 for a
// job of which nothing has started yet, which prevents one job with hours of work from
// keeping small jobs behind it waiting. Tasks without CPUs are not limited.
func (c BestEffortCapacity) MaxTasks(share, cpus float64, started bool) int {
	if cpus <= 0 {
		return math.MaxInt32
	}
	tasks := int(min(c.Available(share)/cpus+roundingTolerance, math.MaxInt32))
	if c.InUse == 0 || !started {
		return max(tasks, 1)
	}
	return tasks
}

// maxUnplaced is how long a started job waits with none of its tasks placed before it counts
// as not started. It is then granted one more task beside the jobs of its priority.
const maxUnplaced = 30 * time.Second

// HasStarted reports whether a job counts as started for MaxTasks: some of its tasks have
// started, and it has not been without a placed task for long. The share may be as small as
// one task; the bound prevents one array's hours of work from keeping another started array
// waiting beside free capacity.
func HasStarted(anyStarted bool, unplacedFor time.Duration) bool {
	return anyStarted && unplacedFor < maxUnplaced
}

// SplitArrayDemand returns how many more CPUs should be provisioned for normal and for
// best-effort arrays. normalDemand and bestEffortDemand are the CPUs with which the arrays
// would complete in time. supply is the CPUs that run arrays or are free; best-effort arrays
// leave warmReserve of it free. They are provisioned for last, and for at most
// bestEffortLimit however much of them waits, since they are meant to use what others leave.
func SplitArrayDemand(normalDemand, bestEffortDemand, supply, warmReserve, bestEffortLimit float64) (normal, bestEffort float64) {
	normal = max(0, normalDemand-supply)
	bestEffortDemand = min(bestEffortDemand, bestEffortLimit)
	return normal, max(0, normalDemand+bestEffortDemand-max(0, supply-warmReserve)-normal)
}
