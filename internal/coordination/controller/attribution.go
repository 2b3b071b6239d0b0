package controller

import (
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

const (
	// rejectedPause is how long nothing is placed on a machine that refused a start.
	rejectedPause = 2 * time.Second
	// unknownJobPause is how long nothing of a job is placed that an agent does not know.
	unknownJobPause = 2 * time.Second
	// quarantineGrace is how long a machine is quarantined before it is returned: the next
	// attempt elsewhere of the jobs that failed there may yet exonerate it.
	quarantineGrace = 5 * time.Second
	// Observed run times count up to these multiples of the estimate, each with this weight
	// against what was observed before.
	minRuntimeRatio    = 0.1
	maxRuntimeRatio    = 10
	runtimeRatioWeight = 0.1
)

// recordTaskEnd records why a task ended.
func (c *Controller) recordTaskEnd(job *replica.Job, machine *replica.Machine, status *protocol.TaskStatus, now time.Time) {
	c.log.Debug("task exited", "task", status.Task, "attempt", status.Attempt, "host", machine.Host, "cause", status.Cause)
	switch status.Cause {
	case protocol.CauseNoCapacity, protocol.CauseBusy:
		machine.Quarantine.RejectingUntil = now.Add(rejectedPause)
	case protocol.CauseUnknownJob:
		job.NotBefore = now.Add(unknownJobPause)
	case protocol.CauseError:
		c.recordTaskFailure(job, machine, status, now)
	}
}

// recordTaskFailure records a failure against the task's job and its machine. A quarantined
// machine's failures do not count against jobs.
func (c *Controller) recordTaskFailure(job *replica.Job, machine *replica.Machine, status *protocol.TaskStatus, now time.Time) {
	began, ok := machine.Agent.RunningSince[status.Task]
	if !ok {
		began = now
	}
	verdict := job.Evidence.Verdict(now)
	if !machine.Quarantine.Active {
		job.Evidence.RecordFailure(machine.Host, now.Sub(began), c.random.Float64(), now)
	}
	machine.Quarantine.Evidence.RecordFailure(job.ID, began, now)
	c.corroborateJob(job, now)
	if verdict != quarantine.Suspect && job.Evidence.Verdict(now) == quarantine.Suspect {
		c.log.Info("job on probation", "job", job.ID, "failed_hosts", strings.Join(job.Evidence.FailedHosts(), ","))
	}
	c.updateQuarantine(machine, now)
}

// corroborateJob looks for a task of a failing job that runs elsewhere for long enough to
// show that the job is not at fault.
func (c *Controller) corroborateJob(job *replica.Job, now time.Time) {
	if !job.Evidence.Failing(now) {
		return
	}
	for _, claim := range job.Claims {
		for _, slot := range claim.Slots {
			if outlastsFailures(job, slot, now) {
				job.Evidence.RecordSuccess(now)
				return
			}
		}
	}
}

// outlastsFailures reports whether a task runs on a machine that is not quarantined, for
// longer than its job's failures took.
func outlastsFailures(job *replica.Job, slot *replica.Slot, now time.Time) bool {
	machine := slot.Host.Machine
	if machine == nil || machine.Quarantine.Active {
		return false
	}
	status := machine.Agent.Tasks[slot.TaskName]
	began, ok := machine.Agent.RunningSince[slot.TaskName]
	running := ok && status != nil && status.Phase == protocol.TaskRunning
	return running && job.Evidence.OutlastsFailures(now.Sub(began))
}

// updateQuarantine quarantines a machine that the evidence is against, or releases it.
func (c *Controller) updateQuarantine(machine *replica.Machine, now time.Time) {
	if !machine.Quarantine.Evidence.Failing() && !machine.Quarantine.Active {
		return
	}
	failedJobs, faulty := machine.Quarantine.Evidence.ShouldQuarantine(func(jobID string) quarantine.Verdict {
		job := c.view.Jobs[jobID]
		if job == nil {
			return quarantine.Unknown
		}
		c.corroborateJob(job, now)
		return job.Evidence.Verdict(now)
	}, now)
	if faulty == machine.Quarantine.Active {
		return
	}
	machine.Quarantine.Active, machine.Quarantine.ChangedAt = faulty, now
	c.view.Shard(machine.Record.Shard).Changed = true
	if !faulty {
		c.log.Info("machine released from quarantine", "host", machine.Host)
		return
	}
	c.log.Info("machine quarantined", "host", machine.Host, "failed_jobs", strings.Join(failedJobs, ","))
	for _, jobID := range failedJobs {
		if job := c.view.Jobs[jobID]; job != nil {
			job.Evidence.DropFailure(machine.Host)
		}
	}
}

// recordCompletion records what a completed task shows of its job, its machine and the run
// times of its class.
func (c *Controller) recordCompletion(job *replica.Job, spec *protocol.Submission, machine *replica.Machine, task string, now time.Time) {
	job.Evidence.RecordSuccess(now)
	began, ok := machine.Agent.RunningSince[task]
	if !ok || spec.RunEstimateS <= 0 {
		return
	}
	delete(machine.Agent.RunningSince, task)
	machine.Quarantine.Evidence.RecordSuccess(began)
	ratio := min(max(now.Sub(began).Seconds()/spec.RunEstimateS, minRuntimeRatio), maxRuntimeRatio)
	if observed, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = observed*(1-runtimeRatioWeight) + ratio*runtimeRatioWeight
	}
	c.runtimeRatios[spec.Class] = ratio
}
