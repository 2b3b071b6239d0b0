package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// gathering is the search for room across shards for one gang.
type gathering struct {
	rec   records.GangReservation
	stamp uint64
	busy  bool
	holds map[string]*heldRoom // by shard
	again time.Time            // not sought anew before
}

type heldRoom struct {
	rec   records.GangHold
	stamp uint64
	busy  bool
	pend  map[string]int // what is being recorded as held
}

const (
	gatherAfter = 3 * time.Second  // a job waits so long before room is gathered
	gatherFor   = 30 * time.Second // and holds last so long at most
	gatherAgain = 20 * time.Second
	wideGap     = 500 * time.Millisecond // jobs to gather for are sought so often: they have waited for longer
)

func (n *Controller) gathering(ref string) *gathering {
	g := n.gathers[ref]
	if g == nil {
		g = &gathering{holds: make(map[string]*heldRoom)}
		n.gathers[ref] = g
	}
	return g
}

func (n *Controller) storeGather(ref string, r *records.GangReservation, stamp uint64) {
	g := n.gathering(ref)
	if r == nil {
		// Gone with its purpose, or with the leader's lease.
		g.stamp, g.again = 0, time.Now().Add(gatherAgain)
		return
	}
	g.rec, g.stamp = *r, stamp
}

func (n *Controller) storeHold(key string, r *records.GangHold, stamp uint64) {
	ref, shard, _ := strings.Cut(key, "/")
	g := n.gathering(ref)
	h := g.holds[shard]
	if h == nil {
		h = &heldRoom{}
		g.holds[shard] = h
	}
	h.rec, h.stamp = records.GangHold{}, 0
	if r != nil {
		h.rec, h.stamp = *r, stamp
	}
}

// touches tells whether a claim has placements on a shard's machines. One
// without any is minded by the first shard, so that it is tidied up.
func (n *Controller) touches(c *claim, shard string) bool {
	rec := c.latest() // the first version may still be on its way; without this a pass crashed
	if rec == nil || len(rec.Placements) == 0 {
		return n.shardNames()[0] == shard
	}
	return slices.ContainsFunc(rec.Placements, func(p records.Placement) bool {
		m := n.machines[p.Host]
		return m != nil && m.rec.Shard == shard
	})
}

// wide lists the gangs that no shard could take with all its machines empty,
// in the queue's order. One that was placed across shards and lost its attempt
// stays among them, since no shard holds its claim: it was left waiting for ever
// once a shard had grown large enough for it.
func (n *Controller) wide(now time.Time) []*job {
	var out []*job
	for _, j := range n.jobs {
		if j.rec == nil || j.rec.Spec == nil || j.rec.IsFinal() || j.spec().Shape != protocol.ShapeGang || j.spec().Tasks < 2 ||
			now.Sub(j.seen) < gatherAfter || now.Before(j.pause) || j.onTrial(now) {
			continue
		}
		if !gatherable(j) {
			continue
		}
		fits := make(map[[2]string]int) // by shard, and by zone if it must be one
		for _, s := range n.shards {
			for k, count := range s.kinds {
				if t := n.types[k.typ]; t != nil && canEver(j.spec(), t) && allowed(j.spec(), k.typ, k.zone, k.loaner) {
					at := [2]string{s.name}
					if j.spec().SameZone {
						at[1] = k.zone
					}
					fits[at] += perMachine(j.spec(), t) * count
				}
			}
		}
		largest := 0
		for _, k := range fits {
			largest = max(largest, k)
		}
		if largest < j.spec().Tasks || j.claims[0] != nil {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.spec().Priority() != b.spec().Priority() {
			return b.spec().Priority() - a.spec().Priority()
		}
		if a.rec.AcceptedAtMs != b.rec.AcceptedAtMs {
			return int(a.rec.AcceptedAtMs - b.rec.AcceptedAtMs)
		}
		return strings.Compare(a.ref, b.ref)
	})
	return out
}

// gatherable tells that a job may be placed across shards: no shard has claimed
// it, and nothing of an earlier attempt is left.
func gatherable(j *job) bool {
	c := j.claims[0]
	return c == nil || (c.rec != nil && c.pend == nil && c.rec.Shard == "" && len(c.rec.Placements) == 0)
}

// gather is the leader's part: ask for room for one wide job at a time, and
// place the job once the shards hold enough for all of it. Two jobs gathering
// at once could each hold what the other needs.
func (n *Controller) gather(now time.Time) {
	var current *job
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		if g.stamp == 0 || g.busy {
			continue
		}
		// A shard may have claimed the job while room was being gathered. It was
		// placed a second time beside what ran already (ran_twice).
		j := n.jobs[ref]
		if j == nil || j.rec.IsFinal() || now.UnixMilli() > g.rec.ExpiresAtMs || !gatherable(j) {
			n.endGather(ref, g)
			continue
		}
		current = j
	}
	if current == nil {
		if now.Sub(n.soughtWide) < wideGap {
			return
		}
		n.soughtWide = now
		for team := range n.cfg.Teams {
			n.quota.SetDemand(team, quota.CrossShard, nil, false, now)
		}
		for _, j := range n.wide(now) {
			if g := n.gathering(j.ref); !g.busy && g.stamp == 0 && now.After(g.again) {
				n.beginGather(j.ref, g, now)
				return
			}
		}
		return
	}
	n.placeWide(current, n.gathers[current.ref], now)
}

func (n *Controller) beginGather(ref string, g *gathering, now time.Time) {
	g.busy = true
	key := records.GangReservationPrefix + ref
	n.log.Info("gathering room", "job", ref)
	n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.LeaderKey, Version: n.leadStamp}, {Key: key, Version: 0}},
		[]kv.Op{{Key: key, Value: &records.GangReservation{ExpiresAtMs: now.Add(gatherFor).UnixMilli()}, Lease: n.permit}}, 5*time.Second,
		func(error) { g.busy = false })
}

func (n *Controller) endGather(ref string, g *gathering) {
	g.busy = true
	key := records.GangReservationPrefix + ref
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: g.stamp}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { g.busy = false })
}

// hold is an owner's part: hold the room that a shard has for the job being
// gathered, and let go when the leader no longer asks.
func (n *Controller) hold(s *shard, now time.Time) {
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		h := g.holds[s.name]
		if h == nil {
			h = &heldRoom{}
			g.holds[s.name] = h
		}
		key := records.GangHoldPrefix + ref + "/" + s.name
		j := n.jobs[ref]
		switch {
		case h.busy:
		case g.stamp == 0 || j == nil || j.rec.Spec == nil:
			if h.stamp != 0 {
				h.busy = true
				n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: h.stamp}}, []kv.Op{{Key: key}}, 5*time.Second, func(error) { h.busy = false })
			} else if g.stamp == 0 && j == nil && !g.busy {
				delete(g.holds, s.name)
				if len(g.holds) == 0 {
					delete(n.gathers, ref)
				}
			}
		default:
			next := n.holdable(s, ref, j.spec(), now)
			if len(next) == 0 || sameHold(next, h.rec.TasksByHost) {
				continue
			}
			// Held from now on: while the record was on its way the queue gave the same
			// room to others, and the job's tasks were refused for want of it.
			h.busy, h.pend = true, next
			n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + s.name, Version: s.token}, {Key: records.GangReservationPrefix + ref, Version: g.stamp}, {Key: key, Version: h.stamp}},
				[]kv.Op{{Key: key, Value: &records.GangHold{TasksByHost: next}, Lease: n.permit}}, 5*time.Second, func(error) { h.busy, h.pend = false, nil })
		}
	}
}

func sameHold(a, b map[string]int) bool {
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

// holdable is how many of a job's tasks each of a shard's machines could take
// now, what is held for the job already included.
func (n *Controller) holdable(s *shard, ref string, spec *protocol.Submission, now time.Time) map[string]int {
	out := make(map[string]int)
	for _, r := range n.roomsBut(s, ref, now) {
		for r.usable && r.fits(spec) && allowed(spec, r.typ, r.zone, r.spot) && out[r.host] < spec.Tasks {
			r.take(spec)
			out[r.host]++
		}
	}
	return out
}

// chargeHolds takes held room out of the free room, but for the job but.
func (n *Controller) chargeHolds(s *shard, but string, byHost map[string]*room) {
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		h, j := g.holds[s.name], n.jobs[ref]
		if ref == but || h == nil || j == nil || j.rec.Spec == nil {
			continue
		}
		hosts := maps.Clone(h.rec.TasksByHost)
		for host, k := range h.pend {
			if hosts == nil {
				hosts = make(map[string]int)
			}
			hosts[host] = max(hosts[host], k)
		}
		for host, k := range hosts {
			for range k {
				if r := byHost[host]; r != nil && r.fits(j.spec()) {
					r.take(j.spec())
				}
			}
		}
	}
}

// placeWide places a gathered job whole, on condition of every hold it uses.
func (n *Controller) placeWide(j *job, g *gathering, now time.Time) {
	spec := j.spec()
	if g.busy {
		return
	}
	if n.limited(spec) && n.allowanceIn(quota.CrossShard, spec) < spec.Tasks {
		if n.quota.IsAllotted(spec.Team) {
			all := unitOf(spec).Times(float64(spec.Tasks))
			n.quota.SetDemand(spec.Team, quota.CrossShard, &quota.Demand{Head: all, PerTask: unitOf(spec), Total: all, Priority: spec.Priority(), AcceptedAtMs: j.rec.AcceptedAtMs, JobID: j.ref, AllOrNothing: true}, false, now)
		}
		return
	}
	n.quota.SetDemand(spec.Team, quota.CrossShard, nil, false, now)
	conds := []kv.Compare{{Key: records.LeaderKey, Version: n.leadStamp}, {Key: records.GangReservationPrefix + j.ref, Version: g.stamp},
		{Key: records.JobPrefix + j.ref, Version: j.stamp}}
	var places []records.Placement
	for _, only := range append([]string{""}, n.cfg.Zones...) {
		if (only == "") == spec.SameZone {
			continue
		}
		places = n.pickHeld(spec, g, only)
		if len(places) == spec.Tasks {
			break
		}
	}
	if len(places) < spec.Tasks {
		return
	}
	c := n.claimOf(j, 0)
	next := &records.Claim{TaskCount: spec.Tasks}
	if c != nil && c.pend != nil {
		return // this node's own copy is being claimed: to decide at once for both left one of them out of the indexes
	}
	if c == nil {
		c = &claim{key: records.ClaimKey(j.ref, 0), ref: j.ref, spec: spec}
	} else {
		next = c.rec.Clone()
	}
	next.LastAttempt++
	used := make(map[string]bool)
	for _, p := range places {
		p.Attempt = next.LastAttempt
		next.Placements = append(next.Placements, p)
		used[n.machines[p.Host].rec.Shard] = true
	}
	for _, shard := range slices.Sorted(maps.Keys(used)) {
		s := n.shards[shard]
		conds = append(conds, kv.Compare{Key: records.GangHoldPrefix + j.ref + "/" + shard, Version: g.holds[shard].stamp},
			kv.Compare{Key: records.ShardPrefix + shard, Version: s.stamp})
	}
	tconds, ops, t, ok := n.reserveTeam("", c, next)
	if !ok {
		return
	}
	if t != nil {
		t.busy = true
	}
	conds = append(append(conds, tconds...), kv.Compare{Key: c.key, Version: c.stamp})
	ops = append(ops, kv.Op{Key: c.key, Value: next}, kv.Op{Key: records.GangReservationPrefix + j.ref})
	g.busy = true
	n.claims[c.key] = c
	n.setPend(c, next)
	n.log.Info("placing a wide job", "job", j.ref, "tasks", spec.Tasks, "shards", len(used))
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		g.busy = false
		n.setPend(c, nil)
		if t != nil {
			t.busy = false
		}
		if err != nil && c.rec == nil && n.claims[c.key] == c {
			n.unlinkClaim(c)
		}
	})
}

// pickHeld chooses held room for all tasks, in one zone if only is set.
func (n *Controller) pickHeld(spec *protocol.Submission, g *gathering, only string) []records.Placement {
	var places []records.Placement
	zones := newZoneRule(spec, nil)
	for _, shard := range n.shardNames() {
		h := g.holds[shard]
		if h == nil || h.stamp == 0 {
			continue
		}
		hosts := make([]string, 0, len(h.rec.TasksByHost))
		for host := range h.rec.TasksByHost {
			hosts = append(hosts, host)
		}
		slices.Sort(hosts)
		for _, host := range hosts {
			m := n.machines[host]
			if m == nil || m.rec.State != "" || (only != "" && m.rec.Zone != only) {
				continue
			}
			for range h.rec.TasksByHost[host] {
				if len(places) < spec.Tasks && zones.permits(m.rec.Zone) {
					zones.add(spec, m.rec.Zone)
					places = append(places, records.Placement{Task: len(places), Host: host})
				}
			}
		}
	}
	return places
}
