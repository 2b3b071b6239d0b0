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

// Package quota decides about teams' limits; here its decisions are carried out.

// isLimited tells whether a job's team has a limit that its tasks count against.
func (c *Controller) isLimited(spec *protocol.Submission) bool {
	return c.view.Quota.IsLimited(spec.Team, replica.TaskResources(spec))
}

// reserveTeamUse makes the conditions, and where the limit is not allotted the change,
// by which a limited team's use of a shard goes along with a claim. Where it is
// allotted the claim itself is the reservation: only the shard's owner starts there,
// within the shard's allotment, which only that owner lowers. ok is false when it
// can't be done now.
func (c *Controller) reserveTeamUse(shard string, claim *replica.Claim, next *records.Claim) (compares []kv.Compare, ops []kv.Op, usage *replica.TeamUsage, ok bool) {
	team, grows := claim.Spec.Team, len(next.Placements) > claim.PlacedCount()
	if cond, has := c.view.Quota.ReservationCompare(team); has && grows {
		compares = append(compares, cond)
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
		shard = "*" + claim.JobID // several owners change it, so it has an entry of its own
	}
	use, most := c.teamUseAfter(usage, shard, claim, next)
	key := records.TeamUsagePrefix + team
	record := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
	total := most
	for _, name := range slices.Sorted(maps.Keys(usage.Record.ByShard)) {
		if u := usage.Record.ByShard[name]; name != shard {
			record.ByShard[name] = u
			total = total.Plus(u)
		}
	}
	if grows && quota.Exceeds(total, c.view.Quota.Limit(team)) {
		return nil, nil, nil, false
	}
	return append(compares, kv.Compare{Key: key, Version: usage.Version}), []kv.Op{{Key: key, Value: record}}, usage, true
}

// teamUseAfter is what a team uses of a shard once a claim has its next version,
// as it goes into the record, and the most that it may be.
//
// The team's record and the claim are conditions of the transaction, so what
// the record says, changed by what the claim changes by, is exact whatever the
// cache holds of the shard's other claims. To add those up is not: after a
// commit of unknown fate the record is read again before the claim that went
// with it, and claims whose job is not known yet have no size. A team used twice
// its limit that way. The sum still serves where the cache is complete up to the
// record, to put right what a change of limits has left out.
func (c *Controller) teamUseAfter(usage *replica.TeamUsage, shard string, claim *replica.Claim, next *records.Claim) (use, most quota.Resources) {
	perTask := replica.TaskResources(claim.Spec)
	was, is, had := perTask.Times(float64(claim.PlacedCount())), perTask.Times(float64(len(next.Placements))), usage.Record.ByShard[shard]
	use = had.Difference(was).Plus(is).NonNegative()
	if next.Shard == "" {
		return use, use
	}
	sum := c.view.UseByShard[replica.TeamShard{Team: claim.Spec.Team, Shard: shard}]
	if claim.Tally.Counted && claim.Tally.Key.Shard == shard {
		sum = sum.Difference(claim.Tally.Use)
	}
	sum = sum.Plus(is)
	if c.view.Revision >= usage.Version && len(c.view.OrphanClaims) == 0 {
		return sum, sum
	}
	return use, use.Max(sum)
}

// exceedsLimit tells that a unit's team has no room under its limit anywhere. Such a
// unit neither reserves nor displaces: making room that it may not use threw away
// work in a circle.
func (c *Controller) exceedsLimit(entry *placement.QueueEntry) bool {
	if !c.isLimited(entry.Spec) {
		return false
	}
	count := 1
	if entry.Spec.Shape == protocol.ShapeGang {
		count = entry.PlaceableTasks()
	}
	return c.allowance(entry.Spec) < count
}

// isOverLimit tells that a job's team has more placed than its limit permits now.
func (c *Controller) isOverLimit(spec *protocol.Submission) bool {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	return (spec.CPUs > 0 && quota.Exceeds(quota.Resources{CPUs: use.CPUs}, limit)) || (spec.GPUs > 0 && quota.Exceeds(quota.Resources{GPUs: use.GPUs}, limit))
}

// allowance is how many more tasks of a job its team's limit permits, wherever.
func (c *Controller) allowance(spec *protocol.Submission) int {
	limit, use := c.view.Quota.Limit(spec.Team), c.view.UseByTeam[spec.Team]
	return quota.TasksThatFit(limit.Difference(use), replica.TaskResources(spec), limit)
}

// allowanceOf is how many more a shard may start within its allotment.
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
	weighed map[string]int  // units of each team that were weighed
	started map[string]bool // teams of which something started
}

// maxWeighedPerTeam is how many units of a team one pass weighs: those behind the first
// ones only tell how much more could start.
const maxWeighedPerTeam = 6

// isHeldByLimit tells whether its team's limit keeps a unit from starting here now, and
// notes what could start if the shard's allotment reached.
func (c *Controller) isHeldByLimit(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, now time.Time) bool {
	if !c.isLimited(entry.Spec) {
		return false
	}
	if !c.view.Quota.IsAllotted(entry.Spec.Team) {
		return c.exceedsLimit(entry)
	}
	team, whole := entry.Spec.Team, entry.Spec.Shape == protocol.ShapeGang
	need, waiting := 1, entry.PlaceableTasks()
	if whole {
		need = waiting
	}
	may := c.allowanceOf(shard.Name, entry.Spec) + c.unrecordedCompletions(entry.Claim)
	yields := c.view.Quota.YieldsTo(team, entry.Spec.Priority(), entry.Job.Record.AcceptedAtMs, entry.Job.ID, now)
	if may < waiting || yields {
		c.addDemand(shard, entry, capacities, demands, need, may)
	}
	return may < need || yields
}

// addDemand adds a unit to what a shard could start within the team's limit.
func (c *Controller) addDemand(shard *replica.Shard, entry *placement.QueueEntry, capacities []*placement.Capacity, demands *passDemands, need, may int) {
	if demands.weighed[entry.Spec.Team]++; demands.weighed[entry.Spec.Team] > maxWeighedPerTeam {
		return
	}
	unit := replica.TaskResources(entry.Spec)
	could := min(entry.PlaceableTasks(), placement.TasksThatFit(entry.Spec, entry.Job.ID, capacities, entry.PlaceableTasks()))
	// What never ends is not waited for: a gang that needs the part of the limit that
	// services use would keep all others from the rest for ever.
	limit := c.view.Quota.Limit(entry.Spec.Team)
	left := limit.Minus(c.view.ServiceUse[entry.Spec.Team])
	head := unit.Times(float64(need))
	if (limit.CPUs > 0 && head.CPUs > left.CPUs+tolerance) || (limit.GPUs > 0 && head.GPUs > left.GPUs+tolerance) {
		return
	}
	ahead := could < need
	if ahead {
		could = need
	}
	if could <= may {
		return
	}
	switch x := demands.byTeam[entry.Spec.Team]; {
	case x == nil || (x.Anticipated && !ahead):
		demands.byTeam[entry.Spec.Team] = &quota.Demand{Head: head, PerTask: unit, Total: unit.Times(float64(could)), Priority: entry.Spec.Priority(),
			AcceptedAtMs: entry.Job.Record.AcceptedAtMs, JobID: entry.Job.ID, AllOrNothing: need > 1, Anticipated: ahead}
	case x.Anticipated == ahead:
		x.Total = x.Total.Plus(unit.Times(float64(could)))
	}
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

// publishDemands hands a pass's wishes on.
func (c *Controller) publishDemands(holder string, demands *passDemands, now time.Time) {
	for team := range c.settings.Teams {
		if c.view.Quota.IsAllotted(team) {
			c.view.Quota.SetDemand(team, holder, demands.byTeam[team], demands.started[team], now)
		}
	}
}

// quotaSync is when the other controllers were last told what this one's shards could start.
type quotaSync struct {
	announced   bool // there was something to tell
	announcedAt time.Time
}

// demandInterval is how far apart controllers tell one another at once what they want; each
// second they do so anyway.
const demandInterval = 250 * time.Millisecond

// transferAllotments carries out the gifts that are due from this node's shards, and tells the
// others what these want.
func (c *Controller) transferAllotments(now time.Time) {
	wants := c.view.Quota.Demands(now)
	if (len(wants) > 0 || c.quotaSync.announced) && now.Sub(c.quotaSync.announcedAt) >= demandInterval {
		c.quotaSync.announced, c.quotaSync.announcedAt = len(wants) > 0, now
		c.broadcast(c.ctx, protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true, Demands: wants, DemandsComplete: true})
	}
	for _, m := range c.view.Quota.DueTransfers(c.decidesFor, now) {
		c.log.Debug("allotment transferred", "team", m.Team, "from", m.From, "to", m.To, "cpus", m.Amount.CPUs, "gpus", m.Amount.GPUs)
		c.commit(kv.PriorityClaim, m.Compares, m.Ops, 0, func(err error) {
			c.view.Quota.FinishTransfer(m)
			if err == nil {
				c.broadcastRecord(m.Ops[0].Key, m.Ops[0].Value)
			}
		})
	}
	for _, h := range c.view.Quota.WaitingTeams(waitingLogInterval, now) {
		c.log.Info("team waiting for its limit", "team", h.Team, "seconds", int(h.WaitedFor.Seconds()), "limit", h.Limit, "allotted", h.Grants, "used", h.Usage)
	}
}

// waitingLogInterval is how often a team that waits for its limit is logged.
const waitingLogInterval = 30 * time.Second

// decidesFor is the condition under which this node gives from a holder's allotment:
// it owns the shard, or leads, and its cache holds all that was started there.
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

// reconcileLimits works off the difference between the limits that controllers were given
// and those on record, and how they are divided.
func (c *Controller) reconcileLimits(now time.Time) {
	if c.view.Quota.HasNoLimits() {
		return
	}
	sit := quota.ClusterState{Revision: c.view.Revision, Complete: len(c.view.OrphanClaims) == 0, IsLeader: c.isLeader(), LeaderCompare: kv.Compare{Key: records.LeaderKey, Version: c.leadership.version},
		Holders: c.view.ShardNames(), TeamUsage: c.usageOf,
		TeamUsageVersion: func(team string) uint64 { return c.view.Team(team).Version }}
	for _, name := range c.view.LiveNodes() {
		sit.Members = append(sit.Members, quota.Member{QuotaVersion: c.view.Nodes[name].QuotaVersion, TeamsHash: c.view.Nodes[name].TeamsHash})
	}
	for _, machineType := range c.view.MachineTypes {
		sit.InitialShare = sit.InitialShare.Max(quota.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs})
	}
	if len(c.view.MachineTypes) == 0 {
		return
	}
	for _, change := range c.view.Quota.LimitChanges(sit) {
		c.log.Info("team limit changed", "team", change.Team, "change", change.Description)
		c.commit(kv.PriorityClaim, change.Compares, change.Ops, 0, func(err error) {
			c.view.Quota.FinishChange(change)
			if err != nil {
				c.log.Debug("team limit change failed", "team", change.Team, "err", err)
			}
		})
	}
	c.reconcileTeamUse(now)
}

// usageOf is a team's use by the names that its one record has for it.
func (c *Controller) usageOf(team string) map[string]quota.Resources {
	out := make(map[string]quota.Resources)
	for _, name := range c.view.ShardNames() {
		out[name] = c.view.UsedBy(team, name)
	}
	for claim := range c.view.CrossShardClaims {
		if claim.Spec != nil && claim.Spec.Team == team && claim.Tally.Counted {
			out["*"+claim.JobID] = out["*"+claim.JobID].Plus(claim.Tally.Use)
		}
	}
	return out
}

// reconcileTeamUse puts right what a team's one record says of this node's shards: what was
// placed before there was a limit, or ended while the record was written.
func (c *Controller) reconcileTeamUse(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.view.Teams)) {
		usage := c.view.Teams[name]
		if c.view.Quota.IsAllotted(name) || usage.Writing || usage.Version == 0 || c.view.Revision < usage.Version || len(c.view.OrphanClaims) > 0 {
			continue
		}
		for _, shard := range c.view.ShardNames() {
			s := c.view.Shards[shard]
			use := c.view.UsedBy(name, shard)
			if !c.view.IsActive(s) || use.Within(usage.Record.ByShard[shard]) && usage.Record.ByShard[shard].Within(use) || slices.ContainsFunc(c.view.ClaimsOfTeam(s, name), func(claim *replica.Claim) bool { return claim.Pending != nil }) {
				continue
			}
			record := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
			for other, u := range usage.Record.ByShard {
				if other != shard {
					record.ByShard[other] = u
				}
			}
			usage.Writing = true
			compares := append(c.view.Quota.LimitCompares(name), kv.Compare{Key: records.ShardPrefix + shard, Version: s.FencingToken}, kv.Compare{Key: records.TeamUsagePrefix + name, Version: usage.Version})
			c.commit(kv.PriorityBackground, compares, []kv.Op{{Key: records.TeamUsagePrefix + name, Value: record}}, 0, func(error) { usage.Writing = false })
			break
		}
	}
}
