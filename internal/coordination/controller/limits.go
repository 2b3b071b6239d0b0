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
func (n *Controller) isLimited(s *protocol.Submission) bool {
	return n.view.Quota.IsLimited(s.Team, replica.TaskResources(s))
}

// reserveTeamUse makes the conditions, and where the limit is not allotted the change,
// by which a limited team's use of a shard goes along with a claim. Where it is
// allotted the claim itself is the reservation: only the shard's owner starts there,
// within the shard's allotment, which only that owner lowers. ok is false when it
// can't be done now.
func (n *Controller) reserveTeamUse(shard string, c *replica.Claim, next *records.Claim) (conds []kv.Compare, ops []kv.Op, t *replica.TeamUsage, ok bool) {
	team, grows := c.Spec.Team, len(next.Placements) > c.PlacedCount()
	if cond, has := n.view.Quota.ReservationCompare(team); has && grows {
		conds = append(conds, cond)
	}
	conds = append(conds, n.view.Quota.LimitCompares(team)...)
	if !n.isLimited(c.Spec) {
		return conds, nil, nil, true
	}
	if n.view.Quota.IsAllotted(team) {
		holder := shard
		if next.Shard == "" {
			holder = quota.CrossShard
		}
		more := len(next.Placements) - c.ReservedCount()
		return conds, nil, nil, !grows || (n.view.KnowsUse(holder) && more <= n.view.Quota.Allowance(team, holder, replica.TaskResources(c.Spec)))
	}
	t = n.view.Team(team)
	if t.Writing {
		return nil, nil, nil, false
	}
	if next.Shard == "" {
		shard = "*" + c.JobID // several owners change it, so it has an entry of its own
	}
	use, most := n.teamUseAfter(t, shard, c, next)
	key := records.TeamUsagePrefix + team
	rec := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
	total := most
	for _, name := range slices.Sorted(maps.Keys(t.Record.ByShard)) {
		if u := t.Record.ByShard[name]; name != shard {
			rec.ByShard[name] = u
			total = total.Plus(u)
		}
	}
	if grows && quota.Exceeds(total, n.view.Quota.Limit(team)) {
		return nil, nil, nil, false
	}
	return append(conds, kv.Compare{Key: key, Version: t.Version}), []kv.Op{{Key: key, Value: rec}}, t, true
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
func (n *Controller) teamUseAfter(t *replica.TeamUsage, shard string, c *replica.Claim, next *records.Claim) (use, most quota.Resources) {
	perTask := replica.TaskResources(c.Spec)
	was, is, had := perTask.Times(float64(c.PlacedCount())), perTask.Times(float64(len(next.Placements))), t.Record.ByShard[shard]
	use = had.Difference(was).Plus(is).NonNegative()
	if next.Shard == "" {
		return use, use
	}
	sum := n.view.UseByShard[replica.TeamShard{Team: c.Spec.Team, Shard: shard}]
	if c.Tally.Counted && c.Tally.Key.Shard == shard {
		sum = sum.Difference(c.Tally.Use)
	}
	sum = sum.Plus(is)
	if n.view.Revision >= t.Version && len(n.view.OrphanClaims) == 0 {
		return sum, sum
	}
	return use, use.Max(sum)
}

// exceedsLimit tells that a unit's team has no room under its limit anywhere. Such a
// unit neither reserves nor displaces: making room that it may not use threw away
// work in a circle.
func (n *Controller) exceedsLimit(u *placement.QueueEntry) bool {
	if !n.isLimited(u.Spec) {
		return false
	}
	count := 1
	if u.Spec.Shape == protocol.ShapeGang {
		count = u.PlaceableTasks()
	}
	return n.allowance(u.Spec) < count
}

// isOverLimit tells that a job's team has more placed than its limit permits now.
func (n *Controller) isOverLimit(spec *protocol.Submission) bool {
	limit, use := n.view.Quota.Limit(spec.Team), n.view.UseByTeam[spec.Team]
	return (spec.CPUs > 0 && quota.Exceeds(quota.Resources{CPUs: use.CPUs}, limit)) || (spec.GPUs > 0 && quota.Exceeds(quota.Resources{GPUs: use.GPUs}, limit))
}

// allowance is how many more tasks of a job its team's limit permits, wherever.
func (n *Controller) allowance(spec *protocol.Submission) int {
	limit, use := n.view.Quota.Limit(spec.Team), n.view.UseByTeam[spec.Team]
	return quota.TasksThatFit(limit.Difference(use), replica.TaskResources(spec), limit)
}

// allowanceOf is how many more a shard may start within its allotment.
func (n *Controller) allowanceOf(holder string, spec *protocol.Submission) int {
	if !n.view.Quota.IsAllotted(spec.Team) {
		return n.allowance(spec)
	}
	if !n.view.KnowsUse(holder) {
		return 0
	}
	return n.view.Quota.Allowance(spec.Team, holder, replica.TaskResources(spec))
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
func (n *Controller) isHeldByLimit(s *replica.Shard, u *placement.QueueEntry, rooms []*placement.Capacity, w *passDemands, now time.Time) bool {
	if !n.isLimited(u.Spec) {
		return false
	}
	if !n.view.Quota.IsAllotted(u.Spec.Team) {
		return n.exceedsLimit(u)
	}
	team, whole := u.Spec.Team, u.Spec.Shape == protocol.ShapeGang
	need, waiting := 1, u.PlaceableTasks()
	if whole {
		need = waiting
	}
	may := n.allowanceOf(s.Name, u.Spec) + n.unrecordedCompletions(u.Claim)
	yields := n.view.Quota.YieldsTo(team, u.Spec.Priority(), u.Job.Record.AcceptedAtMs, u.Job.ID, now)
	if may < waiting || yields {
		n.addDemand(s, u, rooms, w, need, may)
	}
	return may < need || yields
}

// addDemand adds a unit to what a shard could start within the team's limit.
func (n *Controller) addDemand(s *replica.Shard, u *placement.QueueEntry, rooms []*placement.Capacity, w *passDemands, need, may int) {
	if w.weighed[u.Spec.Team]++; w.weighed[u.Spec.Team] > maxWeighedPerTeam {
		return
	}
	unit := replica.TaskResources(u.Spec)
	could := min(u.PlaceableTasks(), placement.TasksThatFit(u.Spec, u.Job.ID, rooms, u.PlaceableTasks()))
	// What never ends is not waited for: a gang that needs the part of the limit that
	// services use would keep all others from the rest for ever.
	limit := n.view.Quota.Limit(u.Spec.Team)
	left := limit.Minus(n.view.ServiceUse[u.Spec.Team])
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
	switch x := w.byTeam[u.Spec.Team]; {
	case x == nil || (x.Anticipated && !ahead):
		w.byTeam[u.Spec.Team] = &quota.Demand{Head: head, PerTask: unit, Total: unit.Times(float64(could)), Priority: u.Spec.Priority(),
			AcceptedAtMs: u.Job.Record.AcceptedAtMs, JobID: u.Job.ID, AllOrNothing: need > 1, Anticipated: ahead}
	case x.Anticipated == ahead:
		x.Total = x.Total.Plus(unit.Times(float64(could)))
	}
}

// unrecordedCompletions counts the placements of a claim that its next version would free.
func (n *Controller) unrecordedCompletions(c *replica.Claim) int {
	if c == nil || c.Record == nil || c.Pending != nil || c.Spec.Shape == protocol.ShapeGang {
		return 0
	}
	next := c.Record.Clone()
	n.recordCompletions(c, next)
	return len(c.Record.Placements) - len(next.Placements)
}

// publishDemands hands a pass's wishes on.
func (n *Controller) publishDemands(holder string, w *passDemands, now time.Time) {
	for team := range n.settings.Teams {
		if n.view.Quota.IsAllotted(team) {
			n.view.Quota.SetDemand(team, holder, w.byTeam[team], w.started[team], now)
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
func (n *Controller) transferAllotments(now time.Time) {
	wants := n.view.Quota.Demands(now)
	if (len(wants) > 0 || n.quotaSync.announced) && now.Sub(n.quotaSync.announcedAt) >= demandInterval {
		n.quotaSync.announced, n.quotaSync.announcedAt = len(wants) > 0, now
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.settings.NodeName, StateReachable: true, Demands: wants, DemandsComplete: true})
	}
	for _, m := range n.view.Quota.DueTransfers(n.decidesFor, now) {
		n.log.Debug("allotment given", "team", m.Team, "from", m.From, "to", m.To, "cpus", m.Amount.CPUs, "cards", m.Amount.GPUs)
		n.commit(kv.PriorityClaim, m.Compares, m.Ops, 0, func(err error) {
			n.view.Quota.FinishTransfer(m)
			if err == nil {
				n.broadcastRecord(m.Ops[0].Key, m.Ops[0].Value)
			}
		})
	}
	for _, h := range n.view.Quota.WaitingTeams(waitingLogInterval, now) {
		n.log.Info("a team waits for its limit", "team", h.Team, "seconds", int(h.WaitedFor.Seconds()), "limit", h.Limit, "allotted", h.Grants, "used", h.Usage)
	}
}

// waitingLogInterval is how often a team that waits for its limit is logged.
const waitingLogInterval = 30 * time.Second

// decidesFor is the condition under which this node gives from a holder's allotment:
// it owns the shard, or leads, and its cache holds all that was started there.
func (n *Controller) decidesFor(holder string) (kv.Compare, bool) {
	if holder == quota.CrossShard {
		return kv.Compare{Key: records.LeaderKey, Version: n.leadership.version}, n.isLeader() && n.view.KnowsUse(holder)
	}
	s := n.view.Shards[holder]
	if !n.view.IsActive(s) || !n.view.KnowsUse(holder) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ShardPrefix + holder, Version: s.FencingToken}, true
}

// reconcileLimits works off the difference between the limits that controllers were given
// and those on record, and how they are divided.
func (n *Controller) reconcileLimits(now time.Time) {
	if n.view.Quota.HasNoLimits() {
		return
	}
	sit := quota.ClusterState{Revision: n.view.Revision, Complete: len(n.view.OrphanClaims) == 0, IsLeader: n.isLeader(), LeaderCompare: kv.Compare{Key: records.LeaderKey, Version: n.leadership.version},
		Holders: n.view.ShardNames(), TeamUsage: n.usageOf,
		TeamUsageVersion: func(team string) uint64 { return n.view.Team(team).Version }}
	for _, name := range n.view.LiveNodes() {
		sit.Members = append(sit.Members, quota.Member{QuotaVersion: n.view.Nodes[name].QuotaVersion, TeamsHash: n.view.Nodes[name].TeamsHash})
	}
	for _, t := range n.view.MachineTypes {
		sit.InitialShare = sit.InitialShare.Max(quota.Resources{CPUs: t.CPUs, GPUs: t.GPUs})
	}
	if len(n.view.MachineTypes) == 0 {
		return
	}
	for _, c := range n.view.Quota.LimitChanges(sit) {
		n.log.Info("team limit", "team", c.Team, "is", c.Description)
		n.commit(kv.PriorityClaim, c.Compares, c.Ops, 0, func(err error) {
			n.view.Quota.FinishChange(c)
			if err != nil {
				n.log.Debug("team limit not changed", "team", c.Team, "err", err)
			}
		})
	}
	n.reconcileTeamUse(now)
}

// usageOf is a team's use by the names that its one record has for it.
func (n *Controller) usageOf(team string) map[string]quota.Resources {
	out := make(map[string]quota.Resources)
	for _, name := range n.view.ShardNames() {
		out[name] = n.view.UsedBy(team, name)
	}
	for c := range n.view.CrossShardClaims {
		if c.Spec != nil && c.Spec.Team == team && c.Tally.Counted {
			out["*"+c.JobID] = out["*"+c.JobID].Plus(c.Tally.Use)
		}
	}
	return out
}

// reconcileTeamUse puts right what a team's one record says of this node's shards: what was
// placed before there was a limit, or ended while the record was written.
func (n *Controller) reconcileTeamUse(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.view.Teams)) {
		t := n.view.Teams[name]
		if n.view.Quota.IsAllotted(name) || t.Writing || t.Version == 0 || n.view.Revision < t.Version || len(n.view.OrphanClaims) > 0 {
			continue
		}
		for _, shard := range n.view.ShardNames() {
			s := n.view.Shards[shard]
			use := n.view.UsedBy(name, shard)
			if !n.view.IsActive(s) || use.Within(t.Record.ByShard[shard]) && t.Record.ByShard[shard].Within(use) || slices.ContainsFunc(n.view.ClaimsOfTeam(s, name), func(c *replica.Claim) bool { return c.Pending != nil }) {
				continue
			}
			rec := &records.TeamUsage{ByShard: map[string]quota.Resources{shard: use}}
			for other, u := range t.Record.ByShard {
				if other != shard {
					rec.ByShard[other] = u
				}
			}
			t.Writing = true
			conds := append(n.view.Quota.LimitCompares(name), kv.Compare{Key: records.ShardPrefix + shard, Version: s.FencingToken}, kv.Compare{Key: records.TeamUsagePrefix + name, Version: t.Version})
			n.commit(kv.PriorityBackground, conds, []kv.Op{{Key: records.TeamUsagePrefix + name, Value: rec}}, 0, func(error) { t.Writing = false })
			break
		}
	}
}
