package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// The indexes answer, without a walk over all claims, what is on a machine,
// what a shard's claims are, and what a team uses. They are derived from the
// claims and kept up to date by reindex alone; Recount compares them with a
// count from scratch.

// place is a task that is, or may be, on a machine: a placement of a claim,
// committed or being committed.
type place struct {
	c    *claim
	task int
	try  uint64
	name string
	at   *hostUse
	gen  uint32
}

// exited tells that the machine reports the task as ended, whether that is recorded or not.
func (p *place) exited(m *machine) bool {
	t := m.tasks[p.name]
	return t != nil && t.Attempt == p.try && t.Phase == protocol.TaskExited
}

// slot tells a claim's places apart.
type slot struct {
	task int
	host string
}

// placesInOrder lists a claim's placements by task and host.
func (c *claim) placesInOrder() []*place {
	slots := slices.SortedFunc(maps.Keys(c.on), func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.task, b.task), strings.Compare(a.host, b.host))
	})
	places := make([]*place, len(slots))
	for i, at := range slots {
		places[i] = c.on[at]
	}
	return places
}

// hostUse is what claims place on a host. A claim may be read before the
// machine it names, so this stands apart from the machine.
type hostUse struct {
	host   string
	m      *machine          // nil until the machine is known
	places map[string]*place // by task name
}

func (n *Controller) hostUse(host string) *hostUse {
	h := n.hosts[host]
	if h == nil {
		h = &hostUse{host: host, places: make(map[string]*place)}
		n.hosts[host] = h
	}
	return h
}

func (h *hostUse) touch() {
	if h.m != nil {
		h.m.stale, h.m.undetailed = true, true
	}
}

// teamShard is a team's use of one shard.
type teamShard struct{ team, shard string }

// tally is what a claim adds to the sums: the use of its team, by shard.
type tally struct {
	key  teamShard
	use  quota.Resources
	kept bool
	// stays tells that it does not end by itself: replicas of services.
	stays bool
	sure  quota.Resources // what is placed in any case, however a commit under way ends
}

// reindex brings the indexes in line with a claim. It is called after every
// change of the claim's record, of the version being committed, of its job's
// description, and of whether the claim is there at all.
func (n *Controller) reindex(c *claim) {
	c.gen++
	live := n.claims[c.key] == c
	if live {
		if c.on == nil {
			c.on = make(map[slot]*place)
		}
		for _, rec := range [2]*records.Claim{c.rec, c.pend} {
			if rec != nil {
				for i := range rec.Placements {
					n.enter(c, &rec.Placements[i])
				}
			}
		}
	}
	for id, p := range c.on {
		if p.gen == c.gen {
			continue
		}
		delete(c.on, id)
		delete(c.lentTo, id)
		if p.at.places[p.name] == p { // else another try of the same claim has put its own there
			delete(p.at.places, p.name)
		}
		p.at.touch()
		if len(p.at.places) == 0 && p.at.m == nil {
			delete(n.hosts, p.at.host)
		}
	}
	n.recount(c, live)
	if j := n.jobs[c.ref]; j != nil {
		n.hungry[c.ref] = j
	}
	if rec := c.latest(); c.spec != nil && c.spec.Shape != protocol.ShapeArray && rec != nil && rec.TaskCount > rec.CompletedCount()+len(rec.Placements) {
		n.pressing = true // tasks of it wait
	}
	if live {
		n.mark(c)
	}
}

func (n *Controller) enter(c *claim, p *records.Placement) {
	id := slot{p.Task, p.Host}
	pl := c.on[id]
	if pl == nil {
		pl = &place{c: c, task: p.Task, name: protocol.TaskName(c.ref, p.Task), at: n.hostUse(p.Host)}
		c.on[id] = pl
		pl.at.places[pl.name] = pl
		pl.at.touch()
	}
	if pl.try != p.Attempt || c.freshSpec {
		pl.try = p.Attempt
		pl.at.touch()
	}
	pl.gen = c.gen
}

// recount puts a claim's present share into the sums in place of its earlier.
func (n *Controller) recount(c *claim, live bool) {
	c.freshSpec = false
	if c.sum.kept {
		n.use[c.sum.key] = n.use[c.sum.key].Difference(c.sum.use)
		n.teamRun[c.sum.key.team] = n.teamRun[c.sum.key.team].Difference(c.sum.use)
		n.teamSure[c.sum.key.team] = n.teamSure[c.sum.key.team].Minus(c.sum.sure)
		if c.sum.stays {
			n.teamKept[c.sum.key.team] = n.teamKept[c.sum.key.team].Minus(c.sum.use)
		}
	}
	c.sum = tally{}
	rec := c.rec
	if rec == nil {
		rec = c.pend
	}
	shard, wide := "", false
	if live && rec != nil {
		shard, wide = rec.Shard, rec.Shard == ""
		if c.spec != nil {
			// Of a version being committed and the committed one the larger counts: what
			// is on its way up may be there, what is on its way down may stay.
			c.sum = tally{teamShard{c.spec.Team, rec.Shard}, unitOf(c.spec).Times(float64(c.booked())), true, c.spec.Shape == protocol.ShapeService, unitOf(c.spec).Times(float64(c.sure()))}
			n.teamSure[c.spec.Team] = n.teamSure[c.spec.Team].Plus(c.sum.sure)
			if c.sum.stays {
				n.teamKept[c.spec.Team] = n.teamKept[c.spec.Team].Plus(c.sum.use)
			}
			n.use[c.sum.key] = n.use[c.sum.key].Plus(c.sum.use)
			n.teamRun[c.sum.key.team] = n.teamRun[c.sum.key.team].Plus(c.sum.use)
		}
	}
	if c.shard != shard {
		if s := n.shards[c.shard]; s != nil {
			delete(s.claims, c)
			delete(s.dirty, c)
		}
		if shard != "" {
			n.shard(shard).claims[c] = struct{}{}
		}
		c.shard = shard
	}
	if wide {
		n.wideClaims[c] = struct{}{}
	} else {
		delete(n.wideClaims, c)
	}
	if !live {
		for _, s := range n.shards {
			delete(s.dirty, c)
		}
	}
}

// mark has a claim looked at in the next pass.
func (n *Controller) mark(c *claim) {
	if c.shard != "" {
		s := n.shard(c.shard)
		s.dirty[c] = struct{}{}
		s.stirred = true
		return
	}
	if _, wide := n.wideClaims[c]; wide {
		for _, s := range n.shards {
			s.dirty[c], s.stirred = struct{}{}, true
		}
	}
}

// markAll has all of a shard's claims looked at.
func (n *Controller) markAll(s *shard) {
	for c := range s.claims {
		n.mark(c)
	}
	for c := range n.wideClaims {
		n.mark(c)
	}
	s.swept, s.stirred = time.Now(), true
}

// dirtyClaims takes the claims of a shard that are to be looked at now, in
// the order of their keys. Those whose time has not come stay marked.
func (n *Controller) dirtyClaims(s *shard, now time.Time) []*claim {
	var out []*claim
	for c := range s.dirty {
		if n.claims[c.key] != c || (c.shard != "" && c.shard != s.name) {
			delete(s.dirty, c)
			continue
		}
		if now.Before(c.again) || now.Before(c.look) {
			continue
		}
		delete(s.dirty, c)
		if c.shard == "" && !n.touches(c, s.name) {
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *claim) int { return strings.Compare(a.key, b.key) })
	return out
}

// free is what a machine has left: everything that is or may be on it counts,
// recorded or only reported. A task that its worker reports as exited takes no
// room, even before its end is booked.
func (n *Controller) free(m *machine) (cpus, gpus, mem float64) {
	if !m.stale {
		return m.left[0], m.left[1], m.left[2]
	}
	t := n.typeOf(m.rec.Type)
	m.left = [3]float64{t.CPUs, t.GPUs, t.MemoryGB}
	m.stale, m.unclear = false, false
	take := func(s *protocol.Submission) {
		if s == nil {
			m.unclear = true // of unknown size
			return
		}
		m.left[0], m.left[1], m.left[2] = m.left[0]-s.CPUs, m.left[1]-s.GPUs, m.left[2]-s.MemoryGB
	}
	for name, p := range m.use.places {
		if t := m.tasks[name]; t != nil && t.Attempt == p.try && t.Phase == protocol.TaskExited {
			continue
		}
		take(p.c.spec)
	}
	for name, t := range m.tasks {
		if t.Phase != protocol.TaskExited && m.use.places[name] == nil {
			take(n.specOf(name)) // a stray; housekeeping is ending it
			m.stale = true       // its job may be forgotten any moment, and its size with it
		}
	}
	return m.left[0], m.left[1], m.left[2]
}

// onlyReplicas tells whether a machine runs replicas of services and nothing
// else, none of them just moving.
func (m *machine) onlyReplicas() bool {
	for _, p := range m.use.places {
		if p.c.spec == nil || p.c.spec.Shape != protocol.ShapeService || p.c.pend != nil || len(p.c.evict) > 0 {
			return false
		}
	}
	return true
}

// runsReplicas tells whether a machine runs a replica of a service.
func (m *machine) runsReplicas() bool {
	for _, p := range m.use.places {
		if p.c.spec != nil && p.c.spec.Shape == protocol.ShapeService {
			return true
		}
	}
	return false
}
