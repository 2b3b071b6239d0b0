package provisioning

import (
	"math"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// minRuntime is the shortest run time of a task that budgets assume.
const minRuntime = time.Second

// BudgetPolicy holds the operators' settings for machines that are provisioned for arrays.
type BudgetPolicy struct {
	ArrayWait       time.Duration // time in which normal arrays should be completed
	BestEffortWait  time.Duration // time in which best-effort arrays should be completed
	BestEffortShare float64       // largest part of all CPUs that is provisioned for best-effort work
	WarmShare       float64       // part of the services' CPUs that is kept free for new services
}

// RunningLoad holds the CPUs of the placed tasks of arrays and services.
type RunningLoad struct{ Arrays, Services float64 }

// ArrayBudget returns how many more CPUs may be provisioned for the waiting arrays: enough to
// complete each array within its drain time, for best-effort arrays up to their limit.
func (p *Planner) ArrayBudget(normal, bestEffort []Demand, running RunningLoad, policy BudgetPolicy) (forNormal, forBestEffort float64) {
	need, bestEffortNeed := p.neededCPUs(normal, policy), p.neededCPUs(bestEffort, policy)
	if need+bestEffortNeed == 0 {
		return 0, 0
	}
	supply, total := 0.0, 0.0
	for _, capacity := range p.Supply {
		total += capacity.Type.CPUs
		// Machines with GPUs do not count as supply for arrays: arrays would fill these
		// machines, and jobs that need GPUs would find no machine with free capacity.
		// A machine whose list of tasks is full takes none, whatever CPUs are free.
		if capacity.Type.GPUs == 0 && capacity.Tasks < placement.MaxListedTasks {
			supply += max(0, capacity.Free.CPUs)
		}
	}
	supply += running.Arrays
	// The sum is multiplied by the share, since a sum of rounded products depends on the
	// order of its terms.
	warm := running.Services * policy.WarmShare
	return placement.SplitArrayDemand(need, bestEffortNeed, supply, warm, p.bestEffortLimit(total, policy))
}

// neededCPUs returns the number of CPUs with which all tasks of the arrays end within the
// drain times of the arrays.
func (p *Planner) neededCPUs(arrays []Demand, policy BudgetPolicy) float64 {
	need := 0.0
	for _, demand := range arrays {
		runtime := max(demand.Runtime, minRuntime)
		need += float64(demand.Count) * p.TaskCPUs(demand.Spec) * runtime.Seconds() / p.drainTime(demand, runtime, policy).Seconds()
	}
	return need
}

// TaskCPUs returns the CPUs for which a task of an array counts: those that it uses, or more if
// the list of a machine is full before the machine's CPUs are used.
func (p *Planner) TaskCPUs(spec *protocol.Submission) float64 {
	perEntry := math.Inf(1)
	for _, machineType := range p.Market.Types {
		if machineType.GPUs == 0 && placement.FitsEmpty(spec, machineType) {
			perEntry = min(perEntry, machineType.CPUs/placement.MaxListedTasks)
		}
	}
	if math.IsInf(perEntry, 1) {
		return spec.CPUs
	}
	return max(spec.CPUs, perEntry)
}

// bestEffortLimit returns how many CPUs may be provisioned for best-effort work: its share of
// all CPUs, but at least one machine of the smallest type unless the share is 0. In a small
// fleet the share is less than a machine, so that none would ever be provisioned.
func (p *Planner) bestEffortLimit(totalCPUs float64, policy BudgetPolicy) float64 {
	limit := policy.BestEffortShare * totalCPUs
	if limit <= 0 {
		return limit
	}
	smallest := math.Inf(1)
	for _, machineType := range p.Market.Types {
		smallest = min(smallest, machineType.CPUs)
	}
	return max(limit, smallest)
}

// drainTime returns the time in which an array should be completed: the operators' wait or,
// if it is longer, the time that the array's deadline leaves after the boot of new machines,
// with a margin. Machines for an array without a deadline are not delayed on purpose: if
// machines were provisioned just in time for the last objective that can still be met, every
// array would complete later when capacity is scarce.
func (p *Planner) drainTime(demand Demand, runtime time.Duration, policy BudgetPolicy) time.Duration {
	if placement.IsBestEffort(demand.Spec) {
		return max(policy.BestEffortWait, runtime)
	}
	if demand.Spec.Deadline() == 0 {
		return max(policy.ArrayWait, runtime)
	}
	left := demand.SubmittedAt.Add(demand.Spec.Deadline()).Sub(p.Market.Now) - p.shortestBoot(demand.Spec)
	return max(left*7/10-runtime, policy.ArrayWait, runtime)
}

// shortestBoot returns the shortest nominal boot time of the types that a task of a job fits,
// or 0 if there is no such type.
func (p *Planner) shortestBoot(spec *protocol.Submission) time.Duration {
	shortest := time.Duration(0)
	for _, machineType := range p.Market.Types {
		if boot := machineType.BootTime(); placement.FitsEmpty(spec, machineType) && (shortest == 0 || boot < shortest) {
			shortest = boot
		}
	}
	return shortest
}
