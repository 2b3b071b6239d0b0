package emulator

import "madderslip/internal/protocol"

// Tasks counts the tasks that run now.
func (w *World) Tasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, machine := range w.machines {
		if machine.removed {
			continue
		}
		for _, task := range machine.tasks {
			if task.occupiesMachine() {
				count++
			}
		}
	}
	return count
}

// TeamUse is the CPUs and cards that each team's tasks take on machines.
func (w *World) TeamUse() map[string][2]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamUse()
}

// JobUse is what a job's tasks from one up to another take on machines. It is for OnStop, which holds the
// world's lock.
func (w *World) JobUse(jobID string, from, upTo int) (use [2]float64) {
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			r, index, _ := protocol.ParseTaskName(name)
			if j := w.jobs[jobID]; r == jobID && index >= from && index < upTo && j != nil && !machine.removed && task.occupiesMachine() {
				use = [2]float64{use[0] + j.Spec.CPUs, use[1] + j.Spec.GPUs}
			}
		}
	}
	return use
}

func (w *World) teamUse() map[string][2]float64 {
	use := make(map[string][2]float64)
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			jobID, _, _ := protocol.ParseTaskName(name)
			if job := w.jobs[jobID]; job != nil && !machine.removed && task.occupiesMachine() {
				u := use[job.Spec.Team]
				use[job.Spec.Team] = [2]float64{u[0] + job.Spec.CPUs, u[1] + job.Spec.GPUs}
			}
		}
	}
	return use
}

// Running counts the tasks of a job that are on machines.
func (w *World) Running(jobID string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if r, _, _ := protocol.ParseTaskName(name); (r == jobID || jobID == "") && !machine.removed && task.occupiesMachine() {
				count++
			}
		}
	}
	return count
}
