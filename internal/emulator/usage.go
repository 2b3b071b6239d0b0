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
func (w *World) TeamUse() map[string]protocol.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamUse()
}

// teamUse is TeamUse for callers that hold the world's lock.
func (w *World) teamUse() map[string]protocol.Resources {
	use := make(map[string]protocol.Resources)
	w.eachOccupyingTask(func(jobID string, _ int) {
		if job := w.jobs[jobID]; job != nil {
			use[job.Spec.Team] = use[job.Spec.Team].Plus(job.Spec.TaskResources())
		}
	})
	return use
}

// JobUse is the CPUs and GPUs that a job's tasks from one index up to another take on
// machines. It is for OnStop, whose caller holds the world's lock.
func (w *World) JobUse(jobID string, from, upTo int) (use protocol.Resources) {
	job := w.jobs[jobID]
	if job == nil {
		return use
	}
	w.eachOccupyingTask(func(id string, index int) {
		if id == jobID && index >= from && index < upTo {
			use = use.Plus(job.Spec.TaskResources())
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
