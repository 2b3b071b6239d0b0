package provisioning

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// Demand is work without a machine.
type Demand struct {
	Spec        *protocol.Submission
	Count       int           // tasks
	Runtime     time.Duration // expected of one task
	SubmittedAt time.Time     // of the job
	Zone        string        // of a warm reserve: where it should be
	Shard       string        // that holds the claim; only its machines can help
	TakenZones  []string      // of the tasks that have machines
}

// SortByPriority orders demands by priority, then by job. A job's chunks stay in their order.
func SortByPriority(demands []Demand) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), strings.Compare(a.Spec.JobID, b.Spec.JobID))
	})
}

// SplitBestEffort parts the demands of arrays into best-effort ones and others, both in
// order.
func SplitBestEffort(arrays []Demand) (others, bestEffort []Demand) {
	for _, demand := range arrays {
		if placement.IsBestEffort(demand.Spec) {
			bestEffort = append(bestEffort, demand)
		} else {
			others = append(others, demand)
		}
	}
	return slices.Clip(others), bestEffort
}

// WarmReserve returns the demands of a reserve for services that are about to start: so
// many tasks like one of theirs, divided among the zones. A zone that is skipped gets none,
// and its part goes to no other.
func WarmReserve(like *protocol.Submission, tasks int, zones []string, skip func(zone string) bool) []Demand {
	spec := *like
	spec.SameZone, spec.SpreadZones, spec.Zone = false, false, ""
	spec.AllowSpot = false // idle spot instances are not kept as a reserve, so they would come and go
	var demands []Demand
	for i, zone := range zones {
		if skip(zone) {
			continue
		}
		part := tasks / len(zones)
		if i < tasks%len(zones) {
			part++
		}
		demands = append(demands, Demand{Spec: &spec, Count: part, Zone: zone})
	}
	return demands
}
