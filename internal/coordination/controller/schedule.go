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
func (c *Controller) scheduleShard(shard *replica.Shard, now time.Time) {
	queue := c.queue(shard, now)
	demands := &passDemands{byTeam: make(map[string]*quota.Demand), weighed: make(map[string]int), started: make(map[string]bool)}
	defer c.publishDemands(shard.Name, demands, now)
	if len(queue) == 0 {
		return
	}
	capacities := c.capacities(shard, now)
	c.reservePreempted(shard, capacities, now)
	// While placements of arrays wait for the state service's budget, freed room
	// gathers, so that the next write places many tasks. One write for every
	// task or two kept machines idle for seconds, and what was placed but not
	// yet committed could neither run nor be displaced.
	saving := c.store.HasPending(kv.PriorityArrayClaim) > 0
	blocked := false
	failedSpecs := make(map[placement.RequestKey]bool)
	free := placement.LargestFree(capacities)
	left, counted := placement.BestEffortCapacity{}, false // counted again only once something has changed: idle jobs come by the hundred
	for _, entry := range queue {
		waits := entry.WaitedUnplaced(now)
		entry.OverdueForGPUMachine = entry.Spec.Shape == protocol.ShapeArray && entry.Spec.GPUs == 0 && waits > gpuMachineWait
		if entry.Spec.Shape == protocol.ShapeArray && blocked && !entry.WithinGuarantee && !free.Fits(entry.Spec) {
			continue // no machine has room for even one of its tasks
		}
		if entry.BestEffort = placement.IsBestEffort(entry.Spec); entry.BestEffort {
			if !counted {
				left, counted = c.bestEffortCapacity(shard, capacities), true
			}
			left.Contended = blocked
			if entry.MaxBestEffortTasks = left.MaxTasks(c.policy.BestEffortShare, entry.Spec.CPUs, placement.HasStarted(entry.Claim != nil, waits)); entry.MaxBestEffortTasks <= 0 {
				continue
			}
		}
		key := placement.RequestKeyOf(entry.Spec)
		if (failedSpecs[key] && !entry.OverdueForGPUMachine) || c.isHeldByLimit(shard, entry, capacities, demands, now) || (saving && entry.Spec.Shape == protocol.ShapeArray) {
			continue
		}
		if c.preemptions.plans[entry.Job.ID] == nil && !entry.OnProbation && c.preemptForImage(shard, entry, capacities, now) {
			free, counted = placement.IncludingFree(free, capacities), false
			continue // it starts there as soon as the displaced tasks are gone
		}
		placed, short := c.placeEntry(shard, entry, capacities, now)
		if placed {
			counted = false
			delete(c.preemptions.plans, entry.Job.ID)
			demands.started[entry.Spec.Team] = true
		}
		if !short || placed || c.preemptions.plans[entry.Job.ID] != nil || entry.OnProbation {
			continue
		}
		// Where its tasks are may keep a unit from room that others could use.
		// So may its own failures there, which say nothing about others alike.
		failedSpecs[key] = ((!entry.Spec.SpreadZones && !entry.Spec.SameZone) || entry.Claim == nil || len(entry.Claim.Record.Placements) == 0) &&
			!slices.ContainsFunc(capacities, func(capacity *placement.Capacity) bool { return capacity.AvoidedBy[entry.Job.ID] })
		if blocked && entry.Spec.Shape == protocol.ShapeArray && !entry.WithinGuarantee {
			continue
		}
		// The head job gets the reservation of EASY. Gangs and services behind
		// it get one as well: they displace arrays when they would be late, and
		// holding a machine for them in time throws less work away.
		blocked = true
		zones := c.zoneConstraint(entry)
		c.detailCapacities(capacities, now)
		need := 1
		if entry.StartsTogether() {
			need = entry.PlaceableTasks()
		}
		held, start := placement.Reserve(entry.Spec, entry.Job.ID, capacities, &zones, need, now)
		if held == nil || start.After(c.startBy(entry, capacities, &zones, now)) {
			if c.preemptFor(shard, entry, capacities, now) {
				free, counted = placement.IncludingFree(free, capacities), false
				for _, capacity := range held {
					if capacity.Reservation.From.After(now) {
						capacity.Reservation.JobID = "" // the displaced room serves instead
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
func (c *Controller) startBy(entry *placement.QueueEntry, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) time.Time {
	if entry.Spec.Shape == protocol.ShapeArray && !entry.WithinGuarantee && (placement.IsBestEffort(entry.Spec) || !c.bestEffortRuns(entry)) {
		return now.Add(time.Hour) // arrays displace nothing for a wait alone, but idle work
	}
	soonest := now.Add(placement.ShortestImagePull(entry.Spec, capacities, zones))
	best := time.Time{}
	for _, objective := range c.settings.Objectives {
		at, ok := c.objectiveStart(objective, entry)
		if ok && at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if by := entry.Job.Inherited.FinishBy; !by.IsZero() {
		if at := by.Add(-c.estimateRuntime(entry.Spec)); at.After(soonest) && (best.IsZero() || at.Before(best)) {
			best = at
		}
	}
	if !best.IsZero() {
		return best
	}
	if entry.Spec.Shape == protocol.ShapeService {
		return now // every second without a replica counts
	}
	return now.Add(missedObjectiveWait)
}

// missedObjectiveWait is how long a job that has missed all its objectives waits for room
// rather than displace others.
const missedObjectiveWait = 15 * time.Second

// objectiveStart is when a job must start to meet an objective, if it has it.
func (c *Controller) objectiveStart(objective protocol.Objective, entry *placement.QueueEntry) (time.Time, bool) {
	switch {
	case objective.Kind == "guarantee" && c.entitledTasks(entry) > 0, objective.Kind == "wait" && objective.Class == entry.Spec.Class:
		return entry.Job.SeenAt.Add(objective.Within), true
	case objective.Kind == "finished" && objective.Class == entry.Spec.Class:
		return entry.Job.SeenAt.Add(objective.Within - c.estimateRuntime(entry.Spec)), true
	case objective.Kind == "deadline" && objective.Class == entry.Spec.Class && entry.Spec.Deadline() > 0:
		due := time.Duration(float64(entry.Spec.Deadline()) * max(objective.DeadlineFactor, 1))
		return entry.Job.SubmittedAt().Add(due - c.estimateRuntime(entry.Spec)), true
	}
	return time.Time{}, false
}

func (c *Controller) zoneConstraint(entry *placement.QueueEntry) placement.ZoneConstraint {
	// Where the tasks are matters to jobs with a rule about zones, and to services,
	// which go where they have the fewest.
	if entry.Claim == nil || (!entry.Spec.SpreadZones && !entry.Spec.SameZone && entry.Spec.Shape != protocol.ShapeService) {
		return placement.NewZoneConstraint(entry.Spec, nil)
	}
	return placement.NewZoneConstraint(entry.Spec, c.view.ZonesOf(entry.Claim))
}

// placeEntry places as many tasks of a unit as there is room for. short is true
// when tasks are left for want of room.
func (c *Controller) placeEntry(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) (placed, short bool) {
	zones := c.zoneConstraint(entry)
	if placement.Select(entry.Spec, entry.Job.ID, capacities, &zones, c.estimateRuntime(entry.Spec), now) < 0 && !(entry.OverdueForGPUMachine && placement.ReleaseGPUMachine(entry.Spec, entry.Job.ID, capacities, &zones)) {
		return false, true // mostly so when much waits; copying the claim first cost more than all else
	}
	first, count := entry.TaskRange()
	next := &records.Claim{Shard: shard.Name, FirstTask: first, TaskCount: count}
	if entry.Claim != nil {
		next = entry.Claim.Record.Clone()
	}
	need := entry.PlaceableTasks()
	whole := entry.Spec.Shape == protocol.ShapeGang
	assignments := c.assignTasks(shard.Name, entry, next, capacities, &zones, now)
	if whole && entry.Spec.SameZone && len(assignments) < need {
		// The best machine for the first task may be in a zone without room for the
		// rest: such a gang waited for ever beside another zone's free machines.
		for _, zone := range placement.CandidateZones(entry.Spec, capacities) {
			placement.ReleaseAssignments(entry.Spec, assignments, capacities)
			zones = c.zoneConstraint(entry)
			if zones.Only != "" && zones.Only != zone {
				assignments = nil
				continue
			}
			zones.Only = zone
			if assignments = c.assignTasks(shard.Name, entry, next, capacities, &zones, now); len(assignments) == need {
				break
			}
		}
	}
	if len(assignments) == 0 || (whole && len(assignments) < need) {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, true
	}
	// A service that fits elsewhere whole should not be torn to wait here. One
	// that must spread waits until every shard has had its turn: this one may
	// have no machine in a second zone.
	patience := time.Second
	if entry.Spec.SpreadZones {
		patience = widenAfter + 2*time.Second
	}
	if entry.Claim == nil && entry.Spec.Shape == protocol.ShapeService && len(assignments) < need && now.Sub(entry.Job.SeenAt) < patience {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, true
	}
	// Copies of an array wait at several shards: one that could start only a few
	// of the tasks leaves the chunk to a better one for a while.
	if entry.Claim == nil && entry.Spec.Shape == protocol.ShapeArray && 2*len(assignments) < need && now.Sub(entry.Job.SeenAt) < 2*time.Second {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, true
	}
	if whole && entry.Claim != nil && len(entry.Claim.Record.Placements) > 0 {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, false // the old attempt has to be gone first
	}
	if entry.Claim != nil {
		c.recordCompletions(entry.Claim, next)
	}
	next.LastAttempt++
	for _, assignment := range assignments {
		next.Placements = append(next.Placements, records.Placement{Task: assignment.Task, Attempt: next.LastAttempt, Host: capacities[assignment.Index].Host})
	}
	if !c.commitPlacements(shard, entry, next) {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, false
	}
	return true, len(assignments) < need
}

// assignTasks chooses machines for the tasks of a unit that have none.
func (c *Controller) assignTasks(holder string, entry *placement.QueueEntry, record *records.Claim, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) []placement.Assignment {
	open := make(map[int]bool, len(record.Placements))
	for _, placed := range record.Placements {
		open[placed.Task] = true
	}
	runtime := c.estimateRuntime(entry.Spec)
	most := c.settings.RecordLimits().MaxPlacements() - len(open)
	most = entry.MaxStarts(most)
	if c.isLimited(entry.Spec) {
		most = min(most, c.allowanceOf(holder, entry.Spec)+c.unrecordedCompletions(entry.Claim))
	}
	var assignments []placement.Assignment
	left := c.settings.RecordLimits().MaxValueBytes - record.MaxEncodedSize()
	for t := record.FirstTask; t < record.FirstTask+record.TaskCount && len(assignments) < most; t++ {
		if open[t] || record.IsCompleted(t) {
			continue
		}
		i := placement.Select(entry.Spec, entry.Job.ID, capacities, zones, runtime, now)
		if i < 0 {
			break
		}
		next := records.Placement{Task: t, Attempt: record.LastAttempt + 1, Host: capacities[i].Host}
		if left -= next.MaxEncodedSize(); left < 0 {
			break
		}
		capacities[i].Allocate(entry.Spec)
		capacities[i].IncomingImage = entry.Spec.Image
		zones.Add(entry.Spec, capacities[i].Zone)
		assignments = append(assignments, placement.Assignment{Task: t, Index: i})
	}
	return assignments
}

// estimateRuntime is a task's expected run time, the image fetch left out.
func (c *Controller) estimateRuntime(spec *protocol.Submission) time.Duration {
	ratio := 1.0
	if r, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = r
	}
	return time.Duration(float64(spec.RunEstimate()) * ratio)
}
