package controller

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// usageView is what package quota weighs bookings against.
type usageView struct{ n *Controller }

func (v usageView) InUse(team string) quota.Resources { return v.n.view.UseByTeam[team] }

func (v usageView) Committed(team string) quota.Resources { return v.n.view.CommittedUse[team] }

func (v usageView) PlacedBy(id string) quota.Resources {
	if claim := v.n.view.Claims[id]; claim != nil && claim.Tally.Counted {
		return claim.Tally.Use
	}
	return quota.Resources{}
}

func (v usageView) TaskUse(task string) quota.Resources {
	if claim, slot := v.n.findVictim(task); slot != nil && claim.Spec != nil {
		return replica.TaskResources(claim.Spec)
	}
	return quota.Resources{}
}

func (v usageView) OwnerToken(shard string) uint64 {
	if s := v.n.view.Shards[shard]; v.n.view.IsActive(s) {
		return s.FencingToken
	}
	return 0
}

func (v usageView) HoldsCapacity(id, shard string) bool {
	jobID, _, _ := records.ParseClaimKey(id)
	job, plan, reservation := v.n.view.Jobs[jobID], v.n.preemptions.plans[jobID], v.n.preemptions.reservations[id]
	return job != nil && job.Record != nil && !job.Record.IsFinal() && ((plan != nil && plan.shard == shard) || (reservation != nil && reservation.shard == shard))
}

// findVictim finds what name names; the place is nil once it is gone.
func (c *Controller) findVictim(name string) (*replica.Claim, *replica.Slot) {
	key, rest, _ := strings.Cut(name, "#")
	num, host, _ := strings.Cut(rest, "@")
	claim := c.view.Claims[key]
	id, err := strconv.Atoi(num)
	if err != nil || claim == nil {
		return nil, nil
	}
	return claim, claim.Slots[replica.SlotKey{Task: id, Host: host}]
}

// entitledTasks counts the tasks of a unit that its team may claim on its guarantee now.
// A gang claims all of them or none.
func (c *Controller) entitledTasks(entry *placement.QueueEntry) int {
	if !c.view.Quota.HasGuarantee(entry.Spec.Team) {
		return 0
	}
	waiting := entry.PlaceableTasks()
	due := c.view.Quota.Standing(entry.Spec.Team, entry.ClaimKey(), usageView{c}).Entitled(replica.TaskResources(entry.Spec))
	if entry.Spec.Shape == protocol.ShapeGang && due < waiting {
		return 0
	}
	return min(due, waiting)
}

// prioritizeEntitled moves work within its team's guarantee ahead of others' of the same rank.
// Behind a backlog of borrowers a team waited for its guarantee until they were done.
func (c *Controller) prioritizeEntitled(queue []*placement.QueueEntry) {
	if !c.preemptions.hasGuarantees {
		return
	}
	at := make(map[string]quota.Standing)
	for _, entry := range queue {
		team := entry.Spec.Team
		if !c.view.Quota.HasGuarantee(team) {
			continue
		}
		if entry.WithinGuarantee = c.view.Quota.HasReservation(team, entry.ClaimKey()); entry.WithinGuarantee {
			continue // counted as booked
		}
		st, seen := at[team]
		if !seen {
			st = c.view.Quota.Standing(team, "", usageView{c})
		}
		need, waiting := 1, entry.PlaceableTasks()
		if entry.Spec.Shape == protocol.ShapeGang {
			need = waiting
		}
		if due := st.Entitled(replica.TaskResources(entry.Spec)); due >= need && due > 0 {
			entry.WithinGuarantee = true
			st.Reserved = st.Reserved.Plus(replica.TaskResources(entry.Spec).Times(float64(min(due, waiting))))
		}
		at[team] = st
	}
	slices.SortStableFunc(queue, comparePrecedence) // no entry starts ahead of its turn yet
}

// preemptionPolicy says whose work a job may have stopped: that of lower rank, and for what
// its team's guarantee still covers what other teams borrow. It counts what is taken
// so that no lender is pushed below its own guarantee.
type preemptionPolicy struct {
	spec       *protocol.Submission
	entitled   int // tasks that the guarantee covers
	preemptor  *quota.Preemptor
	standings  map[string]quota.Standing
	controller *Controller
}

func (c *Controller) preemptionPolicyFor(entry *placement.QueueEntry) *preemptionPolicy {
	policy := &preemptionPolicy{spec: entry.Spec, entitled: c.entitledTasks(entry), controller: c, standings: make(map[string]quota.Standing)}
	policy.Reset()
	return policy
}

// priorityOnlyPolicy consents to the displacement of lower ranks alone.
func (c *Controller) priorityOnlyPolicy(spec *protocol.Submission) *preemptionPolicy {
	return &preemptionPolicy{spec: spec, controller: c}
}

func (p *preemptionPolicy) Reset() {
	p.preemptor = &quota.Preemptor{ClaimedTask: replica.TaskResources(p.spec), StandingOf: func(team string) quota.Standing {
		st, ok := p.standings[team]
		if !ok {
			st = p.controller.view.Quota.Standing(team, "", usageView{p.controller})
			p.standings[team] = st
		}
		return st
	}}
}

// MayPreempt tells whether one more task may be stopped, beside those chosen so far.
func (p *preemptionPolicy) MayPreempt(v *protocol.Submission, chosen []replica.Victim) bool {
	if v.Priority() < p.spec.Priority() {
		return true
	}
	if p.entitled == 0 || v.Team == p.spec.Team {
		return false
	}
	beside := quota.Resources{}
	for i := range chosen {
		if s := chosen[i].Claim.Spec; s.Team == v.Team && p.isBorrowed(&chosen[i]) {
			beside = beside.Plus(replica.TaskResources(s))
		}
	}
	return p.preemptor.MayPreempt(v.Team, replica.TaskResources(v), beside)
}

// isBorrowed tells that a victim is taken for the guarantee, not for its rank.
func (p *preemptionPolicy) isBorrowed(victim *replica.Victim) bool {
	return victim.Claim.Spec.Priority() >= p.spec.Priority()
}

// RecordPreemption notes what was chosen for one task.
func (p *preemptionPolicy) RecordPreemption(list []replica.Victim) {
	claims := false
	for i := range list {
		if p.isBorrowed(&list[i]) {
			p.preemptor.RecordPreemption(list[i].Claim.Spec.Team, replica.TaskResources(list[i].Claim.Spec))
			claims = true
		}
	}
	if claims && p.entitled > 0 {
		p.entitled--
	}
}

// guaranteeReservation is a displacement that waits for its claim on the guarantee to be on
// record, and for the cache to show all that was placed before.
type guaranteeReservation struct {
	shard   string
	team    string
	version uint64 // the record's revision; 0 while it is on its way
	until   time.Time
	planned []reservedCapacity
	tasks   int // of the job, for which what is borrowed is taken
}

type reservedCapacity struct {
	host    string
	victims []replica.Victim
}

// reserveGuarantee has a displacement booked, if it takes what is borrowed.
func (c *Controller) reserveGuarantee(s *replica.Shard, entry *placement.QueueEntry, plan []placement.Eviction, policy *preemptionPolicy, now time.Time) {
	if plan = limitLenders(plan, policy, c.settings.RecordLimits().MaxTxnOps-1, entry.StartsTogether()); len(plan) == 0 {
		return
	}
	id := entry.ClaimKey()
	reservation := &guaranteeReservation{shard: s.Name, team: entry.Spec.Team, until: now.Add(preemptionHold)}
	victims := make(map[string][]string)
	tasks := 0
	for _, eviction := range plan {
		reservation.planned = append(reservation.planned, reservedCapacity{eviction.Capacity.Host, eviction.Victims})
		claims := false
		for i := range eviction.Victims {
			if victim := &eviction.Victims[i]; policy.isBorrowed(victim) {
				victims[victim.Claim.Spec.Team] = append(victims[victim.Claim.Spec.Team], victim.Name())
				claims = true
			}
		}
		if claims || entry.StartsTogether() {
			tasks++ // where lower ranks give way alone the guarantee is not asked
		}
	}
	c.preemptions.reservations[id], reservation.tasks = reservation, tasks
	use := replica.TaskResources(entry.Spec).Times(float64(tasks)).Plus(usageView{c}.PlacedBy(id))
	compares, ops := c.view.Quota.Reserve(quota.ReservationRequest{Team: reservation.team, ClaimKey: id, Shard: s.Name, FencingToken: s.FencingToken, Use: use, Victims: victims})
	compares = append(compares, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: records.JobPrefix + entry.Job.ID, Version: entry.Job.Version})
	c.commit(kv.PriorityClaim, compares, ops, 0, func(err error) {
		if err != nil {
			c.log.Debug("guarantee reservation failed", "claim", id, "team", reservation.team, "err", err)
			if c.preemptions.reservations[id] == reservation {
				delete(c.preemptions.reservations, id)
			}
			return
		}
		reservation.version = c.view.Versions[records.ReservationPrefix+reservation.team]
		s.Changed = true
	})
}

// limitLenders leaves as many evictions of a plan as take from so many teams: each has a
// record that the booking's one transaction changes. A plan that only serves whole goes
// altogether.
func limitLenders(plan []placement.Eviction, policy *preemptionPolicy, most int, whole bool) []placement.Eviction {
	lenders := map[string]bool{policy.spec.Team: true}
	for i, eviction := range plan {
		for j := range eviction.Victims {
			if victim := &eviction.Victims[j]; policy.isBorrowed(victim) {
				lenders[victim.Claim.Spec.Team] = true
			}
		}
		if len(lenders) <= most+1 {
			continue
		}
		if whole {
			return nil
		}
		return plan[:i]
	}
	return plan
}

// executeReservation stops what a booking names, once all that was placed before it is
// known and it still holds. Where it does not the booking goes, and nothing is
// stopped.
func (c *Controller) executeReservation(shard *replica.Shard, entry *placement.QueueEntry, reservation *guaranteeReservation, capacities []*placement.Capacity, now time.Time) bool {
	if reservation.shard != shard.Name || reservation.version == 0 || c.view.Revision < reservation.version {
		return false
	}
	delete(c.preemptions.reservations, entry.ClaimKey())
	byHost := make(map[string]*placement.Capacity, len(capacities))
	for _, capacity := range capacities {
		byHost[capacity.Host] = capacity
	}
	policy := c.preemptionPolicyFor(entry)
	due := policy.entitled
	// What is on record for this very job is leaving in its own name.
	policy.preemptor.StandingOf = func(team string) quota.Standing {
		return c.view.Quota.StandingExcludingPreemptionsFor(team, entry.ClaimKey(), usageView{c})
	}
	var plan []placement.Eviction
	for _, br := range reservation.planned {
		capacity := byHost[br.host]
		if capacity == nil || !capacity.Usable {
			continue
		}
		eviction := placement.Eviction{Capacity: capacity}
		for _, victim := range br.victims {
			if _, going := victim.Claim.Evictions[victim.Task]; victim.Claim.Slots[replica.SlotKey{Task: victim.Task, Host: br.host}] == nil || going || !policy.MayPreempt(victim.Claim.Spec, eviction.Victims) {
				continue
			}
			eviction.Victims = append(eviction.Victims, victim)
		}
		if len(eviction.Victims) > 0 {
			policy.RecordPreemption(eviction.Victims)
			plan = append(plan, eviction)
		}
	}
	if due < reservation.tasks || (entry.StartsTogether() && len(plan) < len(reservation.planned)) {
		// It goes as a whole and is made anew: what is on record is what is taken.
		c.log.Debug("guarantee reservation no longer valid", "claim", entry.ClaimKey(), "team", reservation.team)
		return false
	}
	for _, eviction := range plan {
		for i := range eviction.Victims {
			if victim := &eviction.Victims[i]; policy.isBorrowed(victim) {
				if victim.Claim.PreemptedFor == nil {
					victim.Claim.PreemptedFor = make(map[replica.SlotKey]string)
				}
				victim.Claim.PreemptedFor[replica.SlotKey{Task: victim.Task, Host: victim.Host}] = entry.ClaimKey()
			}
		}
		c.executeEviction(shard, entry, eviction, now)
	}
	return len(plan) > 0
}

// PreemptedFor tells for which chunk's claim on a guarantee this node has a task stopped;
// empty: for none, whatever else it may be stopped for.
func (c *Controller) PreemptedFor(jobID string, task int, host string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.view.Jobs[jobID]; job != nil && job.ChunkSize > 0 {
		if claim := job.Claims[task/job.ChunkSize]; claim != nil && claim.Slots[replica.SlotKey{Task: task, Host: host}] != nil {
			return claim.PreemptedFor[replica.SlotKey{Task: task, Host: host}]
		}
	}
	return ""
}

// releaseReservations frees what jobs have booked and do not use any more, and withdraws
// the stops for them that were not sent yet.
func (c *Controller) releaseReservations(now time.Time) {
	for id, reservation := range c.preemptions.reservations {
		jobID, _, _ := records.ParseClaimKey(id)
		if job := c.view.Jobs[jobID]; (now.After(reservation.until) && reservation.version != 0) || job == nil || job.Record.IsFinal() || !c.view.IsActive(c.view.Shards[reservation.shard]) {
			delete(c.preemptions.reservations, id)
		}
	}
	if c.preemptions.releasing {
		return
	}
	ids := slices.DeleteFunc(c.view.Quota.ExpiredReservations(usageView{c}), func(id string) bool {
		// What is still on its way down counts at its team until it is gone. Taken off
		// the record before, it was lent a second time.
		going := false
		for _, task := range c.view.Quota.PreemptedFor(id) {
			going = !c.withdrawEviction(task) || going
		}
		return going
	})
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), 4)]
	c.preemptions.releasing = true
	compares, ops := c.view.Quota.Release(ids)
	c.commit(kv.PriorityClaim, compares, ops, 0, func(error) { c.preemptions.releasing = false })
}

// withdrawEviction takes a stop back that was not sent yet, and tells whether nothing is being
// stopped there any more.
func (c *Controller) withdrawEviction(task string) bool {
	claim, slot := c.findVictim(task)
	if slot == nil || slot.Host.Machine == nil {
		return true
	}
	since, going := claim.Evictions[slot.Task]
	if !going {
		return true
	}
	if at := slot.Host.Machine.Commands.StopSentAt[slot.TaskName]; !at.Before(since) {
		return false
	}
	delete(claim.Evictions, slot.Task)
	slot.Host.Invalidate()
	c.view.MarkDirty(claim)
	return true
}
