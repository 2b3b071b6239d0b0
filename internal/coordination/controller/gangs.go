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
func (n *Controller) crossShardGangs(now time.Time) []*replica.Job {
	var out []*replica.Job
	for _, j := range n.view.Jobs {
		if j.Record == nil || j.Record.Spec == nil || j.Record.IsFinal() || j.Spec().Shape != protocol.ShapeGang || j.Spec().Tasks < 2 ||
			now.Sub(j.SeenAt) < gangReservationDelay || now.Before(j.NotBefore) || j.OnProbation(now) {
			continue
		}
		if !canReserveAcrossShards(j) {
			continue
		}
		fits := make(map[[2]string]int) // by shard, and by zone if it must be one
		for _, s := range n.view.Shards {
			for k, count := range s.Kinds {
				if t := n.view.MachineTypes[k.Type]; t != nil && placement.FitsEmpty(j.Spec(), t) && placement.Allowed(j.Spec(), k.Type, k.Zone, k.Spot) {
					at := [2]string{s.Name}
					if j.Spec().SameZone {
						at[1] = k.Zone
					}
					fits[at] += placement.TasksPerMachine(j.Spec(), t) * count
				}
			}
		}
		largest := 0
		for _, k := range fits {
			largest = max(largest, k)
		}
		if largest < j.Spec().Tasks || j.Claims[0] != nil {
			out = append(out, j)
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
func canReserveAcrossShards(j *replica.Job) bool {
	c := j.Claims[0]
	return c == nil || (c.Record != nil && c.Pending == nil && c.Record.Shard == "" && len(c.Record.Placements) == 0)
}

// reserveForGangs is the leader's part: ask for room for one wide job at a time, and
// place the job once the shards hold enough for all of it. Two jobs gathering
// at once could each hold what the other needs.
func (n *Controller) reserveForGangs(now time.Time) {
	var current *replica.Job
	for _, ref := range slices.Sorted(maps.Keys(n.view.GangReservations)) {
		g := n.view.GangReservations[ref]
		if g.Version == 0 || g.Writing {
			continue
		}
		// A shard may have claimed the job while room was being gathered. It was
		// placed a second time beside what ran already (ran_twice).
		j := n.view.Jobs[ref]
		if j == nil || j.Record.IsFinal() || now.UnixMilli() > g.Record.ExpiresAtMs || !canReserveAcrossShards(j) {
			n.endGangReservation(ref, g)
			continue
		}
		current = j
	}
	if current == nil {
		if now.Sub(n.gangsSearchedAt) < gangSearchInterval {
			return
		}
		n.gangsSearchedAt = now
		for team := range n.settings.Teams {
			n.view.Quota.SetDemand(team, quota.CrossShard, nil, false, now)
		}
		for _, j := range n.crossShardGangs(now) {
			if g := n.view.GangReservation(j.ID); !g.Writing && g.Version == 0 && now.After(g.RetryAt) {
				n.beginGangReservation(j.ID, g, now)
				return
			}
		}
		return
	}
	n.placeGang(current, n.view.GangReservations[current.ID], now)
}

func (n *Controller) beginGangReservation(ref string, g *replica.GangReservation, now time.Time) {
	g.Writing = true
	key := records.GangReservationPrefix + ref
	n.log.Info("gathering room", "job", ref)
	n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: key, Version: 0}},
		[]kv.Op{{Key: key, Value: &records.GangReservation{ExpiresAtMs: now.Add(gangReservationTTL).UnixMilli()}, Lease: n.membership.lease}}, 5*time.Second,
		func(error) { g.Writing = false })
}

func (n *Controller) endGangReservation(ref string, g *replica.GangReservation) {
	g.Writing = true
	key := records.GangReservationPrefix + ref
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: g.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { g.Writing = false })
}

// holdForGangs is an owner's part: hold the room that a shard has for the job being
// gathered, and let go when the leader no longer asks.
func (n *Controller) holdForGangs(s *replica.Shard, now time.Time) {
	for _, ref := range slices.Sorted(maps.Keys(n.view.GangReservations)) {
		g := n.view.GangReservations[ref]
		h := g.Holds[s.Name]
		if h == nil {
			h = &replica.GangHold{}
			g.Holds[s.Name] = h
		}
		key := records.GangHoldPrefix + ref + "/" + s.Name
		j := n.view.Jobs[ref]
		switch {
		case h.Writing:
		case g.Version == 0 || j == nil || j.Record.Spec == nil:
			if h.Version != 0 {
				h.Writing = true
				n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: h.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { h.Writing = false })
			} else if g.Version == 0 && j == nil && !g.Writing {
				delete(g.Holds, s.Name)
				if len(g.Holds) == 0 {
					delete(n.view.GangReservations, ref)
				}
			}
		default:
			next := n.holdableTasks(s, ref, j.Spec(), now)
			if len(next) == 0 || equalHolds(next, h.Record.TasksByHost) {
				continue
			}
			// Held from now on: while the record was on its way the queue gave the same
			// room to others, and the job's tasks were refused for want of it.
			h.Writing, h.Pending = true, next
			n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: records.GangReservationPrefix + ref, Version: g.Version}, {Key: key, Version: h.Version}},
				[]kv.Op{{Key: key, Value: &records.GangHold{TasksByHost: next}, Lease: n.membership.lease}}, 5*time.Second, func(error) { h.Writing, h.Pending = false, nil })
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
func (n *Controller) holdableTasks(s *replica.Shard, ref string, spec *protocol.Submission, now time.Time) map[string]int {
	out := make(map[string]int)
	for _, r := range n.capacitiesFor(s, ref, now) {
		for r.Usable && r.Fits(spec) && placement.Allowed(spec, r.TypeName, r.Zone, r.Spot) && out[r.Host] < spec.Tasks {
			r.Allocate(spec)
			out[r.Host]++
		}
	}
	return out
}

// chargeGangHolds takes held room out of the free room, but for the job but.
func (n *Controller) chargeGangHolds(s *replica.Shard, but string, byHost map[string]*placement.Capacity) {
	for _, ref := range slices.Sorted(maps.Keys(n.view.GangReservations)) {
		g := n.view.GangReservations[ref]
		h, j := g.Holds[s.Name], n.view.Jobs[ref]
		if ref == but || h == nil || j == nil || j.Record.Spec == nil {
			continue
		}
		hosts := maps.Clone(h.Record.TasksByHost)
		for host, k := range h.Pending {
			if hosts == nil {
				hosts = make(map[string]int)
			}
			hosts[host] = max(hosts[host], k)
		}
		for host, k := range hosts {
			for range k {
				if r := byHost[host]; r != nil && r.Fits(j.Spec()) {
					r.Allocate(j.Spec())
				}
			}
		}
	}
}

// placeGang places a gathered job whole, on condition of every hold it uses.
func (n *Controller) placeGang(j *replica.Job, g *replica.GangReservation, now time.Time) {
	spec := j.Spec()
	if g.Writing {
		return
	}
	if n.isLimited(spec) && n.allowanceOf(quota.CrossShard, spec) < spec.Tasks {
		if n.view.Quota.IsAllotted(spec.Team) {
			all := replica.TaskResources(spec).Times(float64(spec.Tasks))
			n.view.Quota.SetDemand(spec.Team, quota.CrossShard, &quota.Demand{Head: all, PerTask: replica.TaskResources(spec), Total: all, Priority: spec.Priority(), AcceptedAtMs: j.Record.AcceptedAtMs, JobID: j.ID, AllOrNothing: true}, false, now)
		}
		return
	}
	n.view.Quota.SetDemand(spec.Team, quota.CrossShard, nil, false, now)
	conds := []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.GangReservationPrefix + j.ID, Version: g.Version},
		{Key: records.JobPrefix + j.ID, Version: j.Version}}
	var places []records.Placement
	for _, only := range append([]string{""}, n.settings.Zones...) {
		if (only == "") == spec.SameZone {
			continue
		}
		places = n.assignHeld(spec, g, only)
		if len(places) == spec.Tasks {
			break
		}
	}
	if len(places) < spec.Tasks {
		return
	}
	c := n.view.ClaimOf(j, 0)
	next := &records.Claim{TaskCount: spec.Tasks}
	if c != nil && c.Pending != nil {
		return // this node's own copy is being claimed: to decide at once for both left one of them out of the indexes
	}
	if c == nil {
		c = &replica.Claim{Key: records.ClaimKey(j.ID, 0), JobID: j.ID, Spec: spec}
	} else {
		next = c.Record.Clone()
	}
	next.LastAttempt++
	used := make(map[string]bool)
	for _, p := range places {
		p.Attempt = next.LastAttempt
		next.Placements = append(next.Placements, p)
		used[n.view.Machines[p.Host].Record.Shard] = true
	}
	for _, shard := range slices.Sorted(maps.Keys(used)) {
		s := n.view.Shards[shard]
		conds = append(conds, kv.Compare{Key: records.GangHoldPrefix + j.ID + "/" + shard, Version: g.Holds[shard].Version},
			kv.Compare{Key: records.ShardPrefix + shard, Version: s.Version})
	}
	tconds, ops, t, ok := n.reserveTeamUse("", c, next)
	if !ok {
		return
	}
	if t != nil {
		t.Writing = true
	}
	conds = append(append(conds, tconds...), kv.Compare{Key: c.Key, Version: c.Version})
	ops = append(ops, kv.Op{Key: c.Key, Value: next}, kv.Op{Key: records.GangReservationPrefix + j.ID})
	g.Writing = true
	n.view.Claims[c.Key] = c
	n.view.SetPending(c, next)
	n.log.Info("placing a wide job", "job", j.ID, "tasks", spec.Tasks, "shards", len(used))
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		g.Writing = false
		n.view.SetPending(c, nil)
		if t != nil {
			t.Writing = false
		}
		if err != nil && c.Record == nil && n.view.Claims[c.Key] == c {
			n.view.DropClaim(c)
		}
	})
}

// assignHeld chooses held room for all tasks, in one zone if only is set.
func (n *Controller) assignHeld(spec *protocol.Submission, g *replica.GangReservation, only string) []records.Placement {
	var places []records.Placement
	zones := placement.NewZoneConstraint(spec, nil)
	for _, shard := range n.view.ShardNames() {
		h := g.Holds[shard]
		if h == nil || h.Version == 0 {
			continue
		}
		hosts := make([]string, 0, len(h.Record.TasksByHost))
		for host := range h.Record.TasksByHost {
			hosts = append(hosts, host)
		}
		slices.Sort(hosts)
		for _, host := range hosts {
			m := n.view.Machines[host]
			if m == nil || m.Record.State != "" || (only != "" && m.Record.Zone != only) {
				continue
			}
			for range h.Record.TasksByHost[host] {
				if len(places) < spec.Tasks && zones.Permits(m.Record.Zone) {
					zones.Add(spec, m.Record.Zone)
					places = append(places, records.Placement{Task: len(places), Host: host})
				}
			}
		}
	}
	return places
}
