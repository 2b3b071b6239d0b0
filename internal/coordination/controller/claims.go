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
	// conflictPause is how long a claim is left alone after a commit of it failed.
	conflictPause = 150 * time.Millisecond
	// dropRetryPause is the same for the removal of a claim.
	dropRetryPause = 200 * time.Millisecond
)

// claimChange is a new version of a claim, with the part of its transaction that carries
// the change of its team's use.
type claimChange struct {
	claim    *replica.Claim
	next     *records.Claim
	compares []kv.Compare
	ops      []kv.Op
	usage    *replica.TeamUsage // whose record the transaction writes; nil: none
}

// newClaimChange prepares a change of a claim of a shard, or of a gang across shards if
// the shard is empty. It reports whether the team's limit permits the change now.
func (c *Controller) newClaimChange(shardName string, claim *replica.Claim, next *records.Claim) (*claimChange, bool) {
	compares, ops, usage, ok := c.reserveTeamUse(shardName, claim, next)
	return &claimChange{claim: claim, next: next, compares: compares, ops: ops, usage: usage}, ok
}

// beginChange marks a change as being committed: its capacity is in use from now on, and
// nothing else writes the record of the team's use.
func (c *Controller) beginChange(change *claimChange) {
	if change.usage != nil {
		change.usage.Writing = true
	}
	c.view.SetPending(change.claim, change.next)
}

// commitChange commits a change. done runs once the change is not pending any more.
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
// still owned under the same fencing token, and the claim is at the version decided on,
// which is 0 for a claim that must not exist yet.
func claimCompares(shard *replica.Shard, claim *replica.Claim) []kv.Compare {
	return []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: claim.Key, Version: claim.Version}}
}

// commitPlacements commits placements, with the claim itself when it is new. It reports
// whether a commit has begun.
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

// reconcileCommitted reconciles a claim whose placements are committed, so that its tasks
// start at once.
func (c *Controller) reconcileCommitted(shard *replica.Shard, claim *replica.Claim) {
	if job := c.view.Jobs[claim.JobID]; job != nil && c.view.IsActive(shard) && claim.Record != nil {
		c.reconcileClaim(shard, job, claim, time.Now())
	}
}

// claimPriority returns the priority of a claim's commit. Those of arrays come after others.
func claimPriority(spec *protocol.Submission) kv.Priority {
	if spec.Shape == protocol.ShapeArray {
		return kv.PriorityArrayClaim
	}
	return kv.PriorityClaim
}

// prepareClaim adds a new claim to the view while its commit is under way, so that its
// capacity is in use, and returns the transaction's conditions and changes. It reports
// whether the team's limit permits the claim now.
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

// initialClaim is the claim of a job that is being accepted or released, made in the same
// transaction. It is empty if there is none.
type initialClaim struct {
	claim    *replica.Claim
	shard    *replica.Shard
	compares []kv.Compare
}

// ops returns the claim's part of the transaction.
func (f initialClaim) ops() []kv.Op {
	if f.claim == nil {
		return nil
	}
	return []kv.Op{{Key: f.claim.Key, Value: f.claim.Pending}}
}

// finish ends the claim's commit.
func (f initialClaim) finish(controller *Controller, err error) {
	if f.claim != nil {
		controller.finishClaim(f.shard, f.claim, err)
	}
}

// claimImmediately prepares the claim of a job that is being accepted or released, if this
// node owns one of its shards and that shard has capacity for all of its tasks.
func (c *Controller) claimImmediately(spec *protocol.Submission, shardNames []string, now time.Time) initialClaim {
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
		next := c.placeWhole(shard, &placement.QueueEntry{Job: job, Spec: spec}, now)
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

// placeWhole returns the first version of a claim with all tasks of a job placed on a
// shard's machines, or nil if it has no capacity for all of them.
func (c *Controller) placeWhole(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) *records.Claim {
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

// hasEarlierWork reports whether others of at least this priority wait already: a new job
// must not pass them.
func (c *Controller) hasEarlierWork(shard *replica.Shard, spec *protocol.Submission, now time.Time) bool {
	for _, entry := range c.queue(shard, now) {
		if entry.Spec.Priority() >= spec.Priority() && entry.Spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}

// recordCompletions adds completions that are not recorded yet to a version of a claim
// that is about to be committed anyway.
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
// placement's task has completed. Tasks of a gang complete together, not one by one.
func (c *Controller) isProvenCompleted(claim *replica.Claim, placed *records.Placement) bool {
	machine := c.view.Machines[placed.Host]
	if machine == nil || claim.Spec.Shape == protocol.ShapeGang || !machine.ShowsToken(c.view.Shards[machine.Record.Shard]) {
		return false
	}
	task := &placedTask{placement: placed, status: machine.Agent.Tasks[claim.TaskName(placed)]}
	return task.hasCompleted()
}

// updateClaim commits a new version of a claim that this shard holds, and reports whether
// the commit has begun. then, if set, runs after it.
func (c *Controller) updateClaim(shard *replica.Shard, claim *replica.Claim, next *records.Claim, priority kv.Priority, then func(error)) bool {
	if next.MaxEncodedSize() > c.store.MaxValueBytes() {
		// It was written before the state service lowered its limits. Each task that ends
		// makes it smaller; until it fits, its agents go on listing what has ended.
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
		if then != nil {
			then(err)
		}
	})
	return true
}

// finishJob commits a job's end together with that of its last chunk, and reports whether
// the commit has begun.
//
// The claims of the other chunks are no conditions: recorded completion is final, and a
// claim is removed only once its job is final, which the job's own condition excludes. This
// keeps the transaction within the limits of the state service, which two dozen claims
// may exceed.
func (c *Controller) finishJob(shard *replica.Shard, job *replica.Job, claim *replica.Claim, next *records.Claim) bool {
	if !othersComplete(job, claim) {
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
		done.Spec = job.Record.Spec // needed until the last placement is cleared
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

// othersComplete reports whether all chunks of a job are claimed and all but one, the last
// to be recorded, are recorded as complete.
func othersComplete(job *replica.Job, last *replica.Claim) bool {
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

// dropClaim removes the claim of a final job once nothing of it is left.
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

// finishClaim ends the commit of a new claim: its tasks start at once, or, when another
// shard has claimed the chunk, the view drops it.
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

// dropUncommitted removes a claim from the view whose first version was not committed.
func (c *Controller) dropUncommitted(claim *replica.Claim) {
	if claim.Record == nil && c.view.Claims[claim.Key] == claim {
		c.view.DropClaim(claim)
	}
}
