package controller

import (
	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// bestEffortCapacity is a shard's room as idle work sees it, but for whether others wait.
func (c *Controller) bestEffortCapacity(shard *replica.Shard, capacities []*placement.Capacity) placement.BestEffortCapacity {
	var r placement.BestEffortCapacity
	for _, x := range capacities {
		r.Total += x.Type.CPUs
		if x.Usable {
			r.Free += max(0, x.Free.CPUs)
		}
	}
	for claim := range shard.Claims {
		if claim.Spec == nil || claim.Latest() == nil {
			continue
		}
		cpus := claim.Spec.CPUs * float64(len(claim.Latest().Placements))
		switch {
		case claim.Spec.Shape == protocol.ShapeService:
			r.WarmReserve += cpus
		case placement.IsBestEffort(claim.Spec):
			r.InUse += claim.Spec.CPUs * float64(claim.OccupyingCount())
		}
	}
	r.WarmReserve *= c.policy.WarmShare // once: a sum of rounded products depends on the order
	return r
}

// bestEffortRuns tells that idle work runs in the shard that holds a unit's claim, or in one
// of this node's.
func (c *Controller) bestEffortRuns(entry *placement.QueueEntry) bool {
	for _, shard := range c.view.Shards {
		if !c.view.IsActive(shard) || (entry.Claim != nil && entry.Claim.Record != nil && entry.Claim.Record.Shard != shard.Name) {
			continue
		}
		for claim := range shard.Claims {
			if claim.Spec != nil && claim.Record != nil && placement.IsBestEffort(claim.Spec) && len(claim.Record.Placements) > 0 {
				return true
			}
		}
	}
	return false
}
