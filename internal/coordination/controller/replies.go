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
func (n *Controller) replyStatus(ref string, status int, within time.Duration, reply func(transport.Response)) {
	a, stamp, final, _ := n.jobStatus(ref)
	if status == 201 && !final {
		a = protocol.JobStatus{JobID: ref, Phase: protocol.JobPending}
	}
	if a.Phase != protocol.JobCancelled || n.view.Revision >= stamp {
		reply(jobResponse(status, a))
		return
	}
	if now := time.Now(); n.isStateDown(now) {
		reply(n.retryLater(kv.PriorityUser, now)) // the watch will not come in time
		return
	}
	n.pendingReplies = append(n.pendingReplies, pendingReply{stamp, time.Now().Add(within), func(known bool) {
		if known {
			reply(jobResponse(status, a))
		} else {
			reply(unavailable(1))
		}
	}})
}

// sendPendingReplies gives the answers for which the watch has come far enough, or which can't
// wait any longer.
func (n *Controller) sendPendingReplies(now time.Time) {
	n.pendingReplies = slices.DeleteFunc(n.pendingReplies, func(u pendingReply) bool {
		known := n.view.Revision >= u.revision
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
func (n *Controller) confirmStatus(ref string, within time.Duration, absent func(), reply func(transport.Response)) {
	_, stamp, final, _ := n.jobStatus(ref)
	if final {
		n.replyStatus(ref, 200, within, reply)
		return
	}
	now := time.Now()
	until := now.Add(within)
	switch {
	case !n.view.Loaded:
		reply(unavailable(1))
		return
	case n.isStateDown(now):
		reply(n.retryLater(kv.PriorityUser, now))
		return
	}
	var asked admission.Backlog
	if asked.Pending, asked.Rate = n.store.ReadBacklog(); asked.ShouldShed(within) {
		reply(unavailable(int(asked.RetryAfter(n.random.Float64()) / time.Second)))
		return
	}
	n.commitWithRevision(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + ref, Version: stamp}}, nil, within, func(err error, revision uint64) {
		switch {
		case err == nil && n.isUndecided(ref):
			n.replyWhenRead(ref, revision, until, reply)
		case err == nil:
			// The cache may have moved on meanwhile, and is at least as new.
			if _, _, _, found := n.jobStatus(ref); found {
				n.replyStatus(ref, 200, time.Until(until), reply)
			} else {
				absent()
			}
		case errors.Is(err, kv.ErrCompareFailed):
			// The cache has been refreshed from the state service just now.
			if _, newer, _, found := n.jobStatus(ref); !found || newer == stamp {
				reply(unavailable(1))
				return
			}
			if n.isUndecided(ref) { // once: a held job's record is written once
				n.confirmStatus(ref, time.Until(until), absent, reply)
				return
			}
			n.replyStatus(ref, 200, time.Until(until), reply)
		default:
			reply(n.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}
