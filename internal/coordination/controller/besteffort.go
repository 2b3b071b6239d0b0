package controller

import (
	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// bestEffortCapacity returns a shard's capacity for best-effort work. It does not set
// Contended.
func (c *Controller) bestEffortCapacity(shard *replica.Shard, capacities []*placement.Capacity) placement.BestEffortCapacity {
	var result placement.BestEffortCapacity
	for _, capacity := range capacities {
		result.Total += capacity.Type.CPUs
		if capacity.Usable {
			result.Free += max(0, capacity.Free.CPUs)
		}
	}
	for claim := range shard.Claims {
		if claim.Spec == nil || claim.Latest() == nil {
			continue
		}
		switch {
		case claim.Spec.Shape == protocol.ShapeService:
			result.WarmReserve += claim.Spec.CPUs * float64(len(claim.Latest().Placements))
		case placement.IsBestEffort(claim.Spec):
			result.InUse += claim.Spec.CPUs * float64(claim.OccupyingCount())
		}
	}
	result.WarmReserve *= c.policy.WarmShare // the share multiplies the finished sum: a sum of rounded products would depend on the order of the claims
	return result
}

// bestEffortRuns reports whether best-effort tasks are placed in the shard that holds an
// entry's claim or, if the entry is unclaimed, in one of this node's shards.
func (c *Controller) bestEffortRuns(entry *placement.QueueEntry) bool {
	for _, shard := range c.view.Shards {
		isClaimedElsewhere := entry.Claim != nil && entry.Claim.Record != nil && entry.Claim.Record.Shard != shard.Name
		if !c.view.IsActive(shard) || isClaimedElsewhere {
			continue
		}
		for claim := range shard.Claims {
			if hasPlacedBestEffort(claim) {
				return true
			}
		}
	}
	return false
}

// hasPlacedBestEffort reports whether a claim is of best-effort work and has tasks placed.
func hasPlacedBestEffort(claim *replica.Claim) bool {
	return claim.Spec != nil && claim.Record != nil && placement.IsBestEffort(claim.Spec) && len(claim.Record.Placements) > 0
}
