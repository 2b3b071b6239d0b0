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

// gpuMachineWait is how long an array waits with none of its tasks placed beside machines that
// are kept for jobs with cards. Where all that its shard has are such machines it waited
// for as long as jobs with cards had come of late.
const gpuMachineWait = 75 * time.Second

// widenAfter is when a job may be taken by shards it was not queued at, since
// all of its own may be full, or without an owner.
const widenAfter = 4 * time.Second

// gpuReserveTTL is how long after the latest job with cards machines are kept
// for the next.
const gpuReserveTTL = 2 * time.Minute

// queue is a shard's queue: by priority, then first come.
func (n *Controller) queue(s *replica.Shard, now time.Time) []*placement.QueueEntry {
	var q []*placement.QueueEntry
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
					q = append(q, &placement.QueueEntry{Job: j, Chunk: i, Spec: j.Spec(), OnProbation: trial})
				}
				continue
			}
			u := &placement.QueueEntry{Job: j, Claim: c, Chunk: i, Spec: j.Spec(), OnProbation: trial}
			if c.Pending == nil && u.PlaceableTasks() == 0 {
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
	slices.SortFunc(q, func(a, b *placement.QueueEntry) int {
		if a.Spec.Priority() != b.Spec.Priority() {
			return b.Spec.Priority() - a.Spec.Priority()
		}
		if a.Job.Record.AcceptedAtMs != b.Job.Record.AcceptedAtMs {
			if a.Job.Record.AcceptedAtMs < b.Job.Record.AcceptedAtMs {
				return -1
			}
			return 1
		}
		if a.Job != b.Job {
			return strings.Compare(a.Job.ID, b.Job.ID)
		}
		return a.Chunk - b.Chunk
	})
	n.prioritizeEntitled(q)
	n.moveAheadOfTurn(q, now)
	return q
}

// moveAheadOfTurn moves the arrays whose beginning can't wait for its turn to the front of
// their rank, behind what is within a guarantee. Those of the lowest rank have a share
// of their own (package leftover).
func (n *Controller) moveAheadOfTurn(q []*placement.QueueEntry, now time.Time) {
	some := false
	for _, u := range q {
		u.StartsAhead = u.Spec.Shape == protocol.ShapeArray && !placement.IsBestEffort(u.Spec) && u.Chunk == 0 && !u.OnProbation &&
			placement.StartsAhead(now.Sub(u.Job.QueuedAt()), n.policy.StartAheadAfter, len(u.Job.Claims) > 0)
		some = some || u.StartsAhead
	}
	if some {
		slices.SortStableFunc(q, func(a, b *placement.QueueEntry) int {
			return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(boolToInt(b.WithinGuarantee), boolToInt(a.WithinGuarantee)), cmp.Compare(boolToInt(b.StartsAhead), boolToInt(a.StartsAhead)))
		})
	}
}

// capacities is what each machine of a shard has free: everything that is or may
// be on it counts, recorded or only reported.
func (n *Controller) capacities(s *replica.Shard, now time.Time) []*placement.Capacity {
	return n.capacitiesFor(s, "", now)
}

// capacitiesFor is rooms, with what is held for the job but counted as free.
func (n *Controller) capacitiesFor(s *replica.Shard, but string, now time.Time) []*placement.Capacity {
	// The rooms of the last call are over: every caller is done with its own before
	// anything else asks, and all hold the lock.
	if cap(n.scratch.capacities) < len(s.Machines) {
		n.scratch.capacities = make([]placement.Capacity, len(s.Machines)*5/4)
		n.scratch.list = make([]*placement.Capacity, 0, len(s.Machines)*5/4)
	}
	all := n.scratch.capacities[:len(s.Machines)]
	out := n.scratch.list[:0]
	for i, m := range s.Machines {
		t := n.view.MachineTypes[m.Record.Type]
		if t == nil {
			continue
		}
		r := &all[i]
		*r = placement.Capacity{Releases: r.Releases[:0], Machine: m, Host: m.Host, Shard: s.Name, TypeName: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot, Type: t}
		r.Free = n.view.FreeCapacity(m)
		// What is of unknown size is being ended by housekeeping.
		r.Usable = m.Agent.Heartbeat != nil && !m.Quarantine.Active && !m.Lifecycle.Gone && !m.Capacity.UnknownUse && m.Lifecycle.DrainingSince.IsZero() && m.Agent.PreemptionNoticeAt.IsZero() && !m.Lifecycle.Returning && m.Address() != "" &&
			n.silenceOf(m, now) < n.policy.SuspectAfter && now.After(m.Quarantine.RejectingUntil) && len(m.Commands.Unknown) == 0 && !m.Detector.Reachability.CannotReceive() && !n.cannotReport(m, now)
		if m.Agent.Heartbeat == nil && !m.Lifecycle.Returning {
			r.BootsAt = time.UnixMilli(m.Record.RentedAtMs).Add(n.provisioner.bootStats.Expected(bootKindOf(m), t.BootTime(), now))
		}
		for _, ref := range m.Quarantine.Evidence.AvoidedBy(now) {
			if j := n.view.Jobs[ref]; j != nil && j.OnProbation(now) {
				continue // the fault is its own, and where its image is costs least
			}
			if r.AvoidedBy == nil {
				r.AvoidedBy = make(map[string]bool)
			}
			r.AvoidedBy[ref] = true
		}
		out = append(out, r)
	}
	if len(n.view.GangReservations) > 0 {
		byHost := make(map[string]*placement.Capacity, len(out))
		for _, r := range out {
			byHost[r.Host] = r
		}
		n.chargeGangHolds(s, but, byHost)
	}
	if now.Sub(n.view.GPUJobSeenAt) < gpuReserveTTL {
		cards := 0
		for _, r := range out {
			if r.Type.GPUs > 0 {
				cards++
			}
		}
		keep := func(share float64) int { return max(n.policy.GPUMachineReserve, int(share*float64(cards))) }
		placement.KeepGPUMachines(out, keep(n.policy.GPUMachineShare), keep(max(n.policy.GPUMachineShare, n.policy.BestEffortGPUMachineShare)))
	}
	return out
}

// detailCapacities notes when the tasks on each machine should end and who might be
// displaced: only a pass with blocked work needs to know. What a machine's
// tasks come to is kept until something about them changes.
func (n *Controller) detailCapacities(rooms []*placement.Capacity, now time.Time) {
	for _, r := range rooms {
		if r.Detailed || r.Machine == nil {
			continue
		}
		r.Detailed = true
		if r.Machine.Capacity.DetailsStale {
			n.detailMachine(r.Machine, now)
		}
		r.Releases = append(r.Releases, r.Machine.Capacity.Releases...)
		r.Victims = r.Machine.Capacity.Victims
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
		n.addRelease(m, p, now)
	}
	// Most likely to be displaced first; the order is the same every time.
	slices.SortFunc(m.Capacity.Victims, func(a, b replica.Victim) int {
		return cmp.Or(cmp.Compare(a.Claim.Spec.Priority(), b.Claim.Spec.Priority()), cmp.Compare(a.LostWork(now), b.LostWork(now)), strings.Compare(a.Claim.Key, b.Claim.Key), cmp.Compare(a.Task, b.Task))
	})
	slices.SortStableFunc(m.Capacity.Releases, func(a, b replica.Release) int { return a.At.Compare(b.At) })
}

func (n *Controller) addRelease(m *replica.Machine, p *replica.Slot, now time.Time) {
	c := p.Claim
	began, running := m.Agent.RunningSince[p.TaskName]
	if !running {
		began = now
	}
	_, evicted := c.Evictions[p.Task]
	if c.Spec.Shape != protocol.ShapeService {
		at := began.Add(n.estimateRuntime(c.Spec))
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
	if grace, stop := n.shouldStop(c, &records.Placement{Task: p.Task, Attempt: p.Attempt, Host: m.Host}, now); stop {
		m.Commands.StopSentAt[p.TaskName] = now
		n.queueCommands(s, m, protocol.StopCommand(p.TaskName, p.Attempt, grace))
	}
}

// scheduleShard is one pass over a shard's queue: first come first served within a
// priority, with EASY backfilling around a reservation for the head job.
func (n *Controller) scheduleShard(s *replica.Shard, now time.Time) {
	q := n.queue(s, now)
	w := &passDemands{byTeam: make(map[string]*quota.Demand), weighed: make(map[string]int), started: make(map[string]bool)}
	defer n.publishDemands(s.Name, w, now)
	if len(q) == 0 {
		return
	}
	rooms := n.capacities(s, now)
	n.reservePreempted(s, rooms, now)
	// While placements of arrays wait for the state service's budget, freed room
	// gathers, so that the next write places many tasks. One write for every
	// task or two kept machines idle for seconds, and what was placed but not
	// yet committed could neither run nor be displaced.
	saving := n.store.HasPending(kv.PriorityArrayClaim) > 0
	blocked := false
	failedSpecs := make(map[placement.RequestKey]bool)
	free := placement.LargestFree(rooms)
	left, counted := placement.BestEffortCapacity{}, false // counted again only once something has changed: idle jobs come by the hundred
	for _, u := range q {
		waits := u.WaitedUnplaced(now)
		u.OverdueForGPUMachine = u.Spec.Shape == protocol.ShapeArray && u.Spec.GPUs == 0 && waits > gpuMachineWait
		if u.Spec.Shape == protocol.ShapeArray && blocked && !u.WithinGuarantee && !free.Fits(u.Spec) {
			continue // no machine has room for even one of its tasks
		}
		if u.BestEffort = placement.IsBestEffort(u.Spec); u.BestEffort {
			if !counted {
				left, counted = n.bestEffortCapacity(s, rooms), true
			}
			left.Contended = blocked
			if u.MaxBestEffortTasks = left.MaxTasks(n.policy.BestEffortShare, u.Spec.CPUs, placement.HasStarted(u.Claim != nil, waits)); u.MaxBestEffortTasks <= 0 {
				continue
			}
		}
		key := placement.RequestKeyOf(u.Spec)
		if (failedSpecs[key] && !u.OverdueForGPUMachine) || n.isHeldByLimit(s, u, rooms, w, now) || (saving && u.Spec.Shape == protocol.ShapeArray) {
			continue
		}
		if n.preemptions.plans[u.Job.ID] == nil && !u.OnProbation && n.preemptForImage(s, u, rooms, now) {
			free, counted = placement.IncludingFree(free, rooms), false
			continue // it starts there as soon as the displaced tasks are gone
		}
		placed, short := n.placeEntry(s, u, rooms, now)
		if placed {
			counted = false
			delete(n.preemptions.plans, u.Job.ID)
			w.started[u.Spec.Team] = true
		}
		if !short || placed || n.preemptions.plans[u.Job.ID] != nil || u.OnProbation {
			continue
		}
		// Where its tasks are may keep a unit from room that others could use.
		// So may its own failures there, which say nothing about others alike.
		failedSpecs[key] = ((!u.Spec.SpreadZones && !u.Spec.SameZone) || u.Claim == nil || len(u.Claim.Record.Placements) == 0) &&
			!slices.ContainsFunc(rooms, func(r *placement.Capacity) bool { return r.AvoidedBy[u.Job.ID] })
		if blocked && u.Spec.Shape == protocol.ShapeArray && !u.WithinGuarantee {
			continue
		}
		// The head job gets the reservation of EASY. Gangs and services behind
		// it get one as well: they displace arrays when they would be late, and
		// holding a machine for them in time throws less work away.
		blocked = true
		z := n.zoneConstraint(u)
		n.detailCapacities(rooms, now)
		need := 1
		if u.StartsTogether() {
			need = u.PlaceableTasks()
		}
		held, start := placement.Reserve(u.Spec, u.Job.ID, rooms, &z, need, now)
		if held == nil || start.After(n.startBy(u, rooms, &z, now)) {
			if n.preemptFor(s, u, rooms, now) {
				free, counted = placement.IncludingFree(free, rooms), false
				for _, r := range held {
					if r.Reservation.From.After(now) {
						r.Reservation.JobID = "" // the displaced room serves instead
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
func (n *Controller) startBy(u *placement.QueueEntry, rooms []*placement.Capacity, z *placement.ZoneConstraint, now time.Time) time.Time {
	if u.Spec.Shape == protocol.ShapeArray && !u.WithinGuarantee && (placement.IsBestEffort(u.Spec) || !n.bestEffortRuns(u)) {
		return now.Add(time.Hour) // arrays displace nothing for a wait alone, but idle work
	}
	soonest := now.Add(placement.ShortestImagePull(u.Spec, rooms, z))
	best := time.Time{}
	for _, o := range n.settings.Objectives {
		at, ok := n.objectiveStart(o, u)
		if ok && at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if by := u.Job.Inherited.FinishBy; !by.IsZero() {
		if at := by.Add(-n.estimateRuntime(u.Spec)); at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if !best.IsZero() {
		return best
	}
	if u.Spec.Shape == protocol.ShapeService {
		return now // every second without a replica counts
	}
	return now.Add(missedObjectiveWait)
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

// missedObjectiveWait is how long a job that has missed all its objectives waits for room
// rather than displace others.
const missedObjectiveWait = 15 * time.Second

// objectiveStart is when a job must start to meet an objective, if it has it.
func (n *Controller) objectiveStart(o protocol.Objective, u *placement.QueueEntry) (time.Time, bool) {
	switch {
	case o.Kind == "guarantee" && n.entitledTasks(u) > 0, o.Kind == "wait" && o.Class == u.Spec.Class:
		return u.Job.SeenAt.Add(o.Within), true
	case o.Kind == "finished" && o.Class == u.Spec.Class:
		return u.Job.SeenAt.Add(o.Within - n.estimateRuntime(u.Spec)), true
	case o.Kind == "deadline" && o.Class == u.Spec.Class && u.Spec.Deadline() > 0:
		due := time.Duration(float64(u.Spec.Deadline()) * max(o.DeadlineFactor, 1))
		return u.Job.SubmittedAt().Add(due - n.estimateRuntime(u.Spec)), true
	}
	return time.Time{}, false
}

func (n *Controller) zoneConstraint(u *placement.QueueEntry) placement.ZoneConstraint {
	// Where the tasks are matters to jobs with a rule about zones, and to services,
	// which go where they have the fewest.
	if u.Claim == nil || (!u.Spec.SpreadZones && !u.Spec.SameZone && u.Spec.Shape != protocol.ShapeService) {
		return placement.NewZoneConstraint(u.Spec, nil)
	}
	return placement.NewZoneConstraint(u.Spec, n.view.ZonesOf(u.Claim))
}

// placeEntry places as many tasks of a unit as there is room for. short is true
// when tasks are left for want of room.
func (n *Controller) placeEntry(s *replica.Shard, u *placement.QueueEntry, rooms []*placement.Capacity, now time.Time) (placed, short bool) {
	z := n.zoneConstraint(u)
	if placement.Select(u.Spec, u.Job.ID, rooms, &z, n.estimateRuntime(u.Spec), now) < 0 && !(u.OverdueForGPUMachine && placement.ReleaseGPUMachine(u.Spec, u.Job.ID, rooms, &z)) {
		return false, true // mostly so when much waits; copying the claim first cost more than all else
	}
	first, count := u.TaskRange()
	next := &records.Claim{Shard: s.Name, FirstTask: first, TaskCount: count}
	if u.Claim != nil {
		next = u.Claim.Record.Clone()
	}
	need := u.PlaceableTasks()
	whole := u.Spec.Shape == protocol.ShapeGang
	picks := n.assignTasks(s.Name, u, next, rooms, &z, now)
	if whole && u.Spec.SameZone && len(picks) < need {
		// The best machine for the first task may be in a zone without room for the
		// rest: such a gang waited for ever beside another zone's free machines.
		for _, zone := range placement.CandidateZones(u.Spec, rooms) {
			placement.ReleaseAssignments(u.Spec, picks, rooms)
			z = n.zoneConstraint(u)
			if z.Only != "" && z.Only != zone {
				picks = nil
				continue
			}
			z.Only = zone
			if picks = n.assignTasks(s.Name, u, next, rooms, &z, now); len(picks) == need {
				break
			}
		}
	}
	if len(picks) == 0 || (whole && len(picks) < need) {
		placement.ReleaseAssignments(u.Spec, picks, rooms)
		return false, true
	}
	// A service that fits elsewhere whole should not be torn to wait here. One
	// that must spread waits until every shard has had its turn: this one may
	// have no machine in a second zone.
	patience := time.Second
	if u.Spec.SpreadZones {
		patience = widenAfter + 2*time.Second
	}
	if u.Claim == nil && u.Spec.Shape == protocol.ShapeService && len(picks) < need && now.Sub(u.Job.SeenAt) < patience {
		placement.ReleaseAssignments(u.Spec, picks, rooms)
		return false, true
	}
	// Copies of an array wait at several shards: one that could start only a few
	// of the tasks leaves the chunk to a better one for a while.
	if u.Claim == nil && u.Spec.Shape == protocol.ShapeArray && 2*len(picks) < need && now.Sub(u.Job.SeenAt) < 2*time.Second {
		placement.ReleaseAssignments(u.Spec, picks, rooms)
		return false, true
	}
	if whole && u.Claim != nil && len(u.Claim.Record.Placements) > 0 {
		placement.ReleaseAssignments(u.Spec, picks, rooms)
		return false, false // the old attempt has to be gone first
	}
	if u.Claim != nil {
		n.recordCompletions(u.Claim, next)
	}
	next.LastAttempt++
	for _, pk := range picks {
		next.Placements = append(next.Placements, records.Placement{Task: pk.Task, Attempt: next.LastAttempt, Host: rooms[pk.Index].Host})
	}
	if !n.commitPlacements(s, u, next) {
		placement.ReleaseAssignments(u.Spec, picks, rooms)
		return false, false
	}
	return true, len(picks) < need
}

// assignTasks chooses machines for the tasks of a unit that have none.
func (n *Controller) assignTasks(holder string, u *placement.QueueEntry, rec *records.Claim, rooms []*placement.Capacity, z *placement.ZoneConstraint, now time.Time) []placement.Assignment {
	open := make(map[int]bool, len(rec.Placements))
	for _, p := range rec.Placements {
		open[p.Task] = true
	}
	est := n.estimateRuntime(u.Spec)
	most := n.settings.RecordLimits().MaxPlacements() - len(open)
	most = u.MaxStarts(most)
	if n.isLimited(u.Spec) {
		most = min(most, n.allowanceOf(holder, u.Spec)+n.unrecordedCompletions(u.Claim))
	}
	var picks []placement.Assignment
	left := n.settings.RecordLimits().MaxValueBytes - rec.MaxEncodedSize()
	for t := rec.FirstTask; t < rec.FirstTask+rec.TaskCount && len(picks) < most; t++ {
		if open[t] || rec.IsCompleted(t) {
			continue
		}
		i := placement.Select(u.Spec, u.Job.ID, rooms, z, est, now)
		if i < 0 {
			break
		}
		next := records.Placement{Task: t, Attempt: rec.LastAttempt + 1, Host: rooms[i].Host}
		if left -= next.MaxEncodedSize(); left < 0 {
			break
		}
		rooms[i].Allocate(u.Spec)
		rooms[i].IncomingImage = u.Spec.Image
		z.Add(u.Spec, rooms[i].Zone)
		picks = append(picks, placement.Assignment{Task: t, Index: i})
	}
	return picks
}
