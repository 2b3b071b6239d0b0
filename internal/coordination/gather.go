package coordination

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/protocol"
	"madderslip/internal/quota"
)

// gathering is the search for room across shards for one gang.
type gathering struct {
	rec   ledger.Gather
	stamp uint64
	busy  bool
	holds map[string]*heldRoom // by shard
	again time.Time            // not sought anew before
}

type heldRoom struct {
	rec   ledger.Hold
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

func (n *Node) gathering(ref string) *gathering {
	g := n.gathers[ref]
	if g == nil {
		g = &gathering{holds: make(map[string]*heldRoom)}
		n.gathers[ref] = g
	}
	return g
}

func (n *Node) storeGather(ref string, r *ledger.Gather, stamp uint64) {
	g := n.gathering(ref)
	if r == nil {
		// Gone with its purpose, or with the leader's lease.
		g.stamp, g.again = 0, time.Now().Add(gatherAgain)
		return
	}
	g.rec, g.stamp = *r, stamp
}

func (n *Node) storeHold(key string, r *ledger.Hold, stamp uint64) {
	ref, shard, _ := strings.Cut(key, "/")
	g := n.gathering(ref)
	h := g.holds[shard]
	if h == nil {
		h = &heldRoom{}
		g.holds[shard] = h
	}
	h.rec, h.stamp = ledger.Hold{}, 0
	if r != nil {
		h.rec, h.stamp = *r, stamp
	}
}

// touches tells whether a claim has placements on a shard's machines. One
// without any is minded by the first shard, so that it is tidied up.
func (n *Node) touches(c *claim, shard string) bool {
	rec := c.latest() // the first version may still be on its way; without this a pass crashed
	if rec == nil || len(rec.Open) == 0 {
		return n.shardNames()[0] == shard
	}
	return slices.ContainsFunc(rec.Open, func(p ledger.Placement) bool {
		m := n.machines[p.Host]
		return m != nil && m.rec.Shard == shard
	})
}

// wide lists the gangs that no shard could take with all its machines empty,
// in the queue's order. One that was placed across shards and lost its attempt
// stays among them, since no shard holds its claim: it was left waiting for ever
// once a shard had grown large enough for it.
func (n *Node) wide(now time.Time) []*job {
	var out []*job
	for _, j := range n.jobs {
		if j.rec == nil || j.rec.Spec == nil || j.rec.Final() || j.spec().Shape != protocol.Gang || j.spec().Tasks < 2 ||
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
		if a.spec().Prio() != b.spec().Prio() {
			return b.spec().Prio() - a.spec().Prio()
		}
		if a.rec.Born != b.rec.Born {
			return int(a.rec.Born - b.rec.Born)
		}
		return strings.Compare(a.ref, b.ref)
	})
	return out
}

// gatherable tells that a job may be placed across shards: no shard has claimed
// it, and nothing of an earlier attempt is left.
func gatherable(j *job) bool {
	c := j.claims[0]
	return c == nil || (c.rec != nil && c.pend == nil && c.rec.Shard == "" && len(c.rec.Open) == 0)
}

// gather is the leader's part: ask for room for one wide job at a time, and
// place the job once the shards hold enough for all of it. Two jobs gathering
// at once could each hold what the other needs.
func (n *Node) gather(now time.Time) {
	var current *job
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		if g.stamp == 0 || g.busy {
			continue
		}
		// A shard may have claimed the job while room was being gathered. It was
		// placed a second time beside what ran already (ran_twice).
		j := n.jobs[ref]
		if j == nil || j.rec.Final() || now.UnixMilli() > g.rec.Until || !gatherable(j) {
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
			n.quota.Wish(team, quota.Wide, nil, false, now)
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

func (n *Node) beginGather(ref string, g *gathering, now time.Time) {
	g.busy = true
	key := ledger.GatherKeys + ref
	n.log.Info("gathering room", "job", ref)
	n.commit(ledger.PrioClaim, []ledger.Cond{{Key: ledger.LeaderKey, Stamp: n.leadStamp}, {Key: key, Stamp: 0}},
		[]ledger.Op{{Key: key, Value: &ledger.Gather{Until: now.Add(gatherFor).UnixMilli()}, Grant: n.permit}}, 5*time.Second,
		func(error) { g.busy = false })
}

func (n *Node) endGather(ref string, g *gathering) {
	g.busy = true
	key := ledger.GatherKeys + ref
	n.commit(ledger.PrioRest, []ledger.Cond{{Key: key, Stamp: g.stamp}}, []ledger.Op{{Key: key}}, 5*time.Second, func(error) { g.busy = false })
}

// hold is an owner's part: hold the room that a shard has for the job being
// gathered, and let go when the leader no longer asks.
func (n *Node) hold(s *shard, now time.Time) {
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		h := g.holds[s.name]
		if h == nil {
			h = &heldRoom{}
			g.holds[s.name] = h
		}
		key := ledger.HoldKeys + ref + "/" + s.name
		j := n.jobs[ref]
		switch {
		case h.busy:
		case g.stamp == 0 || j == nil || j.rec.Spec == nil:
			if h.stamp != 0 {
				h.busy = true
				n.commit(ledger.PrioRest, []ledger.Cond{{Key: key, Stamp: h.stamp}}, []ledger.Op{{Key: key}}, 5*time.Second, func(error) { h.busy = false })
			} else if g.stamp == 0 && j == nil && !g.busy {
				delete(g.holds, s.name)
				if len(g.holds) == 0 {
					delete(n.gathers, ref)
				}
			}
		default:
			next := n.holdable(s, ref, j.spec(), now)
			if len(next) == 0 || sameHold(next, h.rec.Hosts) {
				continue
			}
			// Held from now on: while the record was on its way the queue gave the same
			// room to others, and the job's tasks were refused for want of it.
			h.busy, h.pend = true, next
			n.commit(ledger.PrioClaim, []ledger.Cond{{Key: ledger.ShardKeys + s.name, Stamp: s.token}, {Key: ledger.GatherKeys + ref, Stamp: g.stamp}, {Key: key, Stamp: h.stamp}},
				[]ledger.Op{{Key: key, Value: &ledger.Hold{Hosts: next}, Grant: n.permit}}, 5*time.Second, func(error) { h.busy, h.pend = false, nil })
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
func (n *Node) holdable(s *shard, ref string, spec *protocol.Submission, now time.Time) map[string]int {
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
func (n *Node) chargeHolds(s *shard, but string, byHost map[string]*room) {
	for _, ref := range slices.Sorted(maps.Keys(n.gathers)) {
		g := n.gathers[ref]
		h, j := g.holds[s.name], n.jobs[ref]
		if ref == but || h == nil || j == nil || j.rec.Spec == nil {
			continue
		}
		hosts := maps.Clone(h.rec.Hosts)
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
func (n *Node) placeWide(j *job, g *gathering, now time.Time) {
	spec := j.spec()
	if g.busy {
		return
	}
	if n.limited(spec) && n.allowanceIn(quota.Wide, spec) < spec.Tasks {
		if n.quota.Allotted(spec.Team) {
			all := unitOf(spec).Times(float64(spec.Tasks))
			n.quota.Wish(spec.Team, quota.Wide, &quota.Want{Head: all, Unit: unitOf(spec), Total: all, Rank: spec.Prio(), Born: j.rec.Born, Ref: j.ref, Whole: true}, false, now)
		}
		return
	}
	n.quota.Wish(spec.Team, quota.Wide, nil, false, now)
	conds := []ledger.Cond{{Key: ledger.LeaderKey, Stamp: n.leadStamp}, {Key: ledger.GatherKeys + j.ref, Stamp: g.stamp},
		{Key: ledger.JobKeys + j.ref, Stamp: j.stamp}}
	var places []ledger.Placement
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
	next := &ledger.Claim{Count: spec.Tasks}
	if c != nil && c.pend != nil {
		return // this node's own copy is being claimed: to decide at once for both left one of them out of the indexes
	}
	if c == nil {
		c = &claim{key: ledger.ClaimKey(j.ref, 0), ref: j.ref, spec: spec}
	} else {
		next = c.rec.Clone()
	}
	next.Try++
	used := make(map[string]bool)
	for _, p := range places {
		p.Try = next.Try
		next.Open = append(next.Open, p)
		used[n.machines[p.Host].rec.Shard] = true
	}
	for _, shard := range slices.Sorted(maps.Keys(used)) {
		s := n.shards[shard]
		conds = append(conds, ledger.Cond{Key: ledger.HoldKeys + j.ref + "/" + shard, Stamp: g.holds[shard].stamp},
			ledger.Cond{Key: ledger.ShardKeys + shard, Stamp: s.stamp})
	}
	tconds, ops, t, ok := n.reserveTeam("", c, next)
	if !ok {
		return
	}
	if t != nil {
		t.busy = true
	}
	conds = append(append(conds, tconds...), ledger.Cond{Key: c.key, Stamp: c.stamp})
	ops = append(ops, ledger.Op{Key: c.key, Value: next}, ledger.Op{Key: ledger.GatherKeys + j.ref})
	g.busy = true
	n.claims[c.key] = c
	n.setPend(c, next)
	n.log.Info("placing a wide job", "job", j.ref, "tasks", spec.Tasks, "shards", len(used))
	n.commit(ledger.PrioClaim, conds, ops, 0, func(err error) {
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
func (n *Node) pickHeld(spec *protocol.Submission, g *gathering, only string) []ledger.Placement {
	var places []ledger.Placement
	zones := newZoneRule(spec, nil)
	for _, shard := range n.shardNames() {
		h := g.holds[shard]
		if h == nil || h.stamp == 0 {
			continue
		}
		hosts := make([]string, 0, len(h.rec.Hosts))
		for host := range h.rec.Hosts {
			hosts = append(hosts, host)
		}
		slices.Sort(hosts)
		for _, host := range hosts {
			m := n.machines[host]
			if m == nil || m.rec.State != "" || (only != "" && m.rec.Zone != only) {
				continue
			}
			for range h.rec.Hosts[host] {
				if len(places) < spec.Tasks && zones.permits(m.rec.Zone) {
					zones.add(spec, m.rec.Zone)
					places = append(places, ledger.Placement{Task: len(places), Host: host})
				}
			}
		}
	}
	return places
}
