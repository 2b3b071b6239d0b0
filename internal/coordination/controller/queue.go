package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
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
	j     *replica.Job
	c     *replica.Claim
	chunk int
	spec  *protocol.Submission
	due   bool // within its team's guarantee
	trial bool // it fails wherever it runs: see OnProbation
	ahead bool // one task of it begins ahead of its turn
	most  int  // tasks that may start now, where idle is set
	idle  bool // of the lowest rank: it takes what others leave
	owed  bool // it has waited beside machines that are kept for cards for too long
}

func (u *unit) bounds() (first, count int) {
	if u.c != nil && u.c.Record != nil {
		return u.c.Record.FirstTask, u.c.Record.TaskCount
	}
	first = u.chunk * u.j.ChunkSize
	return first, min(u.j.ChunkSize, u.spec.Tasks-first)
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
	if u.c != nil && u.c.Latest() != nil {
		rec := u.c.Latest()
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
func (n *Controller) queueOf(s *replica.Shard, now time.Time) []*unit {
	var q []*unit
	for ref, j := range n.view.Unplaced {
		if n.view.Jobs[ref] != j || j.Record == nil || j.Record.Spec == nil || j.Record.IsFinal() {
			delete(n.view.Unplaced, ref)
			continue
		}
		trial := j.OnProbation(now)
		if now.Before(j.NotBefore) || j.Evidence.InBackoff(now) || (trial && j.ProbationRunning()) {
			continue
		}
		queued := slices.Contains(j.Record.Shards, s.Name) || now.Sub(j.SeenAt) > widenAfter
		fed := true
		for i := range j.Chunks {
			c := j.Claims[i]
			if c == nil && !queued {
				fed = false
				continue
			}
			if c == nil {
				c = n.view.ClaimOf(j, i)
			}
			if c == nil {
				fed = false
				if now.After(j.LeftUntil[i]) {
					q = append(q, &unit{j: j, chunk: i, spec: j.Spec(), trial: trial})
				}
				continue
			}
			u := &unit{j: j, c: c, chunk: i, spec: j.Spec(), trial: trial}
			if c.Pending == nil && u.waiting() == 0 {
				continue
			}
			fed = false
			if c.Record != nil && c.Record.Shard == s.Name && c.Pending == nil && !now.Before(c.RetryAt) && (!c.Halted() || len(c.Record.Placements) == 0) {
				q = append(q, u)
			}
		}
		if fed {
			delete(n.view.Unplaced, ref) // until a claim of it changes
		}
	}
	slices.SortFunc(q, func(a, b *unit) int {
		if a.spec.Priority() != b.spec.Priority() {
			return b.spec.Priority() - a.spec.Priority()
		}
		if a.j.Record.AcceptedAtMs != b.j.Record.AcceptedAtMs {
			if a.j.Record.AcceptedAtMs < b.j.Record.AcceptedAtMs {
				return -1
			}
			return 1
		}
		if a.j != b.j {
			return strings.Compare(a.j.ID, b.j.ID)
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
			placement.StartsAhead(now.Sub(u.j.QueuedAt()), n.pol.StartAheadAfter, len(u.j.Claims) > 0)
		some = some || u.ahead
	}
	if some {
		slices.SortStableFunc(q, func(a, b *unit) int {
			return cmp.Or(cmp.Compare(b.spec.Priority(), a.spec.Priority()), cmp.Compare(btoi(b.due), btoi(a.due)), cmp.Compare(btoi(b.ahead), btoi(a.ahead)))
		})
	}
}

// rooms is what each machine of a shard has free: everything that is or may
// be on it counts, recorded or only reported.
func (n *Controller) rooms(s *replica.Shard, now time.Time) []*room { return n.roomsBut(s, "", now) }

// roomsBut is rooms, with what is held for the job but counted as free.
func (n *Controller) roomsBut(s *replica.Shard, but string, now time.Time) []*room {
	// The rooms of the last call are over: every caller is done with its own before
	// anything else asks, and all hold the lock.
	if cap(n.scratch.rooms) < len(s.Machines) {
		n.scratch.rooms = make([]room, len(s.Machines)*5/4)
		n.scratch.list = make([]*room, 0, len(s.Machines)*5/4)
	}
	all := n.scratch.rooms[:len(s.Machines)]
	out := n.scratch.list[:0]
	for i, m := range s.Machines {
		t := n.view.MachineTypes[m.Record.Type]
		if t == nil {
			continue
		}
		r := &all[i]
		*r = room{ends: r.ends[:0], m: m, host: m.Host, shard: s.Name, typ: m.Record.Type, zone: m.Record.Zone, spot: m.Record.Spot, total: t}
		r.cpus, r.gpus, r.mem = n.view.FreeCapacity(m)
		// What is of unknown size is being ended by housekeeping.
		r.usable = m.Agent.Heartbeat != nil && !m.Quarantine.Active && !m.Lifecycle.Gone && !m.Capacity.UnknownUse && m.Lifecycle.DrainingSince.IsZero() && m.Agent.PreemptionNoticeAt.IsZero() && !m.Lifecycle.Returning && m.Address() != "" &&
			n.silence(m, now) < n.pol.SuspectAfter && now.After(m.Quarantine.RejectingUntil) && len(m.Commands.Unknown) == 0 && !m.Detector.Reachability.CannotReceive() && !n.mute(m, now)
		if m.Agent.Heartbeat == nil && !m.Lifecycle.Returning {
			r.boots = time.UnixMilli(m.Record.RentedAtMs).Add(n.boots.Expected(m.BootKind(), t.BootTime(), now))
		}
		for _, ref := range m.Quarantine.Evidence.AvoidedBy(now) {
			if j := n.view.Jobs[ref]; j != nil && j.OnProbation(now) {
				continue // the fault is its own, and where its image is costs least
			}
			if r.recentErrors == nil {
				r.recentErrors = make(map[string]bool)
			}
			r.recentErrors[ref] = true
		}
		out = append(out, r)
	}
	if len(n.view.GangReservations) > 0 {
		byHost := make(map[string]*room, len(out))
		for _, r := range out {
			byHost[r.host] = r
		}
		n.chargeHolds(s, but, byHost)
	}
	if now.Sub(n.view.GPUJobSeenAt) < cardsRecent {
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
		if r.m.Capacity.DetailsStale {
			n.detailMachine(r.m, now)
		}
		r.ends = append(r.ends, r.m.Capacity.Releases...)
		r.victims = r.m.Capacity.Victims
	}
}

func (n *Controller) detailMachine(m *replica.Machine, now time.Time) {
	m.Capacity.DetailsStale = false
	m.Capacity.Releases, m.Capacity.Victims = m.Capacity.Releases[:0], nil // the list may still be in use by a pass
	for _, name := range slices.Sorted(maps.Keys(m.Use.Slots)) {
		p := m.Use.Slots[name]
		if p.Claim.Spec == nil || p.Exited(m) {
			continue
		}
		n.noteEnding(m, p, now)
	}
	// Most likely to be displaced first; the order is the same every time.
	slices.SortFunc(m.Capacity.Victims, func(a, b replica.Victim) int {
		return cmp.Or(cmp.Compare(a.Claim.Spec.Priority(), b.Claim.Spec.Priority()), cmp.Compare(a.LostWork(now), b.LostWork(now)), strings.Compare(a.Claim.Key, b.Claim.Key), cmp.Compare(a.Task, b.Task))
	})
	slices.SortStableFunc(m.Capacity.Releases, func(a, b replica.Release) int { return a.At.Compare(b.At) })
}

func (n *Controller) noteEnding(m *replica.Machine, p *replica.Slot, now time.Time) {
	c := p.Claim
	began, running := m.Agent.RunningSince[p.TaskName]
	if !running {
		began = now
	}
	_, evicted := c.Evictions[p.Task]
	if c.Spec.Shape != protocol.ShapeService {
		at := began.Add(n.estimate(c.Spec))
		if evicted {
			at = now.Add(300 * time.Millisecond)
		}
		m.Capacity.Releases = append(m.Capacity.Releases, replica.Release{At: at, Spec: c.Spec})
	}
	if evicted {
		return
	}
	if c.Spec.Shape == protocol.ShapeGang && c.Spec.Tasks > 1 {
		return // stopping one task of a gang would end them all
	}
	if m.Agent.Tasks[p.TaskName] == nil {
		return // not there yet: it cannot be stopped
	}
	m.Capacity.Victims = append(m.Capacity.Victims, replica.Victim{Claim: c, Task: p.Task, Host: m.Host, StartedAt: began})
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
	if grace, stop := n.wantStop(c, &records.Placement{Task: p.Task, Attempt: p.Attempt, Host: m.Host}, now); stop {
		m.Commands.StopSentAt[p.TaskName] = now
		n.order(s, m, protocol.StopCommand(p.TaskName, p.Attempt, grace))
	}
}

// schedule is one pass over a shard's queue: first come first served within a
// priority, with EASY backfilling around a reservation for the head job.
func (n *Controller) schedule(s *replica.Shard, now time.Time) {
	q := n.queueOf(s, now)
	w := &wishes{of: make(map[string]*quota.Demand), looked: make(map[string]int), started: make(map[string]bool)}
	defer n.tellWishes(s.Name, w, now)
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
		if n.plans[u.j.ID] == nil && !u.trial && n.displaceForImage(s, u, rooms, now) {
			free, counted = free.with(rooms), false
			continue // it starts there as soon as the displaced tasks are gone
		}
		placed, short := n.placeUnit(s, u, rooms, now)
		if placed {
			counted = false
			delete(n.plans, u.j.ID)
			w.started[u.spec.Team] = true
		}
		if !short || placed || n.plans[u.j.ID] != nil || u.trial {
			continue
		}
		// Where its tasks are may keep a unit from room that others could use.
		// So may its own failures there, which say nothing about others alike.
		failedSpecs[key] = ((!u.spec.SpreadZones && !u.spec.SameZone) || u.c == nil || len(u.c.Record.Placements) == 0) &&
			!slices.ContainsFunc(rooms, func(r *room) bool { return r.recentErrors[u.j.ID] })
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
		held, start := reserve(u.spec, u.j.ID, rooms, &z, need, now)
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
	if by := u.j.Inherited.FinishBy; !by.IsZero() {
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
func (n *Controller) displaceForImage(s *replica.Shard, u *unit, rooms []*room, now time.Time) bool {
	if u.spec.Shape == protocol.ShapeArray || u.together() {
		return false
	}
	z := n.zonesOf(u)
	i := choose(u.spec, u.j.ID, rooms, &z, 0, now)
	if i < 0 || rooms[i].holds(u.spec.Image) {
		return false
	}
	by := n.startBy(u, rooms, &z, now)
	if !by.After(now) || !now.Add(rooms[i].fetch(u.spec)).After(by) {
		return false
	}
	n.detail(rooms, now)
	at, victims := displace(u.spec, u.j.ID, rooms, &z, n.byRank(u.spec), now)
	return len(victims) > 0 && rooms[at].holds(u.spec.Image) && n.makeRoom(s, u, rooms, now)
}

// lateWait is how long a job that has missed all its objectives waits for room
// rather than displace others.
const lateWait = 15 * time.Second

// objectiveStart is when a job must start to meet an objective, if it has it.
func (n *Controller) objectiveStart(o protocol.Objective, u *unit) (time.Time, bool) {
	switch {
	case o.Kind == "guarantee" && n.dueTasks(u) > 0, o.Kind == "wait" && o.Class == u.spec.Class:
		return u.j.SeenAt.Add(o.Within), true
	case o.Kind == "finished" && o.Class == u.spec.Class:
		return u.j.SeenAt.Add(o.Within - n.estimate(u.spec)), true
	case o.Kind == "deadline" && o.Class == u.spec.Class && u.spec.Deadline() > 0:
		due := time.Duration(float64(u.spec.Deadline()) * max(o.DeadlineFactor, 1))
		return u.j.SubmittedAt().Add(due - n.estimate(u.spec)), true
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
	return newZoneRule(u.spec, n.view.ZonesOf(u.c))
}

// placeUnit places as many tasks of a unit as there is room for. short is true
// when tasks are left for want of room.
func (n *Controller) placeUnit(s *replica.Shard, u *unit, rooms []*room, now time.Time) (placed, short bool) {
	z := n.zonesOf(u)
	if choose(u.spec, u.j.ID, rooms, &z, n.estimate(u.spec), now) < 0 && !(u.owed && releaseCards(u.spec, u.j.ID, rooms, &z)) {
		return false, true // mostly so when much waits; copying the claim first cost more than all else
	}
	first, count := u.bounds()
	next := &records.Claim{Shard: s.Name, FirstTask: first, TaskCount: count}
	if u.c != nil {
		next = u.c.Record.Clone()
	}
	need := u.waiting()
	whole := u.spec.Shape == protocol.ShapeGang
	picks := n.pickHosts(s.Name, u, next, rooms, &z, now)
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
			if picks = n.pickHosts(s.Name, u, next, rooms, &z, now); len(picks) == need {
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
	if u.c == nil && u.spec.Shape == protocol.ShapeService && len(picks) < need && now.Sub(u.j.SeenAt) < patience {
		undo(u.spec, picks, rooms)
		return false, true
	}
	// Copies of an array wait at several shards: one that could start only a few
	// of the tasks leaves the chunk to a better one for a while.
	if u.c == nil && u.spec.Shape == protocol.ShapeArray && 2*len(picks) < need && now.Sub(u.j.SeenAt) < 2*time.Second {
		undo(u.spec, picks, rooms)
		return false, true
	}
	if whole && u.c != nil && len(u.c.Record.Placements) > 0 {
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
		i := choose(u.spec, u.j.ID, rooms, z, est, now)
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
