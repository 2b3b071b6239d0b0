package quota

import (
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

func cpus(amount float64) Resources { return Resources{CPUs: amount} }

// demandFor returns the demand of a job with 2 CPUs per task. With a head of more than 2 CPUs
// the job is a gang.
func demandFor(jobID string, acceptedAtMs int64, head, total float64) *Demand {
	return &Demand{JobID: jobID, AcceptedAtMs: acceptedAtMs, Head: cpus(head), PerTask: cpus(2), Total: cpus(total), AllOrNothing: head > 2}
}

// fakeStore is a state service that applies each commit to all managers at once.
type fakeStore struct {
	managers []*Manager
	versions map[string]uint64
	revision uint64
}

// commit executes a transaction if its conditions hold, and reports whether they held.
func (s *fakeStore) commit(compares []kv.Compare, ops []kv.Op) bool {
	for _, compare := range compares {
		if s.versions[compare.Key] != compare.Version {
			return false
		}
	}
	s.revision++
	for _, op := range ops {
		s.versions[op.Key] = s.revision
		for _, m := range s.managers {
			switch record := op.Value.(type) {
			case *records.TeamLimit:
				m.ApplyLimit(op.Key[len(records.TeamLimitPrefix):], record, s.revision)
			case *records.Allotment:
				m.ApplyAllotment(op.Key[len(records.AllotmentPrefix):], record, s.revision)
			case *records.Reservations:
				m.ApplyReservations(op.Key[len(records.ReservationPrefix):], record, s.revision)
			}
		}
	}
	return true
}
