package controller

import (
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// reconcileClaims compares those claims of a shard that are marked dirty with the heartbeats of
// the machines: it records ended tasks, starts missing tasks and stops tasks that must not run.
func (c *Controller) reconcileClaims(shard *replica.Shard, now time.Time) {
	for _, claim := range c.view.TakeDirtyClaims(shard, now) {
		job := c.view.Jobs[claim.JobID]
		if claim.Record == nil || claim.Pending != nil || job == nil || claim.Spec == nil {
			continue // the claim is marked dirty again once it can be reconciled
		}
		c.reconcileClaim(shard, job, claim, now)
	}
}

// outcome is the proven state of a placement.
type outcome int

const (
	outcomeRunning   outcome = iota // the task is or may be on its machine
	outcomePending                  // the task is or may be on its machine, and the placement must be checked again
	outcomeCompleted                // the task has completed
	outcomeGone                     // the task is not on its machine and cannot start there any more
)

// claimReconciliation is the result of comparing a claim with the heartbeats of its machines.
type claimReconciliation struct {
	next    *records.Claim // the claim without the placements that have ended
	changed bool           // the record in the field next differs from the claim's committed version
	urgent  bool           // next is committed without a delay to collect further completions
	recheck bool           // the claim must be checked again after recheckDelay
}

// reconcileClaim classifies a claim's placements, sends the resulting commands to the machines,
// and commits the claim if it has changed.
func (c *Controller) reconcileClaim(shard *replica.Shard, job *replica.Job, claim *replica.Claim, now time.Time) {
	result := c.newReconciliation(job, claim)
	if hasLostGangTask(claim) {
		claim.HaltedAttempt = claim.Record.LastAttempt
	}
	for i := range claim.Record.Placements {
		c.reconcilePlacement(shard, job, claim, &claim.Record.Placements[i], result, now)
	}
	c.sendPendingCommands(shard)
	if claim.Spec.Shape == protocol.ShapeGang {
		result.completeGang()
	}
	if result.next.IsComplete() && claim.Spec.Shape != protocol.ShapeService && !job.Record.IsFinal() {
		if c.finishJob(shard, job, claim, result.next) {
			return
		}
		result.urgent, result.recheck = true, true // the job's other chunks can finish the job only once the completion of this chunk is recorded
	}
	if job.Record.IsFinal() && len(result.next.Placements) == 0 {
		c.dropClaim(shard, claim)
		return
	}
	if result.changed {
		if c.commitReconciled(shard, claim, result, now) {
			return
		}
		result.recheck = true
	}
	if result.recheck {
		claim.CheckAt = now.Add(recheckDelay)
		shard.Dirty[claim] = struct{}{}
	}
}

// newReconciliation returns a reconciliation to which no placement of the claim is added yet. It
// is urgent if the claim's team has a limit and other shards may wait for a share of it.
func (c *Controller) newReconciliation(job *replica.Job, claim *replica.Claim) *claimReconciliation {
	next := claim.Record.Clone()
	next.Placements = next.Placements[:0]
	team := claim.Spec.Team
	urgent := c.isLimited(claim.Spec) && (!c.view.Quota.IsAllotted(team) || c.view.Quota.HasDemand(team))
	return &claimReconciliation{next: next, urgent: urgent, recheck: job.Record.IsFinal()}
}

// hasLostGangTask reports whether a gang, which is always placed as a whole, has lost a
// placement, so that its attempt must end.
func hasLostGangTask(claim *replica.Claim) bool {
	placed := len(claim.Record.Placements)
	return claim.Spec.Shape == protocol.ShapeGang && placed > 0 && placed+claim.Record.CompletedCount() < claim.Record.TaskCount
}

// reconcilePlacement adds a placement, or its end, to a claim's reconciliation.
func (c *Controller) reconcilePlacement(shard *replica.Shard, job *replica.Job, claim *replica.Claim, placement *records.Placement, result *claimReconciliation, now time.Time) {
	if c.isOfOtherShard(shard, claim, placement) {
		result.next.Placements = append(result.next.Placements, *placement)
		return
	}
	switch c.classifyPlacement(shard, job, claim, placement, now) {
	case outcomeCompleted:
		result.next.MarkCompleted(placement.Task)
		delete(claim.Evictions, placement.Task)
		result.changed = true
	case outcomeGone:
		c.endPlacement(job, claim, placement)
		result.changed, result.urgent = true, true
	case outcomePending:
		result.recheck = true
		result.next.Placements = append(result.next.Placements, *placement)
	default:
		result.next.Placements = append(result.next.Placements, *placement)
	}
}

// isOfOtherShard reports whether a placement of a gang across shards is on a machine of
// another shard, whose owner reconciles it.
func (c *Controller) isOfOtherShard(shard *replica.Shard, claim *replica.Claim, placement *records.Placement) bool {
	machine := c.view.Machines[placement.Host]
	return claim.Record.Shard == "" && machine != nil && machine.Record.Shard != shard.Name
}

// endPlacement updates a claim for a placement whose task is gone. If one task of a gang is
// gone, the attempt of the whole gang ends.
func (c *Controller) endPlacement(job *replica.Job, claim *replica.Claim, placement *records.Placement) {
	if _, evicted := claim.Evictions[placement.Task]; !evicted && claim.Spec.Shape == protocol.ShapeService && !job.Record.IsFinal() {
		c.log.Info("service replica lost", "task", protocol.TaskName(claim.JobID, placement.Task), "attempt", placement.Attempt, "host", placement.Host)
	}
	delete(claim.Evictions, placement.Task)
	if claim.Spec.Shape == protocol.ShapeGang && len(claim.Record.Placements) > 1 {
		claim.HaltedAttempt = claim.Record.LastAttempt
	}
}

// completeGang marks every task of a gang as completed if any is, because a gang completes as a
// whole.
func (r *claimReconciliation) completeGang() {
	if r.next.CompletedCount() == 0 || r.next.IsComplete() {
		return
	}
	for task := r.next.FirstTask; task < r.next.FirstTask+r.next.TaskCount; task++ {
		r.next.MarkCompleted(task)
	}
	r.changed = true
}

// commitReconciled commits a reconciled claim and reports whether a commit has begun. Unless
// the commit is urgent, it is delayed by CompletionBatchDelay so that one write records several
// completions: one write for each of some hundred tasks per second would exceed the state
// service's budget. Until the commit the agent keeps listing the completed task, and the task's
// capacity already counts as free.
func (c *Controller) commitReconciled(shard *replica.Shard, claim *replica.Claim, result *claimReconciliation, now time.Time) bool {
	if claim.CompletionSeenAt.IsZero() {
		claim.CompletionSeenAt = now
	}
	if !result.urgent && now.Sub(claim.CompletionSeenAt) < c.policy.CompletionBatchDelay {
		return false
	}
	return c.updateClaim(shard, claim, result.next, kv.PriorityCompletion, nil)
}

// placedTask is a placement together with the task status that its machine shows.
type placedTask struct {
	shard     *replica.Shard
	claim     *replica.Claim
	placement *records.Placement
	machine   *replica.Machine
	name      string
	status    *protocol.TaskStatus // the task's status, of any attempt; nil: the machine does not show the task
}

// isShown reports whether the machine shows the placement's attempt of the task.
func (t *placedTask) isShown() bool {
	return t.status != nil && t.status.Attempt == t.placement.Attempt
}

// hasExited reports whether the machine shows that the placement's attempt has exited.
func (t *placedTask) hasExited() bool {
	return t.isShown() && t.status.Phase == protocol.TaskExited
}

// hasCompleted reports whether the machine shows that the placement's attempt has completed.
func (t *placedTask) hasCompleted() bool {
	return t.hasExited() && t.status.Cause == protocol.CauseDone
}

// classifyPlacement determines a placement's outcome. A placement ends only on proof: either
// the agent's own status under the current fencing token, or the cloud's confirmation that
// the machine is returned. If the attempt has not completed, the agent's status is proof
// only once no earlier start command of the attempt can still be executed. A machine's
// silence is never proof.
func (c *Controller) classifyPlacement(shard *replica.Shard, job *replica.Job, claim *replica.Claim, placement *records.Placement, now time.Time) outcome {
	machine := c.view.Machines[placement.Host]
	if machine == nil {
		return outcomeRunning
	}
	name := claim.TaskName(placement)
	task := &placedTask{shard: shard, claim: claim, placement: placement, machine: machine, name: name, status: machine.Agent.Tasks[name]}
	if task.hasCompleted() {
		return c.classifyCompleted(job, task, now)
	}
	if isReturned(machine) {
		return outcomeGone
	}
	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace, stop := c.shouldStop(claim, placement, now)
	switch {
	case task.hasExited():
		return c.classifyExited(job, task, stop, now)
	case task.isShown():
		if !stop {
			return outcomeRunning
		}
		c.sendStop(task, grace, now)
		return outcomePending
	case task.status != nil: // the machine shows another attempt of the task
		return outcomePending
	case !machine.ShowsToken(shard):
		return outcomePending
	case stop, c.isStartForbidden(claim, machine, now):
		return c.classifyNotStarted(task, stop, now)
	}
	c.requestStart(task, now)
	return outcomePending
}

// isReturned reports whether the cloud has confirmed that a machine is returned.
func isReturned(machine *replica.Machine) bool {
	return machine.Lifecycle.Gone || machine.Record.State == records.MachineGone
}

// classifyCompleted classifies a placement whose task has completed. Completion is final, but a
// status under an earlier fencing token does not prove that the task is no longer on the
// machine: the agent epoch may have ended since, and another owner of the shard may have
// started the task there again. Requiring the current token prevents a limited team's usage
// from being lowered while the task runs.
func (c *Controller) classifyCompleted(job *replica.Job, task *placedTask, now time.Time) outcome {
	if !task.machine.ShowsToken(task.shard) && !isReturned(task.machine) {
		return outcomePending
	}
	c.recordCompletion(job, task.claim.Spec, task.machine, task.name, now)
	return outcomeCompleted
}

// classifyExited classifies a placement whose task has exited without completing.
func (c *Controller) classifyExited(job *replica.Job, task *placedTask, stop bool, now time.Time) outcome {
	if !task.machine.ShowsToken(task.shard) {
		return outcomePending
	}
	if task.machine.HasUnconfirmedStart(task.name, task.placement.Attempt) {
		c.voidUnknownStarts(task.shard, task.machine)
		return outcomePending
	}
	if task.status.Cause == protocol.CauseGangTimeout && !stop {
		// The task waited too long for the other tasks of its gang, which may still be
		// fetching images. Once reaped, it starts again in the same attempt and on the same
		// machine: ending the attempt would waste the images fetched so far.
		return outcomePending
	}
	c.recordTaskEnd(job, task.machine, task.status, now)
	return outcomeGone
}

// classifyNotStarted classifies a placement that its machine does not show and that must not
// start any more. The placement is gone once no earlier start command can be executed late. If its
// start was sent and the outcome is unknown, a placement that must end is stopped meanwhile.
func (c *Controller) classifyNotStarted(task *placedTask, stop bool, now time.Time) outcome {
	if !task.machine.HasUnconfirmedStart(task.name, task.placement.Attempt) {
		return outcomeGone
	}
	if stop {
		c.sendStop(task, 0, now)
	}
	c.voidUnknownStarts(task.shard, task.machine)
	return outcomePending
}

// sendStop queues a stop command for a task and repeats it after resendInterval. A task that is
// writing its checkpoint is not stopped while it has a grace period.
func (c *Controller) sendStop(task *placedTask, grace time.Duration, now time.Time) {
	commands := &task.machine.Commands
	mayInterrupt := grace == 0 || task.status.Phase != protocol.TaskCheckpointing
	if now.Sub(commands.StopSentAt[task.name]) > resendInterval && mayInterrupt {
		commands.StopSentAt[task.name] = now
		command := protocol.StopCommand(task.name, task.placement.Attempt, grace)
		c.logDecision(task.machine, command, c.stopReason(task))
		c.queueCommands(task.shard, task.machine, command)
	}
}

// stopReason returns why a placed task must stop, as the log spells it.
func (c *Controller) stopReason(task *placedTask) string {
	job := c.view.Jobs[task.claim.JobID]
	switch {
	case job != nil && job.Record != nil && job.Record.IsFinal():
		return "job " + job.Record.State
	case task.claim.Halted():
		return "gang attempt ended"
	}
	return "evicted"
}

const (
	// checkpointMargin is added to the duration of a checkpoint to get the grace period.
	checkpointMargin = 2 * time.Second
	// maxEvictionDelay is how long an evicted task may run beyond its grace period before it
	// is stopped without one.
	maxEvictionDelay = 10 * time.Second
)

// shouldStop reports whether a placement must end, and returns the grace period for its
// checkpoint.
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
		grace = claim.Spec.CheckpointDuration() + checkpointMargin
	}
	if claim.Halted() {
		return grace, true
	}
	evictedAt, evicted := claim.Evictions[placement.Task]
	if !evicted {
		return 0, false
	}
	if now.Sub(evictedAt) > grace+maxEvictionDelay {
		grace = 0
	}
	return grace, true
}
