package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// Package leftover decides what work of the lowest rank may take; here it is told
// what there is.

// isIdle tells that work is of the lowest rank, and not a service or gang, which
// start whole or are missed.
func isIdle(s *protocol.Submission) bool { return s.Priority() == 0 && s.Shape == protocol.ShapeArray }

// leftOver is a shard's room as idle work sees it, but for whether others wait.
func (n *Controller) leftOver(s *replica.Shard, rooms []*room) placement.BestEffortCapacity {
	var r placement.BestEffortCapacity
	for _, x := range rooms {
		r.Total += x.total.CPUs
		if x.usable {
			r.Free += max(0, x.cpus)
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
		case isIdle(c.Spec):
			r.InUse += c.Spec.CPUs * float64(c.OccupyingCount())
		}
	}
	r.WarmReserve *= n.pol.WarmShare // once: a sum of rounded products depends on the order
	return r
}

// waits is for how long a unit has waited with none of its tasks placed.
func (u *unit) waits(now time.Time) time.Duration {
	if u.c == nil || u.c.Latest() == nil {
		return now.Sub(u.j.SeenAt)
	}
	if len(u.c.Latest().Placements) > 0 {
		return 0
	}
	if u.c.UnplacedSince.IsZero() {
		u.c.UnplacedSince = now
	}
	return now.Sub(u.c.UnplacedSince)
}

// idleRuns tells that idle work runs in the shard that holds a unit's claim, or in one
// of this node's.
func (n *Controller) idleRuns(u *unit) bool {
	for _, s := range n.view.Shards {
		if !n.view.IsActive(s) || (u.c != nil && u.c.Record != nil && u.c.Record.Shard != s.Name) {
			continue
		}
		for c := range s.Claims {
			if c.Spec != nil && c.Record != nil && isIdle(c.Spec) && len(c.Record.Placements) > 0 {
				return true
			}
		}
	}
	return false
}

// splitIdle parts the arrays that wait into others' and idle ones, both in order.
func splitIdle(arrays []want) (others, idle []want) {
	for _, w := range arrays {
		if isIdle(w.spec) {
			idle = append(idle, w)
		} else {
			others = append(others, w)
		}
	}
	return slices.Clip(others), idle
}
