package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// cardsOwed is how long an array waits with none of its tasks placed beside machines that
// are kept for jobs with cards. Where all that its shard has are such machines it waited
// for as long as jobs with cards had come of late.
const cardsOwed = 75 * time.Second

// unit is a queued chunk at one shard: unclaimed, or claimed with tasks left.
type unit struct {
	j     *job
	c     *claim
	chunk int
	spec  *protocol.Submission
	due   bool // within its team's guarantee
	trial bool // it fails wherever it runs: see onTrial
	ahead bool // one task of it begins ahead of its turn
	most  int  // tasks that may start now, where idle is set
	idle  bool // of the lowest rank: it takes what others leave
	owed  bool // it has waited beside machines that are kept for cards for too long
}

func (u *unit) bounds() (first, count int) {
	if u.c != nil && u.c.rec != nil {
		return u.c.rec.FirstTask, u.c.rec.TaskCount
	}
	first = u.chunk * u.j.size
	return first, min(u.j.size, u.spec.Tasks-first)
}

// waiting counts the unit's tasks that may be placed now.
func (u *unit) waiting() int {
	if u.ahead {
		return min(u.left(), 1)
	}
	return u.left()
}

// left counts the unit's tasks that have no machine; of a job on trial one at most.
func (u *unit) left() int {
	_, count := u.bounds()
	if u.c != nil && u.c.latest() != nil {
		rec := u.c.latest()
		count = max(0, count-rec.CompletedCount()-len(rec.Placements))
	}
	if u.trial && u.spec.Shape != protocol.ShapeGang {
		return min(count, 1)
	}
	return count
}

// widenAfter is when a job may be taken by shards it was not queued at, since
// all of its own may be full, or without an owner.
const widenAfter = 4 * time.Second

// cardsRecent is how long after the latest job with cards machines are kept
// for the next.
const cardsRecent = 2 * time.Minute

// queueOf is a shard's queue: by priority, then first come.
func (n *Controller) queueOf(s *shard, now time.Time) []*unit {
	var q []*unit
	for ref, j := range n.hungry {
		if n.jobs[ref] != j || j.rec == nil || j.rec.Spec == nil || j.rec.IsFinal() {
			delete(n.hungry, ref)
			continue
		}
		trial := j.onTrial(now)
		if now.Before(j.pause) || j.ev.InBackoff(now) || (trial && j.tried()) {
			continue
		}
		queued := slices.Contains(j.rec.Shards, s.name) || now.Sub(j.seen) > widenAfter
		fed := true
		for i := range j.chunks {
			c := j.claims[i]
			if c == nil && !queued {
				fed = false
				continue
			}
			if c == nil {
				c = n.claimOf(j, i)
			}
			if c == nil {
				fed = false
				if now.After(j.lost[i]) {
					q = append(q, &unit{j: j, chunk: i, spec: j.spec(), trial: trial})
				}
				continue
			}
			u := &unit{j: j, c: c, chunk: i, spec: j.spec(), trial: trial}
			if c.pend == nil && u.waiting() == 0 {
				continue
			}
			fed = false
			if c.rec != nil && c.rec.Shard == s.name && c.pend == nil && !now.Before(c.again) && (!c.halted() || len(c.rec.Placements) == 0) {
				q = append(q, u)
			}
		}
		if fed {
			delete(n.hungry, ref) // until a claim of it changes
		}
	}
	slices.SortFunc(q, func(a, b *unit) int {
		if a.spec.Priority() != b.spec.Priority() {
			return b.spec.Priority() - a.spec.Priority()
		}
		if a.j.rec.AcceptedAtMs != b.j.rec.AcceptedAtMs {
			if a.j.rec.AcceptedAtMs < b.j.rec.AcceptedAtMs {
				return -1
			}
			return 1
		}
		if a.j != b.j {
			return strings.Compare(a.j.ref, b.j.ref)
		}
		return a.chunk - b.chunk
	})
	n.dueFirst(q)
	n.beginAhead(q, now)
	return q
}

// beginAhead moves the arrays whose beginning can't wait for its turn to the front of
// their rank, behind what is within a guarantee. Those of the lowest rank have a share
// of their own (package leftover).
func (n *Controller) beginAhead(q []*unit, now time.Time) {
	some := false
	for _, u := range q {
		u.ahead = u.spec.Shape == protocol.ShapeArray && !isIdle(u.spec) && u.chunk == 0 && !u.trial &&
			placement.StartsAhead(now.Sub(u.j.queuedAt()), n.pol.StartAheadAfter, len(u.j.claims) > 0)
		some = some || u.ahead
	}
	if some {
		slices.SortStableFunc(q, func(a, b *unit) int {
			return cmp.Or(cmp.Compare(b.spec.Priority(), a.spec.Priority()), cmp.Compare(btoi(b.due), btoi(a.due)), cmp.Compare(btoi(b.ahead), btoi(a.ahead)))
		})
	}
}

// claimOf is the claim of a job's chunk, one that is being made included.
func (n *Controller) claimOf(j *job, chunk int) *claim {
	if c := j.claims[chunk]; c != nil {
		return c
	}
	return n.claims[j.key(chunk)]
}

// rooms is what each machine of a shard has free: everything that is or may
// be on it counts, recorded or only reported.
func (n *Controller) rooms(s *shard, now time.Time) []*room { return n.roomsBut(s, "", now) }

// roomsBut is rooms, with what is held for the job but counted as free.
func (n *Controller) roomsBut(s *shard, but string, now time.Time) []*room {
	// The rooms of the last call are over: every caller is done with its own before
	// anything else asks, and all hold the lock.
	if cap(n.scratch.rooms) < len(s.machines) {
		n.scratch.rooms = make([]room, len(s.machines)*5/4)
		n.scratch.list = make([]*room, 0, len(s.machines)*5/4)
	}
	all := n.scratch.rooms[:len(s.machines)]
	out := n.scratch.list[:0]
	for i, m := range s.machines {
		t := n.types[m.rec.Type]
		if t == nil {
			continue
		}
		r := &all[i]
		*r = room{ends: r.ends[:0], m: m, host: m.host, shard: s.name, typ: m.rec.Type, zone: m.rec.Zone, spot: m.rec.Spot, total: t}
		r.cpus, r.gpus, r.mem = n.free(m)
		// What is of unknown size is being ended by housekeeping.
		r.usable = m.rep != nil && !m.sick && !m.gone && !m.unclear && m.draining.IsZero() && m.warned.IsZero() && !m.returning && m.address() != "" &&
			n.silence(m, now) < n.pol.SuspectAfter && now.After(m.denied) && len(m.unsure) == 0 && !m.hearing.CannotReceive() && !n.mute(m, now)
		if m.rep == nil && !m.returning {
			r.boots = time.UnixMilli(m.rec.RentedAtMs).Add(n.boots.Expected(m.bootKind(), t.BootTime(), now))
		}
		for _, ref := range m.ev.AvoidedBy(now) {
			if j := n.jobs[ref]; j != nil && j.onTrial(now) {
				continue // the fault is its own, and where its image is costs least
			}
			if r.recentErrors == nil {
				r.recentErrors = make(map[string]bool)
			}
			r.recentErrors[ref] = true
		}
		out = append(out, r)
	}
	if len(n.gathers) > 0 {
		byHost := make(map[string]*room, len(out))
		for _, r := range out {
			byHost[r.host] = r
		}
		n.chargeHolds(s, but, byHost)
	}
	if now.Sub(n.cardsAt) < cardsRecent {
		cards := 0
		for _, r := range out {
			if r.total.GPUs > 0 {
				cards++
			}
		}
		keep := func(share float64) int { return max(n.pol.GPUMachineReserve, int(share*float64(cards))) }
		keepCards(out, keep(n.pol.GPUMachineShare), keep(max(n.pol.GPUMachineShare, n.pol.BestEffortGPUMachineShare)))
	}
	return out
}

// detail notes when the tasks on each machine should end and who might be
// displaced: only a pass with blocked work needs to know. What a machine's
// tasks come to is kept until something about them changes.
func (n *Controller) detail(rooms []*room, now time.Time) {
	for _, r := range rooms {
		if r.detailed || r.m == nil {
			continue
		}
		r.detailed = true
		if r.m.undetailed {
			n.detailMachine(r.m, now)
		}
		r.ends = append(r.ends, r.m.ends...)
		r.victims = r.m.victims
	}
}

func (n *Controller) detailMachine(m *machine, now time.Time) {
	m.undetailed = false
	m.ends, m.victims = m.ends[:0], nil // the list may still be in use by a pass
	for _, name := range slices.Sorted(maps.Keys(m.use.places)) {
		p := m.use.places[name]
		if p.c.spec == nil || p.exited(m) {
			continue
		}
		n.noteEnding(m, p, now)
	}
	// Most likely to be displaced first; the order is the same every time.
	slices.SortFunc(m.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.c.spec.Priority(), b.c.spec.Priority()), cmp.Compare(a.lost(now), b.lost(now)), strings.Compare(a.c.key, b.c.key), cmp.Compare(a.task, b.task))
	})
	slices.SortStableFunc(m.ends, func(a, b ending) int { return a.at.Compare(b.at) })
}

func (n *Controller) noteEnding(m *machine, p *place, now time.Time) {
	c := p.c
	began, running := m.running[p.name]
	if !running {
		began = now
	}
	_, evicted := c.evict[p.task]
	if c.spec.Shape != protocol.ShapeService {
		at := began.Add(n.estimate(c.spec))
		if evicted {
			at = now.Add(300 * time.Millisecond)
		}
		m.ends = append(m.ends, ending{at, c.spec})
	}
	if evicted {
		return
	}
	if c.spec.Shape == protocol.ShapeGang && c.spec.Tasks > 1 {
		return // stopping one task of a gang would end them all
	}
	if m.tasks[p.name] == nil {
		return // not there yet: it cannot be stopped
	}
	m.victims = append(m.victims, victim{c: c, task: p.task, host: m.host, began: began})
}

// lost is the CPU time that displacing it now would throw away.
func (v *victim) lost(now time.Time) float64 {
	s := v.c.spec
	lost := now.Sub(v.began).Seconds()
	if s.CheckpointIntervalS > 0 {
		lost = min(lost, s.CheckpointS)
	}
	return max(lost, 0) * max(s.CPUs, 1)
}

// evict has a placement stopped.
func (n *Controller) evict(c *claim, task int, now time.Time) {
	if c.evict == nil {
		c.evict = make(map[int]time.Time)
	}
	c.evict[task] = now
	for _, p := range c.placesInOrder() {
		if p.task == task {
			p.at.touch()
			n.stopEvicted(c, p, now)
		}
	}
	n.mark(c)
}

// stopEvicted sends the stop at once: settling waits while a version of the
// claim is being committed, and under load that took longer than the room made
// could be held.
func (n *Controller) stopEvicted(c *claim, p *place, now time.Time) {
	m := p.at.m
	if m == nil || !n.active(n.shards[m.rec.Shard]) {
		return
	}
	s := n.shards[m.rec.Shard]
	t := m.tasks[p.name]
	if t == nil || t.Attempt != p.try || t.Phase == protocol.TaskExited || !m.settled(s) {
		return
	}
	if grace, stop := n.wantStop(c, &records.Placement{Task: p.task, Attempt: p.try, Host: m.host}, now); stop {
		m.stopped[p.name] = now
		n.order(s, m, protocol.StopCommand(p.name, p.try, grace))
	}
}

// schedule is one pass over a shard's queue: first come first served within a
// priority, with EASY backfilling around a reservation for the head job.
func (n *Controller) schedule(s *shard, now time.Time) {
	q := n.queueOf(s, now)
	w := &wishes{of: make(map[string]*quota.Demand), looked: make(map[string]int), started: make(map[string]bool)}
	defer n.tellWishes(s.name, w, now)
	if len(q) == 0 {
		return
	}
	rooms := n.rooms(s, now)
	n.holdPlans(s, rooms, now)
	// While placements of arrays wait for the state service's budget, freed room
	// gathers, so that the next write places many tasks. One write for every
	// task or two kept machines idle for seconds, and what was placed but not
	// yet committed could neither run nor be displaced.
	saving := n.led.HasPending(kv.PriorityArrayClaim) > 0
	blocked := false
	failedSpecs := make(map[failKey]bool)
	free := mostOf(rooms)
	left, counted := placement.BestEffortCapacity{}, false // counted again only once something has changed: idle jobs come by the hundred
	for _, u := range q {
		waits := u.waits(now)
		u.owed = u.spec.Shape == protocol.ShapeArray && u.spec.GPUs == 0 && waits > cardsOwed
		if u.spec.Shape == protocol.ShapeArray && blocked && !u.due && !free.fits(u.spec) {
			continue // no machine has room for even one of its tasks
		}
		if u.idle = isIdle(u.spec); u.idle {
			if !counted {
				left, counted = n.leftOver(s, rooms), true
			}
			left.Contended = blocked
			if u.most = left.MaxTasks(n.pol.BestEffortShare, u.spec.CPUs, placement.HasStarted(u.c != nil, waits)); u.most <= 0 {
				continue
			}
		}
		key := failKey{u.spec.CPUs, u.spec.GPUs, u.spec.MemoryGB, u.spec.Image, u.spec.Priority(), u.spec.Zone, u.spec.Shape, u.spec.AllowSpot, 0, ""}
		if u.spec.Shape == protocol.ShapeGang {
			key.together = u.spec.Tasks
		}
		if len(u.spec.MachineTypes) > 0 {
			key.types = strings.Join(u.spec.MachineTypes, " ")
		}
		if (failedSpecs[key] && !u.owed) || n.heldUp(s, u, rooms, w, now) || (saving && u.spec.Shape == protocol.ShapeArray) {
			continue
		}
		if n.plans[u.j.ref] == nil && !u.trial && n.displaceForImage(s, u, rooms, now) {
			free, counted = free.with(rooms), false
			continue // it starts there as soon as the displaced tasks are gone
		}
		placed, short := n.placeUnit(s, u, rooms, now)
		if placed {
			counted = false
			delete(n.plans, u.j.ref)
			w.started[u.spec.Team] = true
		}
		if !short || placed || n.plans[u.j.ref] != nil || u.trial {
			continue
		}
		// Where its tasks are may keep a unit from room that others could use.
		// So may its own failures there, which say nothing about others alike.
		failedSpecs[key] = ((!u.spec.SpreadZones && !u.spec.SameZone) || u.c == nil || len(u.c.rec.Placements) == 0) &&
			!slices.ContainsFunc(rooms, func(r *room) bool { return r.recentErrors[u.j.ref] })
		if blocked && u.spec.Shape == protocol.ShapeArray && !u.due {
			continue
		}
		// The head job gets the reservation of EASY. Gangs and services behind
		// it get one as well: they displace arrays when they would be late, and
		// holding a machine for them in time throws less work away.
		blocked = true
		z := n.zonesOf(u)
		n.detail(rooms, now)
		need := 1
		if u.together() {
			need = u.waiting()
		}
		held, start := reserve(u.spec, u.j.ref, rooms, &z, need, now)
		if held == nil || start.After(n.startBy(u, rooms, &z, now)) {
			if n.makeRoom(s, u, rooms, now) {
				free, counted = free.with(rooms), false
				for _, r := range held {
					if r.shadow.After(now) {
						r.reservedFor = "" // the displaced room serves instead
					}
				}
			}
		}
	}
}

// startBy is when a job must start for the nearest of its objectives that can
// still be met if others are displaced, the fetch of its image included. Until
// then it waits for room: displacing for an objective that is lost anyway only
// throws work away.
func (n *Controller) startBy(u *unit, rooms []*room, z *zoneRule, now time.Time) time.Time {
	if u.spec.Shape == protocol.ShapeArray && !u.due && (isIdle(u.spec) || !n.idleRuns(u)) {
		return now.Add(time.Hour) // arrays displace nothing for a wait alone, but idle work
	}
	soonest := now.Add(soonestFetch(u.spec, rooms, z))
	best := time.Time{}
	for _, o := range n.cfg.Objectives {
		at, ok := n.objectiveStart(o, u)
		if ok && at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if by := u.j.heir.by; !by.IsZero() {
		if at := by.Add(-n.estimate(u.spec)); at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if !best.IsZero() {
		return best
	}
	if u.spec.Shape == protocol.ShapeService {
		return now // every second without a replica counts
	}
	return now.Add(lateWait)
}

// displaceForImage makes room for a service or a gang of one on a machine that
// holds its image, when all the free room is on machines that would fetch it
// for longer than the job's start may take.
func (n *Controller) displaceForImage(s *shard, u *unit, rooms []*room, now time.Time) bool {
	if u.spec.Shape == protocol.ShapeArray || u.together() {
		return false
	}
	z := n.zonesOf(u)
	i := choose(u.spec, u.j.ref, rooms, &z, 0, now)
	if i < 0 || rooms[i].holds(u.spec.Image) {
		return false
	}
	by := n.startBy(u, rooms, &z, now)
	if !by.After(now) || !now.Add(rooms[i].fetch(u.spec)).After(by) {
		return false
	}
	n.detail(rooms, now)
	at, victims := displace(u.spec, u.j.ref, rooms, &z, n.byRank(u.spec), now)
	return len(victims) > 0 && rooms[at].holds(u.spec.Image) && n.makeRoom(s, u, rooms, now)
}

// lateWait is how long a job that has missed all its objectives waits for room
// rather than displace others.
const lateWait = 15 * time.Second

// objectiveStart is when a job must start to meet an objective, if it has it.
func (n *Controller) objectiveStart(o protocol.Objective, u *unit) (time.Time, bool) {
	switch {
	case o.Kind == "guarantee" && n.dueTasks(u) > 0, o.Kind == "wait" && o.Class == u.spec.Class:
		return u.j.seen.Add(o.Within), true
	case o.Kind == "finished" && o.Class == u.spec.Class:
		return u.j.seen.Add(o.Within - n.estimate(u.spec)), true
	case o.Kind == "deadline" && o.Class == u.spec.Class && u.spec.Deadline() > 0:
		due := time.Duration(float64(u.spec.Deadline()) * max(o.DeadlineFactor, 1))
		return u.j.submitted().Add(due - n.estimate(u.spec)), true
	}
	return time.Time{}, false
}

// failKey names what a job asks for, so that a pass need not try the same
// again for every job alike.
type failKey struct {
	cpus, gpus, mem float64
	image           string
	prio            int
	zone            string
	shape           protocol.Shape
	spot            bool
	together        int // tasks of a gang
	types           string
}

func (n *Controller) zonesOf(u *unit) zoneRule {
	// Where the tasks are matters to jobs with a rule about zones, and to services,
	// which go where they have the fewest.
	if u.c == nil || (!u.spec.SpreadZones && !u.spec.SameZone && u.spec.Shape != protocol.ShapeService) {
		return newZoneRule(u.spec, nil)
	}
	return newZoneRule(u.spec, n.zonesTaken(u.c))
}

// zonesTaken lists the zones of a claim's placements, a zone for each.
func (n *Controller) zonesTaken(c *claim) []string {
	var zones []string
	if c.rec == nil {
		return nil
	}
	for _, p := range c.rec.Placements {
		if m := n.machines[p.Host]; m != nil {
			zones = append(zones, m.rec.Zone)
		}
	}
	return zones
}

// placeUnit places as many tasks of a unit as there is room for. short is true
// when tasks are left for want of room.
func (n *Controller) placeUnit(s *shard, u *unit, rooms []*room, now time.Time) (placed, short bool) {
	z := n.zonesOf(u)
	if choose(u.spec, u.j.ref, rooms, &z, n.estimate(u.spec), now) < 0 && !(u.owed && releaseCards(u.spec, u.j.ref, rooms, &z)) {
		return false, true // mostly so when much waits; copying the claim first cost more than all else
	}
	first, count := u.bounds()
	next := &records.Claim{Shard: s.name, FirstTask: first, TaskCount: count}
	if u.c != nil {
		next = u.c.rec.Clone()
	}
	need := u.waiting()
	whole := u.spec.Shape == protocol.ShapeGang
	picks := n.pickHosts(s.name, u, next, rooms, &z, now)
	if whole && u.spec.SameZone && len(picks) < need {
		// The best machine for the first task may be in a zone without room for the
		// rest: such a gang waited for ever beside another zone's free machines.
		for _, zone := range zonesIn(u.spec, rooms) {
			undo(u.spec, picks, rooms)
			z = n.zonesOf(u)
			if z.only != "" && z.only != zone {
				picks = nil
				continue
			}
			z.only = zone
			if picks = n.pickHosts(s.name, u, next, rooms, &z, now); len(picks) == need {
				break
			}
		}
	}
	if len(picks) == 0 || (whole && len(picks) < need) {
		undo(u.spec, picks, rooms)
		return false, true
	}
	// A service that fits elsewhere whole should not be torn to wait here. One
	// that must spread waits until every shard has had its turn: this one may
	// have no machine in a second zone.
	patience := time.Second
	if u.spec.SpreadZones {
		patience = widenAfter + 2*time.Second
	}
	if u.c == nil && u.spec.Shape == protocol.ShapeService && len(picks) < need && now.Sub(u.j.seen) < patience {
		undo(u.spec, picks, rooms)
		return false, true
	}
	// Copies of an array wait at several shards: one that could start only a few
	// of the tasks leaves the chunk to a better one for a while.
	if u.c == nil && u.spec.Shape == protocol.ShapeArray && 2*len(picks) < need && now.Sub(u.j.seen) < 2*time.Second {
		undo(u.spec, picks, rooms)
		return false, true
	}
	if whole && u.c != nil && len(u.c.rec.Placements) > 0 {
		undo(u.spec, picks, rooms)
		return false, false // the old attempt has to be gone first
	}
	if u.c != nil {
		n.bookDone(u.c, next)
	}
	next.LastAttempt++
	for _, pk := range picks {
		next.Placements = append(next.Placements, records.Placement{Task: pk.task, Attempt: next.LastAttempt, Host: rooms[pk.room].host})
	}
	if !n.commitUnit(s, u, next) {
		undo(u.spec, picks, rooms)
		return false, false
	}
	return true, len(picks) < need
}

type pick struct{ task, room int }

func undo(s *protocol.Submission, picks []pick, rooms []*room) {
	for _, pk := range picks {
		rooms[pk.room].give(s)
		rooms[pk.room].coming = ""
	}
}

// pickHosts chooses machines for the tasks of a unit that have none.
func (n *Controller) pickHosts(holder string, u *unit, rec *records.Claim, rooms []*room, z *zoneRule, now time.Time) []pick {
	open := make(map[int]bool, len(rec.Placements))
	for _, p := range rec.Placements {
		open[p.Task] = true
	}
	est := n.estimate(u.spec)
	most := n.cfg.RecordLimits().MaxPlacements() - len(open)
	if u.ahead || (u.trial && u.spec.Shape != protocol.ShapeGang) {
		most = min(most, 1)
	}
	if u.idle {
		most = min(most, u.most)
	}
	if n.limited(u.spec) {
		most = min(most, n.allowanceIn(holder, u.spec)+n.bookable(u.c))
	}
	var picks []pick
	left := n.cfg.RecordLimits().MaxValueBytes - rec.MaxEncodedSize()
	for t := rec.FirstTask; t < rec.FirstTask+rec.TaskCount && len(picks) < most; t++ {
		if open[t] || rec.IsCompleted(t) {
			continue
		}
		i := choose(u.spec, u.j.ref, rooms, z, est, now)
		if i < 0 {
			break
		}
		next := records.Placement{Task: t, Attempt: rec.LastAttempt + 1, Host: rooms[i].host}
		if left -= next.MaxEncodedSize(); left < 0 {
			break
		}
		rooms[i].take(u.spec)
		rooms[i].coming = u.spec.Image
		z.add(u.spec, rooms[i].zone)
		picks = append(picks, pick{t, i})
	}
	return picks
}
