package controller

import (
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

const (
	gangReservationDelay = 3 * time.Second        // a job waits so long before room is gathered
	gangReservationTTL   = 30 * time.Second       // and holds last so long at most
	gangSearchInterval   = 500 * time.Millisecond // jobs to gather for are sought so often: they have waited for longer
)

// crossShardGangs lists the gangs that no shard could take with all its machines empty,
// in the queue's order. One that was placed across shards and lost its attempt
// stays among them, since no shard holds its claim: it was left waiting for ever
// once a shard had grown large enough for it.
func (c *Controller) crossShardGangs(now time.Time) []*replica.Job {
	var out []*replica.Job
	for _, job := range c.view.Jobs {
		if job.Record == nil || job.Record.Spec == nil || job.Record.IsFinal() || job.Spec().Shape != protocol.ShapeGang || job.Spec().Tasks < 2 ||
			now.Sub(job.SeenAt) < gangReservationDelay || now.Before(job.NotBefore) || job.OnProbation(now) {
			continue
		}
		if !canReserveAcrossShards(job) {
			continue
		}
		fits := make(map[[2]string]int) // by shard, and by zone if it must be one
		for _, shard := range c.view.Shards {
			for k, count := range shard.Kinds {
				if machineType := c.view.MachineTypes[k.Type]; machineType != nil && placement.FitsEmpty(job.Spec(), machineType) && placement.Allowed(job.Spec(), k.Type, k.Zone, k.Spot) {
					at := [2]string{shard.Name}
					if job.Spec().SameZone {
						at[1] = k.Zone
					}
					fits[at] += placement.TasksPerMachine(job.Spec(), machineType) * count
				}
			}
		}
		largest := 0
		for _, k := range fits {
			largest = max(largest, k)
		}
		if largest < job.Spec().Tasks || job.Claims[0] != nil {
			out = append(out, job)
		}
	}
	slices.SortFunc(out, func(a, b *replica.Job) int {
		if a.Spec().Priority() != b.Spec().Priority() {
			return b.Spec().Priority() - a.Spec().Priority()
		}
		if a.Record.AcceptedAtMs != b.Record.AcceptedAtMs {
			return int(a.Record.AcceptedAtMs - b.Record.AcceptedAtMs)
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// canReserveAcrossShards tells that a job may be placed across shards: no shard has claimed
// it, and nothing of an earlier attempt is left.
func canReserveAcrossShards(job *replica.Job) bool {
	claim := job.Claims[0]
	return claim == nil || (claim.Record != nil && claim.Pending == nil && claim.Record.Shard == "" && len(claim.Record.Placements) == 0)
}

// reserveForGangs is the leader's part: ask for room for one wide job at a time, and
// place the job once the shards hold enough for all of it. Two jobs gathering
// at once could each hold what the other needs.
func (c *Controller) reserveForGangs(now time.Time) {
	var current *replica.Job
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		reservation := c.view.GangReservations[jobID]
		if reservation.Version == 0 || reservation.Writing {
			continue
		}
		// A shard may have claimed the job while room was being gathered. It was
		// placed a second time beside what ran already (ran_twice).
		job := c.view.Jobs[jobID]
		if job == nil || job.Record.IsFinal() || now.UnixMilli() > reservation.Record.ExpiresAtMs || !canReserveAcrossShards(job) {
			c.endGangReservation(jobID, reservation)
			continue
		}
		current = job
	}
	if current == nil {
		if now.Sub(c.gangsSearchedAt) < gangSearchInterval {
			return
		}
		c.gangsSearchedAt = now
		for team := range c.settings.Teams {
			c.view.Quota.SetDemand(team, quota.CrossShard, nil, false, now)
		}
		for _, job := range c.crossShardGangs(now) {
			if reservation := c.view.GangReservation(job.ID); !reservation.Writing && reservation.Version == 0 && now.After(reservation.RetryAt) {
				c.beginGangReservation(job.ID, reservation, now)
				return
			}
		}
		return
	}
	c.placeGang(current, c.view.GangReservations[current.ID], now)
}

func (c *Controller) beginGangReservation(jobID string, reservation *replica.GangReservation, now time.Time) {
	reservation.Writing = true
	key := records.GangReservationPrefix + jobID
	c.log.Info("gang reservation started", "job", jobID)
	c.commit(kv.PriorityClaim, []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: key, Version: 0}},
		[]kv.Op{{Key: key, Value: &records.GangReservation{ExpiresAtMs: now.Add(gangReservationTTL).UnixMilli()}, Lease: c.membership.lease}}, 5*time.Second,
		func(error) { reservation.Writing = false })
}

func (c *Controller) endGangReservation(jobID string, reservation *replica.GangReservation) {
	reservation.Writing = true
	key := records.GangReservationPrefix + jobID
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: reservation.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { reservation.Writing = false })
}

// holdForGangs is an owner's part: hold the room that a shard has for the job being
// gathered, and let go when the leader no longer asks.
func (c *Controller) holdForGangs(shard *replica.Shard, now time.Time) {
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		reservation := c.view.GangReservations[jobID]
		hold := reservation.Holds[shard.Name]
		if hold == nil {
			hold = &replica.GangHold{}
			reservation.Holds[shard.Name] = hold
		}
		key := records.GangHoldPrefix + jobID + "/" + shard.Name
		job := c.view.Jobs[jobID]
		switch {
		case hold.Writing:
		case reservation.Version == 0 || job == nil || job.Record.Spec == nil:
			if hold.Version != 0 {
				hold.Writing = true
				c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: hold.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { hold.Writing = false })
			} else if reservation.Version == 0 && job == nil && !reservation.Writing {
				delete(reservation.Holds, shard.Name)
				if len(reservation.Holds) == 0 {
					delete(c.view.GangReservations, jobID)
				}
			}
		default:
			next := c.holdableTasks(shard, jobID, job.Spec(), now)
			if len(next) == 0 || equalHolds(next, hold.Record.TasksByHost) {
				continue
			}
			// Held from now on: while the record was on its way the queue gave the same
			// room to others, and the job's tasks were refused for want of it.
			hold.Writing, hold.Pending = true, next
			c.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: records.GangReservationPrefix + jobID, Version: reservation.Version}, {Key: key, Version: hold.Version}},
				[]kv.Op{{Key: key, Value: &records.GangHold{TasksByHost: next}, Lease: c.membership.lease}}, 5*time.Second, func(error) { hold.Writing, hold.Pending = false, nil })
		}
	}
}

func equalHolds(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for host, k := range a {
		if b[host] != k {
			return false
		}
	}
	return true
}

// holdableTasks is how many of a job's tasks each of a shard's machines could take
// now, what is held for the job already included.
func (c *Controller) holdableTasks(shard *replica.Shard, jobID string, spec *protocol.Submission, now time.Time) map[string]int {
	out := make(map[string]int)
	for _, capacity := range c.capacitiesFor(shard, jobID, now) {
		for capacity.Usable && capacity.Fits(spec) && placement.Allowed(spec, capacity.TypeName, capacity.Zone, capacity.Spot) && out[capacity.Host] < spec.Tasks {
			capacity.Allocate(spec)
			out[capacity.Host]++
		}
	}
	return out
}

// chargeGangHolds takes held room out of the free room, but for the job but.
func (c *Controller) chargeGangHolds(shard *replica.Shard, but string, byHost map[string]*placement.Capacity) {
	for _, jobID := range slices.Sorted(maps.Keys(c.view.GangReservations)) {
		reservation := c.view.GangReservations[jobID]
		hold, job := reservation.Holds[shard.Name], c.view.Jobs[jobID]
		if jobID == but || hold == nil || job == nil || job.Record.Spec == nil {
			continue
		}
		hosts := maps.Clone(hold.Record.TasksByHost)
		for host, k := range hold.Pending {
			if hosts == nil {
				hosts = make(map[string]int)
			}
			hosts[host] = max(hosts[host], k)
		}
		for host, k := range hosts {
			for range k {
				if capacity := byHost[host]; capacity != nil && capacity.Fits(job.Spec()) {
					capacity.Allocate(job.Spec())
				}
			}
		}
	}
}

// placeGang places a gathered job whole, on condition of every hold it uses.
func (c *Controller) placeGang(job *replica.Job, reservation *replica.GangReservation, now time.Time) {
	spec := job.Spec()
	if reservation.Writing {
		return
	}
	if c.isLimited(spec) && c.allowanceOf(quota.CrossShard, spec) < spec.Tasks {
		if c.view.Quota.IsAllotted(spec.Team) {
			all := replica.TaskResources(spec).Times(float64(spec.Tasks))
			c.view.Quota.SetDemand(spec.Team, quota.CrossShard, &quota.Demand{Head: all, PerTask: replica.TaskResources(spec), Total: all, Priority: spec.Priority(), AcceptedAtMs: job.Record.AcceptedAtMs, JobID: job.ID, AllOrNothing: true}, false, now)
		}
		return
	}
	c.view.Quota.SetDemand(spec.Team, quota.CrossShard, nil, false, now)
	compares := []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: records.GangReservationPrefix + job.ID, Version: reservation.Version},
		{Key: records.JobPrefix + job.ID, Version: job.Version}}
	var places []records.Placement
	for _, only := range append([]string{""}, c.settings.Zones...) {
		if (only == "") == spec.SameZone {
			continue
		}
		places = c.assignHeld(spec, reservation, only)
		if len(places) == spec.Tasks {
			break
		}
	}
	if len(places) < spec.Tasks {
		return
	}
	claim := c.view.ClaimOf(job, 0)
	next := &records.Claim{TaskCount: spec.Tasks}
	if claim != nil && claim.Pending != nil {
		return // this node's own copy is being claimed: to decide at once for both left one of them out of the indexes
	}
	if claim == nil {
		claim = &replica.Claim{Key: records.ClaimKey(job.ID, 0), JobID: job.ID, Spec: spec}
	} else {
		next = claim.Record.Clone()
	}
	next.LastAttempt++
	used := make(map[string]bool)
	for _, placed := range places {
		placed.Attempt = next.LastAttempt
		next.Placements = append(next.Placements, placed)
		used[c.view.Machines[placed.Host].Record.Shard] = true
	}
	for _, shard := range slices.Sorted(maps.Keys(used)) {
		s := c.view.Shards[shard]
		compares = append(compares, kv.Compare{Key: records.GangHoldPrefix + job.ID + "/" + shard, Version: reservation.Holds[shard].Version},
			kv.Compare{Key: records.ShardPrefix + shard, Version: s.Version})
	}
	teamCompares, ops, usage, ok := c.reserveTeamUse("", claim, next)
	if !ok {
		return
	}
	if usage != nil {
		usage.Writing = true
	}
	compares = append(append(compares, teamCompares...), kv.Compare{Key: claim.Key, Version: claim.Version})
	ops = append(ops, kv.Op{Key: claim.Key, Value: next}, kv.Op{Key: records.GangReservationPrefix + job.ID})
	reservation.Writing = true
	c.view.Claims[claim.Key] = claim
	c.view.SetPending(claim, next)
	c.log.Info("gang placed across shards", "job", job.ID, "tasks", spec.Tasks, "shards", len(used))
	c.commit(kv.PriorityClaim, compares, ops, 0, func(err error) {
		reservation.Writing = false
		c.view.SetPending(claim, nil)
		if usage != nil {
			usage.Writing = false
		}
		if err != nil && claim.Record == nil && c.view.Claims[claim.Key] == claim {
			c.view.DropClaim(claim)
		}
	})
}

// assignHeld chooses held room for all tasks, in one zone if only is set.
func (c *Controller) assignHeld(spec *protocol.Submission, reservation *replica.GangReservation, only string) []records.Placement {
	var places []records.Placement
	zones := placement.NewZoneConstraint(spec, nil)
	for _, shard := range c.view.ShardNames() {
		hold := reservation.Holds[shard]
		if hold == nil || hold.Version == 0 {
			continue
		}
		hosts := make([]string, 0, len(hold.Record.TasksByHost))
		for host := range hold.Record.TasksByHost {
			hosts = append(hosts, host)
		}
		slices.Sort(hosts)
		for _, host := range hosts {
			machine := c.view.Machines[host]
			if machine == nil || machine.Record.State != "" || (only != "" && machine.Record.Zone != only) {
				continue
			}
			for range hold.Record.TasksByHost[host] {
				if len(places) < spec.Tasks && zones.Permits(machine.Record.Zone) {
					zones.Add(spec, machine.Record.Zone)
					places = append(places, records.Placement{Task: len(places), Host: host})
				}
			}
		}
	}
	return places
}
