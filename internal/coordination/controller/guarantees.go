package controller

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// usageView reads the use of resources from the view; package quota checks reservations
// against that use. It implements quota.Usage.
type usageView struct{ controller *Controller }

// InUse returns the resources of the tasks that a team has placed or is placing.
func (u usageView) InUse(team string) quota.Resources { return u.controller.view.UseByTeam[team] }

// Committed returns the resources of the tasks that a team has placed regardless of the
// outcome of the commits in progress.
func (u usageView) Committed(team string) quota.Resources {
	return u.controller.view.CommittedUse[team]
}

// PlacedBy returns the resources of a claim's placed tasks.
func (u usageView) PlacedBy(claimKey string) quota.Resources {
	if claim := u.controller.view.Claims[claimKey]; claim != nil && claim.Tally.Counted {
		return claim.Tally.Use
	}
	return quota.Resources{}
}

// TaskUse returns the resources that a preempted task still uses, none once its placement is
// cleared.
func (u usageView) TaskUse(task string) quota.Resources {
	if claim, slot := u.controller.findVictim(task); slot != nil && claim.Spec != nil {
		return replica.TaskResources(claim.Spec)
	}
	return quota.Resources{}
}

// OwnerToken returns the fencing token under which this node owns a shard, or 0 if it does
// not own the shard.
func (u usageView) OwnerToken(shardName string) uint64 {
	if shard := u.controller.view.Shards[shardName]; u.controller.view.IsActive(shard) {
		return shard.FencingToken
	}
	return 0
}

// HoldsCapacity reports whether a claim's job is open and a shard reserves capacity for it,
// by a preemption plan or by a guarantee reservation.
func (u usageView) HoldsCapacity(claimKey, shardName string) bool {
	jobID, _, _ := records.ParseClaimKey(claimKey)
	job := u.controller.view.Jobs[jobID]
	if job == nil || job.Record == nil || job.Record.IsFinal() {
		return false
	}
	plan, reservation := u.controller.preemptions.plans[jobID], u.controller.preemptions.reservations[claimKey]
	return (plan != nil && plan.shard == shardName) || (reservation != nil && reservation.shard == shardName)
}

// findVictim returns the claim and the slot of a preempted task, by its name as formed by
// replica.Victim.Name. The slot is nil once the placement is cleared.
func (c *Controller) findVictim(name string) (*replica.Claim, *replica.Slot) {
	key, rest, _ := strings.Cut(name, "#")
	number, host, _ := strings.Cut(rest, "@")
	claim := c.view.Claims[key]
	task, err := strconv.Atoi(number)
	if err != nil || claim == nil {
		return nil, nil
	}
	return claim, claim.Slots[replica.SlotKey{Task: task, Host: host}]
}

// entitledTasks counts the tasks of an entry that the guarantee of its team covers now: of a
// gang all or none.
func (c *Controller) entitledTasks(entry *placement.QueueEntry) int {
	if !c.view.Quota.HasGuarantee(entry.Spec.Team) {
		return 0
	}
	waiting := entry.PlaceableTasks()
	entitled := c.view.Quota.GuaranteeStatus(entry.Spec.Team, entry.ClaimKey(), usageView{c}).EntitledTasks(replica.TaskResources(entry.Spec))
	if entry.Spec.Shape == protocol.ShapeGang && entitled < waiting {
		return 0
	}
	return min(entitled, waiting)
}

// prioritizeEntitled moves work within its team's guarantee ahead of other work of the same
// priority. This prevents a team from waiting for its guarantee until a backlog of
// borrowed work is done.
func (c *Controller) prioritizeEntitled(queue []*placement.QueueEntry) {
	if !c.preemptions.hasGuarantees {
		return
	}
	statuses := make(map[string]quota.GuaranteeStatus)
	for _, entry := range queue {
		team := entry.Spec.Team
		if !c.view.Quota.HasGuarantee(team) {
			continue
		}
		if entry.WithinGuarantee = c.view.Quota.HasReservation(team, entry.ClaimKey()); entry.WithinGuarantee {
			continue // the team's status already counts the reservation
		}
		status, known := statuses[team]
		if !known {
			status = c.view.Quota.GuaranteeStatus(team, "", usageView{c})
		}
		statuses[team] = markWithinGuarantee(entry, status)
	}
	slices.SortStableFunc(queue, comparePrecedence) // by priority and guarantee, since StartsAhead is set only later
}

// markWithinGuarantee marks an entry as within its team's guarantee if the team's status
// entitles enough of its tasks to start, and returns the status with these tasks reserved.
func markWithinGuarantee(entry *placement.QueueEntry, status quota.GuaranteeStatus) quota.GuaranteeStatus {
	perTask := replica.TaskResources(entry.Spec)
	need, waiting := entry.MinTasks(), entry.PlaceableTasks()
	if entitled := status.EntitledTasks(perTask); entitled >= need && entitled > 0 {
		entry.WithinGuarantee = true
		status.Reserved = status.Reserved.Plus(perTask.Times(float64(min(entitled, waiting))))
	}
	return status
}

// guaranteeReservation is a planned preemption on a team's guarantee. It is executed once its
// reservation is recorded and the view holds everything that was committed before the
// record.
type guaranteeReservation struct {
	shard   string
	team    string
	version uint64 // revision of the reservation's record; 0 while the record is being committed
	until   time.Time
	planned []plannedEviction
	tasks   int // number of the job's tasks that need the guarantee to start
}

// plannedEviction is an eviction to be executed once its reservation is recorded.
type plannedEviction struct {
	host    string
	victims []replica.Victim
}

// reserveGuarantee commits a reservation for a plan that preempts borrowed work.
func (c *Controller) reserveGuarantee(shard *replica.Shard, entry *placement.QueueEntry, plan []placement.Eviction, policy *preemptionPolicy, now time.Time) {
	if plan = limitLenders(plan, policy, c.settings.RecordLimits().MaxTxnOps-1, entry.StartsTogether()); len(plan) == 0 {
		return
	}
	claimKey := entry.ClaimKey()
	reservation := &guaranteeReservation{shard: shard.Name, team: entry.Spec.Team, until: now.Add(preemptionHold)}
	for _, eviction := range plan {
		reservation.planned = append(reservation.planned, plannedEviction{eviction.Capacity.Host, eviction.Victims})
		if policy.takesBorrowed(eviction) || entry.StartsTogether() {
			reservation.tasks++ // a task whose victims all have lower priorities does not need the guarantee
		}
	}
	c.preemptions.reservations[claimKey] = reservation
	use := replica.TaskResources(entry.Spec).Times(float64(reservation.tasks)).Plus(usageView{c}.PlacedBy(claimKey))
	compares, ops := c.view.Quota.Reserve(quota.ReservationRequest{
		Team: reservation.team, ClaimKey: claimKey, Shard: shard.Name, FencingToken: shard.FencingToken,
		Use: use, Victims: policy.borrowedByTeam(plan),
	})
	compares = append(compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: records.JobPrefix + entry.Job.ID, Version: entry.Job.Version})
	c.commit(kv.PriorityClaim, compares, ops, 0, func(err error) {
		if err != nil {
			c.log.Debug("guarantee reservation failed", "claim", claimKey, "team", reservation.team, "err", err)
			if c.preemptions.reservations[claimKey] == reservation {
				delete(c.preemptions.reservations, claimKey)
			}
			return
		}
		reservation.version = c.view.Versions[records.ReservationPrefix+reservation.team]
		shard.Changed = true
	})
}

// borrowedByTeam returns the names of the borrowed tasks that a plan preempts, by team.
func (p *preemptionPolicy) borrowedByTeam(plan []placement.Eviction) map[string][]string {
	names := make(map[string][]string)
	for _, eviction := range plan {
		for i := range eviction.Victims {
			if victim := &eviction.Victims[i]; p.isBorrowed(victim) {
				team := victim.Claim.Spec.Team
				names[team] = append(names[team], victim.Name())
			}
		}
	}
	return names
}

// limitLenders returns the first evictions of a plan that together preempt borrowed tasks of
// at most maxLenders teams, since the one transaction of the reservation changes a record of
// each team. If whole is set, a part of the plan is of no use, and the result is all or nil.
func limitLenders(plan []placement.Eviction, policy *preemptionPolicy, maxLenders int, whole bool) []placement.Eviction {
	teams := map[string]bool{policy.spec.Team: true}
	for i, eviction := range plan {
		for j := range eviction.Victims {
			if victim := &eviction.Victims[j]; policy.isBorrowed(victim) {
				teams[victim.Claim.Spec.Team] = true
			}
		}
		if len(teams) <= maxLenders+1 {
			continue
		}
		if whole {
			return nil
		}
		return plan[:i]
	}
	return plan
}

// executeReservation executes the plan of a reservation once the view holds everything
// that was committed before the reservation. If the plan is no longer valid by then, the
// reservation ends and no task is preempted. It reports whether it has preempted any task.
func (c *Controller) executeReservation(shard *replica.Shard, entry *placement.QueueEntry, reservation *guaranteeReservation, capacities []*placement.Capacity, now time.Time) bool {
	if reservation.shard != shard.Name || reservation.version == 0 || c.view.Revision < reservation.version {
		return false
	}
	delete(c.preemptions.reservations, entry.ClaimKey())
	policy := c.preemptionPolicyFor(entry)
	entitled := policy.entitled
	// The recorded reservation already counts its victims as being preempted. They are excluded
	// here, since they would reduce the surplus that has to cover them.
	policy.budget.StatusOf = func(team string) quota.GuaranteeStatus {
		return c.view.Quota.GuaranteeStatusExcludingPreemptionsFor(team, entry.ClaimKey(), usageView{c})
	}
	plan := reservation.validPlan(policy, capacitiesByHost(capacities))
	if entitled < reservation.tasks || (entry.StartsTogether() && len(plan) < len(reservation.planned)) {
		// The reservation ends as a whole, and a later pass makes a new one, so that the
		// record always matches the tasks that are preempted.
		c.log.Debug("guarantee reservation no longer valid", "claim", entry.ClaimKey(), "team", reservation.team)
		return false
	}
	for _, eviction := range plan {
		policy.markPreempted(eviction, entry.ClaimKey())
		c.executeEviction(shard, entry, eviction, now)
	}
	return len(plan) > 0
}

// validPlan returns the evictions of a reservation that may still be executed.
func (r *guaranteeReservation) validPlan(policy *preemptionPolicy, byHost map[string]*placement.Capacity) []placement.Eviction {
	var plan []placement.Eviction
	for _, planned := range r.planned {
		capacity := byHost[planned.host]
		if capacity == nil || !capacity.Usable {
			continue
		}
		eviction := placement.Eviction{Capacity: capacity}
		for _, victim := range planned.victims {
			if isEvictable(&victim, planned.host) && policy.MayPreempt(victim.Claim.Spec, eviction.Victims) {
				eviction.Victims = append(eviction.Victims, victim)
			}
		}
		if len(eviction.Victims) > 0 {
			policy.RecordPreemption(eviction.Victims)
			plan = append(plan, eviction)
		}
	}
	return plan
}

// isEvictable reports whether a victim is still placed on a host and not being evicted.
func isEvictable(victim *replica.Victim, host string) bool {
	_, evicted := victim.Claim.Evictions[victim.Task]
	return !evicted && victim.Claim.Slots[replica.SlotKey{Task: victim.Task, Host: host}] != nil
}

// markPreempted sets, for the borrowed tasks of an eviction, the claim for which they are
// preempted.
func (p *preemptionPolicy) markPreempted(eviction placement.Eviction, claimKey string) {
	for i := range eviction.Victims {
		victim := &eviction.Victims[i]
		if !p.isBorrowed(victim) {
			continue
		}
		if victim.Claim.PreemptedFor == nil {
			victim.Claim.PreemptedFor = make(map[replica.SlotKey]string)
		}
		victim.Claim.PreemptedFor[replica.SlotKey{Task: victim.Task, Host: victim.Host}] = claimKey
	}
}

// PreemptedFor returns the key of the claim for which this controller preempts a task on a
// guarantee. It is empty if there is none, even if the task is stopped for another reason.
func (c *Controller) PreemptedFor(jobID string, task int, host string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.view.Jobs[jobID]; job != nil && job.ChunkSize > 0 {
		if claim := job.Claims[task/job.ChunkSize]; claim != nil && claim.Slots[replica.SlotKey{Task: task, Host: host}] != nil {
			return claim.PreemptedFor[replica.SlotKey{Task: task, Host: host}]
		}
	}
	return ""
}

// maxReleases bounds the reservations that one transaction releases.
const maxReleases = 4

// releaseReservations releases reservations that jobs no longer use, and withdraws those of
// their evictions for which no stop was sent yet.
func (c *Controller) releaseReservations(now time.Time) {
	c.expireReservations(now)
	if c.preemptions.releasing {
		return
	}
	// A task that is still being stopped counts as leaving its team until it has ended. If the
	// reservation were released earlier, the task's resources would be lent a second time.
	claimKeys := slices.DeleteFunc(c.view.Quota.ExpiredReservations(usageView{c}), c.isStopping)
	if len(claimKeys) == 0 {
		return
	}
	c.preemptions.releasing = true
	compares, ops := c.view.Quota.Release(claimKeys[:min(len(claimKeys), maxReleases)])
	c.commit(kv.PriorityClaim, compares, ops, 0, func(error) { c.preemptions.releasing = false })
}

// expireReservations drops the reservations that are recorded and have expired, and those
// whose job has ended or whose shard this node no longer owns.
func (c *Controller) expireReservations(now time.Time) {
	for claimKey, reservation := range c.preemptions.reservations {
		jobID, _, _ := records.ParseClaimKey(claimKey)
		job := c.view.Jobs[jobID]
		jobEnded := job == nil || job.Record.IsFinal()
		hasExpired := now.After(reservation.until) && reservation.version != 0
		if hasExpired || jobEnded || !c.view.IsActive(c.view.Shards[reservation.shard]) {
			delete(c.preemptions.reservations, claimKey)
		}
	}
}

// isStopping withdraws the evictions for a claim for which no stop was sent yet, and reports
// whether any task is still being stopped for the claim.
func (c *Controller) isStopping(claimKey string) bool {
	stopping := false
	for _, task := range c.view.Quota.PreemptedFor(claimKey) {
		stopping = !c.withdrawEviction(task) || stopping
	}
	return stopping
}

// withdrawEviction withdraws a task's eviction if no stop was sent yet, and reports whether
// the task is no longer being stopped.
func (c *Controller) withdrawEviction(task string) bool {
	claim, slot := c.findVictim(task)
	if slot == nil || slot.Host.Machine == nil {
		return true
	}
	evictedAt, evicted := claim.Evictions[slot.Task]
	if !evicted {
		return true
	}
	if stopSentAt := slot.Host.Machine.Commands.StopSentAt[slot.TaskName]; !stopSentAt.Before(evictedAt) {
		return false
	}
	delete(claim.Evictions, slot.Task)
	slot.Host.Invalidate()
	c.view.MarkDirty(claim)
	return true
}
