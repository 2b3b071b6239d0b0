package replica

import (
	"fmt"
	"maps"
	"math"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Recount works out from the claims alone what the indexes should hold, and
// says where they differ. It is for tests: it walks over everything.
func (v *View) Recount() error {
	places := make(map[string]map[string]*Claim)
	use := make(map[TeamShard]quota.Resources)
	inShard := make(map[*Claim]string)
	for _, c := range v.Claims {
		for _, rec := range []*records.Claim{c.Record, c.Pending} {
			if rec == nil {
				continue
			}
			for _, p := range rec.Placements {
				if places[p.Host] == nil {
					places[p.Host] = make(map[string]*Claim)
				}
				places[p.Host][protocol.TaskName(c.JobID, p.Task)] = c
			}
		}
		rec := c.Record
		if rec == nil {
			rec = c.Pending
		}
		if rec == nil {
			continue
		}
		inShard[c] = rec.Shard
		if c.Spec != nil {
			k := TeamShard{c.Spec.Team, rec.Shard}
			use[k] = use[k].Plus(TaskResources(c.Spec).Times(float64(c.ReservedCount())))
		}
	}
	for host, h := range v.Hosts {
		if len(h.Slots) != len(places[host]) {
			return fmt.Errorf("%s has %d places, counted %d", host, len(h.Slots), len(places[host]))
		}
		for name, p := range h.Slots {
			if places[host][name] != p.Claim {
				return fmt.Errorf("%s: place of %s", host, name)
			}
		}
	}
	for host := range places {
		if v.Hosts[host] == nil {
			return fmt.Errorf("%s is not known", host)
		}
	}
	for k, u := range use {
		if got := v.UseByShard[k]; math.Abs(got.CPUs-u.CPUs) > tolerance || math.Abs(got.GPUs-u.GPUs) > tolerance {
			return fmt.Errorf("%v uses %v, counted %v", k, got, u)
		}
	}
	sure := make(map[string]quota.Resources)
	for _, c := range v.Claims {
		if c.Tally.Counted {
			sure[c.Spec.Team] = sure[c.Spec.Team].Plus(TaskResources(c.Spec).Times(float64(c.CommittedCount())))
		}
	}
	for team, got := range v.CommittedUse {
		if !got.Within(sure[team]) || !sure[team].Within(got) {
			return fmt.Errorf("%s has %v for sure, counted %v", team, got, sure[team])
		}
	}
	for k, got := range v.UseByShard {
		if _, counted := use[k]; !counted && (got.CPUs > tolerance || got.GPUs > tolerance) {
			return fmt.Errorf("%v uses %v, counted nothing", k, got)
		}
	}
	for _, s := range v.Shards {
		for c := range s.Claims {
			if inShard[c] != s.Name {
				return fmt.Errorf("%s is not a claim of %s", c.Key, s.Name)
			}
			delete(inShard, c)
		}
		kinds := make(map[MachineKind]int)
		for _, m := range s.Machines {
			kinds[m.Kind()]++
		}
		if !maps.Equal(kinds, s.Kinds) {
			return fmt.Errorf("%s has %v, counted %v", s.Name, s.Kinds, kinds)
		}
		for _, m := range s.Machines {
			kept := m.Capacity.Free
			if m.Capacity.Stale {
				continue
			}
			m.Capacity.Stale = true
			if v.FreeCapacity(m); m.Capacity.Free != kept {
				return fmt.Errorf("%s had %v free, counted %v", m.Host, kept, m.Capacity.Free)
			}
		}
	}
	for c, shard := range inShard {
		if _, wide := v.CrossShardClaims[c]; (shard == "") != wide {
			return fmt.Errorf("%s is in no index", c.Key)
		}
	}
	return nil
}
