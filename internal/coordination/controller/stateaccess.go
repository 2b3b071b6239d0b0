package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

const (
	// stateDownAfter is the time without any executed call after which the state service counts as
	// down, so that requests of users fail at once rather than at their deadlines. It is longer
	// than the time between two renewals of a lease.
	stateDownAfter = 2500 * time.Millisecond
	// stateReachableTTL is how long the state service counts as reachable after the last
	// successful call. It is longer than the time between two renewals of a lease, so in an outage
	// the last executed calls of two controllers are less than this apart.
	stateReachableTTL = 1500 * time.Millisecond
	// stateReportTTL is how long a report that the state service serves another controller is
	// valid, from the execution of the call that the report is about. The call of the periodic
	// message that confirms the report is up to stateReachableTTL old.
	stateReportTTL = peerStatusTTL + stateReachableTTL
	// refusedAloneAfter is the time in which the state service must have executed no call of this
	// controller, while it serves others, for isRefusedAlone to hold.
	refusedAloneAfter = 4 * time.Second
)

// access is a controller's access to the state service, as it appears to that controller.
type access string

// The values of access, as the log shows them.
const (
	accessServed  access = "served"        // a recent call of this controller was executed
	accessDown    access = "down"          // no recent call was executed, and no other controller reports that it is served
	accessRefused access = "refused alone" // no recent call was executed, and another controller reports that it is served
)

// messageKind is the occasion of a message between controllers.
type messageKind string

// The kinds of messages, as the log shows them.
const (
	messagePeriodic messageKind = "periodic"
	messageDemands  messageKind = "demands"
	messageIntents  messageKind = "intents"
	messageUpdates  messageKind = "updates"
)

// messageKindOf returns the kind of a message.
func messageKindOf(message *protocol.PeerMessage) messageKind {
	switch {
	case message.Periodic:
		return messagePeriodic
	case message.DemandsComplete:
		return messageDemands
	case len(message.ClaimIntents)+len(message.PreemptionIntents) > 0:
		return messageIntents
	}
	return messageUpdates
}

// stateReport is a report of another controller that the state service serves it.
type stateReport struct {
	servedAt time.Time // when the state service executed a call of that controller
	kind     messageKind
}

// stateReports holds what the other controllers report about the state service, and the access
// that was logged last.
type stateReports struct {
	byNode map[string]stateReport // by controller: its last report that it is served
	logged access
}

func newStateReports() stateReports {
	return stateReports{byNode: make(map[string]stateReport), logged: accessServed}
}

// observe records what a message reports about its sender's access to the state service. A
// message that arrives after a newer one changes nothing.
func (r *stateReports) observe(message *protocol.PeerMessage, now time.Time) {
	if servedAt := servedAtBy(message, now); servedAt.After(r.byNode[message.From].servedAt) {
		r.byNode[message.From] = stateReport{servedAt: servedAt, kind: messageKindOf(message)}
	}
}

// servedAtBy returns when, by a message, the state service last executed a call of the message's
// sender, or the zero time if the message does not report it. The time does not depend on when
// the message arrives: a controller that resumes after a pause receives old messages.
//
// Older versions report no time, and their messages that are not periodic are no evidence, since
// these always report the state service as reachable (see outage-beside-older-version.trace).
func servedAtBy(message *protocol.PeerMessage, now time.Time) time.Time {
	switch servedAt := time.UnixMilli(message.StateServedAtMs); {
	case message.StateServedAtMs > 0 && servedAt.Before(now):
		return servedAt
	case message.StateServedAtMs > 0: // the sender's clock is ahead
		return now
	case message.Periodic && message.StateReachable:
		return now.Add(-stateReachableTTL)
	}
	return time.Time{}
}

// isServed reports whether the state service has executed a call of another controller within
// stateReportTTL.
func (r *stateReports) isServed(node string, now time.Time) bool {
	return now.Sub(r.byNode[node].servedAt) < stateReportTTL
}

// servedSince returns a controller for which isServed holds and of which the state service has
// executed a call more than stateReachableTTL after a time, or "".
func (r *stateReports) servedSince(since, now time.Time) string {
	for _, node := range slices.Sorted(maps.Keys(r.byNode)) {
		isLater := r.byNode[node].servedAt.Sub(since) > stateReachableTTL
		if isLater && r.isServed(node, now) {
			return node
		}
	}
	return ""
}

// isStateDown reports whether the state service has executed no call of this controller for
// longer than stateDownAfter, because of an outage or of a fault of this controller.
func (c *Controller) isStateDown(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) > stateDownAfter
}

// isStateServingOthers reports whether the state service serves other controllers and not
// this one: it has executed calls of another controller since the last one of this controller.
// In an outage it executes none, and the last calls of all controllers are close to one another.
//
// A controller that is not served refuses every user at once and thus has the fewest open
// connections, so the load balancer sends it more and more users for as long as it reports
// that it is ready.
func (c *Controller) isStateServingOthers(now time.Time) bool {
	return c.isStateDown(now) && c.servedInstead(now) != ""
}

// servedInstead returns a controller of which the state service has executed calls since the last
// one of this controller, or "".
func (c *Controller) servedInstead(now time.Time) string {
	return c.stateReports.servedSince(c.store.LastSuccess(), now)
}

// isRefusedAlone reports whether the state service serves other controllers and has executed
// no call of this one for refusedAloneAfter. In that case the next owner of this controller's
// shards returns the machines, with a record.
func (c *Controller) isRefusedAlone(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) >= refusedAloneAfter && c.isStateServingOthers(now)
}

// stateAccess returns this controller's access to the state service.
func (c *Controller) stateAccess(now time.Time) access {
	switch {
	case !c.isStateDown(now):
		return accessServed
	case c.isStateServingOthers(now):
		return accessRefused
	}
	return accessDown
}

// logStateAccess logs each change of this controller's access to the state service, with the
// report of another controller that distinguishes a refusal of this controller alone from an
// outage.
func (c *Controller) logStateAccess(now time.Time) {
	current := c.stateAccess(now)
	if current == c.stateReports.logged {
		return
	}
	c.stateReports.logged = current
	node := c.servedInstead(now)
	report, age := c.stateReports.byNode[node], time.Duration(0)
	if node != "" {
		age = now.Sub(report.servedAt)
	}
	c.log.Info("state service access changed", "access", string(current), "idle", now.Sub(c.lastServedAt()), "node", node, "report", string(report.kind), "age", age)
}

// lastServedAt returns when the state service last executed a call of this process, or when the
// process started if there was no such call.
func (c *Controller) lastServedAt() time.Time {
	if last := c.store.LastSuccess(); last.After(c.startedAt) {
		return last
	}
	return c.startedAt
}
