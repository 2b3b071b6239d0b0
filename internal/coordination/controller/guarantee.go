package controller

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Work within a team's guarantee goes before others' of the same rank, and may have
// stopped what another team runs beyond its own guarantee. Before anything is
// stopped, the claim is booked; package quota says what may be.

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
	if c, p := w.n.victimAt(task); p != nil && c.Spec != nil {
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
	j, p, b := w.n.view.Jobs[ref], w.n.plans[ref], w.n.bookings[id]
	return j != nil && j.Record != nil && !j.Record.IsFinal() && ((p != nil && p.shard == shard) || (b != nil && b.shard == shard))
}

// id names what claims on a guarantee: a chunk, for the chunks of an array are claimed
// by several shards, each with a booking of its own. Booked by job, one hid the other,
// and a team got 48 CPUs of 40.
func (u *unit) id() string { return u.j.ClaimKey(u.chunk) }

// victimAt finds what name names; the place is nil once it is gone.
func (n *Controller) victimAt(name string) (*replica.Claim, *replica.Slot) {
	key, rest, _ := strings.Cut(name, "#")
	num, host, _ := strings.Cut(rest, "@")
	c := n.view.Claims[key]
	id, err := strconv.Atoi(num)
	if err != nil || c == nil {
		return nil, nil
	}
	return c, c.Slots[replica.SlotKey{Task: id, Host: host}]
}

// dueTasks counts the tasks of a unit that its team may claim on its guarantee now.
// A gang claims all of them or none.
func (n *Controller) dueTasks(u *unit) int {
	if !n.view.Quota.HasGuarantee(u.spec.Team) {
		return 0
	}
	waiting := u.waiting()
	due := n.view.Quota.Standing(u.spec.Team, u.id(), usageView{n}).Entitled(replica.TaskResources(u.spec))
	if u.spec.Shape == protocol.ShapeGang && due < waiting {
		return 0
	}
	return min(due, waiting)
}

// dueFirst moves work within its team's guarantee ahead of others' of the same rank.
// Behind a backlog of borrowers a team waited for its guarantee until they were done.
func (n *Controller) dueFirst(q []*unit) {
	if !n.guarantees {
		return
	}
	at := make(map[string]quota.Standing)
	for _, u := range q {
		team := u.spec.Team
		if !n.view.Quota.HasGuarantee(team) {
			continue
		}
		if u.due = n.view.Quota.HasReservation(team, u.id()); u.due {
			continue // counted as booked
		}
		st, seen := at[team]
		if !seen {
			st = n.view.Quota.Standing(team, "", usageView{n})
		}
		need, waiting := 1, u.waiting()
		if u.spec.Shape == protocol.ShapeGang {
			need = waiting
		}
		if due := st.Entitled(replica.TaskResources(u.spec)); due >= need && due > 0 {
			u.due = true
			st.Reserved = st.Reserved.Plus(replica.TaskResources(u.spec).Times(float64(min(due, waiting))))
		}
		at[team] = st
	}
	slices.SortStableFunc(q, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(b.spec.Priority(), a.spec.Priority()), cmp.Compare(btoi(b.due), btoi(a.due)))
	})
}

// consent says whose work a job may have stopped: that of lower rank, and for what
// its team's guarantee still covers what other teams borrow. It counts what is taken
// so that no lender is pushed below its own guarantee.
type consent struct {
	spec  *protocol.Submission
	left  int // tasks that the guarantee covers
	taker *quota.Preemptor
	seen  map[string]quota.Standing
	n     *Controller
}

func (n *Controller) consentFor(u *unit) *consent {
	k := &consent{spec: u.spec, left: n.dueTasks(u), n: n, seen: make(map[string]quota.Standing)}
	k.reset()
	return k
}

// byRank consents to the displacement of lower ranks alone.
func (n *Controller) byRank(spec *protocol.Submission) *consent { return &consent{spec: spec, n: n} }

func (k *consent) reset() {
	k.taker = &quota.Preemptor{ClaimedTask: replica.TaskResources(k.spec), StandingOf: func(team string) quota.Standing {
		st, ok := k.seen[team]
		if !ok {
			st = k.n.view.Quota.Standing(team, "", usageView{k.n})
			k.seen[team] = st
		}
		return st
	}}
}

// may tells whether one more task may be stopped, beside those chosen so far.
func (k *consent) may(v *protocol.Submission, chosen []replica.Victim) bool {
	if v.Priority() < k.spec.Priority() {
		return true
	}
	if k.left == 0 || v.Team == k.spec.Team {
		return false
	}
	beside := quota.Resources{}
	for i := range chosen {
		if s := chosen[i].Claim.Spec; s.Team == v.Team && k.borrowed(&chosen[i]) {
			beside = beside.Plus(replica.TaskResources(s))
		}
	}
	return k.taker.MayPreempt(v.Team, replica.TaskResources(v), beside)
}

// borrowed tells that a victim is taken for the guarantee, not for its rank.
func (k *consent) borrowed(v *replica.Victim) bool {
	return v.Claim.Spec.Priority() >= k.spec.Priority()
}

// took notes what was chosen for one task.
func (k *consent) took(list []replica.Victim) {
	claims := false
	for i := range list {
		if k.borrowed(&list[i]) {
			k.taker.RecordPreemption(list[i].Claim.Spec.Team, replica.TaskResources(list[i].Claim.Spec))
			claims = true
		}
	}
	if claims && k.left > 0 {
		k.left--
	}
}

// booking is a displacement that waits for its claim on the guarantee to be on
// record, and for the cache to show all that was placed before.
type booking struct {
	shard string
	team  string
	at    uint64 // the record's revision; 0 while it is on its way
	until time.Time
	plan  []bookedRoom
	tasks int // of the job, for which what is borrowed is taken
}

type bookedRoom struct {
	host    string
	victims []replica.Victim
}

// book has a displacement booked, if it takes what is borrowed.
func (n *Controller) book(s *replica.Shard, u *unit, plan []eviction, k *consent, now time.Time) {
	if plan = cutLenders(plan, k, n.cfg.RecordLimits().MaxTxnOps-1, u.together()); len(plan) == 0 {
		return
	}
	id := u.id()
	b := &booking{shard: s.Name, team: u.spec.Team, until: now.Add(planFor)}
	victims := make(map[string][]string)
	tasks := 0
	for _, e := range plan {
		b.plan = append(b.plan, bookedRoom{e.r.host, e.victims})
		claims := false
		for i := range e.victims {
			if v := &e.victims[i]; k.borrowed(v) {
				victims[v.Claim.Spec.Team] = append(victims[v.Claim.Spec.Team], v.Name())
				claims = true
			}
		}
		if claims || u.together() {
			tasks++ // where lower ranks give way alone the guarantee is not asked
		}
	}
	n.bookings[id], b.tasks = b, tasks
	use := replica.TaskResources(u.spec).Times(float64(tasks)).Plus(usageView{n}.PlacedBy(id))
	conds, ops := n.view.Quota.Reserve(quota.ReservationRequest{Team: b.team, ClaimKey: id, Shard: s.Name, FencingToken: s.FencingToken, Use: use, Victims: victims})
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: records.JobPrefix + u.j.ID, Version: u.j.Version})
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		if err != nil {
			n.log.Debug("guarantee not booked", "claim", id, "team", b.team, "err", err)
			if n.bookings[id] == b {
				delete(n.bookings, id)
			}
			return
		}
		b.at = n.view.Versions[records.ReservationPrefix+b.team]
		s.Changed = true
	})
}

// cutLenders leaves as many evictions of a plan as take from so many teams: each has a
// record that the booking's one transaction changes. A plan that only serves whole goes
// altogether.
func cutLenders(plan []eviction, k *consent, most int, whole bool) []eviction {
	lenders := map[string]bool{k.spec.Team: true}
	for i, e := range plan {
		for j := range e.victims {
			if v := &e.victims[j]; k.borrowed(v) {
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

// carryOutBooked stops what a booking names, once all that was placed before it is
// known and it still holds. Where it does not the booking goes, and nothing is
// stopped.
func (n *Controller) carryOutBooked(s *replica.Shard, u *unit, b *booking, rooms []*room, now time.Time) bool {
	if b.shard != s.Name || b.at == 0 || n.view.Revision < b.at {
		return false
	}
	delete(n.bookings, u.id())
	byHost := make(map[string]*room, len(rooms))
	for _, r := range rooms {
		byHost[r.host] = r
	}
	k := n.consentFor(u)
	due := k.left
	// What is on record for this very job is leaving in its own name.
	k.taker.StandingOf = func(team string) quota.Standing {
		return n.view.Quota.StandingExcludingPreemptionsFor(team, u.id(), usageView{n})
	}
	var plan []eviction
	for _, br := range b.plan {
		r := byHost[br.host]
		if r == nil || !r.usable {
			continue
		}
		e := eviction{r: r}
		for _, v := range br.victims {
			if _, going := v.Claim.Evictions[v.Task]; v.Claim.Slots[replica.SlotKey{Task: v.Task, Host: br.host}] == nil || going || !k.may(v.Claim.Spec, e.victims) {
				continue
			}
			e.victims = append(e.victims, v)
		}
		if len(e.victims) > 0 {
			k.took(e.victims)
			plan = append(plan, e)
		}
	}
	if due < b.tasks || (u.together() && len(plan) < len(b.plan)) {
		// It goes as a whole and is made anew: what is on record is what is taken.
		n.log.Debug("a booking does not hold any more", "claim", u.id(), "team", b.team)
		return false
	}
	for _, e := range plan {
		for i := range e.victims {
			if v := &e.victims[i]; k.borrowed(v) {
				if v.Claim.PreemptedFor == nil {
					v.Claim.PreemptedFor = make(map[replica.SlotKey]string)
				}
				v.Claim.PreemptedFor[replica.SlotKey{Task: v.Task, Host: v.Host}] = u.id()
			}
		}
		n.carryOut(s, u, e, now)
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

// tidyBookings frees what jobs have booked and do not use any more, and withdraws
// the stops for them that were not sent yet.
func (n *Controller) tidyBookings(now time.Time) {
	for id, b := range n.bookings {
		ref, _, _ := records.ParseClaimKey(id)
		if j := n.view.Jobs[ref]; (now.After(b.until) && b.at != 0) || j == nil || j.Record.IsFinal() || !n.view.IsActive(n.view.Shards[b.shard]) {
			delete(n.bookings, id)
		}
	}
	if n.unbooking {
		return
	}
	ids := slices.DeleteFunc(n.view.Quota.ExpiredReservations(usageView{n}), func(id string) bool {
		// What is still on its way down counts at its team until it is gone. Taken off
		// the record before, it was lent a second time.
		going := false
		for _, task := range n.view.Quota.PreemptedFor(id) {
			going = !n.withdraw(task) || going
		}
		return going
	})
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), 4)]
	n.unbooking = true
	conds, ops := n.view.Quota.Release(ids)
	n.commit(kv.PriorityClaim, conds, ops, 0, func(error) { n.unbooking = false })
}

// withdraw takes a stop back that was not sent yet, and tells whether nothing is being
// stopped there any more.
func (n *Controller) withdraw(task string) bool {
	c, p := n.victimAt(task)
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
