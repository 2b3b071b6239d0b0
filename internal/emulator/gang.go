package emulator

import (
	"maps"
	"slices"

	"madderslip/internal/protocol"
)

// causeGangPeerLost is the exit cause, as the protocol spells it, of a task whose gang has
// lost another task.
const causeGangPeerLost = "peers"

// hostedTask is a task of an attempt of a job, with the machine that has the task.
type hostedTask struct {
	machine *Machine
	name    string
	task    *taskAttempt
}

// tasksOfAttempt lists the tasks of an attempt of a job, ordered by host and task name. The
// world's lock is held by the caller.
func (w *World) tasksOfAttempt(jobID string, attempt uint64) []hostedTask {
	var tasks []hostedTask
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
			task := machine.tasks[name]
			if id, _, _ := protocol.ParseTaskName(name); id == jobID && task.attempt == attempt {
				tasks = append(tasks, hostedTask{machine, name, task})
			}
		}
	}
	return tasks
}

// startGangIfComplete starts an attempt of a gang if all of its tasks are waiting for the
// gang, and reports whether it has started the attempt. The world's lock is held by the
// caller.
func (w *World) startGangIfComplete(job *Job, attempt uint64) bool {
	waiting := slices.DeleteFunc(w.tasksOfAttempt(job.Spec.JobID, attempt), func(t hostedTask) bool {
		return t.task.phase != protocol.TaskWaitingForGang || t.machine.removed
	})
	if len(waiting) < job.Spec.Tasks {
		return false
	}
	for _, t := range waiting {
		t.task.phase = protocol.TaskRunning
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		w.machines[host].wakeAgent()
	}
	return true
}

// exitUnlessGangStarts ends a task if it is still waiting for its gang after the gang start
// timeout. The world's lock is held by the caller.
func (m *Machine) exitUnlessGangStarts(name string, task *taskAttempt) {
	m.afterTaskDelay(name, task, m.world.Workers.GangStartTimeout, func() {
		if task.phase == protocol.TaskWaitingForGang {
			m.exitTask(name, task, protocol.CauseGangTimeout)
		}
	})
}

// completeGang completes all tasks of a gang's attempt together. It does nothing if a task is
// lost or its machine is hung: the remaining tasks are about to exit for that reason. The
// world's lock is held by the caller.
func (w *World) completeGang(job *Job, attempt uint64) {
	tasks := w.tasksOfAttempt(job.Spec.JobID, attempt)
	running := 0
	for _, t := range tasks {
		if t.task.phase == protocol.TaskRunning && !t.machine.removed && !t.machine.hung {
			running++
		}
	}
	if running < job.Spec.Tasks {
		return
	}
	for index := range job.Spec.Tasks {
		job.tasksDone[index] = true
	}
	for _, t := range tasks {
		if t.task.occupiesMachine() && !t.machine.removed {
			t.machine.exitTask(t.name, t.task, protocol.CauseDone)
		}
	}
	w.handleJobFinished(job)
}

// isGangCheckpointing reports whether every task of a gang's attempt has received a stop
// command and is taking or has taken its checkpoint. The world's lock is held by the caller.
func (w *World) isGangCheckpointing(job *Job, attempt uint64) bool {
	checkpointing := 0
	for _, t := range w.tasksOfAttempt(job.Spec.JobID, attempt) {
		if (t.task.phase == protocol.TaskCheckpointing || t.task.checkpointed) && !t.machine.removed {
			checkpointing++
		}
	}
	return checkpointing == job.Spec.Tasks
}

// notifyGangPeers makes the other running tasks of a gang exit after a running task is lost,
// each after between half and all of the gang peer timeout. The world's lock is held by the
// caller.
func (w *World) notifyGangPeers(name string, lost *taskAttempt) {
	jobID, _, ok := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	if !ok || job == nil || !job.isGang() || lost.phase != protocol.TaskRunning {
		return
	}
	for _, t := range w.tasksOfAttempt(jobID, lost.attempt) {
		if t.task != lost && t.task.phase == protocol.TaskRunning {
			delay := w.between(w.Workers.GangPeerTimeout/2, w.Workers.GangPeerTimeout, t.name, t.machine.host)
			t.machine.afterTaskDelay(t.name, t.task, delay, func() { t.machine.exitForLostPeer(t.name, t.task) })
		}
	}
}

// exitForLostPeer ends a task that is still running because another task of its gang is
// lost. The world's lock is held by the caller.
func (m *Machine) exitForLostPeer(name string, task *taskAttempt) {
	if task.phase == protocol.TaskRunning {
		m.exitTask(name, task, causeGangPeerLost)
	}
}
