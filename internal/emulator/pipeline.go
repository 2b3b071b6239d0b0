package emulator

import (
	"time"

	"madderslip/internal/protocol"
)

// The rules about jobs that wait for others: none of their tasks starts too early, and
// none stays orphaned once a job before it is cancelled.

// finished tells that all tasks of a job are done. The world's lock is held.
func (j *Job) finished() bool { return len(j.done) == j.Spec.Tasks }

// needsDone tells that all jobs that one needs are done. The world's lock is held.
func (w *World) needsDone(j *Job) bool {
	for _, ref := range j.Spec.Dependencies {
		if need := w.jobs[ref]; need == nil || !need.finished() {
			return false
		}
	}
	return true
}

// QueuedAt is when a job could first have begun: when it was accepted, or when the last
// job that it needs was done. The world's lock is held.
func (w *World) queuedAt(j *Job) time.Time {
	at := j.accepted
	for _, ref := range j.Spec.Dependencies {
		if need := w.jobs[ref]; need != nil && need.endedAt.After(at) {
			at = need.endedAt
		}
	}
	return at
}

// cancelledBefore tells whether the user of any job that one needs, directly or through
// others, has asked to cancel it, and since when a user knows that it is cancelled (zero:
// none does). What was answered with done goes on. The world's lock is held.
func (w *World) cancelledBefore(ref string) (asked bool, told time.Time) {
	seen := map[string]bool{ref: true}
	todo := []string{ref}
	for len(todo) > 0 {
		j := w.jobs[todo[len(todo)-1]]
		todo = todo[:len(todo)-1]
		if j == nil {
			continue
		}
		for _, need := range j.Spec.Dependencies {
			before := w.jobs[need]
			if seen[need] || before == nil {
				continue
			}
			seen[need] = true
			todo = append(todo, need)
			if w.aborted[need] && before.told != protocol.JobDone {
				asked = true
			}
			if at := before.cancelled; w.aborted[need] && !at.IsZero() && (told.IsZero() || at.Before(told)) {
				told = at
			}
		}
	}
	return asked, told
}

// off tells that a job need not run any more: its user cancelled it, or one before it.
// The world's lock is held.
func (w *World) off(ref string) bool {
	if w.aborted[ref] {
		return true
	}
	asked, _ := w.cancelledBefore(ref)
	return asked
}

// idles tells that a job does not have to run: nobody accepted it, it fails, it is
// cancelled, or jobs that it needs are not done. The world's lock is held.
func (w *World) idles(j *Job) bool {
	return j.Fail || j.accepted.IsZero() || !w.needsDone(j) || w.off(j.Spec.JobID)
}

// judgePhase checks what a user was told of a job against what is known of those before
// it. The world's lock is held.
func (w *World) judgePhase(ref, phase string, asked time.Time) {
	off, told := w.cancelledBefore(ref)
	if phase == protocol.JobCancelled && !w.aborted[ref] && !off {
		w.breakRule("went_back", "%s cancelled by nobody", ref)
	}
	if phase != protocol.JobCancelled && phase != protocol.JobDone && !told.IsZero() && asked.Sub(told) > w.Workers.CancelDeadline {
		w.breakRule("orphaned", "%s is called %s, a job before it was called cancelled %v before", ref, phase, asked.Sub(told).Round(time.Millisecond))
	}
}

// judgeAcceptance checks that all that an accepted job names was submitted, and that a
// job was not refused for naming others that were accepted before it was submitted. The
// world's lock is held.
func (w *World) judgeAcceptance(j *Job, asked time.Time, status int) {
	all := true
	for _, ref := range j.Spec.Dependencies {
		need := w.jobs[ref]
		if need == nil && (status == 200 || status == 201) {
			w.breakRule("invented", "%s needs %s, which nobody submitted", j.Spec.JobID, ref)
		}
		all = all && need != nil && !need.accepted.IsZero() && need.accepted.Before(asked)
	}
	if len(j.Spec.Dependencies) > 0 && all && status == 422 {
		w.breakRule("forgotten", "%s got 422, and all that it needs was accepted", j.Spec.JobID)
	}
}

// Endless tells that a job, or one that it needs, does not end by itself.
func (w *World) Endless(ref string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endless(ref)
}

func (w *World) endless(ref string) bool {
	j := w.jobs[ref]
	if j == nil || w.off(ref) || j.finished() {
		return false
	}
	if j.Fail || j.Spec.Shape == protocol.ShapeService {
		return true
	}
	for _, need := range j.Spec.Dependencies {
		if w.endless(need) {
			return true
		}
	}
	return false
}
