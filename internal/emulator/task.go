package emulator

import (
	"time"

	"madderslip/internal/protocol"
)

type taskAttempt struct {
	attempt      uint64
	phase        string
	cause        string
	checkpointed bool
	began        time.Time
	stop         time.Time // gang: when it was told to stop
}

// occupiesMachine tells whether a task is on its machine by the rules: from when it has its
// image until it exits.
func (t *taskAttempt) occupiesMachine() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaitingForGang || t.phase == protocol.TaskCheckpointing
}

// stopTask ends a task. One that runs and can save does so if its grace suffices; a
// gang's saves only if all of its tasks are told in time.
func (m *Machine) stopTask(name string, task *taskAttempt, grace *float64) {
	jobID, _, _ := protocol.ParseTaskName(name)
	job := m.world.jobs[jobID]
	saves := task.phase == protocol.TaskRunning && job != nil && job.Spec.CheckpointIntervalS > 0 && grace != nil && *grace >= job.Spec.CheckpointS
	if m.world.OnStop != nil && task.phase == protocol.TaskRunning {
		if why := m.world.OnStop(name, m.host, m.world.teamUse()); why != "" {
			m.world.recordViolation("guarantee", "%s", why)
		}
	}
	if !saves {
		m.exitTask(name, task, "halted")
		return
	}
	task.phase, task.stop = protocol.TaskCheckpointing, time.Now()
	m.wakeAgent()
	m.afterOnTask(name, task, job.Spec.CheckpointDuration(), func() {
		if task.checkpointed = job.Spec.Shape != protocol.ShapeGang || m.world.gangCheckpointing(jobID, task.attempt, job); task.checkpointed {
			m.exitTask(name, task, "halted")
		} else {
			m.exitTask(name, task, causeGangPeerLost)
		}
	})
}

func (m *Machine) exitTask(name string, task *taskAttempt, cause string) {
	was := *task
	task.phase, task.cause = protocol.TaskExited, cause
	m.world.recordEvent("%s %s/%d exits: %s", m.host, name, task.attempt, cause)
	m.wakeAgent()
	if cause != protocol.CauseDone && cause != causeGangPeerLost {
		m.world.notifyGangPeers(name, &was)
	}
}

func (m *Machine) startTask(name string, try uint64) {
	w := m.world
	jobID, index, _ := protocol.ParseTaskName(name)
	task := &taskAttempt{attempt: try, phase: protocol.TaskFetching}
	m.tasks[name] = task
	job := w.jobs[jobID]
	if job == nil || index >= job.Spec.Tasks {
		m.exitTask(name, task, protocol.CauseUnknownJob)
		return
	}
	var used [3]float64
	for other, o := range m.tasks {
		r, _, _ := protocol.ParseTaskName(other)
		if x := w.jobs[r]; o.phase != protocol.TaskExited && x != nil {
			used = [3]float64{used[0] + x.Spec.CPUs, used[1] + x.Spec.GPUs, used[2] + x.Spec.MemoryGB}
		}
	}
	machineType := w.typeOf(m.machineType)
	if used[0] > machineType.CPUs+1e-6 || used[1] > machineType.GPUs+1e-6 || used[2] > machineType.MemoryGB+1e-6 {
		m.exitTask(name, task, protocol.CauseNoCapacity)
		return
	}
	fetch := max(time.Second, job.Fetch)
	if m.cachedImages[job.Spec.Image] {
		fetch = time.Millisecond
	}
	m.afterOnTask(name, task, fetch, func() { m.beginTask(name, task, job) })
}

// afterOnTask does something to a task later, if it is still there by then. A hanging
// machine does nothing until it goes on.
func (m *Machine) afterOnTask(name string, task *taskAttempt, d time.Duration, do func()) {
	w, session := m.world, m.agentEpoch
	d = m.byWorkerClock(d) + w.between(0, time.Millisecond, "after", m.host, name)
	go func() {
		if !wait(w.ctx, d) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !m.removed && !m.crashed && m.agentEpoch == session && m.tasks[name] == task && task.phase != protocol.TaskExited {
			if m.hung {
				m.afterOnTask(name, task, time.Second, do)
				return
			}
			do()
		}
	}()
}

// beginTask is the moment a task is on its machine; the rules are checked here.
func (m *Machine) beginTask(name string, task *taskAttempt, job *Job) {
	w := m.world
	m.cachedImages[job.Spec.Image] = true
	w.checkStart(m, name, task, job)
	task.phase, task.began = protocol.TaskRunning, time.Now()
	w.recordEvent("%s %s/%d runs", m.host, name, task.attempt)
	m.wakeAgent()
	if job.Spec.Shape == protocol.ShapeGang && job.Spec.Tasks > 1 {
		task.phase = protocol.TaskWaitingForGang
		if !w.startGangIfComplete(job, task.attempt) {
			m.afterOnTask(name, task, w.Workers.GangStartTimeout, func() {
				if task.phase == protocol.TaskWaitingForGang {
					m.exitTask(name, task, protocol.CauseGangTimeout)
				}
			})
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
		run := job.Run
		if m.slowsTasks {
			run *= 4
		}
		var end func()
		end = func() {
			if task.phase != protocol.TaskRunning {
				return // it is being stopped
			}
			if job.Spec.Shape == protocol.ShapeGang {
				w.completeGang(job, task.attempt)
				if task.phase == protocol.TaskRunning {
					m.afterOnTask(name, task, time.Second, end) // another one's machine hangs
				}
				return
			}
			_, index, _ := protocol.ParseTaskName(name)
			job.tasksDone[index] = true
			m.exitTask(name, task, protocol.CauseDone)
			m.world.jobFinished(job)
		}
		m.afterOnTask(name, task, run, end)
	}
}
