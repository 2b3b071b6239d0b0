package replica

import (
	"fmt"
	"maps"
	"math"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// tolerance is the difference that rounding may cause between sums that should be equal.
const tolerance = protocol.ResourceTolerance

// recount is the expected content of the indexes, computed from the claims alone.
type recount struct {
	placed    map[string]map[string]*Claim // by host and task name: the claim that places the task there
	use       map[TeamShard]quota.Resources
	committed map[string]quota.Resources // by team: use that remains whether or not commits in progress succeed
	shards    map[*Claim]string          // the shard of each claim; empty: placed across shards
}

// Recount computes the expected content of the indexes from the claims alone, and returns an
// error that describes the first difference. UseByTeam and ServiceUse are not compared. It is
// for tests, since it iterates over all claims, hosts and machines.
func (v *View) Recount() error {
	counted := v.countFromClaims()
	for _, check := range []func(*recount) error{v.checkHosts, v.checkUse, v.checkShards} {
		if err := check(&counted); err != nil {
			return err
		}
	}
	return nil
}

// countFromClaims computes the expected content of the indexes.
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
		record := claim.committedOrPending()
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
			return fmt.Errorf("host %s is indexed with %d slots, counted %d", host, len(use.Slots), len(counted.placed[host]))
		}
		for name, slot := range use.Slots {
			if counted.placed[host][name] != slot.Claim {
				return fmt.Errorf("host %s: the slot of task %s belongs to another claim", host, name)
			}
		}
	}
	for host := range counted.placed {
		if v.Hosts[host] == nil {
			return fmt.Errorf("host %s has placements and is not indexed", host)
		}
	}
	return nil
}

// checkUse compares each team's use by shard, and its use whether or not commits in progress
// succeed.
func (v *View) checkUse(counted *recount) error {
	for key, use := range counted.use {
		if got := v.UseByShard[key]; math.Abs(got.CPUs-use.CPUs) > tolerance || math.Abs(got.GPUs-use.GPUs) > tolerance {
			return fmt.Errorf("use by team and shard %v is indexed as %v, counted %v", key, got, use)
		}
	}
	for team, got := range v.CommittedUse {
		committed := counted.committed[team]
		if !got.Within(committed) || !committed.Within(got) {
			return fmt.Errorf("committed use of team %s is indexed as %v, counted %v", team, got, committed)
		}
	}
	for key, got := range v.UseByShard {
		if _, isCounted := counted.use[key]; !isCounted && (got.CPUs > tolerance || got.GPUs > tolerance) {
			return fmt.Errorf("use by team and shard %v is indexed as %v, counted none", key, got)
		}
	}
	return nil
}

// checkShards compares each shard's claims and machines. Of the claims that no shard
// lists, exactly those that have no shard must be in the index of cross-shard claims.
func (v *View) checkShards(counted *recount) error {
	for _, shard := range v.Shards {
		for claim := range shard.Claims {
			if counted.shards[claim] != shard.Name {
				return fmt.Errorf("claim %s is indexed under shard %s, which is not its shard", claim.Key, shard.Name)
			}
			delete(counted.shards, claim)
		}
		if err := v.checkMachines(shard); err != nil {
			return err
		}
	}
	for claim, shard := range counted.shards {
		if _, crossShard := v.CrossShardClaims[claim]; (shard == "") != crossShard {
			return fmt.Errorf("claim %s is wrongly in, or missing from, the index of cross-shard claims", claim.Key)
		}
	}
	return nil
}

// checkMachines compares the number of a shard's machines of each kind, and the cached free
// capacity of each machine.
func (v *View) checkMachines(shard *Shard) error {
	kinds := make(map[MachineKind]int)
	for _, machine := range shard.Machines {
		kinds[machine.Kind()]++
	}
	if !maps.Equal(kinds, shard.Kinds) {
		return fmt.Errorf("machines by kind of shard %s are indexed as %v, counted %v", shard.Name, shard.Kinds, kinds)
	}
	for _, machine := range shard.Machines {
		cached := machine.Capacity.Free
		if machine.Capacity.Stale {
			continue
		}
		machine.Capacity.Stale = true
		if v.FreeCapacity(machine); machine.Capacity.Free != cached {
			return fmt.Errorf("free capacity of host %s is cached as %v, counted %v", machine.Host, cached, machine.Capacity.Free)
		}
	}
	return nil
}
