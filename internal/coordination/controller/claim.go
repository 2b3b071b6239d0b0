package controller

import (
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
