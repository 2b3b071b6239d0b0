package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// preemptionPlan is the room for which a job has displaced others. It is held for the job
// until it starts there. Without this a gang's next pass could prefer other
// machines, arrays took the room just made, and the gang displaced again: some
// twelve thousand tasks of a day were lost in that circle.
type preemptionPlan struct {
	shard string
	hosts map[string]int // tasks by host
	until time.Time
}

// preemptions is the work that is stopped for other work.
type preemptions struct {
	hasGuarantees bool                             // some team has one
	plans         map[string]*preemptionPlan       // by job
	intents       []string                         // claims that others are preempted for, of which the other controllers were not told
	reservations  map[string]*guaranteeReservation // by claim
	releasing     bool                             // reservations are being released
}

func newPreemptions() preemptions {
	return preemptions{plans: make(map[string]*preemptionPlan), reservations: make(map[string]*guaranteeReservation)}
}

// preemptionHold is how long a job waits for the tasks it displaced to go before it
// may displace more.
const preemptionHold = 5 * time.Second

// expirePreemptions drops the plans that have had their time or whose job is over.
func (n *Controller) expirePreemptions(now time.Time) {
	for ref, p := range n.preemptions.plans {
		if j := n.view.Jobs[ref]; now.After(p.until) || j == nil || j.Record.IsFinal() {
			delete(n.preemptions.plans, ref)
		}
	}
}

// reservePreempted sets the planned room of a shard's machines apart.
func (n *Controller) reservePreempted(s *replica.Shard, rooms []*placement.Capacity, now time.Time) {
	held := false
	refs := slices.Sorted(maps.Keys(n.preemptions.plans))
	for _, ref := range refs {
		held = held || n.preemptions.plans[ref].shard == s.Name
	}
	if !held {
		return
	}
	n.detailCapacities(rooms, now)
	for _, r := range rooms {
		for _, ref := range refs {
			if k := n.preemptions.plans[ref].hosts[r.Host]; k > 0 && r.Reservation.JobID == "" {
				r.ReserveFor(n.view.Jobs[ref].Spec(), ref, k, now.Add(time.Second))
			}
		}
	}
}

// preemptFor displaces work of lower priority for a job that found no room. It
// returns false when there is nothing, or nothing more, to displace.
func (n *Controller) preemptFor(s *replica.Shard, u *placement.QueueEntry, rooms []*placement.Capacity, now time.Time) bool {
	if n.preemptions.plans[u.Job.ID] != nil || !n.mayPreemptHere(s, u, now) {
		return false
	}
	if b := n.preemptions.reservations[u.ClaimKey()]; b != nil {
		return n.executeReservation(s, u, b, rooms, now)
	}
	z := n.zoneConstraint(u)
	n.detailCapacities(rooms, now)
	ask := n.preemptionPolicyFor(u)
	plan := placement.PlanPreemption(u, rooms, &z, ask, now)
	if slices.ContainsFunc(plan, func(e placement.Eviction) bool {
		return slices.ContainsFunc(e.Victims, func(v replica.Victim) bool { return ask.isBorrowed(&v) })
	}) {
		n.reserveGuarantee(s, u, plan, ask, now)
		return false
	}
	for _, e := range plan {
		n.executeEviction(s, u, e, now)
	}
	return len(plan) > 0
}

// mayPreemptHere tells whether a shard may displace for a unit. For work that
// no shard has claimed yet only one of its copies does so at a time: for a gang
// of eight, five shards each stopped hundreds of tasks.
func (n *Controller) mayPreemptHere(s *replica.Shard, u *placement.QueueEntry, now time.Time) bool {
	if u.Claim != nil {
		return true
	}
	i := slices.Index(u.Job.Record.Shards, s.Name)
	if i < 0 {
		i = len(u.Job.Record.Shards)
	}
	return now.Sub(u.Job.SeenAt) >= time.Duration(i)*preemptionHold
}

// executeEviction stops what an eviction names. The room is spoken for in this pass.
func (n *Controller) executeEviction(s *replica.Shard, u *placement.QueueEntry, e placement.Eviction, now time.Time) {
	p := n.preemptions.plans[u.Job.ID]
	if p == nil {
		p = &preemptionPlan{shard: s.Name, hosts: make(map[string]int), until: now.Add(preemptionHold)}
		n.preemptions.plans[u.Job.ID] = p
		if u.Claim == nil {
			n.preemptions.intents = append(n.preemptions.intents, records.ClaimKey(u.Job.ID, u.Chunk))
		}
	}
	r := e.Capacity
	p.hosts[r.Host]++
	for _, v := range e.Victims {
		n.evict(v.Claim, v.Task, now)
		r.Release(v.Claim.Spec)
		n.log.Debug("displacing", "claim", v.Claim.Key, "task", v.Task, "host", r.Host, "for", u.Job.ID)
	}
	n.sendPendingCommands(s)
	r.Allocate(u.Spec)
	r.ReserveFor(u.Spec, u.Job.ID, 0, now)
	r.Victims = placement.WithoutVictims(r.Victims, e.Victims)
	for _, v := range e.Victims {
		if j := n.view.Jobs[v.Claim.JobID]; j != nil && v.Claim.Pending == nil && v.Claim.Record != nil {
			n.reconcileClaim(s, j, v.Claim, now)
		}
	}
}

// evict has a placement stopped.
func (n *Controller) evict(c *replica.Claim, task int, now time.Time) {
	if c.Evictions == nil {
		c.Evictions = make(map[int]time.Time)
	}
	c.Evictions[task] = now
	for _, p := range c.SortedSlots() {
		if p.Task == task {
			p.Host.Invalidate()
			n.stopEvicted(c, p, now)
		}
	}
	n.view.MarkDirty(c)
}

// stopEvicted sends the stop at once: settling waits while a version of the
// claim is being committed, and under load that took longer than the room made
// could be held.
func (n *Controller) stopEvicted(c *replica.Claim, p *replica.Slot, now time.Time) {
	m := p.Host.Machine
	if m == nil || !n.view.IsActive(n.view.Shards[m.Record.Shard]) {
		return
	}
	s := n.view.Shards[m.Record.Shard]
	t := m.Agent.Tasks[p.TaskName]
	if t == nil || t.Attempt != p.Attempt || t.Phase == protocol.TaskExited || !m.ShowsToken(s) {
		return
	}
	if grace, stop := n.shouldStop(c, &records.Placement{Task: p.Task, Attempt: p.Attempt, Host: m.Host}, now); stop {
		m.Commands.StopSentAt[p.TaskName] = now
		n.queueCommands(s, m, protocol.StopCommand(p.TaskName, p.Attempt, grace))
	}
}

// preemptForImage makes room for a service or a gang of one on a machine that
// holds its image, when all the free room is on machines that would fetch it
// for longer than the job's start may take.
func (n *Controller) preemptForImage(s *replica.Shard, u *placement.QueueEntry, rooms []*placement.Capacity, now time.Time) bool {
	if u.Spec.Shape == protocol.ShapeArray || u.StartsTogether() {
		return false
	}
	z := n.zoneConstraint(u)
	i := placement.Select(u.Spec, u.Job.ID, rooms, &z, 0, now)
	if i < 0 || rooms[i].HasImage(u.Spec.Image) {
		return false
	}
	by := n.startBy(u, rooms, &z, now)
	if !by.After(now) || !now.Add(rooms[i].ImagePullTime(u.Spec)).After(by) {
		return false
	}
	n.detailCapacities(rooms, now)
	at, victims := placement.SelectVictims(u.Spec, u.Job.ID, rooms, &z, n.priorityOnlyPolicy(u.Spec), now)
	return len(victims) > 0 && rooms[at].HasImage(u.Spec.Image) && n.preemptFor(s, u, rooms, now)
}
