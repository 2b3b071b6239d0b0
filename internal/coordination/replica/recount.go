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
	for _, claim := range v.Claims {
		for _, record := range []*records.Claim{claim.Record, claim.Pending} {
			if record == nil {
				continue
			}
			for _, p := range record.Placements {
				if places[p.Host] == nil {
					places[p.Host] = make(map[string]*Claim)
				}
				places[p.Host][protocol.TaskName(claim.JobID, p.Task)] = claim
			}
		}
		record := claim.Record
		if record == nil {
			record = claim.Pending
		}
		if record == nil {
			continue
		}
		inShard[claim] = record.Shard
		if claim.Spec != nil {
			k := TeamShard{claim.Spec.Team, record.Shard}
			use[k] = use[k].Plus(TaskResources(claim.Spec).Times(float64(claim.ReservedCount())))
		}
	}
	for host, h := range v.Hosts {
		if len(h.Slots) != len(places[host]) {
			return fmt.Errorf("%s has %d places, counted %d", host, len(h.Slots), len(places[host]))
		}
		for name, slot := range h.Slots {
			if places[host][name] != slot.Claim {
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
	for _, claim := range v.Claims {
		if claim.Tally.Counted {
			sure[claim.Spec.Team] = sure[claim.Spec.Team].Plus(TaskResources(claim.Spec).Times(float64(claim.CommittedCount())))
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
		for claim := range s.Claims {
			if inShard[claim] != s.Name {
				return fmt.Errorf("%s is not a claim of %s", claim.Key, s.Name)
			}
			delete(inShard, claim)
		}
		kinds := make(map[MachineKind]int)
		for _, machine := range s.Machines {
			kinds[machine.Kind()]++
		}
		if !maps.Equal(kinds, s.Kinds) {
			return fmt.Errorf("%s has %v, counted %v", s.Name, s.Kinds, kinds)
		}
		for _, machine := range s.Machines {
			kept := machine.Capacity.Free
			if machine.Capacity.Stale {
				continue
			}
			machine.Capacity.Stale = true
			if v.FreeCapacity(machine); machine.Capacity.Free != kept {
				return fmt.Errorf("%s had %v free, counted %v", machine.Host, kept, machine.Capacity.Free)
			}
		}
	}
	for claim, shard := range inShard {
		if _, wide := v.CrossShardClaims[claim]; (shard == "") != wide {
			return fmt.Errorf("%s is in no index", claim.Key)
		}
	}
	return nil
}
