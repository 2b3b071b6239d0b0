package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// preemptionPlan is the room for which a job has displaced others. It is held for the job
// until it starts there. Without this a gang's next pass could prefer other
// machines, arrays took the room just made, and the gang displaced again: some
// twelve thousand tasks of a day were lost in that circle.
type preemptionPlan struct {
	shard string
	hosts map[string]int // tasks by host
	until time.Time
}

// preemptions is the work that is stopped for other work.
type preemptions struct {
	hasGuarantees bool                             // some team has one
	plans         map[string]*preemptionPlan       // by job
	intents       []string                         // claims that others are preempted for, of which the other controllers were not told
	reservations  map[string]*guaranteeReservation // by claim
	releasing     bool                             // reservations are being released
}

func newPreemptions() preemptions {
	return preemptions{plans: make(map[string]*preemptionPlan), reservations: make(map[string]*guaranteeReservation)}
}

// preemptionHold is how long a job waits for the tasks it displaced to go before it
// may displace more.
const preemptionHold = 5 * time.Second

// expirePreemptions drops the plans that have had their time or whose job is over.
func (c *Controller) expirePreemptions(now time.Time) {
	for jobID, plan := range c.preemptions.plans {
		if job := c.view.Jobs[jobID]; now.After(plan.until) || job == nil || job.Record.IsFinal() {
			delete(c.preemptions.plans, jobID)
		}
	}
}

// reservePreempted sets the planned room of a shard's machines apart.
func (c *Controller) reservePreempted(shard *replica.Shard, capacities []*placement.Capacity, now time.Time) {
	held := false
	jobIDs := slices.Sorted(maps.Keys(c.preemptions.plans))
	for _, jobID := range jobIDs {
		held = held || c.preemptions.plans[jobID].shard == shard.Name
	}
	if !held {
		return
	}
	c.detailCapacities(capacities, now)
	for _, capacity := range capacities {
		for _, jobID := range jobIDs {
			if k := c.preemptions.plans[jobID].hosts[capacity.Host]; k > 0 && capacity.Reservation.JobID == "" {
				capacity.ReserveFor(c.view.Jobs[jobID].Spec(), jobID, k, now.Add(time.Second))
			}
		}
	}
}

// preemptFor displaces work of lower priority for a job that found no room. It
// returns false when there is nothing, or nothing more, to displace.
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
	if slices.ContainsFunc(plan, func(eviction placement.Eviction) bool {
		return slices.ContainsFunc(eviction.Victims, func(victim replica.Victim) bool { return policy.isBorrowed(&victim) })
	}) {
		c.reserveGuarantee(shard, entry, plan, policy, now)
		return false
	}
	for _, eviction := range plan {
		c.executeEviction(shard, entry, eviction, now)
	}
	return len(plan) > 0
}

// mayPreemptHere tells whether a shard may displace for a unit. For work that
// no shard has claimed yet only one of its copies does so at a time: for a gang
// of eight, five shards each stopped hundreds of tasks.
func (c *Controller) mayPreemptHere(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) bool {
	if entry.Claim != nil {
		return true
	}
	i := slices.Index(entry.Job.Record.Shards, shard.Name)
	if i < 0 {
		i = len(entry.Job.Record.Shards)
	}
	return now.Sub(entry.Job.SeenAt) >= time.Duration(i)*preemptionHold
}

// executeEviction stops what an eviction names. The room is spoken for in this pass.
func (c *Controller) executeEviction(s *replica.Shard, entry *placement.QueueEntry, eviction placement.Eviction, now time.Time) {
	plan := c.preemptions.plans[entry.Job.ID]
	if plan == nil {
		plan = &preemptionPlan{shard: s.Name, hosts: make(map[string]int), until: now.Add(preemptionHold)}
		c.preemptions.plans[entry.Job.ID] = plan
		if entry.Claim == nil {
			c.preemptions.intents = append(c.preemptions.intents, records.ClaimKey(entry.Job.ID, entry.Chunk))
		}
	}
	capacity := eviction.Capacity
	plan.hosts[capacity.Host]++
	for _, victim := range eviction.Victims {
		c.evict(victim.Claim, victim.Task, now)
		capacity.Release(victim.Claim.Spec)
		c.log.Debug("task preempted", "claim", victim.Claim.Key, "task", victim.Task, "host", capacity.Host, "job", entry.Job.ID)
	}
	c.sendPendingCommands(s)
	capacity.Allocate(entry.Spec)
	capacity.ReserveFor(entry.Spec, entry.Job.ID, 0, now)
	capacity.Victims = placement.WithoutVictims(capacity.Victims, eviction.Victims)
	for _, victim := range eviction.Victims {
		if job := c.view.Jobs[victim.Claim.JobID]; job != nil && victim.Claim.Pending == nil && victim.Claim.Record != nil {
			c.reconcileClaim(s, job, victim.Claim, now)
		}
	}
}

// evict has a placement stopped.
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

// stopEvicted sends the stop at once: settling waits while a version of the
// claim is being committed, and under load that took longer than the room made
// could be held.
func (c *Controller) stopEvicted(claim *replica.Claim, slot *replica.Slot, now time.Time) {
	machine := slot.Host.Machine
	if machine == nil || !c.view.IsActive(c.view.Shards[machine.Record.Shard]) {
		return
	}
	shard := c.view.Shards[machine.Record.Shard]
	status := machine.Agent.Tasks[slot.TaskName]
	if status == nil || status.Attempt != slot.Attempt || status.Phase == protocol.TaskExited || !machine.ShowsToken(shard) {
		return
	}
	if grace, stop := c.shouldStop(claim, &records.Placement{Task: slot.Task, Attempt: slot.Attempt, Host: machine.Host}, now); stop {
		machine.Commands.StopSentAt[slot.TaskName] = now
		c.queueCommands(shard, machine, protocol.StopCommand(slot.TaskName, slot.Attempt, grace))
	}
}

// preemptForImage makes room for a service or a gang of one on a machine that
// holds its image, when all the free room is on machines that would fetch it
// for longer than the job's start may take.
func (c *Controller) preemptForImage(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, now time.Time) bool {
	if entry.Spec.Shape == protocol.ShapeArray || entry.StartsTogether() {
		return false
	}
	zones := c.zoneConstraint(entry)
	i := placement.Select(entry.Spec, entry.Job.ID, capacities, &zones, 0, now)
	if i < 0 || capacities[i].HasImage(entry.Spec.Image) {
		return false
	}
	by := c.startBy(entry, capacities, &zones, now)
	if !by.After(now) || !now.Add(capacities[i].ImagePullTime(entry.Spec)).After(by) {
		return false
	}
	c.detailCapacities(capacities, now)
	at, victims := placement.SelectVictims(entry.Spec, entry.Job.ID, capacities, &zones, c.priorityOnlyPolicy(entry.Spec), now)
	return len(victims) > 0 && capacities[at].HasImage(entry.Spec.Image) && c.preemptFor(shard, entry, capacities, now)
}
