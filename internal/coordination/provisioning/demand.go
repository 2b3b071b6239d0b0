package provisioning

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// Demand is a number of tasks of a job, or of a warm reserve, that need machines.
type Demand struct {
	Spec        *protocol.Submission
	Count       int           // number of tasks
	Runtime     time.Duration // expected run time of one task
	SubmittedAt time.Time     // when the job was accepted
	Zone        string        // zone of a warm reserve; empty: any zone that Spec permits
	Shard       string        // only shard whose machines may run the tasks: the shard of the claim, or the shard chosen for a gang; empty: any shard
	TakenZones  []string      // zones of the job's placed tasks, one entry for each task
}

// SortByPriority orders demands by priority, then by job. A job's chunks stay in their order.
func SortByPriority(demands []Demand) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), strings.Compare(a.Spec.JobID, b.Spec.JobID))
	})
}

// SplitBestEffort divides the demands of arrays into normal and best-effort demands. Both
// results keep the given order.
func SplitBestEffort(arrays []Demand) (normal, bestEffort []Demand) {
	for _, demand := range arrays {
		if placement.IsBestEffort(demand.Spec) {
			bestEffort = append(bestEffort, demand)
		} else {
			normal = append(normal, demand)
		}
	}
	return slices.Clip(normal), bestEffort
}

// WarmReserve returns the demands of a reserve for services that are about to start: the
// given number of tasks of a service, divided among the zones. The part of a skipped zone is
// not given to another zone.
func WarmReserve(service *protocol.Submission, tasks int, zones []string, skip func(zone string) bool) []Demand {
	spec := *service
	spec.SameZone, spec.SpreadZones, spec.Zone = false, false, ""
	// Idle spot instances are returned rather than kept, so a reserve of them would be
	// provisioned and returned repeatedly.
	spec.AllowSpot = false
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
