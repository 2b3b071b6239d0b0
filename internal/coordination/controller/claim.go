package controller

import (
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// commitUnit commits placements, with the claim itself when it is new.
func (n *Controller) commitUnit(s *shard, u *unit, next *records.Claim) bool {
	if u.c != nil {
		c := u.c
		return n.update(s, c, next, claimPrio(u.spec), func(err error) {
			if j := n.jobs[c.ref]; err == nil && j != nil && n.active(s) && c.rec != nil {
				n.settleClaim(s, j, c, time.Now())
			}
		})
	}
	c := &claim{key: records.ClaimKey(u.j.ref, u.chunk), ref: u.j.ref, chunk: u.chunk, spec: u.spec}
	conds, ops, ok := n.prepareClaim(s, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.JobPrefix + u.j.ref, Version: u.j.stamp})
	ops = append(ops, kv.Op{Key: c.key, Value: next})
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
func (n *Controller) prepareClaim(s *shard, c *claim, next *records.Claim) ([]kv.Compare, []kv.Op, bool) {
	conds, ops, t, ok := n.reserveTeam(s.name, c, next)
	if !ok {
		return nil, nil, false
	}
	if t != nil {
		t.busy = true
	}
	n.claims[c.key] = c
	n.setPend(c, next)
	n.intents = append(n.intents, c.key)
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.name, Version: s.token}, kv.Compare{Key: c.key, Version: 0})
	return conds, ops, true
}

// newClaim is the claim on a job that is just being let into the queues, made in the same
// transaction; empty where there is none.
type newClaim struct {
	claim *claim
	shard *shard
	conds []kv.Compare
}

func (f newClaim) ops() []kv.Op {
	if f.claim == nil {
		return nil
	}
	return []kv.Op{{Key: f.claim.key, Value: f.claim.pend}}
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
		s := n.shards[name]
		if !n.active(s) || n.claims[records.ClaimKey(spec.JobID, 0)] != nil {
			continue
		}
		j := &job{ref: spec.JobID, rec: &records.Job{Spec: spec}, chunks: 1, size: size, seen: now}
		u := &unit{j: j, spec: spec}
		if n.queuedBefore(s, spec, now) {
			continue
		}
		rooms := n.rooms(s, now)
		z := newZoneRule(spec, nil)
		next := &records.Claim{Shard: name, TaskCount: spec.Tasks, LastAttempt: 1}
		picks := n.pickHosts(s.name, u, next, rooms, &z, now)
		if len(picks) < spec.Tasks {
			continue
		}
		for _, pk := range picks {
			next.Placements = append(next.Placements, records.Placement{Task: pk.task, Attempt: 1, Host: rooms[pk.room].host})
		}
		c := &claim{key: records.ClaimKey(spec.JobID, 0), ref: spec.JobID, spec: spec}
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
func (n *Controller) queuedBefore(s *shard, spec *protocol.Submission, now time.Time) bool {
	for _, u := range n.queueOf(s, now) {
		if u.spec.Priority() >= spec.Priority() && u.spec.GPUs >= spec.GPUs {
			return true
		}
	}
	return false
}
