package placement

import (
	"maps"
	"slices"

	"madderslip/internal/protocol"
)

// ZoneConstraint restricts the zones of a job's next task, given the zones of all its tasks
// that run or may run, earlier attempts included.
type ZoneConstraint struct {
	// Only is the only permitted zone; empty: Only restricts nothing.
	Only        string
	tasksByZone map[string]int
	maxPerZone  int // largest number of the job's tasks in one zone; 0: no limit
}

// NewZoneConstraint returns the constraint of a job with tasks in zones, one entry for
// each task.
func NewZoneConstraint(spec *protocol.Submission, zones []string) ZoneConstraint {
	constraint := ZoneConstraint{tasksByZone: make(map[string]int)}
	for _, zone := range zones {
		constraint.Add(spec, zone)
	}
	if spec.SpreadZones {
		constraint.maxPerZone = (spec.Tasks + 1) / 2
	}
	return constraint
}

// Add counts one more task of the job in a zone.
func (z *ZoneConstraint) Add(spec *protocol.Submission, zone string) {
	z.tasksByZone[zone]++
	if spec.SameZone {
		z.Only = zone
	}
}

// Permits reports whether one more task may run in a zone.
func (z *ZoneConstraint) Permits(zone string) bool {
	return (z.Only == "" || z.Only == zone) && (z.maxPerZone == 0 || z.tasksByZone[zone] < z.maxPerZone)
}

// clone returns a copy of the constraint that can be changed without changing the original.
func (z *ZoneConstraint) clone() ZoneConstraint {
	return ZoneConstraint{Only: z.Only, tasksByZone: maps.Clone(z.tasksByZone), maxPerZone: z.maxPerZone}
}

// CandidateZones lists the zones to try for a job whose tasks must be in one zone, or only ""
// for any other job.
func CandidateZones(spec *protocol.Submission, capacities []*Capacity) []string {
	if !spec.SameZone {
		return []string{""}
	}
	var zones []string
	for _, capacity := range capacities {
		if !slices.Contains(zones, capacity.Zone) {
			zones = append(zones, capacity.Zone)
		}
	}
	return zones
}
