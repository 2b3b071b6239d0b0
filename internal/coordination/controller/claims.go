package controller

import (
	"errors"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	// conflictPause is the time between a failed commit of a claim and the next attempt.
	conflictPause = 150 * time.Millisecond
	// dropRetryPause is the time after a failed removal of a claim before the next attempt.
	dropRetryPause = 200 * time.Millisecond
)

// claimChange is a new version of a claim with the conditions and operations of its
// transaction. newClaimChange sets those that the limit of the claim's team requires.
type claimChange struct {
	claim    *replica.Claim
	next     *records.Claim
	compares []kv.Compare
	ops      []kv.Op
	usage    *replica.TeamUsage // the team usage whose record the transaction writes; nil: none
}

// newClaimChange prepares a new version of a claim of a shard, or of a gang across shards if
// shardName is empty, and reports whether the team's limit permits that version now.
func (c *Controller) newClaimChange(shardName string, claim *replica.Claim, next *records.Claim) (*claimChange, bool) {
	compares, ops, usage, ok := c.reserveTeamUse(shardName, claim, next)
	return &claimChange{claim: claim, next: next, compares: compares, ops: ops, usage: usage}, ok
}

// beginChange marks a change as being committed: from now on its placements use capacity, and
// no other transaction of this controller writes the team's usage record.
func (c *Controller) beginChange(change *claimChange) {
	if change.usage != nil {
		change.usage.Writing = true
	}
	c.view.SetPending(change.claim, change.next)
}

// commitChange commits a change. done runs after the change is no longer marked as pending.
func (c *Controller) commitChange(priority kv.Priority, change *claimChange, done func(error)) {
	c.beginChange(change)
	c.commit(priority, change.compares, change.ops, 0, func(err error) {
		if change.usage != nil {
			change.usage.Writing = false
		}
		c.view.SetPending(change.claim, nil)
		done(err)
	})
}

// claimCompares returns the conditions of every change of a shard's claim: the shard is
// still owned under the same fencing token, and the claim has the version on which the
// change is based, which is 0 for a claim that must not exist yet.
func claimCompares(shard *replica.Shard, claim *replica.Claim) []kv.Compare {
	return []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: claim.Key, Version: claim.Version}}
}

// commitPlacements commits a version of a claim with new placements, and creates the claim
// if the entry has none. It reports whether a commit has begun.
func (c *Controller) commitPlacements(shard *replica.Shard, entry *placement.QueueEntry, next *records.Claim) bool {
	if entry.Claim != nil {
		return c.updateClaim(shard, entry.Claim, next, claimPriority(entry.Spec), func(err error) {
			if err == nil {
				c.reconcileCommitted(shard, entry.Claim)
			}
		})
	}
	claim := &replica.Claim{Key: records.ClaimKey(entry.Job.ID, entry.Chunk), JobID: entry.Job.ID, Chunk: entry.Chunk, Spec: entry.Spec}
	compares, ops, ok := c.prepareClaim(shard, claim, next)
	if !ok {
		return false
	}
	compares = append(compares, kv.Compare{Key: records.JobPrefix + entry.Job.ID, Version: entry.Job.Version})
	ops = append(ops, kv.Op{Key: claim.Key, Value: next})
	c.commit(claimPriority(entry.Spec), compares, ops, 0, func(err error) { c.finishClaim(shard, claim, err) })
	return true
}

// reconcileCommitted reconciles a claim right after its placements are committed, so that
// the start commands are sent at once.
func (c *Controller) reconcileCommitted(shard *replica.Shard, claim *replica.Claim) {
	if job := c.view.Jobs[claim.JobID]; job != nil && c.view.IsActive(shard) && claim.Record != nil {
		c.reconcileClaim(shard, job, claim, time.Now())
	}
}

// claimPriority returns the priority of a claim's commit. Claims of arrays rank below others.
func claimPriority(spec *protocol.Submission) kv.Priority {
	if spec.Shape == protocol.ShapeArray {
		return kv.PriorityArrayClaim
	}
	return kv.PriorityClaim
}

// prepareClaim adds a new claim to the view before its commit, so that its placements use
// capacity while the commit is in progress. It returns the transaction's conditions and the
// operations for the team's usage record, and reports whether the team's limit permits the
// claim now.
func (c *Controller) prepareClaim(shard *replica.Shard, claim *replica.Claim, next *records.Claim) ([]kv.Compare, []kv.Op, bool) {
	change, ok := c.newClaimChange(shard.Name, claim, next)
	if !ok {
		return nil, nil, false
	}
	c.view.Claims[claim.Key] = claim
	c.beginChange(change)
	c.claimIntents = append(c.claimIntents, claim.Key)
	return append(change.compares, claimCompares(shard, claim)...), change.ops, true
}

// initialClaim is a claim that is created in the transaction that accepts or releases its
// job. The zero value means that no claim is created.
type initialClaim struct {
	claim    *replica.Claim
	shard    *replica.Shard
	compares []kv.Compare
}

// ops returns the operation that writes the claim, or nil if there is no claim.
func (f initialClaim) ops() []kv.Op {
	if f.claim == nil {
		return nil
	}
	return []kv.Op{{Key: f.claim.Key, Value: f.claim.Pending}}
}

// finish processes the result of the transaction that contained the claim, if there is one.
func (f initialClaim) finish(controller *Controller, err error) {
	if f.claim != nil {
		controller.finishClaim(f.shard, f.claim, err)
	}
}

// prepareInitialClaim prepares the claim of a job that is being accepted or released, if this
// node owns one of the given shards, that shard has capacity for all of the job's tasks, and
// no earlier work of the shard would be overtaken.
func (c *Controller) prepareInitialClaim(spec *protocol.Submission, shardNames []string, now time.Time) initialClaim {
	size := c.chunkSize(spec, shardNames)
	if size < spec.Tasks || c.isLimited(spec) {
		return initialClaim{}
	}
	for _, name := range shardNames {
		shard := c.view.Shards[name]
		if !c.view.IsActive(shard) || c.view.Claims[records.ClaimKey(spec.JobID, 0)] != nil {
			continue
		}
		job := &replica.Job{ID: spec.JobID, Record: &records.Job{Spec: spec}, Chunks: 1, ChunkSize: size, SeenAt: now}
		if c.hasEarlierWork(shard, spec, now) {
			continue
		}
		next := c.placeAllTasks(shard, &placement.QueueEntry{Job: job, Spec: spec}, now)
		if next == nil {
			continue
		}
		claim := &replica.Claim{Key: records.ClaimKey(spec.JobID, 0), JobID: spec.JobID, Spec: spec}
		compares, _, ok := c.prepareClaim(shard, claim, next)
		if !ok {
			continue
		}
		return initialClaim{claim, shard, compares}
	}
	return initialClaim{}
}

// placeAllTasks returns the first version of a claim with all tasks of a job placed on a
// shard's machines, or nil if the shard lacks capacity for some of them.
func (c *Controller) placeAllTasks(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) *records.Claim {
	const firstAttempt = 1
	capacities := c.capacities(shard, now)
	zones := placement.NewZoneConstraint(entry.Spec, nil)
	next := &records.Claim{Shard: shard.Name, TaskCount: entry.Spec.Tasks, LastAttempt: firstAttempt}
	assignments := c.assignTasks(shard.Name, entry, next, capacities, &zones, now)
	if len(assignments) < entry.Spec.Tasks {
		return nil
	}
	for _, assignment := range assignments {
		next.Placements = append(next.Placements, records.Placement{Task: assignment.Task, Attempt: firstAttempt, Host: capacities[assignment.Index].Host})
	}
	return next
}

// hasEarlierWork reports whether a shard's queue holds an entry with at least the priority
// and GPUs of a new job, which the new job must not overtake.
func (c *Controller) hasEarlierWork(shard *replica.Shard, spec *protocol.Submission, now time.Time) bool {
	for _, entry := range c.queue(shard, now) {
		if entry.Spec.Priority() >= spec.Priority() && entry.Spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}

// recordCompletions adds unrecorded completions to a version of a claim that is committed for
// another reason.
func (c *Controller) recordCompletions(claim *replica.Claim, next *records.Claim) {
	next.Placements = slices.DeleteFunc(next.Placements, func(placed records.Placement) bool {
		if !c.isProvenCompleted(claim, &placed) {
			return false
		}
		next.MarkCompleted(placed.Task)
		return true
	})
}

// isProvenCompleted reports whether a machine shows under the current fencing token that a
// placement's task has completed. It is false for tasks of gangs, which complete together.
func (c *Controller) isProvenCompleted(claim *replica.Claim, placed *records.Placement) bool {
	machine := c.view.Machines[placed.Host]
	if machine == nil || claim.Spec.Shape == protocol.ShapeGang || !machine.ShowsToken(c.view.Shards[machine.Record.Shard]) {
		return false
	}
	task := &placedTask{placement: placed, status: machine.Agent.Tasks[claim.TaskName(placed)]}
	return task.hasCompleted()
}

// updateClaim commits a new version of a claim that the shard holds, and reports whether the
// commit has begun. done, if not nil, runs after the commit.
func (c *Controller) updateClaim(shard *replica.Shard, claim *replica.Claim, next *records.Claim, priority kv.Priority, done func(error)) bool {
	if next.MaxEncodedSize() > c.store.MaxValueBytes() {
		// The record was written before the state service lowered its limits. It shrinks with
		// each task that ends; until it fits, the agents keep listing the ended tasks.
		return false
	}
	change, ok := c.newClaimChange(shard.Name, claim, next)
	if !ok {
		return false
	}
	change.compares = append(change.compares, claimCompares(shard, claim)...)
	if job := c.view.Jobs[claim.JobID]; job != nil && len(next.Placements) > 0 && priority < kv.PriorityCompletion {
		change.compares = append(change.compares, kv.Compare{Key: records.JobPrefix + claim.JobID, Version: job.Version})
	}
	change.ops = append(change.ops, kv.Op{Key: claim.Key, Value: next})
	c.commitChange(priority, change, func(err error) {
		if err != nil {
			claim.RetryAt = time.Now().Add(conflictPause)
			c.log.Debug("claim update failed", "claim", claim.Key, "err", err)
		}
		if done != nil {
			done(err)
		}
	})
	return true
}

// finishJob commits that a job is done together with the completion of its last chunk, and
// reports whether the commit has begun.
//
// The claims of the other chunks need no conditions: a recorded completion is final, and a
// claim is removed only once its job is final, which the condition on the job's version
// excludes. Conditions on two dozen claims could exceed the state service's transaction limits.
func (c *Controller) finishJob(shard *replica.Shard, job *replica.Job, claim *replica.Claim, next *records.Claim) bool {
	if !areOtherChunksComplete(job, claim) {
		return false
	}
	change, ok := c.newClaimChange(shard.Name, claim, next)
	if !ok {
		return false
	}
	compares := append([]kv.Compare{{Key: records.JobPrefix + job.ID, Version: job.Version}}, claimCompares(shard, claim)...)
	change.compares = append(compares, change.compares...)
	done := &records.Job{State: protocol.JobDone, Tasks: job.Record.Spec.Tasks}
	if len(next.Placements) > 0 || job.Chunks > 1 {
		done.Spec = job.Record.Spec // the job's description is needed until its last placement is cleared
	}
	claimOp := kv.Op{Key: claim.Key}
	if len(next.Placements) > 0 {
		claimOp.Value = next
	}
	change.ops = append(change.ops, kv.Op{Key: records.JobPrefix + job.ID, Value: done}, claimOp)
	c.commitChange(kv.PriorityClaim, change, func(err error) {
		if err != nil {
			claim.RetryAt = time.Now().Add(conflictPause)
			return
		}
		c.broadcastFinal(job.ID)
		c.releaseDependents(job.ID, time.Now())
	})
	return true
}

// areOtherChunksComplete reports whether all chunks of a job are claimed and all except last
// are recorded as complete.
func areOtherChunksComplete(job *replica.Job, last *replica.Claim) bool {
	if len(job.Claims) != job.Chunks {
		return false
	}
	for i := range job.Chunks {
		other := job.Claims[i]
		if other == nil || other.Record == nil || (other != last && !other.Record.IsComplete()) {
			return false
		}
	}
	return true
}

// dropClaim removes the claim of a final job once the claim has no placements left.
func (c *Controller) dropClaim(shard *replica.Shard, claim *replica.Claim) {
	empty := claim.Record.Clone()
	empty.Placements = nil
	change, ok := c.newClaimChange(shard.Name, claim, empty)
	if !ok {
		return
	}
	change.compares = append(change.compares, claimCompares(shard, claim)...)
	change.ops = append(change.ops, kv.Op{Key: claim.Key})
	c.commitChange(kv.PriorityCompletion, change, func(err error) {
		if err != nil {
			claim.RetryAt = time.Now().Add(dropRetryPause)
		}
	})
}

// finishClaim processes the result of the commit of a new claim. After a success the claim is
// reconciled at once, which starts its tasks. After a failure the claim is removed from the
// view, unless a record of the chunk, such as another shard's claim, has been read meanwhile.
func (c *Controller) finishClaim(shard *replica.Shard, claim *replica.Claim, err error) {
	c.view.SetPending(claim, nil)
	if usage := c.view.Teams[claim.Spec.Team]; usage != nil && c.isLimited(claim.Spec) {
		usage.Writing = false
	}
	if err != nil {
		c.dropUncommitted(claim)
		if job := c.view.Jobs[claim.JobID]; job != nil {
			job.DeferredUntil[claim.Chunk] = time.Now().Add(claimRetryPause)
		}
		if !errors.Is(err, kv.ErrCompareFailed) {
			c.log.Debug("claim commit failed", "claim", claim.Key, "err", err)
		}
		return
	}
	job := c.view.Jobs[claim.JobID]
	if job == nil || claim.Record == nil || !c.view.IsActive(shard) {
		return
	}
	if job.Claims[claim.Chunk] == nil {
		c.view.Attach(job, claim)
	}
	c.reconcileClaim(shard, job, claim, time.Now())
}

// dropUncommitted removes a claim from the view if no version of the claim is recorded.
func (c *Controller) dropUncommitted(claim *replica.Claim) {
	if claim.Record == nil && c.view.Claims[claim.Key] == claim {
		c.view.DropClaim(claim)
	}
}
