package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TouchesShard reports whether a claim has placements on a shard's machines. A claim without
// placements counts as one of the first shard by name, so that exactly one owner removes it.
func (v *View) TouchesShard(claim *Claim, shard string) bool {
	record := claim.Latest() // nil while the first version is being committed
	if record == nil || len(record.Placements) == 0 {
		return v.ShardNames()[0] == shard
	}
	return slices.ContainsFunc(record.Placements, func(p records.Placement) bool {
		machine := v.Machines[p.Host]
		return machine != nil && machine.Record.Shard == shard
	})
}

// ClaimsOfTeam lists a team's claims in a shard, in no particular order.
func (v *View) ClaimsOfTeam(shard *Shard, team string) []*Claim {
	var claims []*Claim
	for claim := range shard.Claims {
		if claim.Spec != nil && claim.Spec.Team == team {
			claims = append(claims, claim)
		}
	}
	return claims
}

// ClaimOf returns the claim of a job's chunk, also if its first version is still being
// committed, or nil if there is none.
func (v *View) ClaimOf(job *Job, chunk int) *Claim {
	if claim := job.Claims[chunk]; claim != nil {
		return claim
	}
	return v.Claims[job.ClaimKey(chunk)]
}

// ZonesOf lists the zones of a claim's committed placements, one entry for each placement.
func (v *View) ZonesOf(claim *Claim) []string {
	var zones []string
	if claim.Record == nil {
		return nil
	}
	for _, p := range claim.Record.Placements {
		if machine := v.Machines[p.Host]; machine != nil {
			zones = append(zones, machine.Record.Zone)
		}
	}
	return zones
}

// SetSpec sets a claim's description to that of its job. A nil description changes nothing:
// the record of a final job may have none, and if a commit of the claim was in progress while
// another shard finished the job, the failure of that commit is handled with the description
// that the claim has.
func (v *View) SetSpec(claim *Claim, spec *protocol.Submission) {
	if spec != nil && claim.Spec != spec {
		claim.Spec, claim.specChanged = spec, true
		v.Reindex(claim)
	}
}

// SetPending sets the version of a claim that is being committed; nil: none.
func (v *View) SetPending(claim *Claim, next *records.Claim) {
	claim.Pending = next
	v.Reindex(claim)
}

// ApplyClaim applies a claim's record. A nil record means that the claim was removed.
func (v *View) ApplyClaim(key string, record *records.Claim, version uint64) {
	jobID, chunk, err := records.ParseClaimKey(key)
	if err != nil {
		return
	}
	job := v.Jobs[jobID]
	claim := v.Claims[key]
	if record == nil {
		if claim != nil {
			v.DropClaim(claim)
		}
		return
	}
	if claim == nil {
		claim = &Claim{Key: key, JobID: jobID, Chunk: chunk}
		v.Claims[key] = claim
	}
	v.attachOrOrphan(job, claim)
	claim.Record, claim.Version = record, version
	claim.CompletionSeenAt = time.Time{}
	if len(record.Placements) > 0 {
		claim.UnplacedSince = time.Time{}
	}
	v.Reindex(claim)
	if job != nil && job.Chunks > 1 && record.IsComplete() {
		for _, other := range job.Claims {
			v.MarkDirty(other) // all chunks of the job may be complete
		}
	}
}

// attachOrOrphan attaches a claim to its job, or keeps it as an orphan until the job is read.
// This is done for the record of another shard's claim too, while this controller's own
// commit of a claim on the same chunk is in progress: if it were not attached, the other
// shard's tasks would look orphaned to this controller, which would stop them after taking
// over that shard.
func (v *View) attachOrOrphan(job *Job, claim *Claim) {
	if job != nil && job.Record != nil {
		v.Attach(job, claim)
		return
	}
	if v.OrphanClaims[claim.JobID] == nil {
		v.OrphanClaims[claim.JobID] = make(map[string]*Claim)
	}
	v.OrphanClaims[claim.JobID][claim.Key] = claim
}

// DropClaim removes a claim from the view, and with it the claim's job if the job is final and
// has no other claims.
func (v *View) DropClaim(claim *Claim) {
	delete(v.Claims, claim.Key)
	v.Reindex(claim)
	if set := v.OrphanClaims[claim.JobID]; set != nil {
		// An empty set left in OrphanClaims would cause the job to be read again in every pass.
		if delete(set, claim.Key); len(set) == 0 {
			delete(v.OrphanClaims, claim.JobID)
		}
	}
	if job := v.Jobs[claim.JobID]; job != nil {
		delete(job.Claims, claim.Chunk)
		if job.Record != nil {
			v.dropIfFinal(job)
		}
	}
}

// PlacementOf returns the claim of a task that a machine reports, and its placement there.
// Either is nil if there is none.
func (v *View) PlacementOf(machine *Machine, task string) (*Claim, *records.Placement) {
	host := machine.Host
	if slot := machine.Use.Slots[task]; slot != nil && slot.Claim.Pending == nil {
		return slot.Claim, &records.Placement{Task: slot.Task, Attempt: slot.Attempt, Host: host}
	}
	jobID, taskNumber, ok := protocol.ParseTaskName(task)
	job := v.Jobs[jobID]
	if !ok || job == nil || job.ChunkSize == 0 {
		return nil, nil
	}
	claim := job.Claims[taskNumber/job.ChunkSize]
	if claim == nil {
		return nil, nil
	}
	for _, record := range []*records.Claim{claim.Record, claim.Pending} {
		if record == nil {
			continue
		}
		for i := range record.Placements {
			if record.Placements[i].Task == taskNumber && record.Placements[i].Host == host {
				return claim, &record.Placements[i]
			}
		}
	}
	return claim, nil
}
