package placement

import (
	"cmp"
	"math"
	"time"

	"madderslip/internal/protocol"
)

// Select returns the index of the machine that is best for one task of a job, or -1: one
// that holds the image, else the most free capacity in the job's zone or, for services, in
// the zone where the service has the fewest tasks. runtime is the task's expected run time;
// 0: unknown, so that it may not start on a machine that is reserved.
func Select(spec *protocol.Submission, jobID string, capacities []*Capacity, zones *ZoneConstraint, runtime time.Duration, now time.Time) int {
	best, bestScore := -1, score{}
	for i, capacity := range capacities {
		if !isFeasible(spec, jobID, capacity, zones, runtime, now) {
			continue
		}
		candidate := scoreOf(spec, capacity, zones)
		if best < 0 || candidate.compare(bestScore) < 0 {
			best, bestScore = i, candidate
		}
	}
	return best
}

// isFeasible reports whether one task of a job may start on a machine now.
func isFeasible(spec *protocol.Submission, jobID string, capacity *Capacity, zones *ZoneConstraint, runtime time.Duration, now time.Time) bool {
	if !capacity.Accepts(spec, zones) || !capacity.Fits(spec) || capacity.AvoidedBy[jobID] {
		return false
	}
	if capacity.reservedForOther(jobID) && !canBackfill(spec, capacity, runtime, now) {
		return false
	}
	kept := capacity.KeptForGPUJobs || (capacity.KeptFromBestEffort && IsBestEffort(spec))
	return spec.GPUs > 0 || spec.Shape != protocol.ShapeArray || !kept
}

// score ranks the machines for one task. The lower one is better; an earlier field counts
// before all later ones.
type score struct {
	gpuMisuse    int // work without GPUs leaves machines with free GPUs to those that need them
	missingImage int
	preference   int     // services: tasks in the zone; what may run on spot instances: not one
	packing      float64 // with the image: fullest first; without: the most free CPUs first
}

// compare orders scores, the better one first.
func (s score) compare(other score) int {
	switch {
	case s.gpuMisuse != other.gpuMisuse:
		return cmp.Compare(s.gpuMisuse, other.gpuMisuse)
	case s.missingImage != other.missingImage:
		return cmp.Compare(s.missingImage, other.missingImage)
	case s.preference != other.preference:
		return cmp.Compare(s.preference, other.preference)
	}
	return cmp.Compare(s.packing, other.packing)
}

// The costs of work without GPUs on a machine with free GPUs. Most work that needs GPUs may
// not run on spot instances.
const (
	gpuMisuseSpot     = 1
	gpuMisuseOnDemand = 2
)

func scoreOf(spec *protocol.Submission, capacity *Capacity, zones *ZoneConstraint) score {
	var s score
	if spec.GPUs == 0 && capacity.Free.GPUs > 0 {
		s.gpuMisuse = gpuMisuseOnDemand
		if capacity.Spot {
			s.gpuMisuse = gpuMisuseSpot
		}
	}
	if spec.Shape == protocol.ShapeService {
		s.preference = zones.tasksByZone[capacity.Zone]
	} else if spec.AllowSpot && !capacity.Spot {
		s.preference = 1
	}
	if capacity.HasImage(spec.Image) {
		s.packing = capacity.Free.CPUs / math.Max(1, capacity.Type.CPUs)
	} else {
		s.missingImage = 1
		s.packing = -capacity.Free.CPUs
	}
	return s
}

// canBackfill reports whether a task may start on a reserved machine without delaying the
// job that it is reserved for.
func canBackfill(spec *protocol.Submission, capacity *Capacity, runtime time.Duration, now time.Time) bool {
	if spec.Shape != protocol.ShapeService && runtime > 0 && !now.Add(runtime).After(capacity.Reservation.From) {
		return true
	}
	return capacity.Reservation.Spare.Fits(spec)
}

// Assignment is a task and the machine chosen for it.
type Assignment struct {
	Task  int
	Index int // in the capacities that it was chosen from
}

// ReleaseAssignments undoes assignments of a job's tasks.
func ReleaseAssignments(spec *protocol.Submission, assignments []Assignment, capacities []*Capacity) {
	for _, assignment := range assignments {
		capacities[assignment.Index].Release(spec)
		capacities[assignment.Index].IncomingImage = ""
	}
}
