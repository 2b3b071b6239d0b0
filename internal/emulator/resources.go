package emulator

import (
	"math"
	"slices"

	"madderslip/internal/protocol"
)

// rounding is by how much sums of CPUs, GPUs and GB may be off.
const rounding = 1e-6

// resources are what a task takes or a machine has.
type resources struct{ cpus, gpus, memoryGB float64 }

// plus is the sum of two.
func (r resources) plus(other resources) resources {
	return resources{r.cpus + other.cpus, r.gpus + other.gpus, r.memoryGB + other.memoryGB}
}

// minus is what is left of r without another.
func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.memoryGB - other.memoryGB}
}

// within reports whether none of r is above its limit.
func (r resources) within(limit resources) bool {
	return r.cpus <= limit.cpus+rounding && r.gpus <= limit.gpus+rounding && r.memoryGB <= limit.memoryGB+rounding
}

// countOf is how many tasks of a size fit r, +Inf of a size of nothing.
func (r resources) countOf(task resources) float64 {
	count := math.Inf(1)
	for _, part := range [...]struct{ free, perTask float64 }{{r.cpus, task.cpus}, {r.gpus, task.gpus}, {r.memoryGB, task.memoryGB}} {
		if part.perTask > 0 {
			count = min(count, math.Floor((part.free+rounding)/part.perTask))
		}
	}
	return count
}

// taskResources is what one task of a job takes.
func taskResources(spec *protocol.Submission) resources {
	return resources{spec.CPUs, spec.GPUs, spec.MemoryGB}
}

// capacityOf is what a machine of a type has; nothing for an unknown type.
func (w *World) capacityOf(machineType string) resources {
	for _, t := range w.Types {
		if t.Name == machineType {
			return resources{t.CPUs, t.GPUs, t.MemoryGB}
		}
	}
	return resources{}
}

// allocated is what the tasks take that are on the machine or on their way to it. The
// world's lock is held by the caller.
func (m *Machine) allocated() resources {
	var sum resources
	for name, task := range m.tasks {
		jobID, _, _ := protocol.ParseTaskName(name)
		if job := m.world.jobs[jobID]; job != nil && task.phase != protocol.TaskExited {
			sum = sum.plus(taskResources(&job.Spec))
		}
	}
	return sum
}

// suits reports whether a job's tasks may run on the machine by its type, zone and price.
// The world's lock is held by the caller.
func (m *Machine) suits(spec *protocol.Submission) bool {
	typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType)
	zoneAllowed := spec.Zone == "" || spec.Zone == m.zone
	return typeAllowed && zoneAllowed && (spec.AllowSpot || !m.spot)
}
