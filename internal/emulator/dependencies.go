package emulator

import (
	"time"

	"madderslip/internal/protocol"
)

// dependenciesDone tells that all jobs that one needs are done. The world's lock is held.
func (w *World) dependenciesDone(job *Job) bool {
	for _, jobID := range job.Spec.Dependencies {
		if need := w.jobs[jobID]; need == nil || !need.allTasksDone() {
			return false
		}
	}
	return true
}

// eligibleAt is when a job could first have begun: when it was accepted, or when the last
// job that it needs was done. The world's lock is held.
func (w *World) eligibleAt(job *Job) time.Time {
	at := job.acceptedAt
	for _, jobID := range job.Spec.Dependencies {
		if need := w.jobs[jobID]; need != nil && need.finishedAt.After(at) {
			at = need.finishedAt
		}
	}
	return at
}

// cancelledDependency tells whether the user of any job that one needs, directly or through
// others, has asked to cancel it, and since when a user knows that it is cancelled (zero:
// none does). What was answered with done goes on. The world's lock is held.
func (w *World) cancelledDependency(jobID string) (asked bool, told time.Time) {
	seen := map[string]bool{jobID: true}
	todo := []string{jobID}
	for len(todo) > 0 {
		job := w.jobs[todo[len(todo)-1]]
		todo = todo[:len(todo)-1]
		if job == nil {
			continue
		}
		for _, need := range job.Spec.Dependencies {
			before := w.jobs[need]
			if seen[need] || before == nil {
				continue
			}
			seen[need] = true
			todo = append(todo, need)
			if w.cancelRequested[need] && before.lastPhase != protocol.JobDone {
				asked = true
			}
			if at := before.cancelledAt; w.cancelRequested[need] && !at.IsZero() && (told.IsZero() || at.Before(told)) {
				told = at
			}
		}
	}
	return asked, told
}

// cancelled tells that a job need not run any more: its user cancelled it, or one before it.
// The world's lock is held.
func (w *World) cancelled(jobID string) bool {
	if w.cancelRequested[jobID] {
		return true
	}
	asked, _ := w.cancelledDependency(jobID)
	return asked
}

// needNotRun tells that a job does not have to run: nobody accepted it, it fails, it is
// cancelled, or jobs that it needs are not done. The world's lock is held.
func (w *World) needNotRun(j *Job) bool {
	return j.Fail || j.acceptedAt.IsZero() || !w.dependenciesDone(j) || w.cancelled(j.Spec.JobID)
}

// checkCancelledPhase checks what a user was told of a job against what is known of those before
// it. The world's lock is held.
func (w *World) checkCancelledPhase(jobID, phase string, asked time.Time) {
	off, told := w.cancelledDependency(jobID)
	if phase == protocol.JobCancelled && !w.cancelRequested[jobID] && !off {
		w.recordViolation(ruleWentBack, "%s cancelled by nobody", jobID)
	}
	if phase != protocol.JobCancelled && phase != protocol.JobDone && !told.IsZero() && asked.Sub(told) > w.Workers.CancelDeadline {
		w.recordViolation(ruleOrphaned, "%s is called %s, a job before it was called cancelled %v before", jobID, phase, asked.Sub(told).Round(time.Millisecond))
	}
}

// checkAcceptance checks that all that an accepted job names was submitted, and that a
// job was not refused for naming others that were accepted before it was submitted. The
// world's lock is held.
func (w *World) checkAcceptance(job *Job, asked time.Time, status int) {
	all := true
	for _, jobID := range job.Spec.Dependencies {
		need := w.jobs[jobID]
		if need == nil && (status == 200 || status == 201) {
			w.recordViolation(ruleInvented, "%s needs %s, which nobody submitted", job.Spec.JobID, jobID)
		}
		all = all && need != nil && !need.acceptedAt.IsZero() && need.acceptedAt.Before(asked)
	}
	if len(job.Spec.Dependencies) > 0 && all && status == 422 {
		w.recordViolation(ruleForgotten, "%s got 422, and all that it needs was accepted", job.Spec.JobID)
	}
}

// Endless tells that a job, or one that it needs, does not end by itself.
func (w *World) Endless(jobID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endless(jobID)
}

func (w *World) endless(jobID string) bool {
	job := w.jobs[jobID]
	if job == nil || w.cancelled(jobID) || job.allTasksDone() {
		return false
	}
	if job.Fail || job.Spec.Shape == protocol.ShapeService {
		return true
	}
	for _, need := range job.Spec.Dependencies {
		if w.endless(need) {
			return true
		}
	}
	return false
}
