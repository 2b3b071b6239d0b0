package controller

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// cachedStatus is a job's status as the cache has it.
type cachedStatus struct {
	answer  protocol.JobStatus
	version uint64 // of the record it comes from; 0: there is none
	final   bool   // the job is over, so the status never changes
	known   bool   // the job was accepted
}

// jobStatus returns what the cache says of a job.
func (c *Controller) jobStatus(jobID string) cachedStatus {
	answer := protocol.JobStatus{JobID: jobID, Phase: protocol.JobPending}
	if final, ok := c.view.FinalJobs[jobID]; ok {
		answer.Phase = final.State
		if final.State == protocol.JobDone {
			answer.DoneTasks = final.Tasks
		}
		return cachedStatus{answer: answer, version: final.Version, final: true, known: true}
	}
	if status := c.blockedStatus(jobID); status.known {
		return status
	}
	job := c.view.Jobs[jobID]
	if job == nil || job.Record == nil {
		return cachedStatus{answer: answer}
	}
	answer.DoneTasks, answer.RunningTasks = job.Progress()
	switch {
	case job.Record.IsFinal():
		answer.Phase, answer.RunningTasks = job.Record.State, 0
		if job.Record.State == protocol.JobDone {
			answer.DoneTasks = job.Record.Tasks
		}
	case answer.RunningTasks > 0:
		answer.Phase = protocol.JobRunning
	}
	return cachedStatus{answer: answer, version: job.Version, final: job.Record.IsFinal(), known: true}
}

// pendingReply is an answer that is sent once the watch has reached a revision.
type pendingReply struct {
	revision uint64
	deadline time.Time
	send     func(reached bool) // reached is false if the deadline came first
}

// replyStatus answers with what the cache says of a job, which is known. That a job is
// cancelled is answered once the watch has reached the cancellation: nothing of the job is
// placed after that revision, so this controller then knows every machine that may have a
// task of it, and can end it when no other controller can. Answered at once, a claim that an
// owner committed just before it was cut off could be known to nobody else in an outage.
// Unless the watch comes as far within the time given the user is asked to retry.
func (c *Controller) replyStatus(jobID string, status int, within time.Duration, reply func(transport.Response)) {
	cached := c.jobStatus(jobID)
	answer := cached.answer
	if status == http.StatusCreated && !cached.final {
		answer = protocol.JobStatus{JobID: jobID, Phase: protocol.JobPending}
	}
	if answer.Phase != protocol.JobCancelled || c.view.Revision >= cached.version {
		reply(jobResponse(status, answer))
		return
	}
	if now := time.Now(); c.isStateDown(now) {
		reply(c.retryLater(kv.PriorityUser, now)) // the watch will not come in time
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{cached.version, time.Now().Add(within), func(reached bool) {
		if reached {
			reply(jobResponse(status, answer))
		} else {
			reply(unavailable(shortRetry))
		}
	}})
}

// replyAtRevision answers once the watch has reached a revision that the state service had
// after the question came in: a linearizable read of all the jobs that this one depends on.
func (c *Controller) replyAtRevision(jobID string, revision uint64, until time.Time, reply func(transport.Response)) {
	if revision == 0 {
		reply(unavailable(shortRetry))
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{revision, until, func(reached bool) {
		if !reached {
			reply(unavailable(shortRetry))
			return
		}
		c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
	}})
	c.sendPendingReplies(time.Now())
}

// sendPendingReplies sends the answers whose revision the watch has reached, or whose
// deadline has passed.
func (c *Controller) sendPendingReplies(now time.Time) {
	c.pendingReplies = slices.DeleteFunc(c.pendingReplies, func(pending pendingReply) bool {
		reached := c.view.Revision >= pending.revision
		if reached || now.After(pending.deadline) {
			pending.send(reached)
			return true
		}
		return false
	})
}

// confirmStatus answers a question about a job. A final state never changes, so the cache
// suffices; anything else is confirmed by the state service, since another controller may
// have answered this user with something newer. onNotFound is called in place of reply for a
// job that was never accepted.
func (c *Controller) confirmStatus(jobID string, within time.Duration, onNotFound func(), reply func(transport.Response)) {
	status := c.jobStatus(jobID)
	if status.final {
		c.replyStatus(jobID, http.StatusOK, within, reply)
		return
	}
	now := time.Now()
	if refusal, isRefused := c.refuseConfirmation(within, now); isRefused {
		reply(refusal)
		return
	}
	version, until := status.version, now.Add(within)
	c.commitWithRevision(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: version}}, nil, within, func(err error, revision uint64) {
		switch {
		case err == nil && c.isUndecided(jobID):
			c.replyAtRevision(jobID, revision, until, reply)
		case err == nil && c.jobStatus(jobID).known:
			// The cache may have changed meanwhile, and is at least as new.
			c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
		case err == nil:
			onNotFound()
		case errors.Is(err, kv.ErrCompareFailed):
			c.replyAfterRefresh(jobID, version, until, onNotFound, reply)
		default:
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}

// refuseConfirmation returns the answer to a question that the state service can't confirm
// within the time given, and reports whether it can't.
func (c *Controller) refuseConfirmation(within time.Duration, now time.Time) (refusal transport.Response, isRefused bool) {
	switch {
	case !c.view.Loaded:
		return unavailable(shortRetry), true
	case c.isStateDown(now):
		return c.retryLater(kv.PriorityUser, now), true
	}
	var backlog admission.Backlog
	backlog.Pending, backlog.Rate = c.store.ReadBacklog()
	if backlog.ShouldShed(within) {
		return retryAfter(backlog, c.random.Float64()), true
	}
	return transport.Response{}, false
}

// replyAfterRefresh answers a question about a job of which the cache had an older version, and
// which has just been read again.
func (c *Controller) replyAfterRefresh(jobID string, old uint64, until time.Time, onNotFound func(), reply func(transport.Response)) {
	status := c.jobStatus(jobID)
	switch {
	case !status.known || status.version == old:
		reply(unavailable(shortRetry))
	case c.isUndecided(jobID): // once: a blocked job's record is written once
		c.confirmStatus(jobID, time.Until(until), onNotFound, reply)
	default:
		c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
	}
}
