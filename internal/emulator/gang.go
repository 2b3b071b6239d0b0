package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// gangCheckpointing tells whether every task of a gang's attempt was told to stop.
func (w *World) gangCheckpointing(jobID string, attempt uint64, job *Job) bool {
	told := 0
	for _, o := range w.machines {
		for name, task := range o.tasks {
			if r, _, _ := protocol.ParseTaskName(name); r == jobID && task.attempt == attempt && (task.phase == protocol.TaskCheckpointing || task.checkpointed) && !o.removed {
				told++
			}
		}
	}
	return told == job.Spec.Tasks
}

// notifyGangPeers has the others of a running gang notice that one of them is gone.
func (w *World) notifyGangPeers(name string, task *taskAttempt) {
	jobID, _, ok := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	if !ok || job == nil || job.Spec.Shape != protocol.ShapeGang || task.phase != protocol.TaskRunning {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, other := range slices.Sorted(maps.Keys(machine.tasks)) {
			x := machine.tasks[other]
			if r, _, _ := protocol.ParseTaskName(other); r == jobID && x.attempt == task.attempt && x != task && x.phase == protocol.TaskRunning {
				machine.afterOnTask(other, x, w.between(w.Workers.GangPeerTimeout/2, w.Workers.GangPeerTimeout, other, machine.host), func() {
					if x.phase == protocol.TaskRunning {
						machine.exitTask(other, x, causeGangPeerLost)
					}
				})
			}
		}
	}
}

// startGangIfComplete starts a gang's attempt if all of its tasks wait for one another.
func (w *World) startGangIfComplete(job *Job, attempt uint64) bool {
	var there []*taskAttempt
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.phase == protocol.TaskWaitingForGang && !machine.removed {
				there = append(there, task)
			}
		}
	}
	if len(there) < job.Spec.Tasks {
		return false
	}
	for _, t := range there {
		t.phase, t.began = protocol.TaskRunning, time.Now()
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		w.machines[host].wakeAgent()
	}
	return true
}

// completeGang ends a gang's attempt: its tasks complete together.
func (w *World) completeGang(job *Job, attempt uint64) {
	running := 0
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.phase == protocol.TaskRunning && !machine.removed && !machine.hung {
				running++
			}
		}
	}
	if running < job.Spec.Tasks {
		return // one is gone, and the others are about to notice
	}
	for k := range job.Spec.Tasks {
		job.tasksDone[k] = true
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
			task := machine.tasks[name]
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.occupiesMachine() && !machine.removed {
				machine.exitTask(name, task, protocol.CauseDone)
			}
		}
	}
	w.jobFinished(job)
}
