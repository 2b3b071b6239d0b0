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
func (n *Controller) commitPlacements(s *replica.Shard, u *placement.QueueEntry, next *records.Claim) bool {
	if u.Claim != nil {
		c := u.Claim
		return n.updateClaim(s, c, next, claimPriority(u.Spec), func(err error) {
			if j := n.view.Jobs[c.JobID]; err == nil && j != nil && n.view.IsActive(s) && c.Record != nil {
				n.reconcileClaim(s, j, c, time.Now())
			}
		})
	}
	c := &replica.Claim{Key: records.ClaimKey(u.Job.ID, u.Chunk), JobID: u.Job.ID, Chunk: u.Chunk, Spec: u.Spec}
	conds, ops, ok := n.prepareClaim(s, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.JobPrefix + u.Job.ID, Version: u.Job.Version})
	ops = append(ops, kv.Op{Key: c.Key, Value: next})
	n.commit(claimPriority(u.Spec), conds, ops, 0, func(err error) { n.finishClaim(s, c, err) })
	return true
}

func claimPriority(s *protocol.Submission) int {
	if s.Shape == protocol.ShapeArray {
		return kv.PriorityArrayClaim
	}
	return kv.PriorityClaim
}

// prepareClaim enters a new claim into the cache while its commit is under
// way, so that its room is taken, and gives the conditions on which it depends.
func (n *Controller) prepareClaim(s *replica.Shard, c *replica.Claim, next *records.Claim) ([]kv.Compare, []kv.Op, bool) {
	conds, ops, t, ok := n.reserveTeamUse(s.Name, c, next)
	if !ok {
		return nil, nil, false
	}
	if t != nil {
		t.Writing = true
	}
	n.view.Claims[c.Key] = c
	n.view.SetPending(c, next)
	n.claimIntents = append(n.claimIntents, c.Key)
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: 0})
	return conds, ops, true
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
func (f initialClaim) finish(n *Controller, err error) {
	if f.claim != nil {
		n.finishClaim(f.shard, f.claim, err)
	}
}

// claimImmediately prepares the claim of a job that is just being accepted or released, if this
// node owns one of its shards and that has room for all that must start
// together.
func (n *Controller) claimImmediately(spec *protocol.Submission, at []string, now time.Time) initialClaim {
	size := n.chunkSize(spec, at)
	if size < spec.Tasks || n.isLimited(spec) {
		return initialClaim{}
	}
	for _, name := range at {
		s := n.view.Shards[name]
		if !n.view.IsActive(s) || n.view.Claims[records.ClaimKey(spec.JobID, 0)] != nil {
			continue
		}
		j := &replica.Job{ID: spec.JobID, Record: &records.Job{Spec: spec}, Chunks: 1, ChunkSize: size, SeenAt: now}
		u := &placement.QueueEntry{Job: j, Spec: spec}
		if n.hasEarlierWork(s, spec, now) {
			continue
		}
		rooms := n.capacities(s, now)
		z := placement.NewZoneConstraint(spec, nil)
		next := &records.Claim{Shard: name, TaskCount: spec.Tasks, LastAttempt: 1}
		picks := n.assignTasks(s.Name, u, next, rooms, &z, now)
		if len(picks) < spec.Tasks {
			continue
		}
		for _, pk := range picks {
			next.Placements = append(next.Placements, records.Placement{Task: pk.Task, Attempt: 1, Host: rooms[pk.Index].Host})
		}
		c := &replica.Claim{Key: records.ClaimKey(spec.JobID, 0), JobID: spec.JobID, Spec: spec}
		conds, _, ok := n.prepareClaim(s, c, next)
		if !ok {
			continue
		}
		return initialClaim{c, s, conds}
	}
	return initialClaim{}
}

// hasEarlierWork tells whether others of at least this priority wait already:
// a newcomer must not pass them.
func (n *Controller) hasEarlierWork(s *replica.Shard, spec *protocol.Submission, now time.Time) bool {
	for _, u := range n.queue(s, now) {
		if u.Spec.Priority() >= spec.Priority() && u.Spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}

// recordCompletions takes completions that are not booked yet into a version of a claim
// that is about to be committed anyway.
func (n *Controller) recordCompletions(c *replica.Claim, next *records.Claim) {
	next.Placements = slices.DeleteFunc(next.Placements, func(p records.Placement) bool {
		m := n.view.Machines[p.Host]
		if m == nil || c.Spec.Shape == protocol.ShapeGang || !m.ShowsToken(n.view.Shards[m.Record.Shard]) {
			return false
		}
		t := m.Agent.Tasks[c.TaskName(&p)]
		if t == nil || t.Attempt != p.Attempt || t.Phase != protocol.TaskExited || t.Cause != protocol.CauseDone {
			return false
		}
		next.MarkCompleted(p.Task)
		return true
	})
}

// updateClaim commits a new version of a claim that this shard holds.
func (n *Controller) updateClaim(s *replica.Shard, c *replica.Claim, next *records.Claim, prio int, then func(error)) bool {
	if next.MaxEncodedSize() > n.store.MaxValueBytes() {
		// Written before the state service lowered its limits. Each task that ends makes
		// it smaller; until it fits, its workers go on listing what has ended.
		return false
	}
	conds, ops, t, ok := n.reserveTeamUse(s.Name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: c.Version})
	if j := n.view.Jobs[c.JobID]; j != nil && len(next.Placements) > 0 && prio < kv.PriorityCompletion {
		conds = append(conds, kv.Compare{Key: records.JobPrefix + c.JobID, Version: j.Version})
	}
	ops = append(ops, kv.Op{Key: c.Key, Value: next})
	n.view.SetPending(c, next)
	if t != nil {
		t.Writing = true
	}
	n.commit(prio, conds, ops, 0, func(err error) {
		if t != nil {
			t.Writing = false
		}
		n.view.SetPending(c, nil)
		if err != nil {
			c.RetryAt = time.Now().Add(150 * time.Millisecond)
			n.log.Debug("claim not updated", "claim", c.Key, "err", err)
		}
		if then != nil {
			then(err)
		}
	})
	return true
}

// finishJob commits a job's end together with its last chunk's.
func (n *Controller) finishJob(s *replica.Shard, j *replica.Job, c *replica.Claim, next *records.Claim) bool {
	if len(j.Claims) != j.Chunks {
		return false
	}
	conds := []kv.Compare{{Key: records.JobPrefix + j.ID, Version: j.Version}, {Key: records.ShardPrefix + s.Name, Version: s.FencingToken}}
	for i := range j.Chunks {
		o := j.Claims[i]
		if o == nil || o.Record == nil || (o != c && !o.Record.IsComplete()) {
			return false
		}
	}
	// The other chunks are no conditions: what is recorded as done stays done, and a
	// claim goes only once its job is over, which the job's own condition excludes.
	// Two dozen of them did not fit a transaction of a state service with lower limits.
	conds = append(conds, kv.Compare{Key: c.Key, Version: c.Version})
	done := &records.Job{State: protocol.JobDone, Tasks: j.Record.Spec.Tasks}
	tconds, ops, t, ok := n.reserveTeamUse(s.Name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, tconds...)
	if len(next.Placements) > 0 || j.Chunks > 1 {
		// The description is needed until the last placement is cleared.
		done.Spec = j.Record.Spec
	}
	ops = append(ops, kv.Op{Key: records.JobPrefix + j.ID, Value: done})
	if len(next.Placements) > 0 {
		ops = append(ops, kv.Op{Key: c.Key, Value: next})
	} else {
		ops = append(ops, kv.Op{Key: c.Key})
	}
	n.view.SetPending(c, next)
	if t != nil {
		t.Writing = true
	}
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		n.view.SetPending(c, nil)
		if t != nil {
			t.Writing = false
		}
		if err != nil {
			c.RetryAt = time.Now().Add(150 * time.Millisecond)
			return
		}
		n.broadcastFinal(j.ID)
		n.releaseDependents(j.ID, time.Now())
	})
	return true
}

// dropClaim removes the claim of a final job once nothing of it is left.
func (n *Controller) dropClaim(s *replica.Shard, c *replica.Claim) {
	empty := c.Record.Clone()
	empty.Placements = nil
	conds, ops, t, ok := n.reserveTeamUse(s.Name, c, empty)
	if !ok {
		return
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: c.Version})
	ops = append(ops, kv.Op{Key: c.Key})
	n.view.SetPending(c, empty)
	if t != nil {
		t.Writing = true
	}
	n.commit(kv.PriorityCompletion, conds, ops, 0, func(err error) {
		n.view.SetPending(c, nil)
		if t != nil {
			t.Writing = false
		}
		if err != nil {
			c.RetryAt = time.Now().Add(200 * time.Millisecond)
		}
	})
}

// finishClaim ends the commit of a new claim: its tasks start at once, or,
// when another shard won it, the copy is dropped.
func (n *Controller) finishClaim(s *replica.Shard, c *replica.Claim, err error) {
	n.view.SetPending(c, nil)
	if t := n.view.Teams[c.Spec.Team]; t != nil && n.isLimited(c.Spec) {
		t.Writing = false
	}
	if err != nil {
		if c.Record == nil && n.view.Claims[c.Key] == c {
			n.view.DropClaim(c)
		}
		if j := n.view.Jobs[c.JobID]; j != nil {
			j.LeftUntil[c.Chunk] = time.Now().Add(claimRetryPause)
		}
		if !errors.Is(err, kv.ErrCompareFailed) {
			n.log.Debug("claim not made", "claim", c.Key, "err", err)
		}
		return
	}
	j := n.view.Jobs[c.JobID]
	if j == nil || c.Record == nil || !n.view.IsActive(s) {
		return
	}
	if j.Claims[c.Chunk] == nil {
		n.view.Attach(j, c)
	}
	n.reconcileClaim(s, j, c, time.Now())
}
