package placement

import (
	"cmp"
	"math"
	"time"

	"madderslip/internal/protocol"
)

// Select returns the index of the feasible machine with the best score for one task of a job,
// or -1 if no machine is feasible. runtime is the task's expected run time; 0 means that it
// is unknown, so that on a machine reserved for another job the task may only use the
// reservation's spare capacity.
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
	if capacity.isReservedForOther(jobID) && !canBackfill(spec, capacity, runtime, now) {
		return false
	}
	kept := capacity.KeptForGPUJobs || (capacity.KeptFromBestEffort && IsBestEffort(spec))
	return spec.GPUs > 0 || spec.Shape != protocol.ShapeArray || !kept
}

// score ranks a machine for one task. The lower score is better; an earlier field takes
// precedence over all later ones.
type score struct {
	gpuMisuse    int     // cost of a machine with free GPUs, which are left to jobs that need GPUs; 0 for these jobs
	missingImage int     // 1 on a machine without the image
	preference   int     // for a service: number of its tasks in the machine's zone; for other jobs that allow spot instances: 1 on an on-demand machine
	packing      float64 // prefers the fullest of the machines with the image, and the machine with the most free CPUs of those without
}

// compare orders scores, the better score first.
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

// Costs of placing a task without GPUs on a machine with free GPUs. The cost is lower on spot
// instances, since most jobs that need GPUs may not run on these.
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
// job for which the machine is reserved.
func canBackfill(spec *protocol.Submission, capacity *Capacity, runtime time.Duration, now time.Time) bool {
	if spec.Shape != protocol.ShapeService && runtime > 0 && !now.Add(runtime).After(capacity.Reservation.From) {
		return true
	}
	return capacity.Reservation.Spare.Fits(spec)
}

// Assignment is a task and the machine chosen for it.
type Assignment struct {
	Task  int
	Index int // index of the machine in the list of capacities
}

// ReleaseAssignments returns the resources of assigned tasks to the free capacity of their
// machines, and clears the incoming images of these machines.
func ReleaseAssignments(spec *protocol.Submission, assignments []Assignment, capacities []*Capacity) {
	for _, assignment := range assignments {
		capacities[assignment.Index].Release(spec)
		capacities[assignment.Index].IncomingImage = ""
	}
}
