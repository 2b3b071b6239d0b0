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

// Package quota decides about teams' limits; this file commits its decisions.

// isLimited reports whether a job's tasks count against a limit of its team.
func (c *Controller) isLimited(spec *protocol.Submission) bool {
	return c.view.Quota.IsLimited(spec.Team, replica.TaskResources(spec))
}

// reserveTeamUse returns what a change of a claim adds to its transaction to keep the team
// within its limit: conditions and, if the limit is not allotted, a write of the team's usage
// record. If the limit is allotted, the claim itself is the reservation: only the shard's
// owner starts tasks there, within the shard's allotment, which only that owner lowers. usage
// is the state of the usage record if the transaction writes it, else nil. ok is false if the
// change is not possible now.
func (c *Controller) reserveTeamUse(shard string, claim *replica.Claim, next *records.Claim) (compares []kv.Compare, ops []kv.Op, usage *replica.TeamUsage, ok bool) {
	team, grows := claim.Spec.Team, len(next.Placements) > claim.PlacedCount()
	if compare, hasRecord := c.view.Quota.ReservationCompare(team); hasRecord && grows {
		compares = append(compares, compare)
	}
	compares = append(compares, c.view.Quota.LimitCompares(team)...)
	if !c.isLimited(claim.Spec) {
		return compares, nil, nil, true
	}
	if c.view.Quota.IsAllotted(team) {
		holder := shard
		if next.Shard == "" {
			holder = quota.CrossShard
		}
		more := len(next.Placements) - claim.ReservedCount()
		return compares, nil, nil, !grows || (c.view.IsUseKnown(holder) && more <= c.view.Quota.Allowance(team, holder, replica.TaskResources(claim.Spec)))
	}
	usage = c.view.Team(team)
	if usage.Writing {
		return nil, nil, nil, false
	}
	if next.Shard == "" {
		shard = crossShardUseName(claim.JobID)
	}
	use, maxUse := c.teamUseAfter(usage, shard, claim, next)
	record := withShardUse(usage, shard, use)
	if grows && quota.Exceeds(totalUse(record, shard, maxUse), c.view.Quota.Limit(team)) {
		return nil, nil, nil, false
	}
	key := records.TeamUsagePrefix + team
	return append(compares, kv.Compare{Key: key, Version: usage.Version}), []kv.Op{{Key: key, Value: record}}, usage, true
}

// crossShardUseName returns the name under which a team's usage record lists the use of a
// gang across shards. Each such gang has its own entry, since several owners change the entry.
func crossShardUseName(jobID string) string { return "*" + jobID }

// withShardUse returns a copy of a team's usage record with the use of one shard replaced.
func withShardUse(usage *replica.TeamUsage, shard string, use quota.Resources) *records.TeamUsage {
	record := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
	for other, otherUse := range usage.Record.ByShard {
		if other != shard {
			record.ByShard[other] = otherUse
		}
	}
	return record
}

// totalUse returns the sum of a team's usage record with the given use of one shard. It adds
// in the order of names, since the rounding of the sum depends on the order and a replay must
// give the same sum.
func totalUse(record *records.TeamUsage, shard string, use quota.Resources) quota.Resources {
	total := use
	for _, name := range slices.Sorted(maps.Keys(record.ByShard)) {
		if name != shard {
			total = total.Plus(record.ByShard[name])
		}
	}
	return total
}

// teamUseAfter returns a team's use of a shard after a claim's next version: the use to be
// recorded, and the largest use that is possible.
//
// The transaction is conditional on the versions of the team's usage record and of the claim.
// The recorded use plus the change of the claim is therefore exact, whichever of the shard's
// other claims the view holds. The sum of the claims in the view is not exact: after a commit
// of unknown outcome the record is read again before the claim that was committed with it,
// and claims whose job has not been read yet have no size. Relying on that sum, a team could
// exceed its limit. The sum is recorded only once the view is complete up to the record, to
// correct what a change of limits has left out; until then it only raises the largest use.
func (c *Controller) teamUseAfter(usage *replica.TeamUsage, shard string, claim *replica.Claim, next *records.Claim) (use, maxUse quota.Resources) {
	perTask := replica.TaskResources(claim.Spec)
	before, after := perTask.Times(float64(claim.PlacedCount())), perTask.Times(float64(len(next.Placements)))
	use = usage.Record.ByShard[shard].Difference(before).Plus(after).NonNegative()
	if next.Shard == "" {
		return use, use
	}
	sum := c.view.UseByShard[replica.TeamShard{Team: claim.Spec.Team, Shard: shard}]
	if claim.Tally.Counted && claim.Tally.Key.Shard == shard {
		sum = sum.Difference(claim.Tally.Use)
	}
	sum = sum.Plus(after)
	if c.isCompleteUpTo(usage) {
		return sum, sum
	}
	return use, use.Max(sum)
}

// isCompleteUpTo reports whether the view holds everything that was committed before a team's
// usage record, and the jobs, and so the sizes, of all claims.
func (c *Controller) isCompleteUpTo(usage *replica.TeamUsage) bool {
	return c.view.Revision >= usage.Version && len(c.view.OrphanClaims) == 0
}

// exceedsLimit reports whether too little is left of the limit of an entry's team, over all
// shards, for the entry to start. Such an entry neither reserves nor preempts, which prevents
// it from preempting in every pass for capacity that it may not use.
func (c *Controller) exceedsLimit(entry *placement.QueueEntry) bool {
	return c.isLimited(entry.Spec) && c.allowance(entry.Spec) < entry.MinTasks()
}

// isOverLimit reports whether the placed tasks of a job's team exceed the team's limit now, in
// a resource that the job uses.
func (c *Controller) isOverLimit(spec *protocol.Submission) bool {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	overCPUs := spec.CPUs > 0 && quota.Exceeds(quota.Resources{CPUs: use.CPUs}, limit)
	overGPUs := spec.GPUs > 0 && quota.Exceeds(quota.Resources{GPUs: use.GPUs}, limit)
	return overCPUs || overGPUs
}

// allowance returns how many more tasks of a job its team's limit permits over all shards.
func (c *Controller) allowance(spec *protocol.Submission) int {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	return quota.TasksThatFit(limit.Difference(use), replica.TaskResources(spec), limit)
}

// holderAllowance returns how many more tasks of a job may start within a holder's allotment
// or, if the team's limit is not allotted, within that limit.
func (c *Controller) holderAllowance(holder string, spec *protocol.Submission) int {
	if !c.view.Quota.IsAllotted(spec.Team) {
		return c.allowance(spec)
	}
	if !c.view.IsUseKnown(holder) {
		return 0
	}
	return c.view.Quota.Allowance(spec.Team, holder, replica.TaskResources(spec))
}

// passDemands collects the demands of one pass: the work that the teams' limits keep a shard
// from starting.
type passDemands struct {
	byTeam  map[string]*quota.Demand
	counted map[string]int  // by team: number of entries that were considered for the team's demand
	started map[string]bool // teams of which tasks were placed
}

// maxCountedPerTeam is how many entries of a team one pass considers for the team's demand:
// later entries would only add to the demand's total.
const maxCountedPerTeam = 6

// isHeldByLimit reports whether the limit of its team keeps an entry from starting in a shard
// now, and adds the tasks that could start with a larger allotment to the demands.
func (c *Controller) isHeldByLimit(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, now time.Time) bool {
	if !c.isLimited(entry.Spec) {
		return false
	}
	team := entry.Spec.Team
	if !c.view.Quota.IsAllotted(team) {
		return c.exceedsLimit(entry)
	}
	allowed := c.holderAllowance(shard.Name, entry.Spec) + c.unrecordedCompletions(entry.Claim)
	yields := c.view.Quota.MustYield(team, entry.Spec.Priority(), entry.Job.Record.AcceptedAtMs, entry.Job.ID, now)
	if allowed < entry.PlaceableTasks() || yields {
		c.addDemand(entry, capacities, demands, allowed)
	}
	return allowed < entry.MinTasks() || yields
}

// addDemand adds an entry to a shard's demand for the limit of the entry's team. allowed is
// how many of the entry's tasks may start without a larger allotment.
func (c *Controller) addDemand(entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, allowed int) {
	team := entry.Spec.Team
	if demands.counted[team]++; demands.counted[team] > maxCountedPerTeam {
		return
	}
	need, perTask := entry.MinTasks(), replica.TaskResources(entry.Spec)
	startable := min(entry.PlaceableTasks(), placement.TasksThatFit(entry.Spec, entry.Job.ID, capacities, entry.PlaceableTasks()))
	head := perTask.Times(float64(need))
	if c.needsServicesShare(team, head) {
		return
	}
	anticipated := startable < need
	if anticipated {
		startable = need
	}
	if startable <= allowed {
		return
	}
	total := perTask.Times(float64(startable))
	switch demand := demands.byTeam[team]; {
	case demand == nil || (demand.Anticipated && !anticipated):
		demands.byTeam[team] = &quota.Demand{Head: head, PerTask: perTask, Total: total, Priority: entry.Spec.Priority(),
			AcceptedAtMs: entry.Job.Record.AcceptedAtMs, JobID: entry.Job.ID, AllOrNothing: need > 1, Anticipated: anticipated}
	case demand.Anticipated == anticipated:
		demand.Total = demand.Total.Plus(total)
	}
}

// needsServicesShare reports whether a start needs the part of a team's limit that its
// services use. Services do not end, so such a start is not demanded: waiting for it would
// keep all other jobs from the rest of the limit without bound.
func (c *Controller) needsServicesShare(team string, start quota.Resources) bool {
	limit := c.view.Quota.Limit(team)
	left := limit.Minus(c.view.ServiceUse[team])
	return (limit.CPUs > 0 && start.CPUs > left.CPUs+tolerance) || (limit.GPUs > 0 && start.GPUs > left.GPUs+tolerance)
}

// unrecordedCompletions counts the placements of a claim that its next version would remove
// because their tasks have completed.
func (c *Controller) unrecordedCompletions(claim *replica.Claim) int {
	if claim == nil || claim.Record == nil || claim.Pending != nil || claim.Spec.Shape == protocol.ShapeGang {
		return 0
	}
	next := claim.Record.Clone()
	c.recordCompletions(claim, next)
	return len(claim.Record.Placements) - len(next.Placements)
}

// publishDemands passes the demands of a pass on to package quota.
func (c *Controller) publishDemands(holder string, demands *passDemands, now time.Time) {
	for team := range c.settings.Teams {
		if c.view.Quota.IsAllotted(team) {
			c.view.Quota.SetDemand(team, holder, demands.byTeam[team], demands.started[team], now)
		}
	}
}

// demandBroadcast is the state of this controller's broadcasts of its shards' demands.
type demandBroadcast struct {
	hadDemands  bool // the last broadcast contained demands
	broadcastAt time.Time
}

// demandInterval is the least time between two broadcasts of demands. The periodic message of
// each second carries the demands as well.
const demandInterval = 250 * time.Millisecond

// transferAllotments broadcasts the demands of this node's shards and commits the transfers
// that are due from their allotments.
func (c *Controller) transferAllotments(now time.Time) {
	demands := c.view.Quota.Demands(now)
	if (len(demands) > 0 || c.demandBroadcast.hadDemands) && now.Sub(c.demandBroadcast.broadcastAt) >= demandInterval {
		c.demandBroadcast.hadDemands, c.demandBroadcast.broadcastAt = len(demands) > 0, now
		message := c.newPeerMessage()
		message.Demands, message.DemandsComplete = demands, true
		c.broadcast(c.ctx, message)
	}
	for _, transfer := range c.view.Quota.DueTransfers(c.transferCondition, now) {
		c.log.Debug("allotment transferred", "team", transfer.Team, "from", transfer.From, "to", transfer.To, "cpus", transfer.Amount.CPUs, "gpus", transfer.Amount.GPUs)
		c.commitWithRevision(kv.PriorityClaim, transfer.Compares, transfer.Ops, 0, func(err error, revision uint64) {
			c.view.Quota.FinishTransfer(transfer)
			if err == nil {
				c.broadcastRecord(transfer.Ops[0].Key, transfer.Ops[0].Value, revision)
			}
		})
	}
	for _, waiting := range c.view.Quota.WaitingTeams(waitingLogInterval, now) {
		c.log.Info("team waiting for its limit", "team", waiting.Team, "seconds", int(waiting.WaitedFor.Seconds()), "limit", waiting.Limit, "allotted", waiting.Grants, "used", waiting.Usage)
	}
}

// waitingLogInterval is how often a team that waits for its limit is logged.
const waitingLogInterval = 30 * time.Second

// transferCondition returns the condition under which this node transfers from a holder's
// allotment, and reports whether it may do so now: it owns the shard or, for work across
// shards, leads, and the size of all that the holder has placed is known.
func (c *Controller) transferCondition(holder string) (kv.Compare, bool) {
	if holder == quota.CrossShard {
		return kv.Compare{Key: records.LeaderKey, Version: c.leadership.version}, c.isLeader() && c.view.IsUseKnown(holder)
	}
	shard := c.view.Shards[holder]
	if !c.view.IsActive(shard) || !c.view.IsUseKnown(holder) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ShardPrefix + holder, Version: shard.FencingToken}, true
}

// reconcileLimits commits the changes by which the recorded limits follow those in the
// settings and are divided among the holders. It also corrects the teams' usage records.
func (c *Controller) reconcileLimits() {
	if c.view.Quota.HasNoLimits() || len(c.view.MachineTypes) == 0 {
		return
	}
	for _, change := range c.view.Quota.LimitChanges(c.quotaState()) {
		c.log.Info("team limit changed", "team", change.Team, "change", change.Description)
		c.commit(kv.PriorityClaim, change.Compares, change.Ops, 0, func(err error) {
			c.view.Quota.FinishChange(change)
			if err != nil {
				c.log.Debug("team limit change failed", "team", change.Team, "err", err)
			}
		})
	}
	c.reconcileTeamUse()
}

// quotaState returns the state of the cluster on which package quota bases changes of limits.
func (c *Controller) quotaState() quota.ClusterState {
	state := quota.ClusterState{
		Revision: c.view.Revision, Complete: len(c.view.OrphanClaims) == 0,
		IsLeader: c.isLeader(), LeaderCompare: kv.Compare{Key: records.LeaderKey, Version: c.leadership.version},
		Holders: c.view.ShardNames(), TeamUsage: c.usageOf,
		TeamUsageVersion: func(team string) uint64 { return c.view.Team(team).Version },
	}
	for _, name := range c.view.LiveNodes() {
		state.Members = append(state.Members, quota.Member{QuotaVersion: c.view.Nodes[name].QuotaVersion, TeamsHash: c.view.Nodes[name].TeamsHash})
	}
	for _, machineType := range c.view.MachineTypes {
		state.InitialShare = state.InitialShare.Max(quota.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs})
	}
	return state
}

// usageOf returns a team's use by the names that its usage record uses: shards, and gangs
// across shards.
func (c *Controller) usageOf(team string) map[string]quota.Resources {
	usage := make(map[string]quota.Resources)
	for _, name := range c.view.ShardNames() {
		usage[name] = c.view.UsedBy(team, name)
	}
	for claim := range c.view.CrossShardClaims {
		if claim.Spec != nil && claim.Spec.Team == team && claim.Tally.Counted {
			name := crossShardUseName(claim.JobID)
			usage[name] = usage[name].Plus(claim.Tally.Use)
		}
	}
	return usage
}

// reconcileTeamUse corrects the use of this node's shards in the teams' usage records. A
// recorded use is wrong if tasks were placed before there was a limit, or ended while the
// record was being written.
func (c *Controller) reconcileTeamUse() {
	for _, team := range slices.Sorted(maps.Keys(c.view.Teams)) {
		usage := c.view.Teams[team]
		if c.view.Quota.IsAllotted(team) || usage.Writing || usage.Version == 0 || !c.isCompleteUpTo(usage) {
			continue
		}
		for _, name := range c.view.ShardNames() {
			if c.hasWrongUse(team, usage, c.view.Shards[name]) {
				c.correctUse(team, usage, c.view.Shards[name])
				break // each write corrects the use of one shard; later passes correct the other shards
			}
		}
	}
}

// hasWrongUse reports whether a team's usage record differs from the team's actual use of a
// shard of this node, and no commit that changes the use is in progress.
func (c *Controller) hasWrongUse(team string, usage *replica.TeamUsage, shard *replica.Shard) bool {
	if !c.view.IsActive(shard) {
		return false
	}
	use, recorded := c.view.UsedBy(team, shard.Name), usage.Record.ByShard[shard.Name]
	matches := use.Within(recorded) && recorded.Within(use)
	return !matches && !slices.ContainsFunc(c.view.ClaimsOfTeam(shard, team), isPending)
}

// isPending reports whether a version of a claim is being committed.
func isPending(claim *replica.Claim) bool { return claim.Pending != nil }

// correctUse commits a team's actual use of a shard of this node to the team's usage record.
func (c *Controller) correctUse(team string, usage *replica.TeamUsage, shard *replica.Shard) {
	usage.Writing = true
	key := records.TeamUsagePrefix + team
	record := withShardUse(usage, shard.Name, c.view.UsedBy(team, shard.Name))
	compares := append(c.view.Quota.LimitCompares(team), kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: key, Version: usage.Version})
	c.commit(kv.PriorityBackground, compares, []kv.Op{{Key: key, Value: record}}, 0, func(error) { usage.Writing = false })
}
