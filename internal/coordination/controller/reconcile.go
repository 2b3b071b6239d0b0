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
func (c *Controller) reconcileClaims(shard *replica.Shard, now time.Time) {
	for _, claim := range c.view.TakeDirtyClaims(shard, now) {
		job := c.view.Jobs[claim.JobID]
		if claim.Record == nil || claim.Pending != nil || job == nil || claim.Spec == nil {
			continue // marked again when that changes
		}
		c.reconcileClaim(shard, job, claim, now)
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

func (c *Controller) reconcileClaim(shard *replica.Shard, job *replica.Job, claim *replica.Claim, now time.Time) {
	next := claim.Record.Clone()
	next.Placements = next.Placements[:0]
	changed, pressing, uneasy := false, c.isLimited(claim.Spec) && (!c.view.Quota.IsAllotted(claim.Spec.Team) || c.view.Quota.IsDemanded(claim.Spec.Team)), job.Record.IsFinal()
	if claim.Spec.Shape == protocol.ShapeGang && len(claim.Record.Placements) > 0 && len(claim.Record.Placements)+claim.Record.CompletedCount() < claim.Record.TaskCount {
		claim.HaltedAttempt = claim.Record.LastAttempt // it was placed whole, so a task has been lost
	}
	for i := range claim.Record.Placements {
		placement := &claim.Record.Placements[i]
		if machine := c.view.Machines[placement.Host]; claim.Record.Shard == "" && machine != nil && machine.Record.Shard != shard.Name {
			next.Placements = append(next.Placements, *placement) // its own shard's owner judges it
			continue
		}
		switch c.classifyPlacement(shard, job, claim, placement, now) {
		case outcomeCompleted:
			next.MarkCompleted(placement.Task)
			delete(claim.Evictions, placement.Task)
			changed = true
		case outcomeGone:
			if _, moved := claim.Evictions[placement.Task]; !moved && claim.Spec.Shape == protocol.ShapeService && !job.Record.IsFinal() {
				c.log.Info("service replica lost", "task", protocol.TaskName(claim.JobID, placement.Task), "attempt", placement.Attempt, "host", placement.Host)
			}
			delete(claim.Evictions, placement.Task)
			changed, pressing = true, true
			if claim.Spec.Shape == protocol.ShapeGang && len(claim.Record.Placements) > 1 {
				claim.HaltedAttempt = claim.Record.LastAttempt
			}
		case outcomePending:
			uneasy = true
			next.Placements = append(next.Placements, *placement)
		default:
			next.Placements = append(next.Placements, *placement)
		}
	}
	c.sendPendingCommands(shard)
	if claim.Spec.Shape == protocol.ShapeGang && next.CompletedCount() > 0 && !next.IsComplete() {
		// A gang completes together: if one task is done, every one is.
		for t := next.FirstTask; t < next.FirstTask+next.TaskCount; t++ {
			next.MarkCompleted(t)
		}
		changed = true
	}
	if next.IsComplete() && claim.Spec.Shape != protocol.ShapeService && !job.Record.IsFinal() {
		if c.finishJob(shard, job, claim, next) {
			return
		}
		pressing, uneasy = true, true // the job's other chunks wait for this one
	}
	if job.Record.IsFinal() && len(next.Placements) == 0 {
		c.dropClaim(shard, claim)
		return
	}
	if changed {
		if claim.CompletionSeenAt.IsZero() {
			claim.CompletionSeenAt = now
		}
		// A completion alone can wait a little for others: until it is booked
		// its worker goes on listing it, and its room counts as free already.
		// One write for each of some hundred tasks a second is beyond the
		// state service's budget.
		if (pressing || now.Sub(claim.CompletionSeenAt) >= c.policy.CompletionBatchDelay) && c.updateClaim(shard, claim, next, kv.PriorityCompletion, nil) {
			return
		}
		uneasy = true
	}
	if uneasy {
		claim.CheckAt = now.Add(recheckDelay)
		shard.Dirty[claim] = struct{}{}
	}
}

// classifyPlacement decides a placement's fate from proof alone: the worker's own account
// under the current token with no command outstanding, or a machine that the
// cloud has taken back. Silence proves nothing.
func (c *Controller) classifyPlacement(shard *replica.Shard, job *replica.Job, claim *replica.Claim, placement *records.Placement, now time.Time) outcome {
	machine := c.view.Machines[placement.Host]
	if machine == nil {
		return outcomeRunning
	}
	name := claim.TaskName(placement)
	status := machine.Agent.Tasks[name]
	if status != nil && status.Attempt == placement.Attempt && status.Phase == protocol.TaskExited && status.Cause == protocol.CauseDone {
		// Done it is for ever, but an account under an earlier token does not prove
		// that it is off the machine: its worker's session may have ended since, and
		// another owner of the shard may have started it again there. Freed on such
		// an account, a limited team's use was lowered while the task ran.
		if !machine.ShowsToken(shard) && !machine.Lifecycle.Gone && machine.Record.State != records.MachineGone {
			return outcomePending
		}
		c.recordCompletion(job, claim.Spec, machine, name, now)
		return outcomeCompleted
	}
	if machine.Lifecycle.Gone || machine.Record.State == records.MachineGone {
		return outcomeGone
	}
	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace, stop := c.shouldStop(claim, placement, now)
	switch {
	case status != nil && status.Attempt == placement.Attempt && status.Phase == protocol.TaskExited:
		if !machine.ShowsToken(shard) {
			return outcomePending
		}
		if machine.HasUnconfirmedStart(name, placement.Attempt) {
			shard.RequestNewToken(machine)
			return outcomePending
		}
		if status.Cause == protocol.CauseGangTimeout && !stop {
			// It had waited too long for the others, whose images may take longer
			// still. They go on waiting for it: once reaped it starts again, in the
			// same attempt and on the same machine. To end the attempt instead threw
			// away what the others had fetched.
			return outcomePending
		}
		c.recordTaskEnd(job, machine, status, now)
		return outcomeGone
	case status != nil && status.Attempt == placement.Attempt:
		if !stop {
			return outcomeRunning
		}
		if now.Sub(machine.Commands.StopSentAt[name]) > resendInterval && (status.Phase != protocol.TaskCheckpointing || grace == 0) {
			machine.Commands.StopSentAt[name] = now
			c.queueCommands(shard, machine, protocol.StopCommand(name, placement.Attempt, grace))
		}
		return outcomePending
	case status != nil: // another attempt of it is still there
		return outcomePending
	case !machine.ShowsToken(shard):
		return outcomePending
	case stop, c.isOverLimit(claim.Spec), machine.Detector.Reachability.CannotReceive(), c.cannotReport(machine, now) && !c.isStateDown(now):
		// Also what a limit lowered since leaves no room for: what runs may go on, what is
		// not there may not begin. A machine that does not hear would not begin it, and one
		// that does not report would lose it with its lease, which is more than an outage
		// lets begin elsewhere.
		if machine.HasUnconfirmedStart(name, placement.Attempt) {
			shard.RequestNewToken(machine)
			return outcomePending
		}
		return outcomeGone // it never started, and now never will
	}
	// Committed but not there: started by no one, or lost with the worker's
	// session. The same attempt may start again, for nothing else can hold it, unless
	// its job may have been cancelled where this node can't hear of it.
	if !c.hearsNobody(now) && !slices.ContainsFunc(machine.Commands.Pending, isStartOf(name)) && !slices.ContainsFunc(machine.Commands.InFlight, isStartOf(name)) &&
		now.Sub(machine.Commands.StartSentAt[name]) > resendInterval && machine.Record.State == "" {
		machine.Commands.StartSentAt[name] = now
		c.queueCommands(shard, machine, protocol.StartCommand(name, placement.Attempt))
	}
	return outcomePending
}

func isStartOf(name string) func(protocol.Command) bool {
	return func(command protocol.Command) bool { return command.Verb == "start" && command.Task == name }
}

// shouldStop tells whether a placement should end, and with what grace.
func (c *Controller) shouldStop(claim *replica.Claim, placement *records.Placement, now time.Time) (time.Duration, bool) {
	job := c.view.Jobs[claim.JobID]
	if job == nil || job.Record == nil || claim.Spec == nil {
		return 0, false
	}
	if job.Record.IsFinal() {
		return 0, true
	}
	grace := time.Duration(0)
	if claim.Spec.CheckpointInterval() > 0 {
		grace = claim.Spec.CheckpointDuration() + 2*time.Second
	}
	if claim.Halted() {
		return grace, true
	}
	since, ok := claim.Evictions[placement.Task]
	if !ok {
		return 0, false
	}
	if now.Sub(since) > grace+10*time.Second {
		grace = 0
	}
	return grace, true
}
