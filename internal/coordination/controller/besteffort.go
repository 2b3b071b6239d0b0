package controller

import (
	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// bestEffortCapacity is a shard's room as idle work sees it, but for whether others wait.
func (n *Controller) bestEffortCapacity(s *replica.Shard, rooms []*placement.Capacity) placement.BestEffortCapacity {
	var r placement.BestEffortCapacity
	for _, x := range rooms {
		r.Total += x.Type.CPUs
		if x.Usable {
			r.Free += max(0, x.Free.CPUs)
		}
	}
	for c := range s.Claims {
		if c.Spec == nil || c.Latest() == nil {
			continue
		}
		cpus := c.Spec.CPUs * float64(len(c.Latest().Placements))
		switch {
		case c.Spec.Shape == protocol.ShapeService:
			r.WarmReserve += cpus
		case placement.IsBestEffort(c.Spec):
			r.InUse += c.Spec.CPUs * float64(c.OccupyingCount())
		}
	}
	r.WarmReserve *= n.policy.WarmShare // once: a sum of rounded products depends on the order
	return r
}

// bestEffortRuns tells that idle work runs in the shard that holds a unit's claim, or in one
// of this node's.
func (n *Controller) bestEffortRuns(u *placement.QueueEntry) bool {
	for _, s := range n.view.Shards {
		if !n.view.IsActive(s) || (u.Claim != nil && u.Claim.Record != nil && u.Claim.Record.Shard != s.Name) {
			continue
		}
		for c := range s.Claims {
			if c.Spec != nil && c.Record != nil && placement.IsBestEffort(c.Spec) && len(c.Record.Placements) > 0 {
				return true
			}
		}
	}
	return false
}
