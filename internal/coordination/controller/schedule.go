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

	largestFree  protocol.MachineResources // at least what any machine has free
	blocked      bool                      // an entry waits for capacity
	delaysArrays bool                      // placements of arrays wait for the state service
	failed       map[placement.RequestKey]bool

	// bestEffort is what best-effort work may use. It is counted again only once something
	// has changed, since such jobs come by the hundred.
	bestEffort        placement.BestEffortCapacity
	bestEffortCounted bool
}

// evicted updates a pass after tasks were evicted.
func (p *schedulingPass) evicted() {
	p.largestFree, p.bestEffortCounted = placement.IncludingFree(p.largestFree, p.capacities), false
}

// yields reports whether an entry of an array may not claim capacity ahead of those that
// wait for it.
func (p *schedulingPass) yields(entry *placement.QueueEntry) bool {
	return entry.Spec.Shape == protocol.ShapeArray && p.blocked && !entry.WithinGuarantee
}

// scheduleShard makes one pass over a shard's queue: first come first served within a
// priority, with EASY backfilling around reservations.
func (c *Controller) scheduleShard(shard *replica.Shard, now time.Time) {
	queue := c.queue(shard, now)
	demands := &passDemands{byTeam: make(map[string]*quota.Demand), weighed: make(map[string]int), started: make(map[string]bool)}
	defer c.publishDemands(shard.Name, demands, now)
	if len(queue) == 0 {
		return
	}
	capacities := c.capacities(shard, now)
	c.reservePreempted(shard, capacities, now)
	pass := &schedulingPass{
		shard: shard, capacities: capacities, demands: demands, now: now,
		// While placements of arrays wait for the state service's budget, released capacity
		// accumulates, so that the next write places many tasks. This prevents one write
		// for every task or two, with which machines are idle for seconds: what is placed
		// but not yet committed can neither run nor be preempted.
		delaysArrays: c.store.PendingCount(kv.PriorityArrayClaim) > 0,
		failed:       make(map[placement.RequestKey]bool),
		largestFree:  placement.LargestFree(capacities),
	}
	for _, entry := range queue {
		c.scheduleEntry(pass, entry)
	}
}

// scheduleEntry places what it can of an entry, and reserves capacity for the rest or
// preempts for it.
func (c *Controller) scheduleEntry(pass *schedulingPass, entry *placement.QueueEntry) {
	isArray := entry.Spec.Shape == protocol.ShapeArray
	waited := entry.WaitedUnplaced(pass.now)
	entry.OverdueForGPUMachine = isArray && entry.Spec.GPUs == 0 && waited > gpuMachineWait
	if pass.yields(entry) && !pass.largestFree.Fits(entry.Spec) {
		return // no machine has capacity for even one of its tasks
	}
	if !c.admitsBestEffort(pass, entry, waited) {
		return
	}
	key := placement.RequestKeyOf(entry.Spec)
	hasFailed := pass.failed[key] && !entry.OverdueForGPUMachine
	if hasFailed || c.isHeldByLimit(pass.shard, entry, pass.capacities, pass.demands, pass.now) || (pass.delaysArrays && isArray) {
		return
	}
	if c.preemptions.plans[entry.Job.ID] == nil && !entry.OnProbation && c.preemptForImage(pass.shard, entry, pass.capacities, pass.now) {
		pass.evicted()
		return // it starts there as soon as the preempted tasks are gone
	}
	placed, short := c.placeEntry(pass.shard, entry, pass.capacities, pass.now)
	if placed {
		pass.bestEffortCounted = false
		delete(c.preemptions.plans, entry.Job.ID)
		pass.demands.started[entry.Spec.Team] = true
	}
	if !short || placed || c.preemptions.plans[entry.Job.ID] != nil || entry.OnProbation {
		return
	}
	pass.failed[key] = !isRestricted(entry, pass.capacities)
	if pass.yields(entry) {
		return
	}
	pass.blocked = true
	c.reserveOrPreempt(pass, entry)
}

// admitsBestEffort reports whether an entry may start tasks as far as the share of
// best-effort work goes, and sets how many. Any other entry may.
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

// isRestricted reports whether an entry may be kept from capacity that others with the same
// request could use: by the zones of its placed tasks, or by its own failures on a machine,
// which say nothing about other jobs.
func isRestricted(entry *placement.QueueEntry, capacities []*placement.Capacity) bool {
	isPlaced := entry.Claim != nil && len(entry.Claim.Record.Placements) > 0
	if (entry.Spec.SpreadZones || entry.Spec.SameZone) && isPlaced {
		return true
	}
	return slices.ContainsFunc(capacities, func(capacity *placement.Capacity) bool { return capacity.AvoidedBy[entry.Job.ID] })
}

// reserveOrPreempt reserves the capacity where a blocked entry can start first, as EASY
// does for the head of the queue, or preempts for the entry if that is too late. Gangs and
// services behind the head get reservations as well: they preempt arrays when they would
// start late, and a reservation in time throws less work away.
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
	pass.evicted()
	for _, capacity := range reserved {
		if capacity.Reservation.From.After(pass.now) {
			capacity.Reservation.JobID = "" // the preempted capacity serves instead
		}
	}
}

const (
	// neverLate is how long an entry may wait that preempts nothing however long it waits.
	neverLate = time.Hour
	// missedObjectiveWait is how long a job that has missed all its objectives waits for
	// capacity rather than preempt others.
	missedObjectiveWait = 15 * time.Second
)

// startBy returns when a job must start to meet the nearest of its objectives that can
// still be met if others are preempted, the fetch of its image included. Until then it
// waits for capacity: preempting for an objective that is lost anyway only throws work away.
func (c *Controller) startBy(entry *placement.QueueEntry, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) time.Time {
	if c.preemptsNothing(entry) {
		return now.Add(neverLate)
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
		return now // every second without a replica counts
	}
	return now.Add(missedObjectiveWait)
}

// preemptsNothing reports whether an entry waits however long that takes: arrays outside
// a guarantee preempt only best-effort work, which itself preempts nothing.
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

// zoneConstraint returns the constraint on the zones of an entry's next tasks. Where its
// placed tasks are matters to jobs with a rule about zones, and to services, whose tasks go
// where they have the fewest.
func (c *Controller) zoneConstraint(entry *placement.QueueEntry) placement.ZoneConstraint {
	dependsOnZones := entry.Spec.SpreadZones || entry.Spec.SameZone || entry.Spec.Shape == protocol.ShapeService
	if entry.Claim == nil || !dependsOnZones {
		return placement.NewZoneConstraint(entry.Spec, nil)
	}
	return placement.NewZoneConstraint(entry.Spec, c.view.ZonesOf(entry.Claim))
}

// placeEntry places as many tasks of an entry as there is capacity for. It reports whether
// it has placed any, and whether tasks are left for want of capacity.
func (c *Controller) placeEntry(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) (placed, short bool) {
	zones := c.zoneConstraint(entry)
	if !c.hasMachineFor(entry, capacities, &zones, now) {
		return false, true // found before the claim is copied, which costs most when much waits
	}
	next := nextVersion(shard, entry)
	need := entry.PlaceableTasks()
	isGang := entry.Spec.Shape == protocol.ShapeGang
	assignments := c.assignTasks(shard.Name, entry, next, capacities, &zones, now)
	if isGang && entry.Spec.SameZone && len(assignments) < need {
		assignments = c.assignInOneZone(shard, entry, next, capacities, assignments, now)
	}
	tooFew := len(assignments) == 0 || (isGang && len(assignments) < need)
	if tooFew || leavesToOthers(entry, len(assignments), now) {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, true
	}
	if isGang && entry.Claim != nil && len(entry.Claim.Record.Placements) > 0 {
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

// hasMachineFor reports whether any machine takes one task of an entry, one that is kept
// for jobs with GPUs included if the entry has waited beside it for too long.
func (c *Controller) hasMachineFor(entry *placement.QueueEntry, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) bool {
	if placement.Select(entry.Spec, entry.Job.ID, capacities, zones, c.estimateRuntime(entry.Spec), now) >= 0 {
		return true
	}
	return entry.OverdueForGPUMachine && placement.ReleaseGPUMachine(entry.Spec, entry.Job.ID, capacities, zones)
}

// nextVersion returns the version of an entry's claim to which placements are added.
func nextVersion(shard *replica.Shard, entry *placement.QueueEntry) *records.Claim {
	if entry.Claim != nil {
		return entry.Claim.Record.Clone()
	}
	first, count := entry.TaskRange()
	return &records.Claim{Shard: shard.Name, FirstTask: first, TaskCount: count}
}

// assignInOneZone assigns all tasks of a gang to the first zone that has capacity for them,
// after an assignment that began in the zone of the best machine was too short. It returns
// the last zone's assignments if none has. This prevents a gang from waiting beside another
// zone's free machines.
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
	// servicePatience is how long an unclaimed service waits for a shard that takes it
	// whole.
	servicePatience = time.Second
	// spreadPatience is the same for a service that must spread over zones.
	spreadPatience = widenAfter + 2*time.Second
	// arrayPatience is how long an unclaimed chunk of an array waits for a shard that
	// starts at least half of its tasks.
	arrayPatience = 2 * time.Second
)

// leavesToOthers reports whether an unclaimed chunk, of which a shard could start so many
// tasks, is left to other shards for a while. A service that fits elsewhere whole should
// not be divided to wait here; one that must spread waits until every shard has tried,
// since this one may have no machine in a second zone. An array's chunk is queued at
// several shards, of which one may start more of its tasks.
func leavesToOthers(entry *placement.QueueEntry, startable int, now time.Time) bool {
	if entry.Claim != nil {
		return false
	}
	need, waited := entry.PlaceableTasks(), now.Sub(entry.Job.SeenAt)
	switch entry.Spec.Shape {
	case protocol.ShapeService:
		patience := servicePatience
		if entry.Spec.SpreadZones {
			patience = spreadPatience
		}
		return startable < need && waited < patience
	case protocol.ShapeArray:
		return 2*startable < need && waited < arrayPatience
	}
	return false
}

// assignTasks chooses machines for the tasks of an entry that have none, as many as the
// entry, the record's size and the team's limit permit, and takes their capacity.
func (c *Controller) assignTasks(holder string, entry *placement.QueueEntry, record *records.Claim, capacities []*placement.Capacity, zones *placement.ZoneConstraint, now time.Time) []placement.Assignment {
	isPlaced := make(map[int]bool, len(record.Placements))
	for _, placed := range record.Placements {
		isPlaced[placed.Task] = true
	}
	runtime := c.estimateRuntime(entry.Spec)
	limit := entry.MaxStarts(c.settings.RecordLimits().MaxPlacements() - len(isPlaced))
	if c.isLimited(entry.Spec) {
		limit = min(limit, c.allowanceOf(holder, entry.Spec)+c.unrecordedCompletions(entry.Claim))
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

// estimateRuntime returns a task's expected run time, the image fetch left out.
func (c *Controller) estimateRuntime(spec *protocol.Submission) time.Duration {
	ratio := 1.0
	if observed, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = observed
	}
	return time.Duration(float64(spec.RunEstimate()) * ratio)
}
