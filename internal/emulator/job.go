package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// OnStart has the world tell of each task that begins. It is set before machines are
// added, with Hollow; the world's lock is held as it is called.
func (w *World) OnStart(started func(ref string, sinceAccepted time.Duration)) {
	w.onStart = func(job *Job) {
		since := time.Duration(0)
		if !job.acceptedAt.IsZero() {
			since = time.Since(job.acceptedAt)
		}
		started(job.Spec.JobID, since)
	}
}

// Forget drops what the world knows of jobs that are over and nobody asks about.
func (w *World) Forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for jobID, job := range w.jobs {
		if job.allTasksDone() && time.Since(job.finishedAt) > time.Minute {
			delete(w.jobs, jobID)
		}
	}
	clear(w.draws)
}

// isGang reports whether the tasks of the job start and end together.
func (j *Job) isGang() bool { return j.Spec.Shape == protocol.ShapeGang }

// allTasksDone reports whether all tasks of the job are done. The world's lock is held by
// the caller.
func (j *Job) allTasksDone() bool { return len(j.tasksDone) == j.Spec.Tasks }

// Job is a job as the world knows it: what was submitted and how its tasks
// really run.
type Job struct {
	Spec          protocol.Submission
	Run           time.Duration // 0 for a service
	Fail          bool          // every task fails
	Fetch         time.Duration // of its image, if longer than usual
	acceptedAt    time.Time     // when its user was told so
	lastPhase     string        // the latest phase a user was told
	lastPhaseAt   time.Time     // when it was first told that
	cancelledAt   time.Time
	tasksDone     map[int]bool
	replicaTime   ServedShare // of a service
	unplacedSince time.Time   // since when it waits beside room that it fits, once all is calm
	startedAt     time.Time   // when its first task ran, of a gang all of them
	finishedAt    time.Time   // when its last task was done
}

// Known is a job that was accepted, for checks once a test's work is over.
type Known struct {
	Ref   string
	Shape protocol.Shape
	Tasks int
	Fails bool
}

// Accepted lists the jobs that users were told are accepted.
func (w *World) Accepted() []Known {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Known
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[jobID]; !j.acceptedAt.IsZero() {
			out = append(out, Known{jobID, j.Spec.Shape, j.Spec.Tasks, j.Fail})
		}
	}
	return out
}
