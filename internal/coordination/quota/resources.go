package quota

import (
	"math"

	"madderslip/internal/protocol"
)

// Resources is an amount of CPUs and GPUs, of a team's use, limit or guarantee.
type Resources = protocol.Resources

const tolerance = protocol.ResourceTolerance

// Exceeds reports whether a use is beyond a limit in any part; a limit's part of 0 limits
// nothing.
func Exceeds(use, limit Resources) bool {
	return (limit.CPUs > 0 && use.CPUs > limit.CPUs+tolerance) || (limit.GPUs > 0 && use.GPUs > limit.GPUs+tolerance)
}

// TasksThatFit returns how many tasks fit into a free amount, judged by the parts that
// the limit has and the tasks use. Without any such part it is math.MaxInt32.
func TasksThatFit(free, perTask, limit Resources) int {
	tasks := math.MaxInt32
	if limit.CPUs > 0 && perTask.CPUs > 0 {
		tasks = min(tasks, int((free.CPUs+tolerance)/perTask.CPUs))
	}
	if limit.GPUs > 0 && perTask.GPUs > 0 {
		tasks = min(tasks, int((free.GPUs+tolerance)/perTask.GPUs))
	}
	return max(0, tasks)
}

// limitedParts returns the amount with the parts that the limit does not have set to 0.
func limitedParts(amount, limit Resources) Resources {
	if limit.CPUs == 0 {
		amount.CPUs = 0
	}
	if limit.GPUs == 0 {
		amount.GPUs = 0
	}
	return amount
}

// resourceKind selects one part of an amount.
type resourceKind int

const (
	kindCPU resourceKind = iota
	kindGPU
)

// mainResource is the resource by which tasks are counted: GPUs, if they use any.
func mainResource(perTask Resources) resourceKind {
	if perTask.GPUs > 0 {
		return kindGPU
	}
	return kindCPU
}

// of returns the selected part of an amount.
func (k resourceKind) of(amount Resources) float64 {
	if k == kindGPU {
		return amount.GPUs
	}
	return amount.CPUs
}
