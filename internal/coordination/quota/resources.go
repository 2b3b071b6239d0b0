package quota

import (
	"math"

	"madderslip/internal/protocol"
)

// Resources is an amount of CPUs and GPUs: a team's use, limit or guarantee.
type Resources = protocol.Resources

const tolerance = protocol.ResourceTolerance

// Exceeds reports whether the use of CPUs or of GPUs exceeds the limit. A limit of 0 CPUs or
// 0 GPUs means no limit on that resource.
func Exceeds(use, limit Resources) bool {
	return (limit.CPUs > 0 && use.CPUs > limit.CPUs+tolerance) || (limit.GPUs > 0 && use.GPUs > limit.GPUs+tolerance)
}

// TasksThatFit returns how many tasks fit into a free amount. Only resources that are
// limited and that the tasks use count; if there are none, the result is math.MaxInt32.
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

// limitedParts returns the amount with every resource that is not limited set to 0.
func limitedParts(amount, limit Resources) Resources {
	if limit.CPUs == 0 {
		amount.CPUs = 0
	}
	if limit.GPUs == 0 {
		amount.GPUs = 0
	}
	return amount
}

// resourceKind selects the CPUs or the GPUs of an amount.
type resourceKind int

const (
	kindCPU resourceKind = iota
	kindGPU
)

// mainResource returns the resource by which tasks are counted: GPUs if the tasks use any,
// otherwise CPUs.
func mainResource(perTask Resources) resourceKind {
	if perTask.GPUs > 0 {
		return kindGPU
	}
	return kindCPU
}

// of returns the amount's quantity of the selected resource.
func (k resourceKind) of(amount Resources) float64 {
	if k == kindGPU {
		return amount.GPUs
	}
	return amount.CPUs
}
