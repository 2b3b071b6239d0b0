package controller

import (
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// commitUnit commits placements, with the claim itself when it is new.
func (n *Controller) commitUnit(s *replica.Shard, u *unit, next *records.Claim) bool {
	if u.c != nil {
		c := u.c
		return n.update(s, c, next, claimPrio(u.spec), func(err error) {
			if j := n.view.Jobs[c.JobID]; err == nil && j != nil && n.view.IsActive(s) && c.Record != nil {
				n.settleClaim(s, j, c, time.Now())
			}
		})
	}
	c := &replica.Claim{Key: records.ClaimKey(u.j.ID, u.chunk), JobID: u.j.ID, Chunk: u.chunk, Spec: u.spec}
	conds, ops, ok := n.prepareClaim(s, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.JobPrefix + u.j.ID, Version: u.j.Version})
	ops = append(ops, kv.Op{Key: c.Key, Value: next})
	n.commit(claimPrio(u.spec), conds, ops, 0, func(err error) { n.finishClaim(s, c, err) })
	return true
}

func claimPrio(s *protocol.Submission) int {
	if s.Shape == protocol.ShapeArray {
		return kv.PriorityArrayClaim
	}
	return kv.PriorityClaim
}

// prepareClaim enters a new claim into the cache while its commit is under
// way, so that its room is taken, and gives the conditions on which it depends.
func (n *Controller) prepareClaim(s *replica.Shard, c *replica.Claim, next *records.Claim) ([]kv.Compare, []kv.Op, bool) {
	conds, ops, t, ok := n.reserveTeam(s.Name, c, next)
	if !ok {
		return nil, nil, false
	}
	if t != nil {
		t.Writing = true
	}
	n.view.Claims[c.Key] = c
	n.view.SetPending(c, next)
	n.intents = append(n.intents, c.Key)
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: 0})
	return conds, ops, true
}

// newClaim is the claim on a job that is just being let into the queues, made in the same
// transaction; empty where there is none.
type newClaim struct {
	claim *replica.Claim
	shard *replica.Shard
	conds []kv.Compare
}

func (f newClaim) ops() []kv.Op {
	if f.claim == nil {
		return nil
	}
	return []kv.Op{{Key: f.claim.Key, Value: f.claim.Pending}}
}

// finish ends the claim's commit.
func (f newClaim) finish(n *Controller, err error) {
	if f.claim != nil {
		n.finishClaim(f.shard, f.claim, err)
	}
}

// claimAtOnce prepares the claim of a job that is just being accepted or released, if this
// node owns one of its shards and that has room for all that must start
// together.
func (n *Controller) claimAtOnce(spec *protocol.Submission, at []string, now time.Time) newClaim {
	size := n.chunkSize(spec, at)
	if size < spec.Tasks || n.limited(spec) {
		return newClaim{}
	}
	for _, name := range at {
		s := n.view.Shards[name]
		if !n.view.IsActive(s) || n.view.Claims[records.ClaimKey(spec.JobID, 0)] != nil {
			continue
		}
		j := &replica.Job{ID: spec.JobID, Record: &records.Job{Spec: spec}, Chunks: 1, ChunkSize: size, SeenAt: now}
		u := &unit{j: j, spec: spec}
		if n.queuedBefore(s, spec, now) {
			continue
		}
		rooms := n.rooms(s, now)
		z := newZoneRule(spec, nil)
		next := &records.Claim{Shard: name, TaskCount: spec.Tasks, LastAttempt: 1}
		picks := n.pickHosts(s.Name, u, next, rooms, &z, now)
		if len(picks) < spec.Tasks {
			continue
		}
		for _, pk := range picks {
			next.Placements = append(next.Placements, records.Placement{Task: pk.task, Attempt: 1, Host: rooms[pk.room].host})
		}
		c := &replica.Claim{Key: records.ClaimKey(spec.JobID, 0), JobID: spec.JobID, Spec: spec}
		conds, _, ok := n.prepareClaim(s, c, next)
		if !ok {
			continue
		}
		return newClaim{c, s, conds}
	}
	return newClaim{}
}

// queuedBefore tells whether others of at least this priority wait already:
// a newcomer must not pass them.
func (n *Controller) queuedBefore(s *replica.Shard, spec *protocol.Submission, now time.Time) bool {
	for _, u := range n.queueOf(s, now) {
		if u.spec.Priority() >= spec.Priority() && u.spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}
