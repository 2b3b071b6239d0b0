package replica

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// The indexes over claims give the tasks on a machine, the claims of a shard and the use of a
// team without iterating over all claims. Reindex alone updates them.

// TeamShard identifies a team's use of one shard, or, with an empty Shard, of claims across
// shards.
type TeamShard struct{ Team, Shard string }

// Tally is the share of a claim in the sums of its team's use.
type Tally struct {
	Key       TeamShard
	Use       quota.Resources // resources of the placements for which the team is charged
	Counted   bool            // the claim is included in the sums of its team's use
	Permanent bool            // the tasks do not end by themselves: replicas of services
	Committed quota.Resources // resources of the placements that stay whether or not a commit in progress succeeds
}

// Reindex updates the indexes for a claim. It is called after every change of the claim's
// record, of the version being committed and of its job's description, and after the claim is
// added or removed.
func (v *View) Reindex(claim *Claim) {
	claim.generation++
	exists := v.Claims[claim.Key] == claim
	if exists {
		v.addSlots(claim)
	}
	v.removeStaleSlots(claim)
	v.updateTally(claim, exists)
	if job := v.Jobs[claim.JobID]; job != nil {
		v.Unplaced[claim.JobID] = job
	}
	if claim.hasUrgentTasks() {
		v.Urgent = true
	}
	if exists {
		v.MarkDirty(claim)
	}
}

// hasUrgentTasks reports whether a claim has unplaced tasks that should be placed without
// delay. Tasks of arrays may wait.
func (c *Claim) hasUrgentTasks() bool {
	record := c.Latest()
	if c.Spec == nil || c.Spec.Shape == protocol.ShapeArray || record == nil {
		return false
	}
	return record.TaskCount > record.CompletedCount()+len(record.Placements)
}

// addSlots adds slots for the placements of a claim's committed version and of the version
// being committed.
func (v *View) addSlots(claim *Claim) {
	if claim.Slots == nil {
		claim.Slots = make(map[SlotKey]*Slot)
	}
	for _, record := range [2]*records.Claim{claim.Record, claim.Pending} {
		if record != nil {
			for i := range record.Placements {
				v.addSlot(claim, &record.Placements[i])
			}
		}
	}
}

// addSlot adds the slot of one placement of a claim, or updates it if it exists.
func (v *View) addSlot(claim *Claim, p *records.Placement) {
	key := SlotKey{p.Task, p.Host}
	slot := claim.Slots[key]
	if slot == nil {
		slot = &Slot{Claim: claim, Task: p.Task, TaskName: protocol.TaskName(claim.JobID, p.Task), Host: v.HostUse(p.Host)}
		claim.Slots[key] = slot
		slot.Host.Slots[slot.TaskName] = slot
		slot.Host.Invalidate()
	}
	if slot.Attempt != p.Attempt || claim.specChanged {
		slot.Attempt = p.Attempt
		slot.Host.Invalidate()
	}
	slot.generation = claim.generation
}

// removeStaleSlots removes the slots of a claim whose placements are in neither its committed
// version nor the version being committed, or all its slots if the claim was removed.
func (v *View) removeStaleSlots(claim *Claim) {
	for key, slot := range claim.Slots {
		if slot.generation == claim.generation {
			continue
		}
		delete(claim.Slots, key)
		delete(claim.PreemptedFor, key)
		// The host's slot of the task may be that of another attempt to claim the same chunk.
		if slot.Host.Slots[slot.TaskName] == slot {
			delete(slot.Host.Slots, slot.TaskName)
		}
		slot.Host.Invalidate()
		if len(slot.Host.Slots) == 0 && slot.Host.Machine == nil {
			delete(v.Hosts, slot.Host.Name)
		}
	}
}

// updateTally computes a claim's share of the sums and its membership in the shards' sets of
// claims anew.
func (v *View) updateTally(claim *Claim, exists bool) {
	claim.specChanged = false
	v.subtractTally(claim)
	claim.Tally = Tally{}
	record := claim.committedOrPending()
	shard, crossShard := "", false
	if exists && record != nil {
		shard, crossShard = record.Shard, record.Shard == ""
		if claim.Spec != nil {
			v.addTally(claim, shard)
		}
	}
	v.moveToShard(claim, shard)
	if crossShard {
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

// committedOrPending returns the committed version, or, if there is none, the one being
// committed.
func (c *Claim) committedOrPending() *records.Claim {
	if c.Record != nil {
		return c.Record
	}
	return c.Pending
}

// subtractTally removes a claim's share from the sums.
func (v *View) subtractTally(claim *Claim) {
	tally := claim.Tally
	if !tally.Counted {
		return
	}
	team := tally.Key.Team
	v.UseByShard[tally.Key] = v.UseByShard[tally.Key].Difference(tally.Use)
	v.UseByTeam[team] = v.UseByTeam[team].Difference(tally.Use)
	v.CommittedUse[team] = v.CommittedUse[team].Minus(tally.Committed)
	if tally.Permanent {
		v.ServiceUse[team] = v.ServiceUse[team].Minus(tally.Use)
	}
}

// addTally adds a claim's share to the sums.
func (v *View) addTally(claim *Claim, shard string) {
	perTask, team := TaskResources(claim.Spec), claim.Spec.Team
	tally := Tally{
		Key:       TeamShard{team, shard},
		Use:       perTask.Times(float64(claim.ReservedCount())),
		Counted:   true,
		Permanent: claim.Spec.Shape == protocol.ShapeService,
		Committed: perTask.Times(float64(claim.CommittedCount())),
	}
	claim.Tally = tally
	v.CommittedUse[team] = v.CommittedUse[team].Plus(tally.Committed)
	if tally.Permanent {
		v.ServiceUse[team] = v.ServiceUse[team].Plus(tally.Use)
	}
	v.UseByShard[tally.Key] = v.UseByShard[tally.Key].Plus(tally.Use)
	v.UseByTeam[team] = v.UseByTeam[team].Plus(tally.Use)
}

// moveToShard moves a claim to a shard's set of claims, or removes it from its set if shard
// is empty.
func (v *View) moveToShard(claim *Claim, shard string) {
	if claim.Shard == shard {
		return
	}
	if previous := v.Shards[claim.Shard]; previous != nil {
		delete(previous.Claims, claim)
		delete(previous.Dirty, claim)
	}
	if shard != "" {
		v.Shard(shard).Claims[claim] = struct{}{}
	}
	claim.Shard = shard
}

// MarkDirty marks a claim to be reconciled in the next pass: by the owner of its shard, or,
// for a claim across shards, by the owners of all shards.
func (v *View) MarkDirty(claim *Claim) {
	if claim.Shard != "" {
		shard := v.Shard(claim.Shard)
		shard.Dirty[claim] = struct{}{}
		shard.Changed = true
		return
	}
	if _, crossShard := v.CrossShardClaims[claim]; crossShard {
		for _, shard := range v.Shards {
			shard.Dirty[claim], shard.Changed = struct{}{}, true
		}
	}
}

// MarkAllDirty marks all of a shard's claims, and all claims across shards, to be reconciled
// in the next pass.
func (v *View) MarkAllDirty(shard *Shard) {
	for claim := range shard.Claims {
		v.MarkDirty(claim)
	}
	for claim := range v.CrossShardClaims {
		v.MarkDirty(claim)
	}
	shard.SweptAt, shard.Changed = time.Now(), true
}

// TakeDirtyClaims returns the marked claims of a shard that are due, sorted by key, and
// removes their marks. Claims whose RetryAt or CheckAt is not reached yet stay marked.
func (v *View) TakeDirtyClaims(shard *Shard, now time.Time) []*Claim {
	var due []*Claim
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
		due = append(due, claim)
	}
	slices.SortFunc(due, func(a, b *Claim) int { return strings.Compare(a.Key, b.Key) })
	return due
}
