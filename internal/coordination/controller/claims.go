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

// commitPlacements commits placements, with the claim itself when it is new.
func (c *Controller) commitPlacements(shard *replica.Shard, entry *placement.QueueEntry, next *records.Claim) bool {
	if entry.Claim != nil {
		claim := entry.Claim
		return c.updateClaim(shard, claim, next, claimPriority(entry.Spec), func(err error) {
			if job := c.view.Jobs[claim.JobID]; err == nil && job != nil && c.view.IsActive(shard) && claim.Record != nil {
				c.reconcileClaim(shard, job, claim, time.Now())
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

func claimPriority(spec *protocol.Submission) int {
	if spec.Shape == protocol.ShapeArray {
		return kv.PriorityArrayClaim
	}
	return kv.PriorityClaim
}

// prepareClaim enters a new claim into the cache while its commit is under
// way, so that its room is taken, and gives the conditions on which it depends.
func (c *Controller) prepareClaim(shard *replica.Shard, claim *replica.Claim, next *records.Claim) ([]kv.Compare, []kv.Op, bool) {
	compares, ops, usage, ok := c.reserveTeamUse(shard.Name, claim, next)
	if !ok {
		return nil, nil, false
	}
	if usage != nil {
		usage.Writing = true
	}
	c.view.Claims[claim.Key] = claim
	c.view.SetPending(claim, next)
	c.claimIntents = append(c.claimIntents, claim.Key)
	compares = append(compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: claim.Key, Version: 0})
	return compares, ops, true
}

// initialClaim is the claim on a job that is just being let into the queues, made in the same
// transaction; empty where there is none.
type initialClaim struct {
	claim *replica.Claim
	shard *replica.Shard
	conds []kv.Compare
}

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

// claimImmediately prepares the claim of a job that is just being accepted or released, if this
// node owns one of its shards and that has room for all that must start
// together.
func (c *Controller) claimImmediately(spec *protocol.Submission, at []string, now time.Time) initialClaim {
	size := c.chunkSize(spec, at)
	if size < spec.Tasks || c.isLimited(spec) {
		return initialClaim{}
	}
	for _, name := range at {
		shard := c.view.Shards[name]
		if !c.view.IsActive(shard) || c.view.Claims[records.ClaimKey(spec.JobID, 0)] != nil {
			continue
		}
		job := &replica.Job{ID: spec.JobID, Record: &records.Job{Spec: spec}, Chunks: 1, ChunkSize: size, SeenAt: now}
		entry := &placement.QueueEntry{Job: job, Spec: spec}
		if c.hasEarlierWork(shard, spec, now) {
			continue
		}
		capacities := c.capacities(shard, now)
		zones := placement.NewZoneConstraint(spec, nil)
		next := &records.Claim{Shard: name, TaskCount: spec.Tasks, LastAttempt: 1}
		assignments := c.assignTasks(shard.Name, entry, next, capacities, &zones, now)
		if len(assignments) < spec.Tasks {
			continue
		}
		for _, assignment := range assignments {
			next.Placements = append(next.Placements, records.Placement{Task: assignment.Task, Attempt: 1, Host: capacities[assignment.Index].Host})
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

// hasEarlierWork tells whether others of at least this priority wait already:
// a newcomer must not pass them.
func (c *Controller) hasEarlierWork(shard *replica.Shard, spec *protocol.Submission, now time.Time) bool {
	for _, entry := range c.queue(shard, now) {
		if entry.Spec.Priority() >= spec.Priority() && entry.Spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}

// recordCompletions takes completions that are not booked yet into a version of a claim
// that is about to be committed anyway.
func (c *Controller) recordCompletions(claim *replica.Claim, next *records.Claim) {
	next.Placements = slices.DeleteFunc(next.Placements, func(placed records.Placement) bool {
		machine := c.view.Machines[placed.Host]
		if machine == nil || claim.Spec.Shape == protocol.ShapeGang || !machine.ShowsToken(c.view.Shards[machine.Record.Shard]) {
			return false
		}
		status := machine.Agent.Tasks[claim.TaskName(&placed)]
		if status == nil || status.Attempt != placed.Attempt || status.Phase != protocol.TaskExited || status.Cause != protocol.CauseDone {
			return false
		}
		next.MarkCompleted(placed.Task)
		return true
	})
}

// updateClaim commits a new version of a claim that this shard holds.
func (c *Controller) updateClaim(shard *replica.Shard, claim *replica.Claim, next *records.Claim, prio int, then func(error)) bool {
	if next.MaxEncodedSize() > c.store.MaxValueBytes() {
		// Written before the state service lowered its limits. Each task that ends makes
		// it smaller; until it fits, its workers go on listing what has ended.
		return false
	}
	compares, ops, usage, ok := c.reserveTeamUse(shard.Name, claim, next)
	if !ok {
		return false
	}
	compares = append(compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: claim.Key, Version: claim.Version})
	if job := c.view.Jobs[claim.JobID]; job != nil && len(next.Placements) > 0 && prio < kv.PriorityCompletion {
		compares = append(compares, kv.Compare{Key: records.JobPrefix + claim.JobID, Version: job.Version})
	}
	ops = append(ops, kv.Op{Key: claim.Key, Value: next})
	c.view.SetPending(claim, next)
	if usage != nil {
		usage.Writing = true
	}
	c.commit(prio, compares, ops, 0, func(err error) {
		if usage != nil {
			usage.Writing = false
		}
		c.view.SetPending(claim, nil)
		if err != nil {
			claim.RetryAt = time.Now().Add(150 * time.Millisecond)
			c.log.Debug("claim update failed", "claim", claim.Key, "err", err)
		}
		if then != nil {
			then(err)
		}
	})
	return true
}

// finishJob commits a job's end together with its last chunk's.
func (c *Controller) finishJob(shard *replica.Shard, job *replica.Job, claim *replica.Claim, next *records.Claim) bool {
	if len(job.Claims) != job.Chunks {
		return false
	}
	compares := []kv.Compare{{Key: records.JobPrefix + job.ID, Version: job.Version}, {Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}}
	for i := range job.Chunks {
		other := job.Claims[i]
		if other == nil || other.Record == nil || (other != claim && !other.Record.IsComplete()) {
			return false
		}
	}
	// The other chunks are no conditions: what is recorded as done stays done, and a
	// claim goes only once its job is over, which the job's own condition excludes.
	// Two dozen of them did not fit a transaction of a state service with lower limits.
	compares = append(compares, kv.Compare{Key: claim.Key, Version: claim.Version})
	done := &records.Job{State: protocol.JobDone, Tasks: job.Record.Spec.Tasks}
	teamCompares, ops, usage, ok := c.reserveTeamUse(shard.Name, claim, next)
	if !ok {
		return false
	}
	compares = append(compares, teamCompares...)
	if len(next.Placements) > 0 || job.Chunks > 1 {
		// The description is needed until the last placement is cleared.
		done.Spec = job.Record.Spec
	}
	ops = append(ops, kv.Op{Key: records.JobPrefix + job.ID, Value: done})
	if len(next.Placements) > 0 {
		ops = append(ops, kv.Op{Key: claim.Key, Value: next})
	} else {
		ops = append(ops, kv.Op{Key: claim.Key})
	}
	c.view.SetPending(claim, next)
	if usage != nil {
		usage.Writing = true
	}
	c.commit(kv.PriorityClaim, compares, ops, 0, func(err error) {
		c.view.SetPending(claim, nil)
		if usage != nil {
			usage.Writing = false
		}
		if err != nil {
			claim.RetryAt = time.Now().Add(150 * time.Millisecond)
			return
		}
		c.broadcastFinal(job.ID)
		c.releaseDependents(job.ID, time.Now())
	})
	return true
}

// dropClaim removes the claim of a final job once nothing of it is left.
func (c *Controller) dropClaim(shard *replica.Shard, claim *replica.Claim) {
	empty := claim.Record.Clone()
	empty.Placements = nil
	compares, ops, usage, ok := c.reserveTeamUse(shard.Name, claim, empty)
	if !ok {
		return
	}
	compares = append(compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: claim.Key, Version: claim.Version})
	ops = append(ops, kv.Op{Key: claim.Key})
	c.view.SetPending(claim, empty)
	if usage != nil {
		usage.Writing = true
	}
	c.commit(kv.PriorityCompletion, compares, ops, 0, func(err error) {
		c.view.SetPending(claim, nil)
		if usage != nil {
			usage.Writing = false
		}
		if err != nil {
			claim.RetryAt = time.Now().Add(200 * time.Millisecond)
		}
	})
}

// finishClaim ends the commit of a new claim: its tasks start at once, or,
// when another shard won it, the copy is dropped.
func (c *Controller) finishClaim(shard *replica.Shard, claim *replica.Claim, err error) {
	c.view.SetPending(claim, nil)
	if usage := c.view.Teams[claim.Spec.Team]; usage != nil && c.isLimited(claim.Spec) {
		usage.Writing = false
	}
	if err != nil {
		if claim.Record == nil && c.view.Claims[claim.Key] == claim {
			c.view.DropClaim(claim)
		}
		if job := c.view.Jobs[claim.JobID]; job != nil {
			job.LeftUntil[claim.Chunk] = time.Now().Add(claimRetryPause)
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
