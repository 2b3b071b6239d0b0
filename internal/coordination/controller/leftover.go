package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// Package leftover decides what work of the lowest rank may take; here it is told
// what there is.

// isIdle tells that work is of the lowest rank, and not a service or gang, which
// start whole or are missed.
func isIdle(s *protocol.Submission) bool { return s.Priority() == 0 && s.Shape == protocol.ShapeArray }

// leftOver is a shard's room as idle work sees it, but for whether others wait.
func (n *Controller) leftOver(s *shard, rooms []*room) placement.BestEffortCapacity {
	var r placement.BestEffortCapacity
	for _, x := range rooms {
		r.Total += x.total.CPUs
		if x.usable {
			r.Free += max(0, x.cpus)
		}
	}
	for c := range s.claims {
		if c.spec == nil || c.latest() == nil {
			continue
		}
		cpus := c.spec.CPUs * float64(len(c.latest().Placements))
		switch {
		case c.spec.Shape == protocol.ShapeService:
			r.WarmReserve += cpus
		case isIdle(c.spec):
			r.InUse += c.spec.CPUs * float64(c.present())
		}
	}
	r.WarmReserve *= n.pol.WarmShare // once: a sum of rounded products depends on the order
	return r
}

// present counts the tasks of a claim that take room: those that have exited do not,
// though their end may be recorded later.
func (c *claim) present() int {
	count := 0
	for _, p := range c.on {
		if p.at.m == nil || !p.exited(p.at.m) {
			count++
		}
	}
	return count
}

// waits is for how long a unit has waited with none of its tasks placed.
func (u *unit) waits(now time.Time) time.Duration {
	if u.c == nil || u.c.latest() == nil {
		return now.Sub(u.j.seen)
	}
	if len(u.c.latest().Placements) > 0 {
		return 0
	}
	if u.c.bare.IsZero() {
		u.c.bare = now
	}
	return now.Sub(u.c.bare)
}

// idleRuns tells that idle work runs in the shard that holds a unit's claim, or in one
// of this node's.
func (n *Controller) idleRuns(u *unit) bool {
	for _, s := range n.shards {
		if !n.active(s) || (u.c != nil && u.c.rec != nil && u.c.rec.Shard != s.name) {
			continue
		}
		for c := range s.claims {
			if c.spec != nil && c.rec != nil && isIdle(c.spec) && len(c.rec.Placements) > 0 {
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
