package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/storage/kv"
	"madderslip/internal/transport"
)

// peerStatusTTL is how long after its receipt the status of another controller is valid: its
// backlog, its contact with this controller, and its access to the state service.
const peerStatusTTL = 3 * time.Second

// shareStateBudget sets this controller's share of the state service's request budgets: by
// backlog if all live controllers have reported theirs within peerStatusTTL, else evenly.
func (c *Controller) shareStateBudget(now time.Time) {
	names := c.view.LiveNodes()
	own := slices.Index(names, c.settings.NodeName)
	backlogs := make([]int, max(1, len(names)))
	isKnown := own >= 0
	for i, name := range names {
		reported := c.membership.backlogs[name]
		if i == own {
			reported.changes, _ = c.store.Backlog(kv.PriorityBackground)
			reported.at = now
		}
		isKnown = isKnown && now.Sub(reported.at) < peerStatusTTL
		backlogs[i] = reported.changes
	}
	if !isKnown {
		clear(backlogs)
		own = 0
	}
	c.store.SetBudgetShare(admission.BudgetShare(backlogs, own))
}

// backlog returns the work queued ahead of a new transaction of a priority.
func (c *Controller) backlog(priority kv.Priority, now time.Time) admission.Backlog {
	backlog := admission.Backlog{Unavailable: c.isStateDown(now)}
	backlog.Pending, backlog.Rate = c.store.Backlog(priority)
	return backlog
}

// retryLater returns the response that refuses a user's request for now. The user should
// retry soon if another controller can serve the request, else once the backlog should have
// drained.
func (c *Controller) retryLater(priority kv.Priority, now time.Time) transport.Response {
	if c.isStateServingOthers(now) {
		return unavailable(shortRetry)
	}
	return retryAfter(c.backlog(priority, now), c.random.Float64())
}

// retryAfter returns the response that refuses a user's request until a backlog should have
// drained. jitter, from 0 to 1, spreads the retries of several users over time.
func retryAfter(backlog admission.Backlog, jitter float64) transport.Response {
	return unavailable(int(backlog.RetryAfter(jitter) / time.Second))
}
