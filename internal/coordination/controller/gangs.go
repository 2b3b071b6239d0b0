package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	// gangReservationDelay is how long a gang waits before capacity is reserved for it.
	gangReservationDelay = 3 * time.Second
	// gangReservationTTL is how long a gang reservation lasts at most.
	gangReservationTTL = 30 * time.Second
	// gangSearchInterval is the least time between two searches for gangs that need a reservation.
	gangSearchInterval = 500 * time.Millisecond
	// gangCommitTimeout bounds the commits of gang reservations and gang holds.
	gangCommitTimeout = 5 * time.Second
	// minGangTasks is the fewest tasks of a gang that may be placed across shards.
	minGangTasks = 2
)

// crossShardGangs lists the waiting gangs that no shard could hold even with all its machines
// empty, and all shards together could, in the order of the queue. It includes gangs that were
// placed across shards before and whose attempt has ended: since no shard holds the claim of such
// a gang, the gang would otherwise wait without bound once a shard has grown large enough for it.
func (c *Controller) crossShardGangs(now time.Time) []*replica.Job {
	var gangs []*replica.Job
	for _, job := range c.view.Jobs {
		if !isWaitingGang(job, now) || !canReserveAcrossShards(job) {
			continue
		}
		exceedsShards := c.tasksInLargestGroup(job.Spec()) < job.Spec().Tasks || job.Claims[0] != nil
		if exceedsShards && c.tasksAcrossShards(job.Spec()) >= job.Spec().Tasks {
			gangs = append(gangs, job)
		}
	}
	slices.SortFunc(gangs, compareJobs)
	return gangs
}

// isWaitingGang reports whether a job is an open gang that may start now and has waited for
// at least gangReservationDelay.
func isWaitingGang(job *replica.Job, now time.Time) bool {
	if !isOpen(job) || job.Spec().Shape != protocol.ShapeGang || job.Spec().Tasks < minGangTasks {
		return false
	}
	return now.Sub(job.SeenAt) >= gangReservationDelay && !now.Before(job.NotBefore) && !job.OnProbation(now)
}

// machineGroup identifies the machines among which a gang must find its capacity: those of a
// shard or, for a gang that must be in one zone, those of a shard in one zone.
type machineGroup struct{ shard, zone string }

// tasksInLargestGroup returns how many tasks of a gang fit the group of machines that holds
// the most of them, with all machines empty.
func (c *Controller) tasksInLargestGroup(spec *protocol.Submission) int {
	largest := 0
	groups := make(map[machineGroup]int)
	for group, count := range c.tasksByGroup(spec) {
		if !spec.SameZone {
			group.zone = ""
		}
		groups[group] += count
		largest = max(largest, groups[group])
	}
	return largest
}

// tasksAcrossShards returns how many tasks of a gang the machines of all shards hold, with all
// machines empty, under the gang's constraint on zones. Capacity that is reserved for a gang
// which they cannot hold would be kept from all other work for nothing.
func (c *Controller) tasksAcrossShards(spec *protocol.Submission) int {
	byZone := make(map[string]int)
	for group, count := range c.tasksByGroup(spec) {
		byZone[group.zone] += count
	}
	largest, sum := 0, 0
	for _, count := range byZone {
		largest = max(largest, count)
		if spec.SpreadZones {
			count = min(count, (spec.Tasks+1)/2)
		}
		sum += count
	}
	if spec.SameZone {
		return largest
	}
	return sum
}

// tasksByGroup returns how many tasks of a job the machines of each shard in each zone hold, with
// all machines empty.
func (c *Controller) tasksByGroup(spec *protocol.Submission) map[machineGroup]int {
	tasks := make(map[machineGroup]int)
	for _, shard := range c.view.Shards {
		for kind, count := range shard.Kinds {
			machineType := c.view.MachineTypes[kind.Type]
			if machineType == nil || !placement.FitsEmpty(spec, machineType) || !placement.Allowed(spec, kind.Type, kind.Zone, kind.Spot) {
				continue
			}
			tasks[machineGroup{shard.Name, kind.Zone}] += placement.TasksPerMachine(spec, machineType) * count
		}
	}
	return tasks
}

// canReserveAcrossShards reports whether a job may be placed across shards: no shard has
// claimed it, and no placement of an earlier attempt is left.
func canReserveAcrossShards(job *replica.Job) bool {
	claim := job.Claims[0]
	return claim == nil || (claim.Record != nil && claim.Pending == nil && claim.Record.Shard == "" && len(claim.Record.Placements) == 0)
}

// reserveForGangs is the leader's part of gang reservations. It makes a reservation for one
// gang at a time, for which the owners of the shards hold capacity, and places the gang once
// they hold enough for all of its tasks. Two gangs with reservations at the same time could
// each hold capacity that the other needs.
func (c *Controller) reserveForGangs(now time.Time) {
	if current := c.currentGang(now); current != nil {
		c.placeGang(current, c.view.GangReservations[current.ID], now)
		return
	}
	if now.Sub(c.gangsSearchedAt) < gangSearchInterval {
		return
	}
	c.gangsSearchedAt = now
	if c.isYielding(now) {
		return
	}
	for team := range c.settings.Teams {
		c.view.Quota.SetDemand(team, quota.CrossShard, nil, false, now)
	}
	for _, job := range c.crossShardGangs(now) {
		if reservation := c.view.GangReservation(job.ID); !reservation.Writing && reservation.Version == 0 && now.After(reservation.RetryAt) {
			c.beginGangReservation(job.ID, reservation, now)
			return
		}
	}
}

// isYielding reports whether a reservation is being ended, or has just ended while its gang still
// waits. The next reservation begins later, so that other work can be placed in between: otherwise
// gangs that fit only once that work is gone would hold all free capacity by turns.
func (c *Controller) isYielding(now time.Time) bool {
	for jobID, reservation := range c.view.GangReservations {
		job := c.view.Jobs[jobID]
		isEnding := reservation.Version != 0 && reservation.Writing
		hasEnded := reservation.Version == 0 && now.Before(reservation.YieldsUntil())
		if isEnding || (hasEnded && job != nil && canReserveAcrossShards(job)) {
			return true
		}
	}
	return false
}

// currentGang returns the gang that has a valid reservation, or nil. It ends reservations
// that are no longer valid, among them that of a job that a shard has claimed since, which
// prevents the job from being placed a second time (rule ran_twice).
func (c *Controller) currentGang(now time.Time) *replica.Job {
	var current *replica.Job
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		reservation := c.view.GangReservations[jobID]
		if reservation.Version == 0 || reservation.Writing {
			continue
		}
		job := c.view.Jobs[jobID]
		if job == nil || job.Record.IsFinal() || now.UnixMilli() > reservation.Record.ExpiresAtMs || !canReserveAcrossShards(job) {
			c.endGangReservation(jobID, reservation)
			continue
		}
		current = job
	}
	return current
}

// beginGangReservation commits a gang's reservation, conditional on this node's leadership.
func (c *Controller) beginGangReservation(jobID string, reservation *replica.GangReservation, now time.Time) {
	reservation.Writing = true
	key := records.GangReservationPrefix + jobID
	c.log.Info("gang reservation started", "job", jobID)
	compares := []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: key, Version: 0}}
	ops := []kv.Op{{Key: key, Value: &records.GangReservation{ExpiresAtMs: now.Add(gangReservationTTL).UnixMilli()}, Lease: c.membership.lease}}
	c.commit(kv.PriorityClaim, compares, ops, gangCommitTimeout, func(error) { reservation.Writing = false })
}

// endGangReservation deletes a gang's reservation.
func (c *Controller) endGangReservation(jobID string, reservation *replica.GangReservation) {
	c.deleteGangRecord(records.GangReservationPrefix+jobID, reservation.Version, &reservation.Writing)
}

// deleteGangRecord deletes a record of a gang reservation or hold. *writing is true until the
// commit has ended.
func (c *Controller) deleteGangRecord(key string, version uint64, writing *bool) {
	*writing = true
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: version}}, []kv.Op{{Key: key}}, gangCommitTimeout, func(error) { *writing = false })
}

// gangHoldKey returns the key of a shard's hold record for a gang.
func gangHoldKey(jobID, shardName string) string {
	return records.GangHoldPrefix + jobID + "/" + shardName
}

// holdForGangs is a shard owner's part of gang reservations: it holds the shard's capacity
// for the gangs with a reservation, and releases it when the reservation has ended.
func (c *Controller) holdForGangs(shard *replica.Shard, now time.Time) {
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		reservation := c.view.GangReservations[jobID]
		hold := reservation.Holds[shard.Name]
		if hold == nil {
			hold = &replica.GangHold{}
			reservation.Holds[shard.Name] = hold
		}
		job := c.view.Jobs[jobID]
		switch {
		case hold.Writing:
		case reservation.Version == 0 || job == nil || job.Record.Spec == nil:
			c.releaseHold(shard, jobID, reservation, hold)
		default:
			c.updateHold(shard, job, reservation, hold, now)
		}
	}
}

// releaseHold deletes the record of a shard's hold and, once it is deleted, the entries of
// the ended reservation in the view.
func (c *Controller) releaseHold(shard *replica.Shard, jobID string, reservation *replica.GangReservation, hold *replica.GangHold) {
	if hold.Version != 0 {
		c.deleteGangRecord(gangHoldKey(jobID, shard.Name), hold.Version, &hold.Writing)
		return
	}
	if reservation.Version != 0 || c.view.Jobs[jobID] != nil || reservation.Writing {
		return
	}
	delete(reservation.Holds, shard.Name)
	if len(reservation.Holds) == 0 {
		delete(c.view.GangReservations, jobID)
	}
}

// updateHold commits the capacity that a shard can hold for a gang now, if there is any and
// it differs from the record.
func (c *Controller) updateHold(shard *replica.Shard, job *replica.Job, reservation *replica.GangReservation, hold *replica.GangHold, now time.Time) {
	next := c.holdableTasks(shard, job.ID, job.Spec(), now)
	if len(next) == 0 || maps.Equal(next, hold.Record.TasksByHost) {
		return
	}
	// The capacity is held from now on. Otherwise the queue could place other jobs on it
	// while the record is being committed, and the gang's tasks would be refused.
	hold.Writing, hold.Pending = true, next
	key := gangHoldKey(job.ID, shard.Name)
	compares := []kv.Compare{
		{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken},
		{Key: records.GangReservationPrefix + job.ID, Version: reservation.Version},
		{Key: key, Version: hold.Version},
	}
	ops := []kv.Op{{Key: key, Value: &records.GangHold{TasksByHost: next}, Lease: c.membership.lease}}
	c.commit(kv.PriorityClaim, compares, ops, gangCommitTimeout, func(error) { hold.Writing, hold.Pending = false, nil })
}

// holdableTasks returns how many of a gang's tasks each of a shard's machines has capacity
// for now, including the capacity already held for the gang.
func (c *Controller) holdableTasks(shard *replica.Shard, jobID string, spec *protocol.Submission, now time.Time) map[string]int {
	tasks := make(map[string]int)
	for _, capacity := range c.capacitiesFor(shard, jobID, now) {
		isAllowed := capacity.Usable && placement.Allowed(spec, capacity.TypeName, capacity.Zone, capacity.Spot)
		for isAllowed && capacity.Fits(spec) && tasks[capacity.Host] < spec.Tasks {
			capacity.Allocate(spec)
			tasks[capacity.Host]++
		}
	}
	return tasks
}

// chargeGangHolds subtracts the capacity held for gangs, except for one job, from the free
// capacity.
func (c *Controller) chargeGangHolds(shard *replica.Shard, exceptJob string, byHost map[string]*placement.Capacity) {
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		hold, job := c.view.GangReservations[jobID].Holds[shard.Name], c.view.Jobs[jobID]
		if jobID == exceptJob || hold == nil || job == nil || job.Record.Spec == nil {
			continue
		}
		for host, tasks := range heldTasks(hold) {
			for range tasks {
				if capacity := byHost[host]; capacity != nil && capacity.Fits(job.Spec()) {
					capacity.Allocate(job.Spec())
				}
			}
		}
	}
}

// heldTasks returns for how many tasks a hold has capacity on each host: the larger of the
// recorded number and the one being committed.
func heldTasks(hold *replica.GangHold) map[string]int {
	held := maps.Clone(hold.Record.TasksByHost)
	for host, tasks := range hold.Pending {
		if held == nil {
			held = make(map[string]int)
		}
		held[host] = max(held[host], tasks)
	}
	return held
}

// placeGang places all tasks of a gang on the capacity that is held for it, conditional on
// every hold that it uses.
func (c *Controller) placeGang(job *replica.Job, reservation *replica.GangReservation, now time.Time) {
	if reservation.Writing || c.isGangHeldByLimit(job, now) {
		return
	}
	placements := c.assignHeld(job.Spec(), reservation)
	claim := c.view.ClaimOf(job, 0)
	if placements == nil || (claim != nil && claim.Pending != nil) {
		return // a claim of the job by this node may be pending: a second claim would replace that claim in the indexes
	}
	next := &records.Claim{TaskCount: job.Spec().Tasks}
	if claim == nil {
		claim = &replica.Claim{Key: records.ClaimKey(job.ID, 0), JobID: job.ID, Spec: job.Spec()}
	} else {
		next = claim.Record.Clone()
	}
	next.LastAttempt++
	shards := make(map[string]bool)
	for _, placed := range placements {
		placed.Attempt = next.LastAttempt
		next.Placements = append(next.Placements, placed)
		shards[c.view.Machines[placed.Host].Record.Shard] = true
	}
	change, ok := c.newClaimChange("", claim, next)
	if !ok {
		return
	}
	compares := append(c.gangCompares(job, reservation, shards), change.compares...)
	change.compares = append(compares, kv.Compare{Key: claim.Key, Version: claim.Version})
	change.ops = append(change.ops, kv.Op{Key: claim.Key, Value: next}, kv.Op{Key: records.GangReservationPrefix + job.ID})
	reservation.Writing = true
	c.view.Claims[claim.Key] = claim
	c.log.Info("gang placed across shards", "job", job.ID, "tasks", job.Spec().Tasks, "shards", len(shards))
	c.commitChange(kv.PriorityClaim, change, func(err error) {
		reservation.Writing = false
		if err != nil {
			c.dropUncommitted(claim)
		}
	})
}

// isGangHeldByLimit reports whether the limit of its team keeps a gang from starting across
// shards now. If the limit is allotted, isGangHeldByLimit sets the resources that the gang
// needs as the demand of the holder quota.CrossShard, from whose allotment the leader
// places gangs across shards.
func (c *Controller) isGangHeldByLimit(job *replica.Job, now time.Time) bool {
	spec := job.Spec()
	if !c.isLimited(spec) || c.holderAllowance(quota.CrossShard, spec) >= spec.Tasks {
		c.view.Quota.SetDemand(spec.Team, quota.CrossShard, nil, false, now)
		return false
	}
	if c.view.Quota.IsAllotted(spec.Team) {
		perTask := replica.TaskResources(spec)
		all := perTask.Times(float64(spec.Tasks))
		demand := &quota.Demand{Head: all, PerTask: perTask, Total: all, Priority: spec.Priority(),
			AcceptedAtMs: job.Record.AcceptedAtMs, JobID: job.ID, AllOrNothing: true}
		c.view.Quota.SetDemand(spec.Team, quota.CrossShard, demand, false, now)
	}
	return true
}

// gangCompares returns the conditions under which a gang is placed: this node leads, and the
// records of the reservation, of the job, of the shards and of their holds still have the
// versions that this controller has read. So the shards still have the same owners.
func (c *Controller) gangCompares(job *replica.Job, reservation *replica.GangReservation, shards map[string]bool) []kv.Compare {
	compares := []kv.Compare{
		{Key: records.LeaderKey, Version: c.leadership.version},
		{Key: records.GangReservationPrefix + job.ID, Version: reservation.Version},
		{Key: records.JobPrefix + job.ID, Version: job.Version},
	}
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		compares = append(compares, kv.Compare{Key: gangHoldKey(job.ID, name), Version: reservation.Holds[name].Version},
			kv.Compare{Key: records.ShardPrefix + name, Version: c.view.Shards[name].Version})
	}
	return compares
}

// assignHeld assigns all tasks of a gang to held capacity, in one zone if they must be in
// one. It returns nil if not enough is held.
func (c *Controller) assignHeld(spec *protocol.Submission, reservation *replica.GangReservation) []records.Placement {
	zones := []string{""}
	if spec.SameZone {
		zones = c.settings.Zones
	}
	for _, zone := range zones {
		if placements := c.assignHeldInZone(spec, reservation, zone); len(placements) == spec.Tasks {
			return placements
		}
	}
	return nil
}

// assignHeldInZone assigns as many tasks of a gang as possible to held capacity in a zone,
// or in all zones if zone is empty.
func (c *Controller) assignHeldInZone(spec *protocol.Submission, reservation *replica.GangReservation, zone string) []records.Placement {
	var placements []records.Placement
	zones := placement.NewZoneConstraint(spec, nil)
	for _, name := range c.view.ShardNames() {
		hold := reservation.Holds[name]
		if hold == nil || hold.Version == 0 {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(hold.Record.TasksByHost)) {
			machine := c.view.Machines[host]
			if machine == nil || machine.Record.State != records.MachineInUse || (zone != "" && machine.Record.Zone != zone) {
				continue
			}
			for range hold.Record.TasksByHost[host] {
				if len(placements) < spec.Tasks && zones.Permits(machine.Record.Zone) {
					zones.Add(spec, machine.Record.Zone)
					placements = append(placements, records.Placement{Task: len(placements), Host: host})
				}
			}
		}
	}
	return placements
}
