package controller

import (
	"errors"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// pendingReply is an answer that waits for the watch.
type pendingReply struct {
	revision uint64
	deadline time.Time
	reply    func(known bool)
}

// replyStatus answers with what the cache says of a job, which is known. That it is cancelled
// is told once the watch has come as far: nothing of it is placed after that revision, so
// this node then knows every machine that may have a task of it, and can see to its end
// when nobody else can. Told at once, a claim committed a moment before by an owner that
// nobody reaches was known to nobody when an outage followed. Within the time given that
// is known or the user asks again.
func (c *Controller) replyStatus(jobID string, status int, within time.Duration, reply func(transport.Response)) {
	answer, version, final, _ := c.jobStatus(jobID)
	if status == 201 && !final {
		answer = protocol.JobStatus{JobID: jobID, Phase: protocol.JobPending}
	}
	if answer.Phase != protocol.JobCancelled || c.view.Revision >= version {
		reply(jobResponse(status, answer))
		return
	}
	if now := time.Now(); c.isStateDown(now) {
		reply(c.retryLater(kv.PriorityUser, now)) // the watch will not come in time
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{version, time.Now().Add(within), func(known bool) {
		if known {
			reply(jobResponse(status, answer))
		} else {
			reply(unavailable(1))
		}
	}})
}

// sendPendingReplies gives the answers for which the watch has come far enough, or which can't
// wait any longer.
func (c *Controller) sendPendingReplies(now time.Time) {
	c.pendingReplies = slices.DeleteFunc(c.pendingReplies, func(u pendingReply) bool {
		known := c.view.Revision >= u.revision
		if known || now.After(u.deadline) {
			u.reply(known)
			return true
		}
		return false
	})
}

// confirmStatus answers a question about a job. A final state never changes, so the
// cache suffices; anything else is confirmed by the state service, since
// another node may have told this user something newer. absent is the answer
// for a job that was never accepted.
func (c *Controller) confirmStatus(jobID string, within time.Duration, absent func(), reply func(transport.Response)) {
	_, version, final, _ := c.jobStatus(jobID)
	if final {
		c.replyStatus(jobID, 200, within, reply)
		return
	}
	now := time.Now()
	until := now.Add(within)
	switch {
	case !c.view.Loaded:
		reply(unavailable(1))
		return
	case c.isStateDown(now):
		reply(c.retryLater(kv.PriorityUser, now))
		return
	}
	var asked admission.Backlog
	if asked.Pending, asked.Rate = c.store.ReadBacklog(); asked.ShouldShed(within) {
		reply(unavailable(int(asked.RetryAfter(c.random.Float64()) / time.Second)))
		return
	}
	c.commitWithRevision(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: version}}, nil, within, func(err error, revision uint64) {
		switch {
		case err == nil && c.isUndecided(jobID):
			c.replyWhenRead(jobID, revision, until, reply)
		case err == nil:
			// The cache may have moved on meanwhile, and is at least as new.
			if _, _, _, found := c.jobStatus(jobID); found {
				c.replyStatus(jobID, 200, time.Until(until), reply)
			} else {
				absent()
			}
		case errors.Is(err, kv.ErrCompareFailed):
			// The cache has been refreshed from the state service just now.
			if _, newer, _, found := c.jobStatus(jobID); !found || newer == version {
				reply(unavailable(1))
				return
			}
			if c.isUndecided(jobID) { // once: a held job's record is written once
				c.confirmStatus(jobID, time.Until(until), absent, reply)
				return
			}
			c.replyStatus(jobID, 200, time.Until(until), reply)
		default:
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}
