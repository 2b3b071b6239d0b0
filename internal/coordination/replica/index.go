package replica

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// The indexes answer, without a walk over all claims, what is on a machine, what a shard's
// claims are, and what a team uses. They are derived from the claims and kept up to date by
// Reindex alone; Recount compares them with a count from scratch.

// Slot is a task that is, or may be, on a machine: a placement of a claim,
// committed or being committed.
type Slot struct {
	Claim      *Claim
	Task       int
	Attempt    uint64
	TaskName   string
	Host       *HostUse
	generation uint32
}

// Exited tells that the machine reports the task as ended, whether that is recorded or not.
func (p *Slot) Exited(m *Machine) bool {
	t := m.Agent.Tasks[p.TaskName]
	return t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited
}

// SlotKey tells a claim's places apart.
type SlotKey struct {
	Task int
	Host string
}

// HostUse is what claims place on a host. A claim may be read before the
// machine it names, so this stands apart from the machine.
type HostUse struct {
	Name    string
	Machine *Machine         // nil until the machine is known
	Slots   map[string]*Slot // by task name
}

func (v *View) HostUse(host string) *HostUse {
	h := v.Hosts[host]
	if h == nil {
		h = &HostUse{Name: host, Slots: make(map[string]*Slot)}
		v.Hosts[host] = h
	}
	return h
}

func (h *HostUse) Invalidate() {
	if h.Machine != nil {
		h.Machine.Capacity.Stale, h.Machine.Capacity.DetailsStale = true, true
	}
}

// TeamShard is a team's use of one shard.
type TeamShard struct{ Team, Shard string }

// Tally is what a claim adds to the sums: the use of its team, by shard.
type Tally struct {
	Key     TeamShard
	Use     quota.Resources
	Counted bool
	// stays tells that it does not end by itself: replicas of services.
	Permanent bool
	Committed quota.Resources // what is placed in any case, however a commit under way ends
}

// Reindex brings the indexes in line with a claim. It is called after every
// change of the claim's record, of the version being committed, of its job's
// description, and of whether the claim is there at all.
func (v *View) Reindex(c *Claim) {
	c.generation++
	live := v.Claims[c.Key] == c
	if live {
		if c.Slots == nil {
			c.Slots = make(map[SlotKey]*Slot)
		}
		for _, rec := range [2]*records.Claim{c.Record, c.Pending} {
			if rec != nil {
				for i := range rec.Placements {
					v.enterSlot(c, &rec.Placements[i])
				}
			}
		}
	}
	for id, p := range c.Slots {
		if p.generation == c.generation {
			continue
		}
		delete(c.Slots, id)
		delete(c.PreemptedFor, id)
		if p.Host.Slots[p.TaskName] == p { // else another try of the same claim has put its own there
			delete(p.Host.Slots, p.TaskName)
		}
		p.Host.Invalidate()
		if len(p.Host.Slots) == 0 && p.Host.Machine == nil {
			delete(v.Hosts, p.Host.Name)
		}
	}
	v.updateTally(c, live)
	if j := v.Jobs[c.JobID]; j != nil {
		v.Unplaced[c.JobID] = j
	}
	if rec := c.Latest(); c.Spec != nil && c.Spec.Shape != protocol.ShapeArray && rec != nil && rec.TaskCount > rec.CompletedCount()+len(rec.Placements) {
		v.Urgent = true // tasks of it wait
	}
	if live {
		v.MarkDirty(c)
	}
}

func (v *View) enterSlot(c *Claim, p *records.Placement) {
	id := SlotKey{p.Task, p.Host}
	pl := c.Slots[id]
	if pl == nil {
		pl = &Slot{Claim: c, Task: p.Task, TaskName: protocol.TaskName(c.JobID, p.Task), Host: v.HostUse(p.Host)}
		c.Slots[id] = pl
		pl.Host.Slots[pl.TaskName] = pl
		pl.Host.Invalidate()
	}
	if pl.Attempt != p.Attempt || c.specChanged {
		pl.Attempt = p.Attempt
		pl.Host.Invalidate()
	}
	pl.generation = c.generation
}

// updateTally puts a claim's present share into the sums in place of its earlier.
func (v *View) updateTally(c *Claim, live bool) {
	c.specChanged = false
	if c.Tally.Counted {
		v.UseByShard[c.Tally.Key] = v.UseByShard[c.Tally.Key].Difference(c.Tally.Use)
		v.UseByTeam[c.Tally.Key.Team] = v.UseByTeam[c.Tally.Key.Team].Difference(c.Tally.Use)
		v.CommittedUse[c.Tally.Key.Team] = v.CommittedUse[c.Tally.Key.Team].Minus(c.Tally.Committed)
		if c.Tally.Permanent {
			v.ServiceUse[c.Tally.Key.Team] = v.ServiceUse[c.Tally.Key.Team].Minus(c.Tally.Use)
		}
	}
	c.Tally = Tally{}
	rec := c.Record
	if rec == nil {
		rec = c.Pending
	}
	shard, wide := "", false
	if live && rec != nil {
		shard, wide = rec.Shard, rec.Shard == ""
		if c.Spec != nil {
			// Of a version being committed and the committed one the larger counts: what
			// is on its way up may be there, what is on its way down may stay.
			c.Tally = Tally{TeamShard{c.Spec.Team, rec.Shard}, TaskResources(c.Spec).Times(float64(c.ReservedCount())), true, c.Spec.Shape == protocol.ShapeService, TaskResources(c.Spec).Times(float64(c.CommittedCount()))}
			v.CommittedUse[c.Spec.Team] = v.CommittedUse[c.Spec.Team].Plus(c.Tally.Committed)
			if c.Tally.Permanent {
				v.ServiceUse[c.Spec.Team] = v.ServiceUse[c.Spec.Team].Plus(c.Tally.Use)
			}
			v.UseByShard[c.Tally.Key] = v.UseByShard[c.Tally.Key].Plus(c.Tally.Use)
			v.UseByTeam[c.Tally.Key.Team] = v.UseByTeam[c.Tally.Key.Team].Plus(c.Tally.Use)
		}
	}
	if c.Shard != shard {
		if s := v.Shards[c.Shard]; s != nil {
			delete(s.Claims, c)
			delete(s.Dirty, c)
		}
		if shard != "" {
			v.Shard(shard).Claims[c] = struct{}{}
		}
		c.Shard = shard
	}
	if wide {
		v.CrossShardClaims[c] = struct{}{}
	} else {
		delete(v.CrossShardClaims, c)
	}
	if !live {
		for _, s := range v.Shards {
			delete(s.Dirty, c)
		}
	}
}

// MarkDirty has a claim looked at in the next pass.
func (v *View) MarkDirty(c *Claim) {
	if c.Shard != "" {
		s := v.Shard(c.Shard)
		s.Dirty[c] = struct{}{}
		s.Changed = true
		return
	}
	if _, wide := v.CrossShardClaims[c]; wide {
		for _, s := range v.Shards {
			s.Dirty[c], s.Changed = struct{}{}, true
		}
	}
}

// MarkAllDirty has all of a shard's claims looked at.
func (v *View) MarkAllDirty(s *Shard) {
	for c := range s.Claims {
		v.MarkDirty(c)
	}
	for c := range v.CrossShardClaims {
		v.MarkDirty(c)
	}
	s.SweptAt, s.Changed = time.Now(), true
}

// TakeDirtyClaims takes the claims of a shard that are to be looked at now, in
// the order of their keys. Those whose time has not come stay marked.
func (v *View) TakeDirtyClaims(s *Shard, now time.Time) []*Claim {
	var out []*Claim
	for c := range s.Dirty {
		if v.Claims[c.Key] != c || (c.Shard != "" && c.Shard != s.Name) {
			delete(s.Dirty, c)
			continue
		}
		if now.Before(c.RetryAt) || now.Before(c.CheckAt) {
			continue
		}
		delete(s.Dirty, c)
		if c.Shard == "" && !v.TouchesShard(c, s.Name) {
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *Claim) int { return strings.Compare(a.Key, b.Key) })
	return out
}
