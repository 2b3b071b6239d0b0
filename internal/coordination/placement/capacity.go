package placement

import (
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// tolerance is what rounding may leave of amounts that should be equal.
const tolerance = protocol.ResourceTolerance

// Capacity is what a machine has free, as one pass over a queue sees it. The pass changes
// it as it places tasks.
type Capacity struct {
	Host, TypeName, Zone string
	Shard                string
	Spot                 bool
	Usable               bool      // new tasks may start there
	BootsAt              time.Time // when it should be up; zero: it is up
	Free                 protocol.MachineResources
	Type                 *protocol.MachineType
	Machine              *replica.Machine // nil: not there yet
	IncomingImage        string           // an image that a task placed in this pass brings
	Reservation          Reservation
	// Releases and Victims are known once Detailed is set.
	Detailed  bool
	Releases  []replica.Release
	Victims   []replica.Victim
	AvoidedBy map[string]bool // jobs whose tasks failed there of late
	// KeptForGPUJobs and KeptFromBestEffort keep an idle machine with GPUs from arrays that
	// use none, and from those of them that are best effort.
	KeptForGPUJobs     bool
	KeptFromBestEffort bool
}

// Reservation is a reservation of EASY backfilling: only what ends by then, or fits beside
// the job that it is for, may still start on the machine.
type Reservation struct {
	JobID string // empty: none
	From  time.Time
	Spare protocol.MachineResources // what is left beside the job from then on
}

// HasImage reports whether the machine has an image, or has been given work that brings it.
func (c *Capacity) HasImage(image string) bool {
	return c.IncomingImage == image || (c.Machine != nil && c.Machine.HasImage(image))
}

// Fits reports whether a task of a job fits into the free capacity.
func (c *Capacity) Fits(spec *protocol.Submission) bool { return c.Free.Fits(spec) }

// Accepts reports whether new tasks of a job may go there, capacity left aside.
func (c *Capacity) Accepts(spec *protocol.Submission, zones *ZoneConstraint) bool {
	return c.Usable && Allowed(spec, c.TypeName, c.Zone, c.Spot) && zones.Permits(c.Zone)
}

// Release returns one task's resources to the free capacity.
func (c *Capacity) Release(spec *protocol.Submission) { c.Free = c.Free.Plus(spec) }

// Allocate takes one task's resources from the free capacity.
func (c *Capacity) Allocate(spec *protocol.Submission) { c.Free = c.Free.Minus(spec, 1) }

// ImagePullTime returns how long the machine should need to fetch a job's image.
func (c *Capacity) ImagePullTime(spec *protocol.Submission) time.Duration {
	if c.HasImage(spec.Image) || c.Type.ImagePullGBps <= 0 {
		return 0
	}
	return protocol.Seconds(spec.ImageGB / c.Type.ImagePullGBps)
}

// reservedForOther reports whether the machine is reserved for another job.
func (c *Capacity) reservedForOther(jobID string) bool {
	return c.Reservation.JobID != "" && c.Reservation.JobID != jobID
}

// Allowed reports whether a job's tasks may run on a kind of machine at all.
func Allowed(spec *protocol.Submission, typeName, zone string, spot bool) bool {
	allowsType := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, typeName)
	allowsZone := spec.Zone == "" || spec.Zone == zone
	return allowsType && allowsZone && (!spot || spec.AllowSpot)
}

// FitsEmpty reports whether a task fits an empty machine of a type.
func FitsEmpty(spec *protocol.Submission, machineType *protocol.MachineType) bool {
	return protocol.ResourcesOf(machineType).Fits(spec)
}

// LargestFree returns the most that any usable machine has free of each resource. A task
// that does not fit into it fits nowhere.
func LargestFree(capacities []*Capacity) protocol.MachineResources {
	return IncludingFree(protocol.MachineResources{}, capacities)
}

// IncludingFree returns the greater of an earlier LargestFree and what is free now.
func IncludingFree(largest protocol.MachineResources, capacities []*Capacity) protocol.MachineResources {
	for _, capacity := range capacities {
		if capacity.Usable {
			largest = largest.Max(capacity.Free)
		}
	}
	return largest
}

// quotient is an amount of a resource and what one task uses of it.
type quotient struct{ amount, perTask float64 }

// TasksThatFit counts the tasks of a job that the free capacity takes now, up to a limit.
func TasksThatFit(spec *protocol.Submission, jobID string, capacities []*Capacity, limit int) int {
	zones := NewZoneConstraint(spec, nil)
	count := 0
	for _, capacity := range capacities {
		if count >= limit {
			break
		}
		if !capacity.Accepts(spec, &zones) || capacity.AvoidedBy[jobID] || capacity.reservedForOther(jobID) {
			continue
		}
		fit := math.MaxInt32
		free := capacity.Free
		for _, part := range [...]quotient{{free.CPUs, spec.CPUs}, {free.GPUs, spec.GPUs}, {free.MemoryGB, spec.MemoryGB}} {
			if part.perTask > 0 {
				fit = min(fit, int((part.amount+tolerance)/part.perTask))
			}
		}
		count += max(0, fit)
	}
	return min(count, limit)
}

// maxTasksPerMachine bounds TasksPerMachine for tasks that use next to nothing.
const maxTasksPerMachine = 1000

// TasksPerMachine returns how many tasks of a job fit an empty machine of a type, at least
// one.
func TasksPerMachine(spec *protocol.Submission, machineType *protocol.MachineType) int {
	fit := math.Inf(1)
	for _, part := range [...]quotient{{machineType.CPUs, spec.CPUs}, {machineType.GPUs, spec.GPUs}, {machineType.MemoryGB, spec.MemoryGB}} {
		if part.perTask > 0 {
			fit = min(fit, math.Floor((part.amount+tolerance)/part.perTask))
		}
	}
	return max(1, int(min(fit, maxTasksPerMachine)))
}
