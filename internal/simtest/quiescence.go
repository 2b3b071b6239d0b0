package simtest

import (
	"cmp"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

const (
	quiescenceSpare = 60              // machines the cloud has for what still waits
	settledWithin   = 6 * time.Minute // everything accepted is over, or runs, by then
	emptyWithin     = 6 * time.Minute // and after that nothing is left of it
	checkInterval   = 5 * time.Second
	// Once all faults are over a job about which no question is answered for so long
	// is forgotten, however others fare.
	answeredWithin = 75 * time.Second
	// And then no job waits for so long while a machine that fits has room and its team
	// is under its limit.
	placedWithin = 90 * time.Second
)

// quiescence is what the checks keep from the end of all faults on.
type quiescence struct {
	since    time.Time
	rounds   int                  // of questions since
	answered map[string]time.Time // by job, when a question was last answered
}

// checkQuiescence ends all faults and checks what must be so some time later: what was
// accepted is final or runs, every controller says the same, and once all is over nothing
// of it is left anywhere.
func (c *cluster) checkQuiescence() error {
	c.world.EndFaults(quiescenceSpare)
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			return err
		}
	}
	c.quiescence.since = time.Now()
	time.Sleep(checkInterval)
	c.users.Wait() // no user insists for longer than a minute
	if err := c.eventually(settledWithin, c.checkSettled); err != nil {
		return err
	}
	if err := c.cancelEndless(); err != nil {
		return err
	}
	return c.eventually(emptyWithin, c.checkNothingLeft)
}

// cancelEndless cancels what does not end by itself: services and broken jobs.
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

// eventually repeats a check until it holds, and returns why it does not in time. What
// must hold at every moment is checked each time too.
func (c *cluster) eventually(within time.Duration, check func() error) error {
	deadline := time.Now().Add(within)
	for {
		if err := c.checkAlways(); err != nil {
			return err // that does not mend itself
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

// checkAlways checks what must hold at every moment after all faults. Every check runs,
// also after one that failed, and the first that failed is returned.
func (c *cluster) checkAlways() error {
	return cmp.Or(c.checkOneShardEach(), c.recount(), c.checkAnswered(), c.checkNoneWaits())
}

// checkNoneWaits checks that no job waits beside room that it fits.
func (c *cluster) checkNoneWaits() error {
	if jobs := c.world.UnplacedLongerThan(placedWithin); len(jobs) > 0 {
		return checkErrorf("waits", "%s for %v, beside room", strings.Join(jobs, ", "), placedWithin)
	}
	return nil
}

// checkAnswered asks about every accepted job, at another controller each time.
func (c *cluster) checkAnswered() error {
	q := &c.quiescence
	q.rounds++
	for i, job := range c.world.Accepted() {
		if status, _ := c.world.Query(c.names[(q.rounds+i)%len(c.names)], job.Ref); status == 200 {
			q.answered[job.Ref] = time.Now()
		}
		last := q.answered[job.Ref]
		if last.Before(q.since) {
			last = q.since
		}
		if silent := time.Since(last); silent > answeredWithin {
			return checkErrorf("forgotten", "no question about %s was answered for %v after all faults", job.Ref, silent.Round(time.Second))
		}
	}
	return nil
}

// checkOneShardEach checks that each machine is in one shard for life: with two, it has
// two owners that both place work there.
func (c *cluster) checkOneShardEach() error {
	shardOf := make(map[string]string)
	var err error
	c.records().eachProvisioned(func(key, host, shard string) {
		if other := shardOf[host]; other != "" && other != shard && err == nil {
			err = checkErrorf("two_shards", "%s is in %s and, by %s, in %s", host, other, key, shard)
		}
		shardOf[host] = shard
	})
	return err
}

// checkSettled checks the jobs: each is final at every controller or, a service,
// runs whole. A job that needs an endless one is neither, and may wait.
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

// finalAnswers asks every controller about a job and counts those that call it final.
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
