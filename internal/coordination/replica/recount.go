package replica

import (
	"fmt"
	"maps"
	"math"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// tolerance is what rounding may leave of sums that should be equal.
const tolerance = protocol.ResourceTolerance

// recount is what the indexes should hold, worked out from the claims alone.
type recount struct {
	placed    map[string]map[string]*Claim // by host and task name
	use       map[TeamShard]quota.Resources
	committed map[string]quota.Resources // by team
	shards    map[*Claim]string          // the shard under which each claim belongs
}

// Recount works out from the claims alone what the indexes should hold, and returns an error
// that says where they differ. It is for tests: it walks over everything.
func (v *View) Recount() error {
	counted := v.countFromClaims()
	for _, check := range []func(*recount) error{v.checkHosts, v.checkUse, v.checkShards} {
		if err := check(&counted); err != nil {
			return err
		}
	}
	return nil
}

// countFromClaims works out what the indexes should hold.
func (v *View) countFromClaims() recount {
	counted := recount{
		placed:    make(map[string]map[string]*Claim),
		use:       make(map[TeamShard]quota.Resources),
		committed: make(map[string]quota.Resources),
		shards:    make(map[*Claim]string),
	}
	for _, claim := range v.Claims {
		counted.addPlacements(claim)
		if claim.Tally.Counted {
			team := claim.Spec.Team
			counted.committed[team] = counted.committed[team].Plus(TaskResources(claim.Spec).Times(float64(claim.CommittedCount())))
		}
		record := claim.firstCommitted()
		if record == nil {
			continue
		}
		counted.shards[claim] = record.Shard
		if claim.Spec != nil {
			key := TeamShard{claim.Spec.Team, record.Shard}
			counted.use[key] = counted.use[key].Plus(TaskResources(claim.Spec).Times(float64(claim.ReservedCount())))
		}
	}
	return counted
}

// addPlacements counts the placements of a claim's committed version and of the one being
// committed.
func (r *recount) addPlacements(claim *Claim) {
	for _, record := range []*records.Claim{claim.Record, claim.Pending} {
		if record == nil {
			continue
		}
		for _, p := range record.Placements {
			if r.placed[p.Host] == nil {
				r.placed[p.Host] = make(map[string]*Claim)
			}
			r.placed[p.Host][protocol.TaskName(claim.JobID, p.Task)] = claim
		}
	}
}

// checkHosts compares the slots of each host.
func (v *View) checkHosts(counted *recount) error {
	for host, use := range v.Hosts {
		if len(use.Slots) != len(counted.placed[host]) {
			return fmt.Errorf("%s has %d slots, counted %d", host, len(use.Slots), len(counted.placed[host]))
		}
		for name, slot := range use.Slots {
			if counted.placed[host][name] != slot.Claim {
				return fmt.Errorf("%s: slot of %s is another claim's", host, name)
			}
		}
	}
	for host := range counted.placed {
		if v.Hosts[host] == nil {
			return fmt.Errorf("%s is not known", host)
		}
	}
	return nil
}

// checkUse compares what each team uses, by shard and however commits in progress end.
func (v *View) checkUse(counted *recount) error {
	for key, use := range counted.use {
		if got := v.UseByShard[key]; math.Abs(got.CPUs-use.CPUs) > tolerance || math.Abs(got.GPUs-use.GPUs) > tolerance {
			return fmt.Errorf("%v uses %v, counted %v", key, got, use)
		}
	}
	for team, got := range v.CommittedUse {
		committed := counted.committed[team]
		if !got.Within(committed) || !committed.Within(got) {
			return fmt.Errorf("%s has %v committed, counted %v", team, got, committed)
		}
	}
	for key, got := range v.UseByShard {
		if _, isCounted := counted.use[key]; !isCounted && (got.CPUs > tolerance || got.GPUs > tolerance) {
			return fmt.Errorf("%v uses %v, counted nothing", key, got)
		}
	}
	return nil
}

// checkShards compares each shard's claims and machines. Claims that no shard has must be
// indexed as those of several shards, and no others.
func (v *View) checkShards(counted *recount) error {
	for _, shard := range v.Shards {
		for claim := range shard.Claims {
			if counted.shards[claim] != shard.Name {
				return fmt.Errorf("%s is not a claim of %s", claim.Key, shard.Name)
			}
			delete(counted.shards, claim)
		}
		if err := v.checkMachines(shard); err != nil {
			return err
		}
	}
	for claim, shard := range counted.shards {
		if _, crossShard := v.CrossShardClaims[claim]; (shard == "") != crossShard {
			return fmt.Errorf("%s is in no index", claim.Key)
		}
	}
	return nil
}

// checkMachines compares the kinds of a shard's machines, and the free capacity of each.
func (v *View) checkMachines(shard *Shard) error {
	kinds := make(map[MachineKind]int)
	for _, machine := range shard.Machines {
		kinds[machine.Kind()]++
	}
	if !maps.Equal(kinds, shard.Kinds) {
		return fmt.Errorf("%s has %v, counted %v", shard.Name, shard.Kinds, kinds)
	}
	for _, machine := range shard.Machines {
		cached := machine.Capacity.Free
		if machine.Capacity.Stale {
			continue
		}
		machine.Capacity.Stale = true
		if v.FreeCapacity(machine); machine.Capacity.Free != cached {
			return fmt.Errorf("%s had %v free, counted %v", machine.Host, cached, machine.Capacity.Free)
		}
	}
	return nil
}
