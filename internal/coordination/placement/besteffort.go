package placement

import (
	"math"
	"time"
)

// BestEffortCapacity describes the capacity of a shard, in CPUs, during one pass over the
// shard's queue.
type BestEffortCapacity struct {
	Total       float64 // CPUs of the machines in use
	Free        float64 // unused CPUs of usable machines
	WarmReserve float64 // part of Free that is kept for services that are about to start
	InUse       float64 // CPUs that best-effort tasks use
	Contended   bool    // other work waits for capacity
}

// Available returns how many more CPUs best-effort work may use now. share, from 0 to 1, is
// the part of Total that best-effort work may use even while other work waits, as far as
// that part is free. While no other work waits, best-effort work may use all free capacity
// except the warm reserve, or the free part of its remaining share if that is more.
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

// MaxTasks returns how many tasks of the given CPUs may start in the available capacity. The
// result is at least 1 where no best-effort task runs: on a small shard the share may be
// less than one task, and all free capacity may belong to the warm reserve forever. The
// result is also at least 1 for a job that has not started, which prevents one job with hours
// of work from delaying the small jobs queued behind it. Tasks without CPUs are not limited.
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

// maxUnplaced is how long a started job may wait with none of its tasks placed before the job
// counts as not started. The job is then granted one task even if other jobs of its priority
// use the whole share.
const maxUnplaced = 30 * time.Second

// HasStarted reports whether a job counts as started for MaxTasks: some of its tasks have
// started, and the job has had no placed task for less than maxUnplaced. The share may be as
// small as one task; the bound prevents an array with hours of work from blocking another
// started array although capacity is free.
func HasStarted(anyStarted bool, unplacedFor time.Duration) bool {
	return anyStarted && unplacedFor < maxUnplaced
}

// SplitArrayDemand returns how many more CPUs should be provisioned for normal and for
// best-effort arrays. normalDemand and bestEffortDemand are the CPUs with which the arrays
// would complete in time. supply is the CPUs that run arrays or are free; best-effort arrays
// leave warmReserve of the supply free. Machines are provisioned for best-effort arrays last,
// and for at most bestEffortLimit CPUs of their demand, since best-effort arrays are meant to
// use the capacity that other work leaves.
func SplitArrayDemand(normalDemand, bestEffortDemand, supply, warmReserve, bestEffortLimit float64) (normal, bestEffort float64) {
	normal = max(0, normalDemand-supply)
	bestEffortDemand = min(bestEffortDemand, bestEffortLimit)
	return normal, max(0, normalDemand+bestEffortDemand-max(0, supply-warmReserve)-normal)
}
