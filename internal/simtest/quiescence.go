package simtest

import (
	"cmp"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

const (
	quiescenceSpare = 60              // least number of machines that the cloud has for unplaced tasks once all faults have ended
	settledWithin   = 6 * time.Minute // time until every accepted job has ended, or runs if it is a service
	emptyWithin     = 6 * time.Minute // time from the cancellation of the endless jobs until nothing of the jobs is left
	checkInterval   = 5 * time.Second
	// answeredWithin is the longest time after all faults have ended that may pass without an
	// answered query about a job. Beyond it the job counts as forgotten, even if queries about
	// other jobs are answered.
	answeredWithin = 75 * time.Second
	// placedWithin is the longest time after all faults have ended for which a job may stay
	// unplaced although suitable machines have capacity and its team is below its limit.
	placedWithin = 90 * time.Second
)

// quiescence is the state of the checks after all faults have ended.
type quiescence struct {
	faultsEndedAt time.Time            // when all faults ended
	rounds        int                  // rounds of queries about all jobs since all faults ended
	lastAnswered  map[string]time.Time // by job ID, when a query was last answered
}

// checkQuiescence ends all faults, starts all controllers and checks that the cluster settles.
// Every accepted job must become final at every controller, or run if it is a service. After
// the services and the failing jobs are cancelled, no state of any job may be left.
func (c *cluster) checkQuiescence() error {
	c.world.EndFaults(quiescenceSpare)
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			return err
		}
	}
	c.quiescence.faultsEndedAt = time.Now()
	time.Sleep(checkInterval)
	c.users.Wait() // users repeat a request for at most a minute
	if err := c.eventually(settledWithin, c.checkSettled); err != nil {
		return err
	}
	if err := c.cancelEndless(); err != nil {
		return err
	}
	return c.eventually(emptyWithin, c.checkNothingLeft)
}

// cancelEndless cancels the jobs that never end by themselves: services, and jobs whose tasks
// always fail.
func (c *cluster) cancelEndless() error {
	for _, job := range c.world.Accepted() {
		if !job.Fails && job.Shape != protocol.ShapeService {
			continue
		}
		if got := c.world.RequestUntilAnswered(c.names[0], func(node string) int { return c.world.Cancel(node, job.Ref) }); got != 200 {
			return checkErrorf("unanswered", "the cancellation of %s got %d after quiescence", job.Ref, got)
		}
	}
	return nil
}

// eventually repeats a check until it succeeds, and returns its last error if it does not
// succeed within the time given. Each round also runs checkAlways. An error of checkAlways, a
// failure recorded by fail or a broken rule ends the repetition at once.
func (c *cluster) eventually(within time.Duration, check func() error) error {
	deadline := time.Now().Add(within)
	for {
		if err := c.checkAlways(); err != nil {
			return err // waiting cannot make these invariants hold again
		}
		err := check()
		if failure := c.firstFailure(); failure != nil {
			return failure
		}
		if err == nil || time.Now().After(deadline) || len(c.world.Violations()) > 0 {
			return err
		}
		time.Sleep(checkInterval)
	}
}

// checkAlways checks the invariants that hold at every moment after all faults have ended. All
// checks run even if an earlier one fails, and the first error is returned.
func (c *cluster) checkAlways() error {
	return cmp.Or(c.checkOneShardPerMachine(), c.recount(), c.checkAnswered(), c.checkNoneUnplaced())
}

// checkNoneUnplaced checks that no job stays unplaced for longer than placedWithin although
// there is capacity for it.
func (c *cluster) checkNoneUnplaced() error {
	if jobs := c.world.UnplacedLongerThan(placedWithin); len(jobs) > 0 {
		return checkErrorf("waits", "%s unplaced for %v although machines have capacity", strings.Join(jobs, ", "), placedWithin)
	}
	return nil
}

// checkAnswered queries the status of every accepted job, in each round at another controller.
// It returns an error for a job without a successful query for longer than answeredWithin.
func (c *cluster) checkAnswered() error {
	q := &c.quiescence
	q.rounds++
	for i, job := range c.world.Accepted() {
		if status, _ := c.world.Query(c.names[(q.rounds+i)%len(c.names)], job.Ref); status == 200 {
			q.lastAnswered[job.Ref] = time.Now()
		}
		last := q.lastAnswered[job.Ref]
		if last.Before(q.faultsEndedAt) {
			last = q.faultsEndedAt
		}
		if unansweredFor := time.Since(last); unansweredFor > answeredWithin {
			return checkErrorf("forgotten", "no query about %s was answered for %v after all faults had ended", job.Ref, unansweredFor.Round(time.Second))
		}
	}
	return nil
}

// checkOneShardPerMachine checks that each machine stays in one shard for its lifetime. The
// owners of two shards would both place tasks on the machine.
func (c *cluster) checkOneShardPerMachine() error {
	shardOf := make(map[string]string)
	var err error
	c.records().eachProvisioned(func(key, host, shard string) {
		if other := shardOf[host]; other != "" && other != shard && err == nil {
			err = checkErrorf("two_shards", "%s is in %s and, according to the record %s, in %s", host, other, key, shard)
		}
		shardOf[host] = shard
	})
	return err
}

// checkSettled checks that every accepted job is final at every controller, or has all of its
// replicas running if it is a service. A job whose tasks always fail, and an array or gang that
// depends on a job that never ends, may instead be final at no controller.
func (c *cluster) checkSettled() error {
	for _, job := range c.world.Accepted() {
		final, err := c.finalAnswers(job.Ref)
		if err != nil {
			return err
		}
		isService := job.Shape == protocol.ShapeService
		switch {
		case final == len(c.names):
		case final == 0 && c.world.Endless(job.Ref) && !isService:
		case final > 0 || (!isService && !job.Fails):
			return checkErrorf("not_final", "%s is final at %d controllers after quiescence", job.Ref, final)
		case !job.Fails:
			if got := c.world.Running(job.Ref); got != job.Tasks {
				return checkErrorf("not_running", "%d of %d replicas of %s run after quiescence", got, job.Tasks, job.Ref)
			}
		}
	}
	return nil
}

// finalAnswers queries every controller for a job and counts those that report a final phase.
// It returns an error if a controller does not answer.
func (c *cluster) finalAnswers(jobID string) (count int, err error) {
	for _, name := range c.names {
		status, answer := c.world.Query(name, jobID)
		if status != 200 {
			return 0, checkErrorf("not_answered", "%s answers %d for %s after quiescence", name, status, jobID)
		}
		if answer.Phase == protocol.JobDone || answer.Phase == protocol.JobCancelled {
			count++
		}
	}
	return count, nil
}
