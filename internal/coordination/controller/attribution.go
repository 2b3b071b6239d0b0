package controller

import (
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// recordTaskEnd notes why a task ended.
func (c *Controller) recordTaskEnd(job *replica.Job, machine *replica.Machine, status *protocol.TaskStatus, now time.Time) {
	c.log.Debug("task exited", "task", status.Task, "attempt", status.Attempt, "host", machine.Host, "cause", status.Cause)
	switch status.Cause {
	case protocol.CauseNoCapacity, protocol.CauseBusy:
		machine.Quarantine.RejectingUntil = now.Add(2 * time.Second)
	case protocol.CauseUnknownJob:
		job.NotBefore = now.Add(2 * time.Second)
	case protocol.CauseError:
		began, ok := machine.Agent.RunningSince[status.Task]
		if !ok {
			began = now
		}
		was := job.Evidence.Verdict(now)
		if !machine.Quarantine.Active {
			job.Evidence.RecordFailure(machine.Host, now.Sub(began), c.random.Float64(), now)
		}
		machine.Quarantine.Evidence.RecordFailure(job.ID, began, now)
		c.corroborateJob(job, now)
		if was != quarantine.Suspect && job.Evidence.Verdict(now) == quarantine.Suspect {
			c.log.Info("job on probation", "job", job.ID, "failed_hosts", strings.Join(job.Evidence.FailedHosts(), ","))
		}
		c.updateQuarantine(machine, now)
	}
}

// corroborateJob looks for tasks of a job that have failed elsewhere and run there
// for long enough to speak for it.
func (c *Controller) corroborateJob(job *replica.Job, now time.Time) {
	if !job.Evidence.Failing(now) {
		return
	}
	for _, claim := range job.Claims {
		for _, slot := range claim.Slots {
			machine := slot.Host.Machine
			if machine == nil || machine.Quarantine.Active {
				continue
			}
			status := machine.Agent.Tasks[slot.TaskName]
			if began, ok := machine.Agent.RunningSince[slot.TaskName]; ok && status != nil && status.Phase == protocol.TaskRunning && job.Evidence.OutlastsFailures(now.Sub(began)) {
				job.Evidence.Succeeded(now)
				return
			}
		}
	}
}

// updateQuarantine condemns a machine or takes it back.
func (c *Controller) updateQuarantine(machine *replica.Machine, now time.Time) {
	if !machine.Quarantine.Evidence.Failing() && !machine.Quarantine.Active {
		return
	}
	on, sick := machine.Quarantine.Evidence.Quarantine(func(jobID string) quarantine.Verdict {
		job := c.view.Jobs[jobID]
		if job == nil {
			return quarantine.Unknown
		}
		c.corroborateJob(job, now)
		return job.Evidence.Verdict(now)
	}, now)
	if sick == machine.Quarantine.Active {
		return
	}
	machine.Quarantine.Active, machine.Quarantine.ChangedAt = sick, now
	c.view.Shard(machine.Record.Shard).Changed = true
	if !sick {
		c.log.Info("machine released from quarantine", "host", machine.Host)
		return
	}
	c.log.Info("machine quarantined", "host", machine.Host, "failed_jobs", strings.Join(on, ","))
	for _, jobID := range on {
		if job := c.view.Jobs[jobID]; job != nil {
			job.Evidence.Exonerate(machine.Host)
		}
	}
}

// quarantineGrace is how long a machine stays condemned before it is returned: the next try
// elsewhere of the jobs that failed there may yet speak for it.
const quarantineGrace = 5 * time.Second

// recordCompletion takes what a completed task tells of its machine, its job and its class.
func (c *Controller) recordCompletion(job *replica.Job, spec *protocol.Submission, machine *replica.Machine, task string, now time.Time) {
	job.Evidence.Succeeded(now)
	began, ok := machine.Agent.RunningSince[task]
	if !ok || spec.RunEstimateS <= 0 {
		return
	}
	delete(machine.Agent.RunningSince, task)
	machine.Quarantine.Evidence.Succeeded(began)
	ratio := min(max(now.Sub(began).Seconds()/spec.RunEstimateS, 0.1), 10)
	if old, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = old*0.9 + ratio*0.1
	}
	c.runtimeRatios[spec.Class] = ratio
}
