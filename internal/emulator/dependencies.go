package emulator

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// dependenciesDone reports whether all direct dependencies of a job are known and done. The
// world's lock is held by the caller.
func (w *World) dependenciesDone(job *Job) bool {
	for _, jobID := range job.Spec.Dependencies {
		if dependency := w.jobs[jobID]; dependency == nil || !dependency.allTasksDone() {
			return false
		}
	}
	return true
}

// eligibleAt returns the earliest time at which a job could have started: when it was
// accepted or when its last dependency was done, whichever is later. The world's lock is
// held by the caller.
func (w *World) eligibleAt(job *Job) time.Time {
	at := job.acceptedAt
	for _, jobID := range job.Spec.Dependencies {
		if dependency := w.jobs[jobID]; dependency != nil && dependency.finishedAt.After(at) {
			at = dependency.finishedAt
		}
	}
	return at
}

// dependenciesOf lists the known jobs that a job depends on, directly or transitively. The
// world's lock is held by the caller.
func (w *World) dependenciesOf(jobID string) []*Job {
	var dependencies []*Job
	seen := map[string]bool{jobID: true}
	unvisited := []string{jobID}
	for len(unvisited) > 0 {
		job := w.jobs[unvisited[len(unvisited)-1]]
		unvisited = unvisited[:len(unvisited)-1]
		if job == nil {
			continue
		}
		for _, id := range job.Spec.Dependencies {
			if dependency := w.jobs[id]; dependency != nil && !seen[id] {
				seen[id] = true
				unvisited = append(unvisited, id)
				dependencies = append(dependencies, dependency)
			}
		}
	}
	return dependencies
}

// dependencyCancellation reports whether a user has asked to cancel any dependency of a job,
// direct or transitive, and returns when a user was first told that one is cancelled (zero:
// none was). Dependencies that a user was told are done do not count as requested: they
// stay done, and the jobs that depend on them go on. The world's lock is held by the caller.
func (w *World) dependencyCancellation(jobID string) (requested bool, confirmedAt time.Time) {
	for _, dependency := range w.dependenciesOf(jobID) {
		if !w.cancelRequested[dependency.Spec.JobID] {
			continue
		}
		if dependency.lastPhase != protocol.JobDone {
			requested = true
		}
		at := dependency.cancelledAt
		if !at.IsZero() && (confirmedAt.IsZero() || at.Before(confirmedAt)) {
			confirmedAt = at
		}
	}
	return requested, confirmedAt
}

// isCancelRequested reports whether a user has asked to cancel a job or, as
// dependencyCancellation counts them, any of its dependencies. The world's lock is held by
// the caller.
func (w *World) isCancelRequested(jobID string) bool {
	if w.cancelRequested[jobID] {
		return true
	}
	requested, _ := w.dependencyCancellation(jobID)
	return requested
}

// needNotRun reports whether a job is not expected to run: it was not accepted, its tasks
// always fail, its cancellation or that of a dependency was requested, or its dependencies
// are not done. The world's lock is held by the caller.
func (w *World) needNotRun(job *Job) bool {
	return job.Fail || job.acceptedAt.IsZero() || !w.dependenciesDone(job) || w.isCancelRequested(job.Spec.JobID)
}

// checkCancelledPhase checks the phase of a job in the response to a user's request against
// the cancellations of the job and its dependencies: a job is cancelled only on request, and
// reaches a final phase within the cancel deadline after a user was told that a dependency
// is cancelled. The world's lock is held by the caller.
func (w *World) checkCancelledPhase(jobID, phase string, asked time.Time) {
	requested, confirmedAt := w.dependencyCancellation(jobID)
	if phase == protocol.JobCancelled && !w.cancelRequested[jobID] && !requested {
		w.recordViolation(ruleWentBack, "%s cancelled by nobody", jobID)
	}
	since := asked.Sub(confirmedAt)
	if !isFinal(phase) && !confirmedAt.IsZero() && since > w.Workers.CancelDeadline {
		w.recordViolation(ruleOrphaned, "%s is called %s, a job before it was called cancelled %v before", jobID, phase, since.Round(time.Millisecond))
	}
}

// checkAcceptance checks that all dependencies of an accepted job were submitted, and that a
// job was not rejected with 422 although all of its dependencies were accepted before it was
// submitted. The world's lock is held by the caller.
func (w *World) checkAcceptance(job *Job, asked time.Time, status int) {
	allAccepted := true
	for _, jobID := range job.Spec.Dependencies {
		dependency := w.jobs[jobID]
		if dependency == nil && isSuccess(status) {
			w.recordViolation(ruleInvented, "%s needs %s, which nobody submitted", job.Spec.JobID, jobID)
		}
		allAccepted = allAccepted && dependency != nil && !dependency.acceptedAt.IsZero() && dependency.acceptedAt.Before(asked)
	}
	if len(job.Spec.Dependencies) > 0 && allAccepted && status == 422 {
		w.recordViolation(ruleForgotten, "%s got 422, and all that it needs was accepted", job.Spec.JobID)
	}
}

// Endless reports whether a job or any of its dependencies is expected to run forever: it is
// a service or its tasks always fail, and it is neither done nor to be cancelled.
func (w *World) Endless(jobID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endless(jobID)
}

// endless is Endless for callers that hold the world's lock.
func (w *World) endless(jobID string) bool {
	job := w.jobs[jobID]
	if job == nil || w.isCancelRequested(jobID) || job.allTasksDone() {
		return false
	}
	if job.Fail || job.Spec.Shape == protocol.ShapeService {
		return true
	}
	return slices.ContainsFunc(job.Spec.Dependencies, w.endless)
}
