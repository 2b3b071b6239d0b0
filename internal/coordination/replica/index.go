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
func (p *Slot) Exited(machine *Machine) bool {
	status := machine.Agent.Tasks[p.TaskName]
	return status != nil && status.Attempt == p.Attempt && status.Phase == protocol.TaskExited
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
func (v *View) Reindex(claim *Claim) {
	claim.generation++
	exists := v.Claims[claim.Key] == claim
	if exists {
		if claim.Slots == nil {
			claim.Slots = make(map[SlotKey]*Slot)
		}
		for _, record := range [2]*records.Claim{claim.Record, claim.Pending} {
			if record != nil {
				for i := range record.Placements {
					v.enterSlot(claim, &record.Placements[i])
				}
			}
		}
	}
	for id, slot := range claim.Slots {
		if slot.generation == claim.generation {
			continue
		}
		delete(claim.Slots, id)
		delete(claim.PreemptedFor, id)
		if slot.Host.Slots[slot.TaskName] == slot { // else another try of the same claim has put its own there
			delete(slot.Host.Slots, slot.TaskName)
		}
		slot.Host.Invalidate()
		if len(slot.Host.Slots) == 0 && slot.Host.Machine == nil {
			delete(v.Hosts, slot.Host.Name)
		}
	}
	v.updateTally(claim, exists)
	if job := v.Jobs[claim.JobID]; job != nil {
		v.Unplaced[claim.JobID] = job
	}
	if record := claim.Latest(); claim.Spec != nil && claim.Spec.Shape != protocol.ShapeArray && record != nil && record.TaskCount > record.CompletedCount()+len(record.Placements) {
		v.Urgent = true // tasks of it wait
	}
	if exists {
		v.MarkDirty(claim)
	}
}

func (v *View) enterSlot(claim *Claim, p *records.Placement) {
	id := SlotKey{p.Task, p.Host}
	slot := claim.Slots[id]
	if slot == nil {
		slot = &Slot{Claim: claim, Task: p.Task, TaskName: protocol.TaskName(claim.JobID, p.Task), Host: v.HostUse(p.Host)}
		claim.Slots[id] = slot
		slot.Host.Slots[slot.TaskName] = slot
		slot.Host.Invalidate()
	}
	if slot.Attempt != p.Attempt || claim.specChanged {
		slot.Attempt = p.Attempt
		slot.Host.Invalidate()
	}
	slot.generation = claim.generation
}

// updateTally puts a claim's present share into the sums in place of its earlier.
func (v *View) updateTally(claim *Claim, exists bool) {
	claim.specChanged = false
	if claim.Tally.Counted {
		v.UseByShard[claim.Tally.Key] = v.UseByShard[claim.Tally.Key].Difference(claim.Tally.Use)
		v.UseByTeam[claim.Tally.Key.Team] = v.UseByTeam[claim.Tally.Key.Team].Difference(claim.Tally.Use)
		v.CommittedUse[claim.Tally.Key.Team] = v.CommittedUse[claim.Tally.Key.Team].Minus(claim.Tally.Committed)
		if claim.Tally.Permanent {
			v.ServiceUse[claim.Tally.Key.Team] = v.ServiceUse[claim.Tally.Key.Team].Minus(claim.Tally.Use)
		}
	}
	claim.Tally = Tally{}
	record := claim.Record
	if record == nil {
		record = claim.Pending
	}
	shard, wide := "", false
	if exists && record != nil {
		shard, wide = record.Shard, record.Shard == ""
		if claim.Spec != nil {
			// Of a version being committed and the committed one the larger counts: what
			// is on its way up may be there, what is on its way down may stay.
			claim.Tally = Tally{TeamShard{claim.Spec.Team, record.Shard}, TaskResources(claim.Spec).Times(float64(claim.ReservedCount())), true, claim.Spec.Shape == protocol.ShapeService, TaskResources(claim.Spec).Times(float64(claim.CommittedCount()))}
			v.CommittedUse[claim.Spec.Team] = v.CommittedUse[claim.Spec.Team].Plus(claim.Tally.Committed)
			if claim.Tally.Permanent {
				v.ServiceUse[claim.Spec.Team] = v.ServiceUse[claim.Spec.Team].Plus(claim.Tally.Use)
			}
			v.UseByShard[claim.Tally.Key] = v.UseByShard[claim.Tally.Key].Plus(claim.Tally.Use)
			v.UseByTeam[claim.Tally.Key.Team] = v.UseByTeam[claim.Tally.Key.Team].Plus(claim.Tally.Use)
		}
	}
	if claim.Shard != shard {
		if s := v.Shards[claim.Shard]; s != nil {
			delete(s.Claims, claim)
			delete(s.Dirty, claim)
		}
		if shard != "" {
			v.Shard(shard).Claims[claim] = struct{}{}
		}
		claim.Shard = shard
	}
	if wide {
		v.CrossShardClaims[claim] = struct{}{}
	} else {
		delete(v.CrossShardClaims, claim)
	}
	if !exists {
		for _, s := range v.Shards {
			delete(s.Dirty, claim)
		}
	}
}

// MarkDirty has a claim looked at in the next pass.
func (v *View) MarkDirty(claim *Claim) {
	if claim.Shard != "" {
		shard := v.Shard(claim.Shard)
		shard.Dirty[claim] = struct{}{}
		shard.Changed = true
		return
	}
	if _, wide := v.CrossShardClaims[claim]; wide {
		for _, shard := range v.Shards {
			shard.Dirty[claim], shard.Changed = struct{}{}, true
		}
	}
}

// MarkAllDirty has all of a shard's claims looked at.
func (v *View) MarkAllDirty(shard *Shard) {
	for claim := range shard.Claims {
		v.MarkDirty(claim)
	}
	for claim := range v.CrossShardClaims {
		v.MarkDirty(claim)
	}
	shard.SweptAt, shard.Changed = time.Now(), true
}

// TakeDirtyClaims takes the claims of a shard that are to be looked at now, in
// the order of their keys. Those whose time has not come stay marked.
func (v *View) TakeDirtyClaims(shard *Shard, now time.Time) []*Claim {
	var out []*Claim
	for claim := range shard.Dirty {
		if v.Claims[claim.Key] != claim || (claim.Shard != "" && claim.Shard != shard.Name) {
			delete(shard.Dirty, claim)
			continue
		}
		if now.Before(claim.RetryAt) || now.Before(claim.CheckAt) {
			continue
		}
		delete(shard.Dirty, claim)
		if claim.Shard == "" && !v.TouchesShard(claim, shard.Name) {
			continue
		}
		out = append(out, claim)
	}
	slices.SortFunc(out, func(a, b *Claim) int { return strings.Compare(a.Key, b.Key) })
	return out
}
