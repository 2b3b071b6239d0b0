package emulator

import "madderslip/internal/protocol"

// eachOccupyingTask calls visit with the job and index of every task that is on a machine
// by the rules. The world's lock is held by the caller.
func (w *World) eachOccupyingTask(visit func(jobID string, index int)) {
	for _, machine := range w.machines {
		if machine.removed {
			continue
		}
		for name, task := range machine.tasks {
			if task.occupiesMachine() {
				jobID, index, _ := protocol.ParseTaskName(name)
				visit(jobID, index)
			}
		}
	}
}

// TeamUse is the CPUs and GPUs that each team's tasks take on machines.
func (w *World) TeamUse() map[string][2]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamUse()
}

// teamUse is TeamUse for callers that hold the world's lock.
func (w *World) teamUse() map[string][2]float64 {
	use := make(map[string][2]float64)
	w.eachOccupyingTask(func(jobID string, _ int) {
		if job := w.jobs[jobID]; job != nil {
			before := use[job.Spec.Team]
			use[job.Spec.Team] = [2]float64{before[0] + job.Spec.CPUs, before[1] + job.Spec.GPUs}
		}
	})
	return use
}

// JobUse is the CPUs and GPUs that a job's tasks from one index up to another take on
// machines. It is for OnStop, whose caller holds the world's lock.
func (w *World) JobUse(jobID string, from, upTo int) (use [2]float64) {
	job := w.jobs[jobID]
	if job == nil {
		return use
	}
	w.eachOccupyingTask(func(id string, index int) {
		if id == jobID && index >= from && index < upTo {
			use = [2]float64{use[0] + job.Spec.CPUs, use[1] + job.Spec.GPUs}
		}
	})
	return use
}

// Running counts the tasks of a job that are on machines, or of all jobs if its ID is
// empty.
func (w *World) Running(jobID string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	w.eachOccupyingTask(func(id string, _ int) {
		if id == jobID || jobID == "" {
			count++
		}
	})
	return count
}

// RunningTasks counts the tasks of all jobs that are on machines.
func (w *World) RunningTasks() int { return w.Running("") }
