package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// preemptionPlan is the capacity for which a job has preempted others. It is reserved for
// the job until the job starts or the plan expires. This prevents other jobs from using the
// capacity, and the job from preempting again in every pass, also if a later pass would
// prefer other machines.
type preemptionPlan struct {
	shard string
	hosts map[string]int // tasks by host
	until time.Time
}

// preemptions is the state of the preemptions for jobs of this node's shards.
type preemptions struct {
	hasGuarantees bool                             // at least one team has a guarantee
	plans         map[string]*preemptionPlan       // by job
	intents       []string                         // keys of unclaimed chunks that preempt, not broadcast yet
	reservations  map[string]*guaranteeReservation // by claim key
	releasing     bool                             // a commit that releases reservations is in progress
}

func newPreemptions() preemptions {
	return preemptions{plans: make(map[string]*preemptionPlan), reservations: make(map[string]*guaranteeReservation)}
}

const (
	// preemptionHold is how long preempted capacity is reserved for a job. Until then the
	// job waits for the preempted tasks to end and may not preempt more.
	preemptionHold = 5 * time.Second
	// plannedStartDelay is how soon a job is expected to start on preempted capacity.
	plannedStartDelay = time.Second
)

// expirePreemptions drops the plans that have expired or whose job is final.
func (c *Controller) expirePreemptions(now time.Time) {
	for jobID, plan := range c.preemptions.plans {
		if job := c.view.Jobs[jobID]; now.After(plan.until) || job == nil || job.Record.IsFinal() {
			delete(c.preemptions.plans, jobID)
		}
	}
}

// reservePreempted reserves, on each machine of a shard that a preemption plan names, the
// preempted capacity for the plan's job.
func (c *Controller) reservePreempted(shard *replica.Shard, capacities []*placement.Capacity, now time.Time) {
	jobIDs := slices.Sorted(maps.Keys(c.preemptions.plans))
	isOfShard := func(jobID string) bool { return c.preemptions.plans[jobID].shard == shard.Name }
	if !slices.ContainsFunc(jobIDs, isOfShard) {
		return
	}
	c.detailCapacities(capacities, now)
	for _, capacity := range capacities {
		for _, jobID := range jobIDs {
			if tasks := c.preemptions.plans[jobID].hosts[capacity.Host]; tasks > 0 && capacity.Reservation.JobID == "" {
				capacity.ReserveFor(c.view.Jobs[jobID].Spec(), jobID, tasks, now.Add(plannedStartDelay))
			}
		}
	}
}

// preemptFor preempts tasks for an entry without capacity: those of lower priority, or those
// of other teams that borrow the guarantee of the entry's team. Preempting tasks that borrow
// a guarantee takes two passes: the first commits a reservation on the guarantee, a later
// pass executes the reservation. preemptFor reports whether it has preempted any task.
func (c *Controller) preemptFor(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) bool {
	if c.preemptions.plans[entry.Job.ID] != nil || !c.mayPreemptHere(shard, entry, now) {
		return false
	}
	if reservation := c.preemptions.reservations[entry.ClaimKey()]; reservation != nil {
		return c.executeReservation(shard, entry, reservation, capacities, now)
	}
	zones := c.zoneConstraint(entry)
	c.detailCapacities(capacities, now)
	policy := c.preemptionPolicyFor(entry)
	plan := placement.PlanPreemption(entry, capacities, &zones, policy, now)
	if slices.ContainsFunc(plan, policy.takesBorrowed) {
		c.reserveGuarantee(shard, entry, plan, policy, now)
		return false
	}
	for _, eviction := range plan {
		c.executeEviction(shard, entry, eviction, now)
	}
	return len(plan) > 0
}

// mayPreemptHere reports whether a shard may preempt for an entry. For an unclaimed chunk the
// shards of its job may do so one after the other, preemptionHold apart. This prevents each
// of them from preempting hundreds of tasks for the same gang.
func (c *Controller) mayPreemptHere(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) bool {
	if entry.Claim != nil {
		return true
	}
	turn := slices.Index(entry.Job.Record.Shards, shard.Name)
	if turn < 0 {
		turn = len(entry.Job.Record.Shards)
	}
	return now.Sub(entry.Job.SeenAt) >= time.Duration(turn)*preemptionHold
}

// executeEviction evicts the victims of an eviction and reserves their capacity for the entry
// in this pass.
func (c *Controller) executeEviction(shard *replica.Shard, entry *placement.QueueEntry, eviction placement.Eviction, now time.Time) {
	capacity := eviction.Capacity
	c.planFor(shard, entry, now).hosts[capacity.Host]++
	for _, victim := range eviction.Victims {
		c.evict(victim.Claim, victim.Task, now)
		capacity.Release(victim.Claim.Spec)
		c.log.Debug("task preempted", "claim", victim.Claim.Key, "task", victim.Task, "host", capacity.Host, "job", entry.Job.ID)
	}
	c.sendPendingCommands(shard)
	capacity.Allocate(entry.Spec)
	capacity.ReserveFor(entry.Spec, entry.Job.ID, 0, now)
	capacity.Victims = placement.WithoutVictims(capacity.Victims, eviction.Victims)
	for _, victim := range eviction.Victims {
		if job := c.view.Jobs[victim.Claim.JobID]; job != nil && victim.Claim.Pending == nil && victim.Claim.Record != nil {
			c.reconcileClaim(shard, job, victim.Claim, now)
		}
	}
}

// planFor returns the preemption plan of an entry's job, and adds one if there is none.
func (c *Controller) planFor(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) *preemptionPlan {
	plan := c.preemptions.plans[entry.Job.ID]
	if plan == nil {
		plan = &preemptionPlan{shard: shard.Name, hosts: make(map[string]int), until: now.Add(preemptionHold)}
		c.preemptions.plans[entry.Job.ID] = plan
		if entry.Claim == nil {
			c.preemptions.intents = append(c.preemptions.intents, records.ClaimKey(entry.Job.ID, entry.Chunk))
		}
	}
	return plan
}

// evict marks a task of a claim as evicted and queues its stop command.
func (c *Controller) evict(claim *replica.Claim, task int, now time.Time) {
	if claim.Evictions == nil {
		claim.Evictions = make(map[int]time.Time)
	}
	claim.Evictions[task] = now
	for _, slot := range claim.SortedSlots() {
		if slot.Task == task {
			slot.Host.Invalidate()
			c.stopEvicted(claim, slot, now)
		}
	}
	c.view.MarkDirty(claim)
}

// stopEvicted queues the stop command of an evicted task without waiting for reconciliation.
// Reconciliation waits while a version of the claim is being committed, which under load may
// take longer than the preempted capacity is reserved.
func (c *Controller) stopEvicted(claim *replica.Claim, slot *replica.Slot, now time.Time) {
	machine := slot.Host.Machine
	if machine == nil || !c.view.IsActive(c.view.Shards[machine.Record.Shard]) {
		return
	}
	shard := c.view.Shards[machine.Record.Shard]
	status := machine.Agent.Tasks[slot.TaskName]
	isRunning := status != nil && status.Attempt == slot.Attempt && status.Phase != protocol.TaskExited
	if !isRunning || !machine.ShowsToken(shard) {
		return
	}
	if grace, stop := c.shouldStop(claim, &records.Placement{Task: slot.Task, Attempt: slot.Attempt, Host: machine.Host}, now); stop {
		machine.Commands.StopSentAt[slot.TaskName] = now
		c.queueCommands(shard, machine, protocol.StopCommand(slot.TaskName, slot.Attempt, grace))
	}
}

// preemptForImage preempts for a service or a gang of one task on a machine that holds its
// image, if free capacity exists only on machines that could not fetch the image before the
// job must start. It reports whether it has preempted any task.
func (c *Controller) preemptForImage(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) bool {
	if entry.Spec.Shape == protocol.ShapeArray || entry.StartsTogether() {
		return false
	}
	zones := c.zoneConstraint(entry)
	index := placement.Select(entry.Spec, entry.Job.ID, capacities, &zones, 0, now)
	if index < 0 || capacities[index].HasImage(entry.Spec.Image) {
		return false
	}
	startBy := c.startBy(entry, capacities, &zones, now)
	if !startBy.After(now) || !now.Add(capacities[index].ImagePullTime(entry.Spec)).After(startBy) {
		return false
	}
	c.detailCapacities(capacities, now)
	best, victims := placement.SelectVictims(entry.Spec, entry.Job.ID, capacities, &zones, c.priorityOnlyPolicy(entry.Spec), now)
	return len(victims) > 0 && capacities[best].HasImage(entry.Spec.Image) && c.preemptFor(shard, entry, capacities, now)
}

// preemptionPolicy decides which tasks may be preempted for a job: those of lower priority
// and, as far as its team's guarantee still covers the job, borrowed ones: tasks of other
// teams beyond their own guarantees. It counts the resources that are preempted, so that no
// team falls below its own guarantee. It implements placement.PreemptionPolicy.
type preemptionPolicy struct {
	spec       *protocol.Submission
	entitled   int // tasks of the job that the guarantee still covers
	budget     *quota.PreemptionBudget
	statuses   map[string]quota.GuaranteeStatus
	controller *Controller
}

func (c *Controller) preemptionPolicyFor(entry *placement.QueueEntry) *preemptionPolicy {
	policy := &preemptionPolicy{spec: entry.Spec, entitled: c.entitledTasks(entry), controller: c, statuses: make(map[string]quota.GuaranteeStatus)}
	policy.Reset()
	return policy
}

// priorityOnlyPolicy returns a policy that permits only the preemption of lower priorities.
func (c *Controller) priorityOnlyPolicy(spec *protocol.Submission) *preemptionPolicy {
	return &preemptionPolicy{spec: spec, controller: c}
}

// Reset implements placement.PreemptionPolicy.
func (p *preemptionPolicy) Reset() {
	p.budget = &quota.PreemptionBudget{ClaimedTask: replica.TaskResources(p.spec), StatusOf: p.guaranteeStatusOf}
}

// guaranteeStatusOf returns a team's guarantee status, which is computed once for each policy.
func (p *preemptionPolicy) guaranteeStatusOf(team string) quota.GuaranteeStatus {
	status, known := p.statuses[team]
	if !known {
		status = p.controller.view.Quota.GuaranteeStatus(team, "", usageView{p.controller})
		p.statuses[team] = status
	}
	return status
}

// MayPreempt reports whether one more task may be preempted in addition to the chosen ones.
func (p *preemptionPolicy) MayPreempt(victim *protocol.Submission, chosen []replica.Victim) bool {
	if victim.Priority() < p.spec.Priority() {
		return true
	}
	if p.entitled == 0 || victim.Team == p.spec.Team {
		return false
	}
	chosenBorrowed := quota.Resources{}
	for i := range chosen {
		if other := chosen[i].Claim.Spec; other.Team == victim.Team && p.isBorrowed(&chosen[i]) {
			chosenBorrowed = chosenBorrowed.Plus(replica.TaskResources(other))
		}
	}
	return p.budget.MayPreempt(victim.Team, replica.TaskResources(victim), chosenBorrowed)
}

// isBorrowed reports whether a victim can be preempted only on the guarantee, since its
// priority is not lower.
func (p *preemptionPolicy) isBorrowed(victim *replica.Victim) bool {
	return victim.Claim.Spec.Priority() >= p.spec.Priority()
}

// takesBorrowed reports whether an eviction preempts any task that can be preempted only on
// the guarantee (see isBorrowed).
func (p *preemptionPolicy) takesBorrowed(eviction placement.Eviction) bool {
	return slices.ContainsFunc(eviction.Victims, func(victim replica.Victim) bool { return p.isBorrowed(&victim) })
}

// RecordPreemption counts the borrowed resources of the victims chosen for one task of the
// job, and counts that task against the guarantee.
func (p *preemptionPolicy) RecordPreemption(victims []replica.Victim) {
	usesGuarantee := false
	for i := range victims {
		if p.isBorrowed(&victims[i]) {
			p.budget.RecordPreemption(victims[i].Claim.Spec.Team, replica.TaskResources(victims[i].Claim.Spec))
			usesGuarantee = true
		}
	}
	if usesGuarantee && p.entitled > 0 {
		p.entitled--
	}
}
