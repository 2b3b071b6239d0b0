package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// reconcileClaims works through the claims of a shard: what has ended is booked, what
// should run is started, what should not is stopped.
func (n *Controller) reconcileClaims(s *replica.Shard, now time.Time) {
	for _, c := range n.view.TakeDirtyClaims(s, now) {
		j := n.view.Jobs[c.JobID]
		if c.Record == nil || c.Pending != nil || j == nil || c.Spec == nil {
			continue // marked again when that changes
		}
		n.reconcileClaim(s, j, c, now)
	}
}

// outcome is what has become of a placement.
type outcome int

const (
	outcomeRunning outcome = iota // it is, or may be, on its machine
	outcomePending                // the same, and something is to be done about it
	outcomeCompleted
	outcomeGone
)

func (n *Controller) reconcileClaim(s *replica.Shard, j *replica.Job, c *replica.Claim, now time.Time) {
	next := c.Record.Clone()
	next.Placements = next.Placements[:0]
	changed, pressing, uneasy := false, n.isLimited(c.Spec) && (!n.view.Quota.IsAllotted(c.Spec.Team) || n.view.Quota.IsDemanded(c.Spec.Team)), j.Record.IsFinal()
	if c.Spec.Shape == protocol.ShapeGang && len(c.Record.Placements) > 0 && len(c.Record.Placements)+c.Record.CompletedCount() < c.Record.TaskCount {
		c.HaltedAttempt = c.Record.LastAttempt // it was placed whole, so a task has been lost
	}
	for i := range c.Record.Placements {
		p := &c.Record.Placements[i]
		if m := n.view.Machines[p.Host]; c.Record.Shard == "" && m != nil && m.Record.Shard != s.Name {
			next.Placements = append(next.Placements, *p) // its own shard's owner judges it
			continue
		}
		switch n.classifyPlacement(s, j, c, p, now) {
		case outcomeCompleted:
			next.MarkCompleted(p.Task)
			delete(c.Evictions, p.Task)
			changed = true
		case outcomeGone:
			if _, moved := c.Evictions[p.Task]; !moved && c.Spec.Shape == protocol.ShapeService && !j.Record.IsFinal() {
				n.log.Info("replica lost", "task", protocol.TaskName(c.JobID, p.Task), "try", p.Attempt, "host", p.Host)
			}
			delete(c.Evictions, p.Task)
			changed, pressing = true, true
			if c.Spec.Shape == protocol.ShapeGang && len(c.Record.Placements) > 1 {
				c.HaltedAttempt = c.Record.LastAttempt
			}
		case outcomePending:
			uneasy = true
			next.Placements = append(next.Placements, *p)
		default:
			next.Placements = append(next.Placements, *p)
		}
	}
	n.sendPendingCommands(s)
	if c.Spec.Shape == protocol.ShapeGang && next.CompletedCount() > 0 && !next.IsComplete() {
		// A gang completes together: if one task is done, every one is.
		for t := next.FirstTask; t < next.FirstTask+next.TaskCount; t++ {
			next.MarkCompleted(t)
		}
		changed = true
	}
	if next.IsComplete() && c.Spec.Shape != protocol.ShapeService && !j.Record.IsFinal() {
		if n.finishJob(s, j, c, next) {
			return
		}
		pressing, uneasy = true, true // the job's other chunks wait for this one
	}
	if j.Record.IsFinal() && len(next.Placements) == 0 {
		n.dropClaim(s, c)
		return
	}
	if changed {
		if c.CompletionSeenAt.IsZero() {
			c.CompletionSeenAt = now
		}
		// A completion alone can wait a little for others: until it is booked
		// its worker goes on listing it, and its room counts as free already.
		// One write for each of some hundred tasks a second is beyond the
		// state service's budget.
		if (pressing || now.Sub(c.CompletionSeenAt) >= n.policy.CompletionBatchDelay) && n.updateClaim(s, c, next, kv.PriorityCompletion, nil) {
			return
		}
		uneasy = true
	}
	if uneasy {
		c.CheckAt = now.Add(recheckDelay)
		s.Dirty[c] = struct{}{}
	}
}

// classifyPlacement decides a placement's fate from proof alone: the worker's own account
// under the current token with no command outstanding, or a machine that the
// cloud has taken back. Silence proves nothing.
func (n *Controller) classifyPlacement(s *replica.Shard, j *replica.Job, c *replica.Claim, p *records.Placement, now time.Time) outcome {
	m := n.view.Machines[p.Host]
	if m == nil {
		return outcomeRunning
	}
	name := c.TaskName(p)
	t := m.Agent.Tasks[name]
	if t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited && t.Cause == protocol.CauseDone {
		// Done it is for ever, but an account under an earlier token does not prove
		// that it is off the machine: its worker's session may have ended since, and
		// another owner of the shard may have started it again there. Freed on such
		// an account, a limited team's use was lowered while the task ran.
		if !m.ShowsToken(s) && !m.Lifecycle.Gone && m.Record.State != records.MachineGone {
			return outcomePending
		}
		n.recordCompletion(j, c.Spec, m, name, now)
		return outcomeCompleted
	}
	if m.Lifecycle.Gone || m.Record.State == records.MachineGone {
		return outcomeGone
	}
	if m.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace, stop := n.shouldStop(c, p, now)
	switch {
	case t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited:
		if !m.ShowsToken(s) {
			return outcomePending
		}
		if m.HasUnconfirmedStart(name, p.Attempt) {
			s.RequestNewToken(m)
			return outcomePending
		}
		if t.Cause == protocol.CauseGangTimeout && !stop {
			// It had waited too long for the others, whose images may take longer
			// still. They go on waiting for it: once reaped it starts again, in the
			// same attempt and on the same machine. To end the attempt instead threw
			// away what the others had fetched.
			return outcomePending
		}
		n.recordTaskEnd(j, m, t, now)
		return outcomeGone
	case t != nil && t.Attempt == p.Attempt:
		if !stop {
			return outcomeRunning
		}
		if now.Sub(m.Commands.StopSentAt[name]) > resendInterval && (t.Phase != protocol.TaskCheckpointing || grace == 0) {
			m.Commands.StopSentAt[name] = now
			n.queueCommands(s, m, protocol.StopCommand(name, p.Attempt, grace))
		}
		return outcomePending
	case t != nil: // another attempt of it is still there
		return outcomePending
	case !m.ShowsToken(s):
		return outcomePending
	case stop, n.isOverLimit(c.Spec), m.Detector.Reachability.CannotReceive(), n.cannotReport(m, now) && !n.isStateDown(now):
		// Also what a limit lowered since leaves no room for: what runs may go on, what is
		// not there may not begin. A machine that does not hear would not begin it, and one
		// that does not report would lose it with its lease, which is more than an outage
		// lets begin elsewhere.
		if m.HasUnconfirmedStart(name, p.Attempt) {
			s.RequestNewToken(m)
			return outcomePending
		}
		return outcomeGone // it never started, and now never will
	}
	// Committed but not there: started by no one, or lost with the worker's
	// session. The same attempt may start again, for nothing else can hold it, unless
	// its job may have been cancelled where this node can't hear of it.
	if !n.hearsNobody(now) && !slices.ContainsFunc(m.Commands.Pending, isStartOf(name)) && !slices.ContainsFunc(m.Commands.InFlight, isStartOf(name)) &&
		now.Sub(m.Commands.StartSentAt[name]) > resendInterval && m.Record.State == "" {
		m.Commands.StartSentAt[name] = now
		n.queueCommands(s, m, protocol.StartCommand(name, p.Attempt))
	}
	return outcomePending
}

func isStartOf(name string) func(protocol.Command) bool {
	return func(c protocol.Command) bool { return c.Verb == "start" && c.Task == name }
}

// shouldStop tells whether a placement should end, and with what grace.
func (n *Controller) shouldStop(c *replica.Claim, p *records.Placement, now time.Time) (time.Duration, bool) {
	j := n.view.Jobs[c.JobID]
	if j == nil || j.Record == nil || c.Spec == nil {
		return 0, false
	}
	if j.Record.IsFinal() {
		return 0, true
	}
	grace := time.Duration(0)
	if c.Spec.CheckpointInterval() > 0 {
		grace = c.Spec.CheckpointDuration() + 2*time.Second
	}
	if c.Halted() {
		return grace, true
	}
	since, ok := c.Evictions[p.Task]
	if !ok {
		return 0, false
	}
	if now.Sub(since) > grace+10*time.Second {
		grace = 0
	}
	return grace, true
}
