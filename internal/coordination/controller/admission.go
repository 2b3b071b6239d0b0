package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/storage/kv"
	"madderslip/internal/transport"
)

// peerStatusTTL is how old another controller's word of its backlog may be.
const peerStatusTTL = 3 * time.Second

// shareStateBudget takes this node's part of the state service's budgets: by need if all
// live controllers have said theirs, else evenly.
func (c *Controller) shareStateBudget(now time.Time) {
	names := c.view.LiveNodes()
	own := slices.Index(names, c.settings.NodeName)
	waits := make([]int, max(1, len(names)))
	known := own >= 0
	for i, name := range names {
		w := c.membership.backlogs[name]
		if i == own {
			w.changes, _ = c.store.Backlog(kv.PriorityBackground)
			w.at = now
		}
		known = known && now.Sub(w.at) < peerStatusTTL
		waits[i] = w.changes
	}
	if !known {
		clear(waits)
		own = 0
	}
	c.store.SetBudgetShare(admission.BudgetShare(waits, own))
}

// backlog is what waits ahead of a transaction of a priority.
func (c *Controller) backlog(prio int, now time.Time) admission.Backlog {
	b := admission.Backlog{Unavailable: c.isStateDown(now)}
	b.Pending, b.Rate = c.store.Backlog(prio)
	return b
}

// isStateServingOthers tells that the state service serves other controllers and not
// this one. A node that refuses at once has the fewest open connections, so the
// load balancer sends it the more users the longer it seems healthy.
func (c *Controller) isStateServingOthers(now time.Time) bool {
	if !c.isStateDown(now) {
		return false
	}
	for _, at := range c.membership.stateReachableAt {
		if now.Sub(at) < peerStatusTTL {
			return true
		}
	}
	return false
}

// retryLater turns a user away, and says when to come back.
func (c *Controller) retryLater(prio int, now time.Time) transport.Response {
	if c.isStateServingOthers(now) {
		return unavailable(1) // at another node, most likely
	}
	return unavailable(int(c.backlog(prio, now).RetryAfter(c.random.Float64()) / time.Second))
}
