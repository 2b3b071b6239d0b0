package controller

import (
	"cmp"
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

func (w usageView) InUse(team string) quota.Resources { return w.n.view.UseByTeam[team] }

func (w usageView) Committed(team string) quota.Resources { return w.n.view.CommittedUse[team] }

func (w usageView) PlacedBy(id string) quota.Resources {
	if c := w.n.view.Claims[id]; c != nil && c.Tally.Counted {
		return c.Tally.Use
	}
	return quota.Resources{}
}

func (w usageView) TaskUse(task string) quota.Resources {
	if c, p := w.n.findVictim(task); p != nil && c.Spec != nil {
		return replica.TaskResources(c.Spec)
	}
	return quota.Resources{}
}

func (w usageView) OwnerToken(shard string) uint64 {
	if s := w.n.view.Shards[shard]; w.n.view.IsActive(s) {
		return s.FencingToken
	}
	return 0
}

func (w usageView) HoldsCapacity(id, shard string) bool {
	ref, _, _ := records.ParseClaimKey(id)
	j, p, b := w.n.view.Jobs[ref], w.n.preemptions.plans[ref], w.n.preemptions.reservations[id]
	return j != nil && j.Record != nil && !j.Record.IsFinal() && ((p != nil && p.shard == shard) || (b != nil && b.shard == shard))
}

// findVictim finds what name names; the place is nil once it is gone.
func (n *Controller) findVictim(name string) (*replica.Claim, *replica.Slot) {
	key, rest, _ := strings.Cut(name, "#")
	num, host, _ := strings.Cut(rest, "@")
	c := n.view.Claims[key]
	id, err := strconv.Atoi(num)
	if err != nil || c == nil {
		return nil, nil
	}
	return c, c.Slots[replica.SlotKey{Task: id, Host: host}]
}

// entitledTasks counts the tasks of a unit that its team may claim on its guarantee now.
// A gang claims all of them or none.
func (n *Controller) entitledTasks(u *placement.QueueEntry) int {
	if !n.view.Quota.HasGuarantee(u.Spec.Team) {
		return 0
	}
	waiting := u.PlaceableTasks()
	due := n.view.Quota.Standing(u.Spec.Team, u.ClaimKey(), usageView{n}).Entitled(replica.TaskResources(u.Spec))
	if u.Spec.Shape == protocol.ShapeGang && due < waiting {
		return 0
	}
	return min(due, waiting)
}

// prioritizeEntitled moves work within its team's guarantee ahead of others' of the same rank.
// Behind a backlog of borrowers a team waited for its guarantee until they were done.
func (n *Controller) prioritizeEntitled(q []*placement.QueueEntry) {
	if !n.preemptions.hasGuarantees {
		return
	}
	at := make(map[string]quota.Standing)
	for _, u := range q {
		team := u.Spec.Team
		if !n.view.Quota.HasGuarantee(team) {
			continue
		}
		if u.WithinGuarantee = n.view.Quota.HasReservation(team, u.ClaimKey()); u.WithinGuarantee {
			continue // counted as booked
		}
		st, seen := at[team]
		if !seen {
			st = n.view.Quota.Standing(team, "", usageView{n})
		}
		need, waiting := 1, u.PlaceableTasks()
		if u.Spec.Shape == protocol.ShapeGang {
			need = waiting
		}
		if due := st.Entitled(replica.TaskResources(u.Spec)); due >= need && due > 0 {
			u.WithinGuarantee = true
			st.Reserved = st.Reserved.Plus(replica.TaskResources(u.Spec).Times(float64(min(due, waiting))))
		}
		at[team] = st
	}
	slices.SortStableFunc(q, func(a, b *placement.QueueEntry) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(boolToInt(b.WithinGuarantee), boolToInt(a.WithinGuarantee)))
	})
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

func (n *Controller) preemptionPolicyFor(u *placement.QueueEntry) *preemptionPolicy {
	k := &preemptionPolicy{spec: u.Spec, entitled: n.entitledTasks(u), controller: n, standings: make(map[string]quota.Standing)}
	k.Reset()
	return k
}

// priorityOnlyPolicy consents to the displacement of lower ranks alone.
func (n *Controller) priorityOnlyPolicy(spec *protocol.Submission) *preemptionPolicy {
	return &preemptionPolicy{spec: spec, controller: n}
}

func (k *preemptionPolicy) Reset() {
	k.preemptor = &quota.Preemptor{ClaimedTask: replica.TaskResources(k.spec), StandingOf: func(team string) quota.Standing {
		st, ok := k.standings[team]
		if !ok {
			st = k.controller.view.Quota.Standing(team, "", usageView{k.controller})
			k.standings[team] = st
		}
		return st
	}}
}

// MayPreempt tells whether one more task may be stopped, beside those chosen so far.
func (k *preemptionPolicy) MayPreempt(v *protocol.Submission, chosen []replica.Victim) bool {
	if v.Priority() < k.spec.Priority() {
		return true
	}
	if k.entitled == 0 || v.Team == k.spec.Team {
		return false
	}
	beside := quota.Resources{}
	for i := range chosen {
		if s := chosen[i].Claim.Spec; s.Team == v.Team && k.isBorrowed(&chosen[i]) {
			beside = beside.Plus(replica.TaskResources(s))
		}
	}
	return k.preemptor.MayPreempt(v.Team, replica.TaskResources(v), beside)
}

// isBorrowed tells that a victim is taken for the guarantee, not for its rank.
func (k *preemptionPolicy) isBorrowed(v *replica.Victim) bool {
	return v.Claim.Spec.Priority() >= k.spec.Priority()
}

// RecordPreemption notes what was chosen for one task.
func (k *preemptionPolicy) RecordPreemption(list []replica.Victim) {
	claims := false
	for i := range list {
		if k.isBorrowed(&list[i]) {
			k.preemptor.RecordPreemption(list[i].Claim.Spec.Team, replica.TaskResources(list[i].Claim.Spec))
			claims = true
		}
	}
	if claims && k.entitled > 0 {
		k.entitled--
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
func (n *Controller) reserveGuarantee(s *replica.Shard, u *placement.QueueEntry, plan []placement.Eviction, k *preemptionPolicy, now time.Time) {
	if plan = limitLenders(plan, k, n.settings.RecordLimits().MaxTxnOps-1, u.StartsTogether()); len(plan) == 0 {
		return
	}
	id := u.ClaimKey()
	b := &guaranteeReservation{shard: s.Name, team: u.Spec.Team, until: now.Add(preemptionHold)}
	victims := make(map[string][]string)
	tasks := 0
	for _, e := range plan {
		b.planned = append(b.planned, reservedCapacity{e.Capacity.Host, e.Victims})
		claims := false
		for i := range e.Victims {
			if v := &e.Victims[i]; k.isBorrowed(v) {
				victims[v.Claim.Spec.Team] = append(victims[v.Claim.Spec.Team], v.Name())
				claims = true
			}
		}
		if claims || u.StartsTogether() {
			tasks++ // where lower ranks give way alone the guarantee is not asked
		}
	}
	n.preemptions.reservations[id], b.tasks = b, tasks
	use := replica.TaskResources(u.Spec).Times(float64(tasks)).Plus(usageView{n}.PlacedBy(id))
	conds, ops := n.view.Quota.Reserve(quota.ReservationRequest{Team: b.team, ClaimKey: id, Shard: s.Name, FencingToken: s.FencingToken, Use: use, Victims: victims})
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: records.JobPrefix + u.Job.ID, Version: u.Job.Version})
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		if err != nil {
			n.log.Debug("guarantee not booked", "claim", id, "team", b.team, "err", err)
			if n.preemptions.reservations[id] == b {
				delete(n.preemptions.reservations, id)
			}
			return
		}
		b.version = n.view.Versions[records.ReservationPrefix+b.team]
		s.Changed = true
	})
}

// limitLenders leaves as many evictions of a plan as take from so many teams: each has a
// record that the booking's one transaction changes. A plan that only serves whole goes
// altogether.
func limitLenders(plan []placement.Eviction, k *preemptionPolicy, most int, whole bool) []placement.Eviction {
	lenders := map[string]bool{k.spec.Team: true}
	for i, e := range plan {
		for j := range e.Victims {
			if v := &e.Victims[j]; k.isBorrowed(v) {
				lenders[v.Claim.Spec.Team] = true
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
func (n *Controller) executeReservation(s *replica.Shard, u *placement.QueueEntry, b *guaranteeReservation, rooms []*placement.Capacity, now time.Time) bool {
	if b.shard != s.Name || b.version == 0 || n.view.Revision < b.version {
		return false
	}
	delete(n.preemptions.reservations, u.ClaimKey())
	byHost := make(map[string]*placement.Capacity, len(rooms))
	for _, r := range rooms {
		byHost[r.Host] = r
	}
	k := n.preemptionPolicyFor(u)
	due := k.entitled
	// What is on record for this very job is leaving in its own name.
	k.preemptor.StandingOf = func(team string) quota.Standing {
		return n.view.Quota.StandingExcludingPreemptionsFor(team, u.ClaimKey(), usageView{n})
	}
	var plan []placement.Eviction
	for _, br := range b.planned {
		r := byHost[br.host]
		if r == nil || !r.Usable {
			continue
		}
		e := placement.Eviction{Capacity: r}
		for _, v := range br.victims {
			if _, going := v.Claim.Evictions[v.Task]; v.Claim.Slots[replica.SlotKey{Task: v.Task, Host: br.host}] == nil || going || !k.MayPreempt(v.Claim.Spec, e.Victims) {
				continue
			}
			e.Victims = append(e.Victims, v)
		}
		if len(e.Victims) > 0 {
			k.RecordPreemption(e.Victims)
			plan = append(plan, e)
		}
	}
	if due < b.tasks || (u.StartsTogether() && len(plan) < len(b.planned)) {
		// It goes as a whole and is made anew: what is on record is what is taken.
		n.log.Debug("a booking does not hold any more", "claim", u.ClaimKey(), "team", b.team)
		return false
	}
	for _, e := range plan {
		for i := range e.Victims {
			if v := &e.Victims[i]; k.isBorrowed(v) {
				if v.Claim.PreemptedFor == nil {
					v.Claim.PreemptedFor = make(map[replica.SlotKey]string)
				}
				v.Claim.PreemptedFor[replica.SlotKey{Task: v.Task, Host: v.Host}] = u.ClaimKey()
			}
		}
		n.executeEviction(s, u, e, now)
	}
	return len(plan) > 0
}

// PreemptedFor tells for which chunk's claim on a guarantee this node has a task stopped;
// empty: for none, whatever else it may be stopped for.
func (n *Controller) PreemptedFor(ref string, task int, host string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if j := n.view.Jobs[ref]; j != nil && j.ChunkSize > 0 {
		if c := j.Claims[task/j.ChunkSize]; c != nil && c.Slots[replica.SlotKey{Task: task, Host: host}] != nil {
			return c.PreemptedFor[replica.SlotKey{Task: task, Host: host}]
		}
	}
	return ""
}

// releaseReservations frees what jobs have booked and do not use any more, and withdraws
// the stops for them that were not sent yet.
func (n *Controller) releaseReservations(now time.Time) {
	for id, b := range n.preemptions.reservations {
		ref, _, _ := records.ParseClaimKey(id)
		if j := n.view.Jobs[ref]; (now.After(b.until) && b.version != 0) || j == nil || j.Record.IsFinal() || !n.view.IsActive(n.view.Shards[b.shard]) {
			delete(n.preemptions.reservations, id)
		}
	}
	if n.preemptions.releasing {
		return
	}
	ids := slices.DeleteFunc(n.view.Quota.ExpiredReservations(usageView{n}), func(id string) bool {
		// What is still on its way down counts at its team until it is gone. Taken off
		// the record before, it was lent a second time.
		going := false
		for _, task := range n.view.Quota.PreemptedFor(id) {
			going = !n.withdrawEviction(task) || going
		}
		return going
	})
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), 4)]
	n.preemptions.releasing = true
	conds, ops := n.view.Quota.Release(ids)
	n.commit(kv.PriorityClaim, conds, ops, 0, func(error) { n.preemptions.releasing = false })
}

// withdrawEviction takes a stop back that was not sent yet, and tells whether nothing is being
// stopped there any more.
func (n *Controller) withdrawEviction(task string) bool {
	c, p := n.findVictim(task)
	if p == nil || p.Host.Machine == nil {
		return true
	}
	since, going := c.Evictions[p.Task]
	if !going {
		return true
	}
	if at := p.Host.Machine.Commands.StopSentAt[p.TaskName]; !at.Before(since) {
		return false
	}
	delete(c.Evictions, p.Task)
	p.Host.Invalidate()
	n.view.MarkDirty(c)
	return true
}
