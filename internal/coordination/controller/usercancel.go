package controller

import (
	"errors"
	"net/http"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// minCommitTime is the time that a request must have left for a transaction to be sent for it.
const minCommitTime = 200 * time.Millisecond

// cancelJob commits a user's cancellation of a job and answers, at the latest shortly after
// until. If the job is final already, the response is its status.
func (c *Controller) cancelJob(jobID string, until time.Time, reply func(transport.Response)) {
	status := c.jobStatus(jobID)
	remaining := time.Until(until)
	switch {
	case status.final:
		c.replyStatus(jobID, http.StatusOK, remaining, reply)
	case !c.view.Loaded || remaining < minCommitTime:
		reply(unavailable(shortRetry))
	case c.isStateDown(time.Now()):
		reply(c.retryLater(kv.PriorityUser, time.Now()))
	case !status.known:
		c.cancelUnknown(jobID, until, remaining, reply)
	default:
		c.commitCancellation(jobID, status.version, until, remaining, reply)
	}
}

// cancelUnknown cancels a job that is not cached, if the state service confirms that the job
// was accepted.
func (c *Controller) cancelUnknown(jobID string, until time.Time, remaining time.Duration, reply func(transport.Response)) {
	c.commit(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: 0}}, nil, remaining, func(err error) {
		if err == nil {
			reply(jobNotFound)
		} else if c.jobStatus(jobID).known {
			c.cancelJob(jobID, until, reply)
		} else {
			reply(unavailable(shortRetry))
		}
	})
}

// commitCancellation commits a job's cancellation, conditional on the job's version, and
// retries if the job has changed since.
func (c *Controller) commitCancellation(jobID string, version uint64, until time.Time, remaining time.Duration, reply func(transport.Response)) {
	record := c.cancelledRecord(jobID, time.Now())
	key := records.JobPrefix + jobID
	c.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: version}}, []kv.Op{{Key: key, Value: record}}, remaining, func(err error) {
		switch {
		case err == nil:
			c.broadcastJob(key)
			c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
		case errors.Is(err, kv.ErrCompareFailed) && c.jobStatus(jobID).version != version:
			c.cancelJob(jobID, until, reply)
		default:
			reply(unavailable(shortRetry))
		}
	})
}

// cancelledRecord returns the record of a known job that its user cancels. None of a blocked
// job's tasks has been placed, so the record does not need the job's description.
func (c *Controller) cancelledRecord(jobID string, now time.Time) *records.Job {
	if blocked, isBlocked := c.view.Dependencies.Lookup(jobID); isBlocked {
		return &records.Job{State: protocol.JobCancelled, Tasks: blocked.Spec.Tasks, CancelledAtMs: now.UnixMilli()}
	}
	record := *c.view.Jobs[jobID].Record
	record.State, record.Tasks, record.CancelledAtMs = protocol.JobCancelled, record.Spec.Tasks, now.UnixMilli()
	return &record
}
