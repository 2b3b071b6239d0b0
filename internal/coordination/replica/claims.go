package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TouchesShard tells whether a claim has placements on a shard's machines. One
// without any is minded by the first shard, so that it is tidied up.
func (v *View) TouchesShard(claim *Claim, shard string) bool {
	record := claim.Latest() // the first version may still be on its way; without this a pass crashed
	if record == nil || len(record.Placements) == 0 {
		return v.ShardNames()[0] == shard
	}
	return slices.ContainsFunc(record.Placements, func(p records.Placement) bool {
		machine := v.Machines[p.Host]
		return machine != nil && machine.Record.Shard == shard
	})
}

func (v *View) ClaimsOfTeam(shard *Shard, team string) []*Claim {
	var out []*Claim
	for claim := range shard.Claims {
		if claim.Spec != nil && claim.Spec.Team == team {
			out = append(out, claim)
		}
	}
	return out
}

// ClaimOf is the claim of a job's chunk, one that is being made included.
func (v *View) ClaimOf(job *Job, chunk int) *Claim {
	if claim := job.Claims[chunk]; claim != nil {
		return claim
	}
	return v.Claims[job.ClaimKey(chunk)]
}

// ZonesOf lists the zones of a claim's placements, a zone for each.
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

// SetSpec gives a claim its job's description. The record of a job that is over may have
// none: a try under way at a job that another shard has finished lost its own by that,
// and the process ended when the try failed.
func (v *View) SetSpec(claim *Claim, spec *protocol.Submission) {
	if spec != nil && claim.Spec != spec {
		claim.Spec, claim.specChanged = spec, true
		v.Reindex(claim)
	}
}

// SetPending says which version of a claim is being committed, if any.
func (v *View) SetPending(claim *Claim, next *records.Claim) {
	claim.Pending = next
	v.Reindex(claim)
}

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
	// Also when this node has a try of its own under way and another shard's
	// claim arrives: left unattached, the winner's tasks would look like strays
	// to this node and be stopped once it takes that shard over.
	if job != nil && job.Record != nil {
		v.Attach(job, claim)
	} else {
		if v.OrphanClaims[jobID] == nil {
			v.OrphanClaims[jobID] = make(map[string]*Claim)
		}
		v.OrphanClaims[jobID][key] = claim
	}
	claim.Record, claim.Version = record, version
	claim.CompletionSeenAt = time.Time{}
	if len(record.Placements) > 0 {
		claim.UnplacedSince = time.Time{}
	}
	v.Reindex(claim)
	if job != nil && job.Chunks > 1 && record.IsComplete() {
		for _, o := range job.Claims {
			v.MarkDirty(o) // the job may be over
		}
	}
}

func (v *View) DropClaim(claim *Claim) {
	delete(v.Claims, claim.Key)
	v.Reindex(claim)
	if set := v.OrphanClaims[claim.JobID]; set != nil {
		// An empty set that stayed had its job looked up in every pass, for ever.
		if delete(set, claim.Key); len(set) == 0 {
			delete(v.OrphanClaims, claim.JobID)
		}
	}
	if job := v.Jobs[claim.JobID]; job != nil {
		delete(job.Claims, claim.Chunk)
		if job.Record != nil {
			v.forgetIfOver(job)
		}
	}
}

// PlacementOf finds the claim of a reported task and its placement on a host.
func (v *View) PlacementOf(machine *Machine, task string) (*Claim, *records.Placement) {
	host := machine.Host
	if slot := machine.Use.Slots[task]; slot != nil && slot.Claim.Pending == nil {
		return slot.Claim, &records.Placement{Task: slot.Task, Attempt: slot.Attempt, Host: host}
	}
	jobID, num, ok := protocol.ParseTaskName(task)
	job := v.Jobs[jobID]
	if !ok || job == nil || job.ChunkSize == 0 {
		return nil, nil
	}
	claim := job.Claims[num/job.ChunkSize]
	if claim == nil {
		return nil, nil
	}
	for _, record := range []*records.Claim{claim.Record, claim.Pending} {
		if record == nil {
			continue
		}
		for i := range record.Placements {
			if record.Placements[i].Task == num && record.Placements[i].Host == host {
				return claim, &record.Placements[i]
			}
		}
	}
	return claim, nil
}
