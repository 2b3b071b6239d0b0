package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TouchesShard tells whether a claim has placements on a shard's machines. One
// without any is minded by the first shard, so that it is tidied up.
func (v *View) TouchesShard(c *Claim, shard string) bool {
	rec := c.Latest() // the first version may still be on its way; without this a pass crashed
	if rec == nil || len(rec.Placements) == 0 {
		return v.ShardNames()[0] == shard
	}
	return slices.ContainsFunc(rec.Placements, func(p records.Placement) bool {
		m := v.Machines[p.Host]
		return m != nil && m.Record.Shard == shard
	})
}

func (v *View) ClaimsOfTeam(s *Shard, team string) []*Claim {
	var out []*Claim
	for c := range s.Claims {
		if c.Spec != nil && c.Spec.Team == team {
			out = append(out, c)
		}
	}
	return out
}

// ClaimOf is the claim of a job's chunk, one that is being made included.
func (v *View) ClaimOf(j *Job, chunk int) *Claim {
	if c := j.Claims[chunk]; c != nil {
		return c
	}
	return v.Claims[j.ClaimKey(chunk)]
}

// ZonesOf lists the zones of a claim's placements, a zone for each.
func (v *View) ZonesOf(c *Claim) []string {
	var zones []string
	if c.Record == nil {
		return nil
	}
	for _, p := range c.Record.Placements {
		if m := v.Machines[p.Host]; m != nil {
			zones = append(zones, m.Record.Zone)
		}
	}
	return zones
}

// SetSpec gives a claim its job's description. The record of a job that is over may have
// none: a try under way at a job that another shard has finished lost its own by that,
// and the process ended when the try failed.
func (v *View) SetSpec(c *Claim, spec *protocol.Submission) {
	if spec != nil && c.Spec != spec {
		c.Spec, c.specChanged = spec, true
		v.Reindex(c)
	}
}

// SetPending says which version of a claim is being committed, if any.
func (v *View) SetPending(c *Claim, next *records.Claim) {
	c.Pending = next
	v.Reindex(c)
}

func (v *View) ApplyClaim(key string, r *records.Claim, stamp uint64) {
	ref, chunk, err := records.ParseClaimKey(key)
	if err != nil {
		return
	}
	j := v.Jobs[ref]
	c := v.Claims[key]
	if r == nil {
		if c != nil {
			v.DropClaim(c)
		}
		return
	}
	if c == nil {
		c = &Claim{Key: key, JobID: ref, Chunk: chunk}
		v.Claims[key] = c
	}
	// Also when this node has a try of its own under way and another shard's
	// claim arrives: left unattached, the winner's tasks would look like strays
	// to this node and be stopped once it takes that shard over.
	if j != nil && j.Record != nil {
		v.Attach(j, c)
	} else {
		if v.OrphanClaims[ref] == nil {
			v.OrphanClaims[ref] = make(map[string]*Claim)
		}
		v.OrphanClaims[ref][key] = c
	}
	c.Record, c.Version = r, stamp
	c.CompletionSeenAt = time.Time{}
	if len(r.Placements) > 0 {
		c.UnplacedSince = time.Time{}
	}
	v.Reindex(c)
	if j != nil && j.Chunks > 1 && r.IsComplete() {
		for _, o := range j.Claims {
			v.MarkDirty(o) // the job may be over
		}
	}
}

func (v *View) DropClaim(c *Claim) {
	delete(v.Claims, c.Key)
	v.Reindex(c)
	if set := v.OrphanClaims[c.JobID]; set != nil {
		// An empty set that stayed had its job looked up in every pass, for ever.
		if delete(set, c.Key); len(set) == 0 {
			delete(v.OrphanClaims, c.JobID)
		}
	}
	if j := v.Jobs[c.JobID]; j != nil {
		delete(j.Claims, c.Chunk)
		if j.Record != nil {
			v.forgetIfOver(j)
		}
	}
}

// PlacementOf finds the claim of a reported task and its placement on a host.
func (v *View) PlacementOf(m *Machine, task string) (*Claim, *records.Placement) {
	host := m.Host
	if p := m.Use.Slots[task]; p != nil && p.Claim.Pending == nil {
		return p.Claim, &records.Placement{Task: p.Task, Attempt: p.Attempt, Host: host}
	}
	ref, num, ok := protocol.ParseTaskName(task)
	j := v.Jobs[ref]
	if !ok || j == nil || j.ChunkSize == 0 {
		return nil, nil
	}
	c := j.Claims[num/j.ChunkSize]
	if c == nil {
		return nil, nil
	}
	for _, rec := range []*records.Claim{c.Record, c.Pending} {
		if rec == nil {
			continue
		}
		for i := range rec.Placements {
			if rec.Placements[i].Task == num && rec.Placements[i].Host == host {
				return c, &rec.Placements[i]
			}
		}
	}
	return c, nil
}
