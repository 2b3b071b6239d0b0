package placement

import (
	"math"
	"time"
)

// BestEffortCapacity is a shard's room, in CPUs, as one pass over its queue sees it.
type BestEffortCapacity struct {
	Total       float64 // of its machines in use
	Free        float64
	WarmReserve float64 // of the free room, kept for services that are about to come
	InUse       float64 // what idle work has placed
	Contended   bool    // other work waits for room
}

// Available is how many CPUs idle work may begin to use now. share is the part of the room
// that is its own whoever else waits, as far as it is free.
func (r BestEffortCapacity) Available(share float64) float64 {
	own := share*r.Total - r.InUse
	if r.Contended {
		return max(0, min(own, r.Free))
	}
	return max(0, min(own, r.Free), r.Free-r.WarmReserve)
}

// MaxTasks is how many tasks of so many CPUs that makes. Where nothing idle runs it is one
// at least: on a small shard the share is less than a task, and what is free may be no
// more than the warm room for ever. So it is for work of which nothing has begun yet:
// one guest's hours of work in front of it kept 800 jobs of one task waiting for minutes.
func (r BestEffortCapacity) MaxTasks(share, cpus float64, begun bool) int {
	if cpus <= 0 {
		return math.MaxInt32
	}
	k := int(min(r.Available(share)/cpus+1e-6, math.MaxInt32))
	if r.InUse == 0 || !begun {
		return max(k, 1)
	}
	return k
}

// bestEffortTurn is how long work that has begun waits with none of its tasks on a machine before
// it counts as if it had not: then one more begins, beside what others of its rank have.
const bestEffortTurn = 30 * time.Second

// HasStarted tells whether work counts as begun: some of it has, and it has not waited for long
// with none of its tasks placed. First come, first served in a share of one task kept an
// array that had begun waiting behind another's hours, beside free room.
func HasStarted(some bool, waits time.Duration) bool { return some && waits < bestEffortTurn }

// SplitArrayDemand is how many CPUs more should be rented for arrays. need and idleNeed are the
// CPUs with which others' and idle arrays would be worked off in time, have is what
// runs arrays or is free, of which idle work leaves warm alone. Idle work is rented for
// last, and never more than most, however much of it there is: it borrows.
func SplitArrayDemand(need, idleNeed, have, warm, most float64) (others, idle float64) {
	others = max(0, need-have)
	idleNeed = min(idleNeed, most)
	return others, max(0, need+idleNeed-max(0, have-warm)-others)
}
