package controller

import (
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

const (
	// rejectedPause is how long nothing is placed on a machine that rejected a start command.
	rejectedPause = 2 * time.Second
	// unknownJobPause is how long no task of a job is placed after an agent rejected one
	// because the job is unknown to it.
	unknownJobPause = 2 * time.Second
	// quarantineGrace is how long a machine is quarantined before it is returned. Meanwhile
	// the next attempts of the failed jobs on other machines may show that the machine is not
	// at fault.
	quarantineGrace = 5 * time.Second
	// The ratio of a task's run time to its estimate is clamped to these bounds and enters the
	// moving average of the job's class with this weight.
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
	startedAt, ok := machine.Agent.RunningSince[status.Task]
	if !ok {
		startedAt = now
	}
	verdict := job.Evidence.Verdict(now)
	if !machine.Quarantine.Active {
		job.Evidence.RecordFailure(machine.Host, now.Sub(startedAt), c.random.Float64(), now)
	}
	machine.Quarantine.Evidence.RecordFailure(job.ID, startedAt, now)
	c.checkForLongRun(job, now)
	if verdict != quarantine.Suspect && job.Evidence.Verdict(now) == quarantine.Suspect {
		c.log.Info("job on probation", "job", job.ID, "failed_hosts", strings.Join(job.Evidence.FailedHosts(), ","))
	}
	c.updateQuarantine(machine, now)
}

// checkForLongRun records a success for a failing job if a task of it has run on a machine that
// is not quarantined for long enough to show that the job is not at fault.
func (c *Controller) checkForLongRun(job *replica.Job, now time.Time) {
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

// outlastsFailures reports whether a task runs on a machine that is not quarantined, and has
// outlasted the failed runs of its job.
func outlastsFailures(job *replica.Job, slot *replica.Slot, now time.Time) bool {
	machine := slot.Host.Machine
	if machine == nil || machine.Quarantine.Active {
		return false
	}
	status := machine.Agent.Tasks[slot.TaskName]
	startedAt, ok := machine.Agent.RunningSince[slot.TaskName]
	running := ok && status != nil && status.Phase == protocol.TaskRunning
	return running && job.Evidence.OutlastsFailures(now.Sub(startedAt))
}

// updateQuarantine quarantines a machine or releases it from quarantine, according to the
// evidence of the failures on it.
func (c *Controller) updateQuarantine(machine *replica.Machine, now time.Time) {
	if !machine.Quarantine.Evidence.Failing() && !machine.Quarantine.Active {
		return
	}
	failedJobs, faulty := machine.Quarantine.Evidence.ShouldQuarantine(func(jobID string) quarantine.Verdict {
		job := c.view.Jobs[jobID]
		if job == nil {
			return quarantine.Unknown
		}
		c.checkForLongRun(job, now)
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

// recordCompletion records a completed task as a success of its job and its machine, and its
// run time for the job's class.
func (c *Controller) recordCompletion(job *replica.Job, spec *protocol.Submission, machine *replica.Machine, task string, now time.Time) {
	job.Evidence.RecordSuccess(now)
	startedAt, ok := machine.Agent.RunningSince[task]
	if !ok || spec.RunEstimateS <= 0 {
		return
	}
	delete(machine.Agent.RunningSince, task)
	machine.Quarantine.Evidence.RecordSuccess(startedAt)
	ratio := min(max(now.Sub(startedAt).Seconds()/spec.RunEstimateS, minRuntimeRatio), maxRuntimeRatio)
	if observed, ok := c.runtimeRatios[spec.Class]; ok {
		ratio = observed*(1-runtimeRatioWeight) + ratio*runtimeRatioWeight
	}
	c.runtimeRatios[spec.Class] = ratio
}
