package emulator

import (
	"time"

	"madderslip/internal/protocol"
)

// causeStopped is the cause of an exit that a stop command asked for, as the protocol
// spells it.
const causeStopped = "halted"

// taskAttempt is an attempt of a task on a machine.
type taskAttempt struct {
	attempt      uint64
	phase        string // one of protocol's
	cause        string // of its exit
	checkpointed bool
}

// occupiesMachine reports whether a task is on its machine by the rules: from when it has
// its image until it exits.
func (t *taskAttempt) occupiesMachine() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaitingForGang || t.phase == protocol.TaskCheckpointing
}

// startTask fetches the image of a task and begins it then. The task exits at once if its
// job is unknown or the machine lacks capacity. The world's lock is held by the caller.
func (m *Machine) startTask(name string, attempt uint64) {
	w := m.world
	jobID, index, _ := protocol.ParseTaskName(name)
	task := &taskAttempt{attempt: attempt, phase: protocol.TaskFetching}
	m.tasks[name] = task
	job := w.jobs[jobID]
	if job == nil || index >= job.Spec.Tasks {
		m.exitTask(name, task, protocol.CauseUnknownJob)
		return
	}
	if !m.allocated().within(w.capacityOf(m.machineType)) {
		m.exitTask(name, task, protocol.CauseNoCapacity)
		return
	}
	fetch := max(time.Second, job.Fetch)
	if m.cachedImages[job.Spec.Image] {
		fetch = time.Millisecond
	}
	m.afterOnTask(name, task, fetch, func() { m.beginTask(name, task, job) })
}

// beginTask is the moment a task is on its machine; the rules are checked here. The
// world's lock is held by the caller.
func (m *Machine) beginTask(name string, task *taskAttempt, job *Job) {
	w := m.world
	m.cachedImages[job.Spec.Image] = true
	w.checkStart(m, name, task, job)
	task.phase = protocol.TaskRunning
	w.recordEvent("%s %s/%d runs", m.host, name, task.attempt)
	m.wakeAgent()
	if job.isGang() && job.Spec.Tasks > 1 {
		task.phase = protocol.TaskWaitingForGang
		if !w.startGangIfComplete(job, task.attempt) {
			m.exitUnlessGangStarts(name, task)
			return
		}
	}
	if job.startedAt.IsZero() {
		job.startedAt = time.Now()
	}
	if job.Fail || m.failsTasks {
		m.afterOnTask(name, task, time.Second, func() { m.exitTask(name, task, protocol.CauseError) })
		return
	}
	if job.Run > 0 {
		duration := job.Run
		if m.slowsTasks {
			duration *= 4
		}
		m.afterOnTask(name, task, duration, func() { m.completeTask(name, task, job) })
	}
}

// completeTask ends a task whose work is done, a gang's together with the others. One
// that is being stopped does not complete. The world's lock is held by the caller.
func (m *Machine) completeTask(name string, task *taskAttempt, job *Job) {
	if task.phase != protocol.TaskRunning {
		return
	}
	if job.isGang() {
		m.world.completeGang(job, task.attempt)
		if task.phase == protocol.TaskRunning { // another one's machine hangs
			m.afterOnTask(name, task, time.Second, func() { m.completeTask(name, task, job) })
		}
		return
	}
	_, index, _ := protocol.ParseTaskName(name)
	job.tasksDone[index] = true
	m.exitTask(name, task, protocol.CauseDone)
	m.world.handleJobFinished(job)
}

// stopTask ends a task. One that runs and has checkpoints takes one if its grace
// suffices; a gang's counts only if all of its tasks are told in time. The world's lock is
// held by the caller.
func (m *Machine) stopTask(name string, task *taskAttempt, graceS *float64) {
	w := m.world
	jobID, _, _ := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	running := task.phase == protocol.TaskRunning
	hasCheckpoints := job != nil && job.Spec.CheckpointIntervalS > 0
	checkpoints := running && hasCheckpoints && graceS != nil && *graceS >= job.Spec.CheckpointS
	if w.OnStop != nil && running {
		if why := w.OnStop(name, m.host, w.teamUse()); why != "" {
			w.recordViolation(ruleGuarantee, "%s", why)
		}
	}
	if !checkpoints {
		m.exitTask(name, task, causeStopped)
		return
	}
	task.phase = protocol.TaskCheckpointing
	m.wakeAgent()
	m.afterOnTask(name, task, job.Spec.CheckpointDuration(), func() {
		task.checkpointed = !job.isGang() || w.gangCheckpointing(job, task.attempt)
		if task.checkpointed {
			m.exitTask(name, task, causeStopped)
		} else {
			m.exitTask(name, task, causeGangPeerLost)
		}
	})
}

// exitTask ends a task for a cause; the others of a gang notice, unless they caused it.
// The world's lock is held by the caller.
func (m *Machine) exitTask(name string, task *taskAttempt, cause string) {
	before := *task
	task.phase, task.cause = protocol.TaskExited, cause
	m.world.recordEvent("%s %s/%d exits: %s", m.host, name, task.attempt, cause)
	m.wakeAgent()
	if cause != protocol.CauseDone && cause != causeGangPeerLost {
		m.world.notifyGangPeers(name, &before)
	}
}

// afterOnTask does something to a task later, if it is still there by then. A hung
// machine does nothing until it resumes. The world's lock is held by the caller, and as
// do is called.
func (m *Machine) afterOnTask(name string, task *taskAttempt, delay time.Duration, do func()) {
	w, epoch := m.world, m.agentEpoch
	delay = m.byWorkerClock(delay) + w.between(0, time.Millisecond, "after", m.host, name)
	go func() {
		if !wait(w.ctx, delay) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		gone := m.removed || m.crashed || m.agentEpoch != epoch || m.tasks[name] != task
		switch {
		case gone || task.phase == protocol.TaskExited:
		case m.hung:
			m.afterOnTask(name, task, time.Second, do)
		default:
			do()
		}
	}()
}
