package emulator

import (
	"math"
	"slices"

	"madderslip/internal/protocol"
)

// roundingTolerance is the tolerance for rounding errors in sums of CPUs, GPUs and GB.
const roundingTolerance = 1e-6

// resources are the resources that a task uses or a machine has.
type resources struct{ cpus, gpus, memoryGB float64 }

// plus returns the sum of r and other.
func (r resources) plus(other resources) resources {
	return resources{r.cpus + other.cpus, r.gpus + other.gpus, r.memoryGB + other.memoryGB}
}

// minus returns r less other.
func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.memoryGB - other.memoryGB}
}

// within reports whether no resource in r exceeds its limit, but for rounding errors.
func (r resources) within(limit resources) bool {
	return r.cpus <= limit.cpus+roundingTolerance && r.gpus <= limit.gpus+roundingTolerance && r.memoryGB <= limit.memoryGB+roundingTolerance
}

// tasksThatFit returns how many tasks with the given resources fit in r, +Inf for tasks that use
// no resources.
func (r resources) tasksThatFit(task resources) float64 {
	count := math.Inf(1)
	for _, part := range [...]struct{ free, perTask float64 }{{r.cpus, task.cpus}, {r.gpus, task.gpus}, {r.memoryGB, task.memoryGB}} {
		if part.perTask > 0 {
			count = min(count, math.Floor((part.free+roundingTolerance)/part.perTask))
		}
	}
	return count
}

// taskResources returns the resources that one task of a job uses.
func taskResources(spec *protocol.Submission) resources {
	return resources{spec.CPUs, spec.GPUs, spec.MemoryGB}
}

// capacityOf returns the resources of a machine of the given type, none for an unknown type.
func (w *World) capacityOf(machineType string) resources {
	for _, t := range w.Types {
		if t.Name == machineType {
			return resources{t.CPUs, t.GPUs, t.MemoryGB}
		}
	}
	return resources{}
}

// allocated returns the resources of the tasks on the machine that have not exited, including
// those that still fetch their image. The world's lock is held by the caller.
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

// suits reports whether the submission of a job allows its tasks on the machine, by machine
// type, zone and use of spot machines. The world's lock is held by the caller.
func (m *Machine) suits(spec *protocol.Submission) bool {
	typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType)
	zoneAllowed := spec.Zone == "" || spec.Zone == m.zone
	return typeAllowed && zoneAllowed && (spec.AllowSpot || !m.spot)
}
