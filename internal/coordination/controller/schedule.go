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

// schedulingPass is the state of one pass over a shard's queue.
type schedulingPass struct {
	shard      *replica.Shard
	capacities []*placement.Capacity
	demands    *passDemands
	now        time.Time

	largestFree    protocol.MachineResources     // upper bound of the free capacity of any usable machine
	blocked        bool                          // an earlier entry waits for capacity
	delaysArrays   bool                          // arrays are not placed in this pass
	failedRequests map[placement.RequestKey]bool // requests for which this pass found no capacity

	// bestEffort is the capacity for best-effort work. It is computed again only after a
	// placement or an eviction, since hundreds of best-effort jobs can be queued.
	bestEffort        placement.BestEffortCapacity
	bestEffortCounted bool
}

// updateAfterEviction raises largestFree by the capacity that an eviction has freed, and
// discards bestEffort.
func (p *schedulingPass) updateAfterEviction() {
	p.largestFree, p.bestEffortCounted = placement.IncludingFree(p.largestFree, p.capacities), false
}

// mustYield reports whether an entry may only backfill, without a reservation or preemption
// of its own: it is of an array outside its team's guarantee, and an earlier entry waits for
// capacity.
func (p *schedulingPass) mustYield(entry *placement.QueueEntry) bool {
	return entry.Spec.Shape == protocol.ShapeArray && p.blocked && !entry.WithinGuarantee
}

// scheduleShard makes one pass over a shard's queue: first come first served within a
// priority, with EASY backfilling around reservations.
func (c *Controller) scheduleShard(shard *replica.Shard, now time.Time) {
	queue := c.queue(shard, now)
	demands := &passDemands{byTeam: make(map[string]*quota.Demand), counted: make(map[string]int), started: make(map[string]bool)}
	defer c.publishDemands(shard.Name, demands, now)
	if len(queue) == 0 {
		return
	}
	capacities := c.capacities(shard, now)
	c.reservePreempted(shard, capacities, now)
	pass := &schedulingPass{
		shard: shard, capacities: capacities, demands: demands, now: now,
		// While claims of arrays are queued for the state service's request budget, no
		// arrays are placed, so that released capacity accumulates and the next write
		// places many tasks. With writes of one or two tasks each, machines would be idle
		// for seconds: a task whose placement is not committed yet can neither run nor be
		// preempted.
		delaysArrays:   c.store.PendingCount(kv.PriorityArrayClaim) > 0,
		failedRequests: make(map[placement.RequestKey]bool),
		largestFree:    placement.LargestFree(capacities),
	}
	for _, entry := range queue {
		c.scheduleEntry(pass, entry)
	}
}

// scheduleEntry places as many tasks of an entry as there is capacity for. If there is none
// for any task, it may reserve capacity or preempt for the entry.
func (c *Controller) scheduleEntry(pass *schedulingPass, entry *placement.QueueEntry) {
	isArray := entry.Spec.Shape == protocol.ShapeArray
	waited := entry.WaitedUnplaced(pass.now)
	entry.OverdueForGPUMachine = isArray && entry.Spec.GPUs == 0 && waited > gpuMachineWait
	if pass.mustYield(entry) && !pass.largestFree.Fits(entry.Spec) {
		return // no machine has capacity for even one task of the entry
	}
	if !c.admitsBestEffort(pass, entry, waited) {
		return
	}
	key := placement.RequestKeyOf(entry.Spec)
	hasFailed := pass.failedRequests[key] && !entry.OverdueForGPUMachine
	if hasFailed || c.isHeldByLimit(pass.shard, entry, pass.capacities, pass.demands, pass.now) || (pass.delaysArrays && isArray) {
		return
	}
	if c.preemptions.plans[entry.Job.ID] == nil && !entry.OnProbation && c.preemptForImage(pass.shard, entry, pass.capacities, pass.now) {
		pass.updateAfterEviction()
		return // the entry's tasks start on the preempted capacity once the preempted tasks have ended
	}
	placed, lacksCapacity := c.placeEntry(pass.shard, entry, pass.capacities, pass.now)
	if placed {
		pass.bestEffortCounted = false
		delete(c.preemptions.plans, entry.Job.ID)
		pass.demands.started[entry.Spec.Team] = true
	}
	if !lacksCapacity || placed || c.preemptions.plans[entry.Job.ID] != nil || entry.OnProbation {
		return
	}
	pass.failedRequests[key] = !isRestricted(entry, pass.capacities)
	if pass.mustYield(entry) {
		return
	}
	pass.blocked = true
	c.reserveOrPreempt(pass, entry)
}

// admitsBestEffort reports whether the capacity for best-effort work lets an entry start any
// tasks, and sets how many tasks of a best-effort entry may start. It admits every entry
// that is not best effort.
func (c *Controller) admitsBestEffort(pass *schedulingPass, entry *placement.QueueEntry, waited time.Duration) bool {
	if entry.BestEffort = placement.IsBestEffort(entry.Spec); !entry.BestEffort {
		return true
	}
	if !pass.bestEffortCounted {
		pass.bestEffort, pass.bestEffortCounted = c.bestEffortCapacity(pass.shard, pass.capacities), true
	}
	pass.bestEffort.Contended = pass.blocked
	entry.MaxBestEffortTasks = pass.bestEffort.MaxTasks(c.policy.BestEffortShare, entry.Spec.CPUs, placement.HasStarted(entry.Claim != nil, waited))
	return entry.MaxBestEffortTasks > 0
}

// isRestricted reports whether an entry may be excluded from capacity that other jobs with
// the same request could use: by the zones of its placed tasks, or by its own failures on a
// machine, which are no evidence against other jobs.
func isRestricted(entry *placement.QueueEntry, capacities []*placement.Capacity) bool {
	isPlaced := entry.Claim != nil && len(entry.Claim.Record.Placements) > 0
	if (entry.Spec.SpreadZones || entry.Spec.SameZone) && isPlaced {
		return true
	}
	return slices.ContainsFunc(capacities, func(capacity *placement.Capacity) bool { return capacity.AvoidedBy[entry.Job.ID] })
}

// reserveOrPreempt reserves capacity where a blocked entry can start earliest, as EASY
// backfilling does for the head of the queue, or preempts for the entry if that start is too
// late. Gangs and services behind the head get reservations as well: without one they would
// start late and preempt arrays, which loses more work.
func (c *Controller) reserveOrPreempt(pass *schedulingPass, entry *placement.QueueEntry) {
	zones := c.zoneConstraint(entry)
	c.detailCapacities(pass.capacities, pass.now)
	need := 1
	if entry.StartsTogether() {
		need = entry.PlaceableTasks()
	}
	reserved, start := placement.Reserve(entry.Spec, entry.Job.ID, pass.capacities, &zones, need, pass.now)
	if reserved != nil && !start.After(c.startBy(entry, pass.capacities, &zones, pass.now)) {
		return
	}
	if !c.preemptFor(pass.shard, entry, pass.capacities, pass.now) {
		return
	}
	pass.updateAfterEviction()
	for _, capacity := range reserved {
		if capacity.Reservation.From.After(pass.now) {
			capacity.Reservation.JobID = "" // the preempted capacity replaces the reservation
		}
	}
}

const (
	// noPreemptionWait is how late an entry that preempts nothing may start: long enough
	// that no reservation of it counts as too late.
	noPreemptionWait = time.Hour
	// missedObjectiveWait is the longest wait for reserved capacity with which a job that can
	// no longer meet any of its objectives does not preempt others.
	missedObjectiveWait = 15 * time.Second
)

// startBy returns when a job must start to meet the nearest of its objectives. The job
// preempts others only if its reserved start is later. Objectives that the job would miss
// even with preemption, the fetch of its image included, do not count: preempting for them
// would lose work for nothing.
func (c *Controller) startBy(entry *placement.QueueEntry, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) time.Time {
	if c.preemptsNothing(entry) {
		return now.Add(noPreemptionWait)
	}
	soonest := now.Add(placement.ShortestImagePull(entry.Spec, capacities, zones))
	nearest := time.Time{}
	consider := func(start time.Time) {
		if start.After(soonest) && (nearest.IsZero() || start.Before(nearest)) {
			nearest = start
		}
	}
	for _, objective := range c.settings.Objectives {
		if start, ok := c.objectiveStart(objective, entry); ok {
			consider(start)
		}
	}
	if finishBy := entry.Job.Inherited.FinishBy; !finishBy.IsZero() {
		consider(finishBy.Add(-c.estimateRuntime(entry.Spec)))
	}
	switch {
	case !nearest.IsZero():
		return nearest
	case entry.Spec.Shape == protocol.ShapeService:
		return now // a service has to start at once, since every second without a replica counts
	}
	return now.Add(missedObjectiveWait)
}

// preemptsNothing reports whether an entry waits for capacity without ever preempting: it is
// of an array outside its team's guarantee, and is best effort itself or finds no best-effort
// work to preempt.
func (c *Controller) preemptsNothing(entry *placement.QueueEntry) bool {
	if entry.Spec.Shape != protocol.ShapeArray || entry.WithinGuarantee {
		return false
	}
	return placement.IsBestEffort(entry.Spec) || !c.bestEffortRuns(entry)
}

// objectiveStart returns when a job must start to meet an objective, and reports whether
// the objective applies to it.
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

// zoneConstraint returns the constraint on the zones of an entry's next tasks. The zones of
// its placed tasks count for jobs that must spread over zones or stay in one, and for
// services, which prefer the zone where they have the fewest tasks.
func (c *Controller) zoneConstraint(entry *placement.QueueEntry) placement.ZoneConstraint {
	dependsOnZones := entry.Spec.SpreadZones || entry.Spec.SameZone || entry.Spec.Shape == protocol.ShapeService
	if entry.Claim == nil || !dependsOnZones {
		return placement.NewZoneConstraint(entry.Spec, nil)
	}
	return placement.NewZoneConstraint(entry.Spec, c.view.ZonesOf(entry.Claim))
}

// placeEntry places as many tasks of an entry as there is capacity for. It reports whether
// it has placed any, and whether the shard lacks the capacity to place all of them.
func (c *Controller) placeEntry(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) (placed, lacksCapacity bool) {
	zones := c.zoneConstraint(entry)
	if !c.hasMachineFor(entry, capacities, &zones, now) {
		return false, true // this check comes before nextVersion copies the claim, because copies cost most while many entries wait
	}
	next := nextVersion(shard, entry)
	need := entry.PlaceableTasks()
	isGang := entry.Spec.Shape == protocol.ShapeGang
	assignments := c.assignTasks(shard.Name, entry, next, capacities, &zones, now)
	if isGang && entry.Spec.SameZone && len(assignments) < need {
		assignments = c.assignInOneZone(shard, entry, next, capacities, assignments, now)
	}
	tooFew := len(assignments) == 0 || (isGang && len(assignments) < need)
	if tooFew || defersToOtherShards(entry, len(assignments), now) {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, true
	}
	if isGang && entry.Claim != nil && len(entry.Claim.Record.Placements) > 0 {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, false // all placements of the gang's former attempt have to end first
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

// hasMachineFor reports whether any machine can take one task of an entry. For an array that
// has waited for too long it releases a machine that is kept for jobs with GPUs, if need be.
func (c *Controller) hasMachineFor(entry *placement.QueueEntry, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) bool {
	if placement.Select(entry.Spec, entry.Job.ID, capacities, zones, c.estimateRuntime(entry.Spec), now) >= 0 {
		return true
	}
	return entry.OverdueForGPUMachine && placement.ReleaseGPUMachine(entry.Spec, entry.Job.ID, capacities, zones)
}

// nextVersion returns the record to which an entry's placements are added: a copy of its
// claim's, or a new one if the entry is unclaimed.
func nextVersion(shard *replica.Shard, entry *placement.QueueEntry) *records.Claim {
	if entry.Claim != nil {
		return entry.Claim.Record.Clone()
	}
	first, count := entry.TaskRange()
	return &records.Claim{Shard: shard.Name, FirstTask: first, TaskCount: count}
}

// assignInOneZone assigns all tasks of a gang to the first zone with capacity for all of
// them, after assignTasks found too few machines in the zone of the best machine. This
// prevents a gang from waiting although another zone has enough free machines. If no zone
// has, it returns the assignments of the last zone, which are too few.
func (c *Controller) assignInOneZone(shard *replica.Shard, entry *placement.QueueEntry, next *records.Claim, capacities []*placement.Capacity, assignments []placement.Assignment, now time.Time) []placement.Assignment {
	for _, zone := range placement.CandidateZones(entry.Spec, capacities) {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		zones := c.zoneConstraint(entry)
		if zones.Only != "" && zones.Only != zone {
			assignments = nil
			continue
		}
		zones.Only = zone
		if assignments = c.assignTasks(shard.Name, entry, next, capacities, &zones, now); len(assignments) == entry.PlaceableTasks() {
			break
		}
	}
	return assignments
}

const (
	// serviceDeferral is how long an unclaimed service waits for a shard that can start all
	// of its tasks.
	serviceDeferral = time.Second
	// spreadDeferral is how long an unclaimed service that must spread over zones waits for
	// a shard that can start all of its tasks. The time includes claimAnywhereAfter, so that
	// shards at which the service is not queued can try as well.
	spreadDeferral = claimAnywhereAfter + 2*time.Second
	// arrayDeferral is how long an unclaimed chunk of an array waits for a shard that can
	// start at least half of its tasks.
	arrayDeferral = 2 * time.Second
)

// defersToOtherShards reports whether to leave an unclaimed chunk, of which this shard could
// start some tasks, to other shards for now. A service should not start only in part while
// another shard may have capacity for all of its tasks. A service that must spread over zones
// waits until every shard has tried, since this shard may have no machine in a second zone. A
// chunk of an array is queued at several shards, and another one may start more of its tasks.
func defersToOtherShards(entry *placement.QueueEntry, startable int, now time.Time) bool {
	if entry.Claim != nil {
		return false
	}
	need, waited := entry.PlaceableTasks(), now.Sub(entry.Job.SeenAt)
	switch entry.Spec.Shape {
	case protocol.ShapeService:
		maxWait := serviceDeferral
		if entry.Spec.SpreadZones {
			maxWait = spreadDeferral
		}
		return startable < need && waited < maxWait
	case protocol.ShapeArray:
		return 2*startable < need && waited < arrayDeferral
	}
	return false
}

// assignTasks chooses machines for the unplaced tasks of an entry, as many as the entry, the
// record's size and the team's limit permit, and allocates their capacity.
func (c *Controller) assignTasks(holder string, entry *placement.QueueEntry, record *records.Claim, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) []placement.Assignment {
	isPlaced := make(map[int]bool, len(record.Placements))
	for _, placed := range record.Placements {
		isPlaced[placed.Task] = true
	}
	runtime := c.estimateRuntime(entry.Spec)
	limit := entry.MaxStarts(c.settings.RecordLimits().MaxPlacements() - len(isPlaced))
	if c.isLimited(entry.Spec) {
		limit = min(limit, c.holderAllowance(holder, entry.Spec)+c.unrecordedCompletions(entry.Claim))
	}
	var assignments []placement.Assignment
	bytesLeft := c.settings.RecordLimits().MaxValueBytes - record.MaxEncodedSize()
	for task := record.FirstTask; task < record.FirstTask+record.TaskCount && len(assignments) < limit; task++ {
		if isPlaced[task] || record.IsCompleted(task) {
			continue
		}
		index := placement.Select(entry.Spec, entry.Job.ID, capacities, zones, runtime, now)
		if index < 0 {
			break
		}
		capacity := capacities[index]
		placed := records.Placement{Task: task, Attempt: record.LastAttempt + 1, Host: capacity.Host}
		if bytesLeft -= placed.MaxEncodedSize(); bytesLeft < 0 {
			break
		}
		capacity.Allocate(entry.Spec)
		capacity.IncomingImage = entry.Spec.Image
		zones.Add(entry.Spec, capacity.Zone)
		assignments = append(assignments, placement.Assignment{Task: task, Index: index})
	}
	return assignments
}

// estimateRuntime returns a task's expected run time, without the fetch of its image.
func (c *Controller) estimateRuntime(spec *protocol.Submission) time.Duration {
	ratio := 1.0
	if observed, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = observed
	}
	return time.Duration(float64(spec.RunEstimate()) * ratio)
}
