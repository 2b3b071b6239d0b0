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

// isLimited reports whether a job's team has a limit that its tasks count against.
func (c *Controller) isLimited(spec *protocol.Submission) bool {
	return c.view.Quota.IsLimited(spec.Team, replica.TaskResources(spec))
}

// reserveTeamUse returns the conditions, and where the limit is not allotted the change, by
// which a limited team's use of a shard is committed along with a claim. Where it is
// allotted the claim itself is the reservation: only the shard's owner starts tasks there,
// within the shard's allotment, which only that owner lowers. usage is the record's state if
// the transaction writes it, else nil. ok is false if the change is not possible now.
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
		return compares, nil, nil, !grows || (c.view.KnowsUse(holder) && more <= c.view.Quota.Allowance(team, holder, replica.TaskResources(claim.Spec)))
	}
	usage = c.view.Team(team)
	if usage.Writing {
		return nil, nil, nil, false
	}
	if next.Shard == "" {
		shard = crossShardUse(claim.JobID)
	}
	use, most := c.teamUseAfter(usage, shard, claim, next)
	record := withShardUse(usage, shard, use)
	if grows && quota.Exceeds(totalUse(record, shard, most), c.view.Quota.Limit(team)) {
		return nil, nil, nil, false
	}
	key := records.TeamUsagePrefix + team
	return append(compares, kv.Compare{Key: key, Version: usage.Version}), []kv.Op{{Key: key, Value: record}}, usage, true
}

// crossShardUse returns the name in a team's record for the use of a gang across shards. It
// is an entry of its own, since several owners change it.
func crossShardUse(jobID string) string { return "*" + jobID }

// withShardUse returns a team's record with its use of one shard replaced.
func withShardUse(usage *replica.TeamUsage, shard string, use quota.Resources) *records.TeamUsage {
	record := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
	for other, otherUse := range usage.Record.ByShard {
		if other != shard {
			record.ByShard[other] = otherUse
		}
	}
	return record
}

// totalUse returns the sum of a team's record with the given use of one shard. It adds in
// the order of names: sums of fractions depend on it, and so does a replay.
func totalUse(record *records.TeamUsage, shard string, use quota.Resources) quota.Resources {
	total := use
	for _, name := range slices.Sorted(maps.Keys(record.ByShard)) {
		if name != shard {
			total = total.Plus(record.ByShard[name])
		}
	}
	return total
}

// teamUseAfter returns what a team uses of a shard once a claim has its next version, as it
// is recorded, and the most that it may be.
//
// The team's record and the claim are conditions of the transaction, so what the record
// says, changed by what the claim changes by, is exact whatever the view holds of the
// shard's other claims. Their sum is not: after a commit of unknown outcome the record is
// read again before the claim that was committed with it, and claims whose job is not known
// yet have no size. The record prevents a team from exceeding its limit that way. The sum
// serves where the view is complete up to the record, to correct what a change of limits
// has left out.
func (c *Controller) teamUseAfter(usage *replica.TeamUsage, shard string, claim *replica.Claim, next *records.Claim) (use, most quota.Resources) {
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

// isCompleteUpTo reports whether the view holds all that was committed before a team's
// record, and the size of all of it is known.
func (c *Controller) isCompleteUpTo(usage *replica.TeamUsage) bool {
	return c.view.Revision >= usage.Version && len(c.view.OrphanClaims) == 0
}

// exceedsLimit reports whether an entry's team has nothing left of its limit anywhere. Such
// an entry neither reserves nor preempts, which prevents it from preempting again and again
// for capacity that it may not use.
func (c *Controller) exceedsLimit(entry *placement.QueueEntry) bool {
	return c.isLimited(entry.Spec) && c.allowance(entry.Spec) < entry.MinTasks()
}

// isOverLimit reports whether a job's team has more placed than its limit permits now.
func (c *Controller) isOverLimit(spec *protocol.Submission) bool {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	overCPUs := spec.CPUs > 0 && quota.Exceeds(quota.Resources{CPUs: use.CPUs}, limit)
	overGPUs := spec.GPUs > 0 && quota.Exceeds(quota.Resources{GPUs: use.GPUs}, limit)
	return overCPUs || overGPUs
}

// allowance returns how many more tasks of a job its team's limit permits, anywhere.
func (c *Controller) allowance(spec *protocol.Submission) int {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	return quota.TasksThatFit(limit.Difference(use), replica.TaskResources(spec), limit)
}

// allowanceOf returns how many more tasks of a job a shard may start within its allotment.
func (c *Controller) allowanceOf(holder string, spec *protocol.Submission) int {
	if !c.view.Quota.IsAllotted(spec.Team) {
		return c.allowance(spec)
	}
	if !c.view.KnowsUse(holder) {
		return 0
	}
	return c.view.Quota.Allowance(spec.Team, holder, replica.TaskResources(spec))
}

// passDemands is what the teams' limits keep a shard from starting in one pass.
type passDemands struct {
	byTeam  map[string]*quota.Demand
	weighed map[string]int  // entries of each team that were counted
	started map[string]bool // teams of which something started
}

// maxWeighedPerTeam is how many entries of a team one pass counts: those behind the first
// ones only add to how much more could start.
const maxWeighedPerTeam = 6

// isHeldByLimit reports whether its team's limit keeps an entry from starting here now, and
// adds to the demands what could start with a larger allotment.
func (c *Controller) isHeldByLimit(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, now time.Time) bool {
	if !c.isLimited(entry.Spec) {
		return false
	}
	team := entry.Spec.Team
	if !c.view.Quota.IsAllotted(team) {
		return c.exceedsLimit(entry)
	}
	allowed := c.allowanceOf(shard.Name, entry.Spec) + c.unrecordedCompletions(entry.Claim)
	yields := c.view.Quota.MustYield(team, entry.Spec.Priority(), entry.Job.Record.AcceptedAtMs, entry.Job.ID, now)
	if allowed < entry.PlaceableTasks() || yields {
		c.addDemand(entry, capacities, demands, allowed)
	}
	return allowed < entry.MinTasks() || yields
}

// addDemand adds an entry, of which so many tasks are allowed, to what a shard could start
// within the team's limit.
func (c *Controller) addDemand(entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, allowed int) {
	team := entry.Spec.Team
	if demands.weighed[team]++; demands.weighed[team] > maxWeighedPerTeam {
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
// services use. Services do not end, so such a start is not waited for: it would keep all
// others from the rest of the limit without bound.
func (c *Controller) needsServicesShare(team string, start quota.Resources) bool {
	limit := c.view.Quota.Limit(team)
	left := limit.Minus(c.view.ServiceUse[team])
	return (limit.CPUs > 0 && start.CPUs > left.CPUs+tolerance) || (limit.GPUs > 0 && start.GPUs > left.GPUs+tolerance)
}

// unrecordedCompletions counts the placements of a claim that its next version would free.
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

// quotaSync is when this controller last broadcast the demands of its shards.
type quotaSync struct {
	announced   bool // there were any
	announcedAt time.Time
}

// demandInterval is the least time between two broadcasts of demands beside those of each
// second.
const demandInterval = 250 * time.Millisecond

// transferAllotments broadcasts the demands of this node's shards and commits the transfers
// that are due from their allotments.
func (c *Controller) transferAllotments(now time.Time) {
	demands := c.view.Quota.Demands(now)
	if (len(demands) > 0 || c.quotaSync.announced) && now.Sub(c.quotaSync.announcedAt) >= demandInterval {
		c.quotaSync.announced, c.quotaSync.announcedAt = len(demands) > 0, now
		c.broadcast(c.ctx, protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true, Demands: demands, DemandsComplete: true})
	}
	for _, transfer := range c.view.Quota.DueTransfers(c.decidesFor, now) {
		c.log.Debug("allotment transferred", "team", transfer.Team, "from", transfer.From, "to", transfer.To, "cpus", transfer.Amount.CPUs, "gpus", transfer.Amount.GPUs)
		c.commit(kv.PriorityClaim, transfer.Compares, transfer.Ops, 0, func(err error) {
			c.view.Quota.FinishTransfer(transfer)
			if err == nil {
				c.broadcastRecord(transfer.Ops[0].Key, transfer.Ops[0].Value)
			}
		})
	}
	for _, waiting := range c.view.Quota.WaitingTeams(waitingLogInterval, now) {
		c.log.Info("team waiting for its limit", "team", waiting.Team, "seconds", int(waiting.WaitedFor.Seconds()), "limit", waiting.Limit, "allotted", waiting.Grants, "used", waiting.Usage)
	}
}

// waitingLogInterval is how often a team that waits for its limit is logged.
const waitingLogInterval = 30 * time.Second

// decidesFor returns the condition under which this node transfers from a holder's
// allotment, and reports whether it may: it owns the shard, or leads, and its view holds all
// that was started there.
func (c *Controller) decidesFor(holder string) (kv.Compare, bool) {
	if holder == quota.CrossShard {
		return kv.Compare{Key: records.LeaderKey, Version: c.leadership.version}, c.isLeader() && c.view.KnowsUse(holder)
	}
	shard := c.view.Shards[holder]
	if !c.view.IsActive(shard) || !c.view.KnowsUse(holder) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ShardPrefix + holder, Version: shard.FencingToken}, true
}

// reconcileLimits commits what the limits in the settings and those on record differ by,
// and how limits are divided.
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

// quotaState returns the cluster's state by which package quota decides about limits.
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

// usageOf returns a team's use by the names of its record.
func (c *Controller) usageOf(team string) map[string]quota.Resources {
	usage := make(map[string]quota.Resources)
	for _, name := range c.view.ShardNames() {
		usage[name] = c.view.UsedBy(team, name)
	}
	for claim := range c.view.CrossShardClaims {
		if claim.Spec != nil && claim.Spec.Team == team && claim.Tally.Counted {
			name := crossShardUse(claim.JobID)
			usage[name] = usage[name].Plus(claim.Tally.Use)
		}
	}
	return usage
}

// reconcileTeamUse corrects what the teams' records say of this node's shards: tasks that
// were placed before there was a limit, or that ended while the record was being written.
func (c *Controller) reconcileTeamUse() {
	for _, team := range slices.Sorted(maps.Keys(c.view.Teams)) {
		usage := c.view.Teams[team]
		if c.view.Quota.IsAllotted(team) || usage.Writing || usage.Version == 0 || !c.isCompleteUpTo(usage) {
			continue
		}
		for _, name := range c.view.ShardNames() {
			if c.hasWrongUse(team, usage, c.view.Shards[name]) {
				c.correctUse(team, usage, c.view.Shards[name])
				break // the record is being written now
			}
		}
	}
}

// hasWrongUse reports whether a team's record differs from what the team uses of a shard of
// this node, while no commit that changes the use is under way.
func (c *Controller) hasWrongUse(team string, usage *replica.TeamUsage, shard *replica.Shard) bool {
	if !c.view.IsActive(shard) {
		return false
	}
	use, recorded := c.view.UsedBy(team, shard.Name), usage.Record.ByShard[shard.Name]
	isRight := use.Within(recorded) && recorded.Within(use)
	return !isRight && !slices.ContainsFunc(c.view.ClaimsOfTeam(shard, team), isPending)
}

// isPending reports whether a version of a claim is being committed.
func isPending(claim *replica.Claim) bool { return claim.Pending != nil }

// correctUse commits what a team uses of a shard of this node to the team's record.
func (c *Controller) correctUse(team string, usage *replica.TeamUsage, shard *replica.Shard) {
	usage.Writing = true
	key := records.TeamUsagePrefix + team
	record := withShardUse(usage, shard.Name, c.view.UsedBy(team, shard.Name))
	compares := append(c.view.Quota.LimitCompares(team), kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, kv.Compare{Key: key, Version: usage.Version})
	c.commit(kv.PriorityBackground, compares, []kv.Op{{Key: key, Value: record}}, 0, func(error) { usage.Writing = false })
}
