package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Job is a job as the world knows it: what was submitted and how its tasks really run. The
// unexported fields are guarded by the world's lock.
type Job struct {
	Spec  protocol.Submission
	Run   time.Duration // of each task; 0 for a service
	Fail  bool          // every task fails
	Fetch time.Duration // of its image, if longer than usual

	acceptedAt  time.Time // when its user was told so
	lastPhase   string    // the latest phase a user was told, the first of the final ones
	lastPhaseAt time.Time // when a user was first told that
	cancelledAt time.Time // when a user was first told so

	tasksDone     map[int]bool // by index
	startedAt     time.Time    // when its first task ran, of a gang all of them
	finishedAt    time.Time    // when its last task was done
	replicaTime   ServedShare  // of a service
	unplacedSince time.Time    // since when it waits beside capacity that it fits; see trackUnplaced
}

// isGang reports whether the tasks of the job start and end together.
func (j *Job) isGang() bool { return j.Spec.Shape == protocol.ShapeGang }

// allTasksDone reports whether all tasks of the job are done. The world's lock is held by
// the caller.
func (j *Job) allTasksDone() bool { return len(j.tasksDone) == j.Spec.Tasks }

// AcceptedJob is a job that was accepted, for checks once a test's work is over.
type AcceptedJob struct {
	Ref   string
	Shape protocol.Shape
	Tasks int
	Fails bool
}

// Accepted lists the jobs that users were told are accepted, in the order of their IDs.
func (w *World) Accepted() []AcceptedJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	var accepted []AcceptedJob
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if job := w.jobs[jobID]; !job.acceptedAt.IsZero() {
			accepted = append(accepted, AcceptedJob{jobID, job.Spec.Shape, job.Spec.Tasks, job.Fail})
		}
	}
	return accepted
}

// OnStart has the world call started for each task that starts. It is set before machines
// are added, with RecordStartsOnly; the world's lock is held as started is called.
func (w *World) OnStart(started func(jobID string, sinceAccepted time.Duration)) {
	w.onStart = func(job *Job) {
		since := time.Duration(0)
		if !job.acceptedAt.IsZero() {
			since = time.Since(job.acceptedAt)
		}
		started(job.Spec.JobID, since)
	}
}

// Forget drops what the world knows of jobs that are over and of past draws, so that a long
// measurement does not grow. Nobody may ask about those jobs any more.
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
