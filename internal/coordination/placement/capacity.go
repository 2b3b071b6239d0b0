package placement

import (
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// tolerance is the largest difference that rounding may leave between equal amounts.
const tolerance = protocol.ResourceTolerance

// Capacity describes the free capacity of a machine during one pass over a queue. The pass
// updates the description as it places tasks.
type Capacity struct {
	Host, TypeName, Zone string
	Shard                string
	Spot                 bool
	Usable               bool      // new tasks may start on the machine
	BootsAt              time.Time // expected end of the boot; zero: no boot is expected to end
	Free                 protocol.MachineResources
	Tasks                int // number of tasks that the machine lists or will list, those placed in this pass included
	Type                 *protocol.MachineType
	Machine              *replica.Machine // nil if the machine is not provisioned yet
	IncomingImage        string           // image that the machine fetches for a task placed in this pass
	Reservation          Reservation
	// Releases and Victims are set only if Detailed is true.
	Detailed  bool
	Releases  []replica.Release
	Victims   []replica.Victim
	AvoidedBy map[string]bool // IDs of jobs whose tasks failed recently on the machine
	// KeptForGPUJobs keeps an idle machine with GPUs from all arrays without GPUs,
	// KeptFromBestEffort only from the best-effort arrays without GPUs.
	KeptForGPUJobs     bool
	KeptFromBestEffort bool
}

// Reservation reserves a machine for a job, as in EASY backfilling: a task of another job may
// start on the machine only if the task is expected to end by From or fits into Spare.
type Reservation struct {
	JobID string // empty: the machine is not reserved
	From  time.Time
	Spare protocol.MachineResources // capacity that is free from From on while the reserved job runs
}

// HasImage reports whether the machine holds an image, or fetches it for a task placed in
// this pass.
func (c *Capacity) HasImage(image string) bool {
	return c.IncomingImage == image || (c.Machine != nil && c.Machine.HasImage(image))
}

// MaxListedTasks is the largest number of tasks that a machine gets, those included that have ended
// and are still listed. An entry of a heartbeat takes some 70 bytes, and a heartbeat may have
// 64 KiB.
const MaxListedTasks = 600

// Fits reports whether the machine has enough free capacity for one task of a job, and its heartbeat
// for one more entry.
func (c *Capacity) Fits(spec *protocol.Submission) bool {
	return c.Tasks < MaxListedTasks && c.Free.Fits(spec)
}

// Accepts reports whether new tasks of a job may start on the machine, regardless of its free
// capacity.
func (c *Capacity) Accepts(spec *protocol.Submission, zones *ZoneConstraint) bool {
	return c.Usable && Allowed(spec, c.TypeName, c.Zone, c.Spot) && zones.Permits(c.Zone)
}

// Release returns one task's resources to the free capacity.
func (c *Capacity) Release(spec *protocol.Submission) {
	c.Free = c.Free.Plus(spec)
	c.Tasks--
}

// Allocate takes one task's resources from the free capacity.
func (c *Capacity) Allocate(spec *protocol.Submission) {
	c.Free = c.Free.Minus(spec, 1)
	c.Tasks++
}

// ImagePullTime returns the expected time in which the machine fetches a job's image.
func (c *Capacity) ImagePullTime(spec *protocol.Submission) time.Duration {
	if c.HasImage(spec.Image) || c.Type.ImagePullGBps <= 0 {
		return 0
	}
	return protocol.Seconds(spec.ImageGB / c.Type.ImagePullGBps)
}

// isReservedForOther reports whether the machine is reserved for another job.
func (c *Capacity) isReservedForOther(jobID string) bool {
	return c.Reservation.JobID != "" && c.Reservation.JobID != jobID
}

// Allowed reports whether a job's submission permits its tasks to run on a kind of machine.
func Allowed(spec *protocol.Submission, typeName, zone string, spot bool) bool {
	allowsType := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, typeName)
	allowsZone := spec.Zone == "" || spec.Zone == zone
	return allowsType && allowsZone && (!spot || spec.AllowSpot)
}

// FitsEmpty reports whether a machine of a type, with no other task, has enough capacity for
// one task of a job.
func FitsEmpty(spec *protocol.Submission, machineType *protocol.MachineType) bool {
	return protocol.ResourcesOf(machineType).Fits(spec)
}

// LargestFree returns, for each resource, the largest amount that any usable machine has
// free. A task that does not fit into the result fits on no machine.
func LargestFree(capacities []*Capacity) protocol.MachineResources {
	return IncludingFree(protocol.MachineResources{}, capacities)
}

// IncludingFree returns, for each resource, the greater of an earlier result of LargestFree
// and the largest amount that any usable machine has free now.
func IncludingFree(largest protocol.MachineResources, capacities []*Capacity) protocol.MachineResources {
	for _, capacity := range capacities {
		if capacity.Usable {
			largest = largest.Max(capacity.Free)
		}
	}
	return largest
}

// quotient is an amount of a resource and the amount that one task uses.
type quotient struct{ amount, perTask float64 }

// TasksThatFit counts the tasks of a job that fit into the free capacity now, up to a limit.
func TasksThatFit(spec *protocol.Submission, jobID string, capacities []*Capacity, limit int) int {
	zones := NewZoneConstraint(spec, nil)
	count := 0
	for _, capacity := range capacities {
		if count >= limit {
			break
		}
		if !capacity.Accepts(spec, &zones) || capacity.AvoidedBy[jobID] || capacity.isReservedForOther(jobID) {
			continue
		}
		fit := MaxListedTasks - capacity.Tasks
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

// TasksPerMachine returns how many tasks of a job fit an empty machine of a type, at least one and
// at most MaxListedTasks.
func TasksPerMachine(spec *protocol.Submission, machineType *protocol.MachineType) int {
	fit := math.Inf(1)
	for _, part := range [...]quotient{{machineType.CPUs, spec.CPUs}, {machineType.GPUs, spec.GPUs}, {machineType.MemoryGB, spec.MemoryGB}} {
		if part.perTask > 0 {
			fit = min(fit, math.Floor((part.amount+tolerance)/part.perTask))
		}
	}
	return max(1, int(min(fit, MaxListedTasks)))
}
