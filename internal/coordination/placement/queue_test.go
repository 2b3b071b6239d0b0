package placement

import (
	"testing"

	"madderslip/internal/protocol"
)

// TestRequestsDifferByZoneConstraints guards against a job that is skipped since an equal one found no zone with capacity.
func TestRequestsDifferByZoneConstraints(t *testing.T) {
	gang := protocol.Submission{Shape: protocol.ShapeGang, Tasks: 4, CPUs: 8}
	service := protocol.Submission{Shape: protocol.ShapeService, Tasks: 4, CPUs: 8, SpreadZones: true}
	inOneZone, spread, larger, equal := gang, gang, service, service
	inOneZone.SameZone, spread.SpreadZones = true, true
	larger.Tasks, equal.JobID = 6, "wk-2"
	for _, test := range []struct {
		name          string
		first, second protocol.Submission
		equal         bool
	}{
		{"one must be in one zone", inOneZone, gang, false},
		{"one must spread over zones", spread, gang, false},
		{"both must spread, with other numbers of tasks", larger, service, false},
		{"both must spread, with equal numbers of tasks", equal, service, true},
	} {
		if got := RequestKeyOf(&test.first) == RequestKeyOf(&test.second); got != test.equal {
			t.Errorf("%s: equal %v", test.name, got)
		}
	}
}
