package controller

import (
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// recordTaskEnd notes why a task ended.
func (n *Controller) recordTaskEnd(j *replica.Job, m *replica.Machine, t *protocol.TaskStatus, now time.Time) {
	n.log.Debug("task ended", "task", t.Task, "try", t.Attempt, "host", m.Host, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseNoCapacity, protocol.CauseBusy:
		m.Quarantine.RejectingUntil = now.Add(2 * time.Second)
	case protocol.CauseUnknownJob:
		j.NotBefore = now.Add(2 * time.Second)
	case protocol.CauseError:
		began, ok := m.Agent.RunningSince[t.Task]
		if !ok {
			began = now
		}
		was := j.Evidence.Verdict(now)
		if !m.Quarantine.Active {
			j.Evidence.RecordFailure(m.Host, now.Sub(began), n.random.Float64(), now)
		}
		m.Quarantine.Evidence.RecordFailure(j.ID, began, now)
		n.corroborateJob(j, now)
		if was != quarantine.Suspect && j.Evidence.Verdict(now) == quarantine.Suspect {
			n.log.Info("job fails wherever it runs, its tasks are tried one at a time", "job", j.ID, "on", strings.Join(j.Evidence.FailedHosts(), ","))
		}
		n.updateQuarantine(m, now)
	}
}

// corroborateJob looks for tasks of a job that have failed elsewhere and run there
// for long enough to speak for it.
func (n *Controller) corroborateJob(j *replica.Job, now time.Time) {
	if !j.Evidence.Failing(now) {
		return
	}
	for _, c := range j.Claims {
		for _, p := range c.Slots {
			m := p.Host.Machine
			if m == nil || m.Quarantine.Active {
				continue
			}
			t := m.Agent.Tasks[p.TaskName]
			if began, ok := m.Agent.RunningSince[p.TaskName]; ok && t != nil && t.Phase == protocol.TaskRunning && j.Evidence.OutlastsFailures(now.Sub(began)) {
				j.Evidence.Succeeded(now)
				return
			}
		}
	}
}

// updateQuarantine condemns a machine or takes it back.
func (n *Controller) updateQuarantine(m *replica.Machine, now time.Time) {
	if !m.Quarantine.Evidence.Failing() && !m.Quarantine.Active {
		return
	}
	on, sick := m.Quarantine.Evidence.Quarantine(func(ref string) quarantine.Verdict {
		j := n.view.Jobs[ref]
		if j == nil {
			return quarantine.Unknown
		}
		n.corroborateJob(j, now)
		return j.Evidence.Verdict(now)
	}, now)
	if sick == m.Quarantine.Active {
		return
	}
	m.Quarantine.Active, m.Quarantine.ChangedAt = sick, now
	n.view.Shard(m.Record.Shard).Changed = true
	if !sick {
		n.log.Info("machine is in use again, the jobs that failed there fail elsewhere too", "host", m.Host)
		return
	}
	n.log.Info("machine fails tasks of jobs that run elsewhere, taken out of use", "host", m.Host, "jobs", strings.Join(on, ","))
	for _, ref := range on {
		if j := n.view.Jobs[ref]; j != nil {
			j.Evidence.Exonerate(m.Host)
		}
	}
}

// quarantineGrace is how long a machine stays condemned before it is returned: the next try
// elsewhere of the jobs that failed there may yet speak for it.
const quarantineGrace = 5 * time.Second

// recordCompletion takes what a completed task tells of its machine, its job and its class.
func (n *Controller) recordCompletion(j *replica.Job, spec *protocol.Submission, m *replica.Machine, task string, now time.Time) {
	j.Evidence.Succeeded(now)
	began, ok := m.Agent.RunningSince[task]
	if !ok || spec.RunEstimateS <= 0 {
		return
	}
	delete(m.Agent.RunningSince, task)
	m.Quarantine.Evidence.Succeeded(began)
	ratio := min(max(now.Sub(began).Seconds()/spec.RunEstimateS, 0.1), 10)
	if old, ok := n.runtimeRatios[spec.Class]; ok {
		ratio = old*0.9 + ratio*0.1
	}
	n.runtimeRatios[spec.Class] = ratio
}
