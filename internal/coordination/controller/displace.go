package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// plan is the room for which a job has displaced others. It is held for the job
// until it starts there. Without this a gang's next pass could prefer other
// machines, arrays took the room just made, and the gang displaced again: some
// twelve thousand tasks of a day were lost in that circle.
type plan struct {
	shard string
	hosts map[string]int // tasks by host
	until time.Time
}

// planFor is how long a job waits for the tasks it displaced to go before it
// may displace more.
const planFor = 5 * time.Second

// expirePlans drops the plans that have had their time or whose job is over.
func (n *Controller) expirePlans(now time.Time) {
	for ref, p := range n.plans {
		if j := n.view.Jobs[ref]; now.After(p.until) || j == nil || j.Record.IsFinal() {
			delete(n.plans, ref)
		}
	}
}

// holdPlans sets the planned room of a shard's machines apart.
func (n *Controller) holdPlans(s *replica.Shard, rooms []*room, now time.Time) {
	held := false
	refs := slices.Sorted(maps.Keys(n.plans))
	for _, ref := range refs {
		held = held || n.plans[ref].shard == s.Name
	}
	if !held {
		return
	}
	n.detail(rooms, now)
	for _, r := range rooms {
		for _, ref := range refs {
			if k := n.plans[ref].hosts[r.host]; k > 0 && r.reservedFor == "" {
				r.hold(n.view.Jobs[ref].Spec(), ref, k, now.Add(time.Second))
			}
		}
	}
}

// makeRoom displaces work of lower priority for a job that found no room. It
// returns false when there is nothing, or nothing more, to displace.
func (n *Controller) makeRoom(s *replica.Shard, u *unit, rooms []*room, now time.Time) bool {
	if n.plans[u.j.ID] != nil || !n.displacesHere(s, u, now) {
		return false
	}
	if b := n.bookings[u.id()]; b != nil {
		return n.carryOutBooked(s, u, b, rooms, now)
	}
	z := n.zonesOf(u)
	n.detail(rooms, now)
	ask := n.consentFor(u)
	plan := displaceSome(u, rooms, &z, ask, now)
	if slices.ContainsFunc(plan, func(e eviction) bool {
		return slices.ContainsFunc(e.victims, func(v replica.Victim) bool { return ask.borrowed(&v) })
	}) {
		n.book(s, u, plan, ask, now)
		return false
	}
	for _, e := range plan {
		n.carryOut(s, u, e, now)
	}
	return len(plan) > 0
}

// displacesHere tells whether a shard may displace for a unit. For work that
// no shard has claimed yet only one of its copies does so at a time: for a gang
// of eight, five shards each stopped hundreds of tasks.
func (n *Controller) displacesHere(s *replica.Shard, u *unit, now time.Time) bool {
	if u.c != nil {
		return true
	}
	i := slices.Index(u.j.Record.Shards, s.Name)
	if i < 0 {
		i = len(u.j.Record.Shards)
	}
	return now.Sub(u.j.SeenAt) >= time.Duration(i)*planFor
}

// together tells that all of a unit's tasks must start at the same time.
func (u *unit) together() bool { return u.spec.Shape == protocol.ShapeGang && u.spec.Tasks > 1 }

// carryOut stops what an eviction names. The room is spoken for in this pass.
func (n *Controller) carryOut(s *replica.Shard, u *unit, e eviction, now time.Time) {
	p := n.plans[u.j.ID]
	if p == nil {
		p = &plan{shard: s.Name, hosts: make(map[string]int), until: now.Add(planFor)}
		n.plans[u.j.ID] = p
		if u.c == nil {
			n.planned = append(n.planned, records.ClaimKey(u.j.ID, u.chunk))
		}
	}
	r := e.r
	p.hosts[r.host]++
	for _, v := range e.victims {
		n.evict(v.Claim, v.Task, now)
		r.give(v.Claim.Spec)
		n.log.Debug("displacing", "claim", v.Claim.Key, "task", v.Task, "host", r.host, "for", u.j.ID)
	}
	n.flush(s)
	r.take(u.spec)
	r.hold(u.spec, u.j.ID, 0, now)
	r.victims = without(r.victims, e.victims)
	for _, v := range e.victims {
		if j := n.view.Jobs[v.Claim.JobID]; j != nil && v.Claim.Pending == nil && v.Claim.Record != nil {
			n.settleClaim(s, j, v.Claim, now)
		}
	}
}
