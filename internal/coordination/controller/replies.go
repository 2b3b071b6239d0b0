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

// cachedStatus is a job's status as derived from the cache.
type cachedStatus struct {
	answer  protocol.JobStatus
	version uint64 // version of the record that the status is derived from; 0: there is no record
	final   bool   // the job is over, so the status never changes
	known   bool   // the job was accepted
}

// jobStatus returns a job's cached status.
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
	send     func(reached bool) // reached is false if the deadline passed before the watch reached the revision
}

// replyStatus answers with the cached status of a known job. The answer that a job is cancelled
// is sent once the watch has reached the cancellation: no task of the job is placed after that
// revision, so this controller's view then has every machine that may run a task of the job,
// and this controller can end the tasks when no other can. If the answer were sent at once, a
// claim that its owner committed just before it was partitioned could be missing from the views of
// all other controllers in an outage. If the watch does not reach the cancellation in time, the
// user is asked to retry.
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
		reply(c.retryLater(kv.PriorityUser, now)) // the watch will not reach the revision in time
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

// replyAtRevision answers a status query, or the submission of a job that depends on others, with
// an HTTP status, once the watch has reached the revision that the state service had after the
// request arrived: a linearizable read of all the jobs that this one depends on.
func (c *Controller) replyAtRevision(jobID string, status int, revision uint64, until time.Time, reply func(transport.Response)) {
	if revision == 0 {
		reply(unavailable(shortRetry))
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{revision, until, func(reached bool) {
		if !reached {
			reply(unavailable(shortRetry))
			return
		}
		c.replyStatus(jobID, status, time.Until(until), reply)
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

// confirmStatus answers a status query for a job. A final status never changes, so it is
// answered from the cache. Any other status is confirmed by the state service, since another
// controller may have answered this user with a newer one. onNotFound is called in place of
// reply for a job that was never accepted.
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
			c.replyAtRevision(jobID, http.StatusOK, revision, until, reply)
		case err == nil && c.jobStatus(jobID).known:
			// The cached status may be newer than the confirmed one, but never older.
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

// refuseConfirmation returns the response to a status query that the state service can't
// confirm within the given time, and reports whether the query has to be refused.
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

// replyAfterRefresh answers a status query for a job whose cached version, old, was outdated and
// whose record has just been read again.
func (c *Controller) replyAfterRefresh(jobID string, old uint64, until time.Time, onNotFound func(), reply func(transport.Response)) {
	status := c.jobStatus(jobID)
	switch {
	case !status.known || status.version == old:
		reply(unavailable(shortRetry))
	case c.isUndecided(jobID): // the confirmation is repeated at most once, since the record of a blocked job is written only once
		c.confirmStatus(jobID, time.Until(until), onNotFound, reply)
	default:
		c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
	}
}
