package emulator

import (
	"maps"
	"slices"

	"madderslip/internal/protocol"
)

// causeGangPeerLost is the cause of an exit for the loss of another of the gang's tasks,
// as the protocol spells it.
const causeGangPeerLost = "peers"

// attemptTask is a task of an attempt of a job, and the machine that has it.
type attemptTask struct {
	machine *Machine
	name    string
	task    *taskAttempt
}

// attemptTasks lists the tasks of an attempt of a job, in the order of machines and names.
// The world's lock is held by the caller.
func (w *World) attemptTasks(jobID string, attempt uint64) []attemptTask {
	var tasks []attemptTask
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
			task := machine.tasks[name]
			if id, _, _ := protocol.ParseTaskName(name); id == jobID && task.attempt == attempt {
				tasks = append(tasks, attemptTask{machine, name, task})
			}
		}
	}
	return tasks
}

// startGangIfComplete starts a gang's attempt if all of its tasks wait for one another,
// and reports whether it does. The world's lock is held by the caller.
func (w *World) startGangIfComplete(job *Job, attempt uint64) bool {
	waiting := slices.DeleteFunc(w.attemptTasks(job.Spec.JobID, attempt), func(t attemptTask) bool {
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

// exitUnlessGangStarts ends a task that waits for its gang for too long. The world's lock
// is held by the caller.
func (m *Machine) exitUnlessGangStarts(name string, task *taskAttempt) {
	m.afterOnTask(name, task, m.world.Workers.GangStartTimeout, func() {
		if task.phase == protocol.TaskWaitingForGang {
			m.exitTask(name, task, protocol.CauseGangTimeout)
		}
	})
}

// completeGang ends a gang's attempt: its tasks complete together. It does nothing if one
// of them is lost or hangs, which the others are about to notice. The world's lock is held
// by the caller.
func (w *World) completeGang(job *Job, attempt uint64) {
	tasks := w.attemptTasks(job.Spec.JobID, attempt)
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

// gangCheckpointing reports whether every task of a gang's attempt was told to stop and
// takes or has taken a checkpoint. The world's lock is held by the caller.
func (w *World) gangCheckpointing(job *Job, attempt uint64) bool {
	checkpointing := 0
	for _, t := range w.attemptTasks(job.Spec.JobID, attempt) {
		if (t.task.phase == protocol.TaskCheckpointing || t.task.checkpointed) && !t.machine.removed {
			checkpointing++
		}
	}
	return checkpointing == job.Spec.Tasks
}

// notifyGangPeers has the others of a running gang notice that one of them is gone. The
// world's lock is held by the caller.
func (w *World) notifyGangPeers(name string, lost *taskAttempt) {
	jobID, _, ok := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	if !ok || job == nil || !job.isGang() || lost.phase != protocol.TaskRunning {
		return
	}
	for _, t := range w.attemptTasks(jobID, lost.attempt) {
		if t.task != lost && t.task.phase == protocol.TaskRunning {
			delay := w.between(w.Workers.GangPeerTimeout/2, w.Workers.GangPeerTimeout, t.name, t.machine.host)
			t.machine.afterOnTask(t.name, t.task, delay, func() { t.machine.exitForLostPeer(t.name, t.task) })
		}
	}
}

// exitForLostPeer ends a gang's task that still runs when it notices that another one is
// gone. The world's lock is held by the caller.
func (m *Machine) exitForLostPeer(name string, task *taskAttempt) {
	if task.phase == protocol.TaskRunning {
		m.exitTask(name, task, causeGangPeerLost)
	}
}
