package emulator

import "madderslip/internal/protocol"

// eachOccupyingTask calls visit with the job ID and index of every task that is on a machine
// in the sense of the rules, see occupiesMachine. The world's lock is held by the caller.
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

// TeamUse returns, by team, the CPUs and GPUs that its tasks use on machines.
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

// JobUse returns the CPUs and GPUs that a job's tasks use on machines, for the indexes from
// (inclusive) to upTo (exclusive). It is for use in OnStop, which is called with the world's
// lock held.
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

// DoneUse returns the CPUs and GPUs that those of the listed tasks of a job used that are done by
// now. It is for use in OnStop, which is called with the world's lock held.
func (w *World) DoneUse(jobID string, indexes []int) (use protocol.Resources) {
	job := w.jobs[jobID]
	if job == nil {
		return use
	}
	for _, index := range indexes {
		if job.tasksDone[index] {
			use = use.Plus(job.Spec.TaskResources())
		}
	}
	return use
}

// Running returns the number of a job's tasks that are on machines, or of all jobs' tasks if
// the job ID is empty.
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

// RunningTasks returns the number of tasks of all jobs that are on machines.
func (w *World) RunningTasks() int { return w.Running("") }
