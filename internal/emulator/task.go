package emulator

import (
	"time"

	"madderslip/internal/protocol"
)

// causeStopped is the exit cause, as the protocol spells it, of a task that a stop command
// has ended.
const causeStopped = "halted"

// taskAttempt is an attempt of a task on a machine.
type taskAttempt struct {
	attempt      uint64
	phase        string // one of the protocol's task phases
	cause        string // the exit cause; empty before the exit
	checkpointed bool
}

// occupiesMachine reports whether a task is on its machine in the sense of the rules: from
// the time its image is fetched until the task exits.
func (t *taskAttempt) occupiesMachine() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaitingForGang || t.phase == protocol.TaskCheckpointing
}

// startTask fetches the image of a task and then begins the task. The task exits at once if
// its job is unknown or the machine lacks capacity. The world's lock is held by the caller.
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
	m.wakeAgent() // the task is a new entry of the heartbeat
	fetch := max(time.Second, job.Fetch)
	if m.cachedImages[job.Spec.Image] {
		fetch = time.Millisecond
	}
	m.afterTaskDelay(name, task, fetch, func() { m.beginTask(name, task, job) })
}

// beginTask begins a task whose image is on the machine, and checks the rules that apply to a
// start. A gang's task waits for its gang. The world's lock is held by the caller.
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
		m.afterTaskDelay(name, task, time.Second, func() { m.exitTask(name, task, protocol.CauseError) })
		return
	}
	if job.Run > 0 {
		duration := job.Run
		if m.slowsTasks {
			duration *= 4
		}
		m.afterTaskDelay(name, task, duration, func() { m.completeTask(name, task, job) })
	}
}

// completeTask ends a task whose run time has passed; tasks of a gang complete together. A
// task that is being stopped does not complete. The world's lock is held by the caller.
func (m *Machine) completeTask(name string, task *taskAttempt, job *Job) {
	if task.phase != protocol.TaskRunning {
		return
	}
	if job.isGang() {
		m.world.completeGang(job, task.attempt)
		if task.phase == protocol.TaskRunning { // another task of the gang is lost or its machine is hung
			m.afterTaskDelay(name, task, time.Second, func() { m.completeTask(name, task, job) })
		}
		return
	}
	_, index, _ := protocol.ParseTaskName(name)
	job.tasksDone[index] = true
	m.exitTask(name, task, protocol.CauseDone)
	m.world.handleJobFinished(job)
}

// stopTask stops a task. A running task of a job with checkpoints first takes a checkpoint
// if the grace period suffices; a checkpoint of a gang counts only if all of its tasks receive
// their stop commands in time. The world's lock is held by the caller.
func (m *Machine) stopTask(name string, task *taskAttempt, graceS *float64) {
	w := m.world
	jobID, _, _ := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	running := task.phase == protocol.TaskRunning
	hasCheckpoints := job != nil && job.Spec.CheckpointIntervalS > 0
	checkpoints := running && hasCheckpoints && graceS != nil && *graceS >= job.Spec.CheckpointS
	if w.OnStop != nil && running {
		if violation := w.OnStop(name, m.host, w.teamUse()); violation != "" {
			w.recordViolation(ruleGuarantee, "%s", violation)
		}
	}
	if !checkpoints {
		m.exitTask(name, task, causeStopped)
		return
	}
	task.phase = protocol.TaskCheckpointing
	m.wakeAgent()
	m.afterTaskDelay(name, task, job.Spec.CheckpointDuration(), func() {
		task.checkpointed = !job.isGang() || w.isGangCheckpointing(job, task.attempt)
		if task.checkpointed {
			m.exitTask(name, task, causeStopped)
		} else {
			m.exitTask(name, task, causeGangPeerLost)
		}
	})
}

// exitTask ends a task with the given cause. It notifies the task's gang peers, unless the
// task is done or exits because of a lost peer. The world's lock is held by the caller.
func (m *Machine) exitTask(name string, task *taskAttempt, cause string) {
	before := *task
	task.phase, task.cause = protocol.TaskExited, cause
	m.world.recordEvent("%s %s/%d exits: %s", m.host, name, task.attempt, cause)
	m.wakeAgent()
	if cause != protocol.CauseDone && cause != causeGangPeerLost {
		m.world.notifyGangPeers(name, &before)
	}
}

// afterTaskDelay calls action after a delay on the worker's clock, unless the task has exited
// or is lost by then. While the machine is hung, the call is retried every second. The world's
// lock is held by the caller and during the call.
func (m *Machine) afterTaskDelay(name string, task *taskAttempt, delay time.Duration, action func()) {
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
			m.afterTaskDelay(name, task, time.Second, action)
		default:
			action()
		}
	}()
}
