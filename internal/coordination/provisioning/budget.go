package provisioning

import (
	"math"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// minRuntime is the least that a task's run time counts as in budgets.
const minRuntime = time.Second

// BudgetPolicy is what operators set for the machines provided for arrays.
type BudgetPolicy struct {
	ArrayWait       time.Duration // in which arrays should be worked off
	BestEffortWait  time.Duration // the same for best-effort ones
	BestEffortShare float64       // of all CPUs, provided for best-effort work at most
	WarmShare       float64       // of the services' CPUs, kept free for services to come
}

// RunningLoad is what runs, in CPUs.
type RunningLoad struct{ Arrays, Services float64 }

// ArrayBudget returns how many more CPUs the waiting arrays deserve: enough to work off
// each in the time that its objectives leave it.
func (p *Planner) ArrayBudget(others, bestEffort []Demand, running RunningLoad, policy BudgetPolicy) (forOthers, forBestEffort float64) {
	need, bestEffortNeed := p.neededCPUs(others, policy), p.neededCPUs(bestEffort, policy)
	if need+bestEffortNeed == 0 {
		return 0, 0
	}
	have, total := 0.0, 0.0
	for _, capacity := range p.Supply {
		total += capacity.Type.CPUs
		// Machines with GPUs do not count: work that needs the GPUs would find them full
		// of arrays.
		if capacity.Type.GPUs == 0 {
			have += max(0, capacity.Free.CPUs)
		}
	}
	have += running.Arrays
	// The share is taken once, of the sum: a sum of rounded products depends on the order.
	warm := running.Services * policy.WarmShare
	return placement.SplitArrayDemand(need, bestEffortNeed, have, warm, p.bestEffortLimit(total, policy))
}

// neededCPUs returns how many CPUs work off some arrays in time.
func (p *Planner) neededCPUs(arrays []Demand, policy BudgetPolicy) float64 {
	need := 0.0
	for _, demand := range arrays {
		runtime := max(demand.Runtime, minRuntime)
		need += float64(demand.Count) * demand.Spec.CPUs * runtime.Seconds() / p.drainTime(demand, runtime, policy).Seconds()
	}
	return need
}

// bestEffortLimit returns how many CPUs may be provided for best-effort work. Of a small
// fleet the share is less than a machine, and none would ever be provided.
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

// drainTime returns the time in which an array should be worked off: the operators' wait,
// or what its deadline leaves once new machines are up, with a margin. Without a deadline
// there is no waiting on purpose: machines provided late for the last objective that can
// still be met make every array later when capacity is scarce.
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

// shortestBoot returns the shortest nominal boot time of the types that may run a job.
func (p *Planner) shortestBoot(spec *protocol.Submission) time.Duration {
	shortest := time.Duration(0)
	for _, machineType := range p.Market.Types {
		if boot := machineType.BootTime(); placement.FitsEmpty(spec, machineType) && (shortest == 0 || boot < shortest) {
			shortest = boot
		}
	}
	return shortest
}
