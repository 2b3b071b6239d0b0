package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

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

// estimateRuntime is a task's expected run time, the image fetch left out.
func (n *Controller) estimateRuntime(s *protocol.Submission) time.Duration {
	ratio := 1.0
	if r, ok := n.runtimeRatios[s.Class]; ok {
		ratio = r
	}
	return time.Duration(float64(s.RunEstimate()) * ratio)
}
