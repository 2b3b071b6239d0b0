package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Job is a job as the emulator records it: its submission, the actual behaviour of its tasks
// and what users were told. The unexported fields are guarded by the world's lock.
type Job struct {
	Spec  protocol.Submission
	Run   time.Duration // run time of each task; 0 for a service, whose tasks do not end
	Fail  bool          // every task fails
	Fetch time.Duration // fetch time of the job's image, if longer than the usual 1 s

	acceptedAt  time.Time // when a user was first told that the job is accepted
	lastPhase   string    // the latest phase that a user was told; the first final phase stays
	lastPhaseAt time.Time // when a user was first told lastPhase
	cancelledAt time.Time // when a user was first told that the job is cancelled

	tasksDone     map[int]bool // by task index
	startedAt     time.Time    // when its first task started; for a gang, when all of its tasks did
	finishedAt    time.Time    // when its last task was done
	replicaTime   ServedShare  // possible and served replica time of a service; see countReplicas
	unplacedSince time.Time    // since when the job is unplaced despite free capacity for it; see trackUnplaced
}

// isGang reports whether the tasks of the job start and end together.
func (j *Job) isGang() bool { return j.Spec.Shape == protocol.ShapeGang }

// allTasksDone reports whether all tasks of the job are done. The world's lock is held by
// the caller.
func (j *Job) allTasksDone() bool { return len(j.tasksDone) == j.Spec.Tasks }

// AcceptedJob describes an accepted job, for checks at the end of a test.
type AcceptedJob struct {
	Ref   string
	Shape protocol.Shape
	Tasks int
	Fails bool
}

// Accepted lists the jobs that users were told are accepted, ordered by job ID.
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

// OnStart registers the function to call for each task that starts while RecordStartsOnly
// is set. Set both before adding machines. The world's lock is held during the call.
func (w *World) OnStart(started func(jobID string, sinceAccepted time.Duration)) {
	w.onStart = func(job *Job) {
		since := time.Duration(0)
		if !job.acceptedAt.IsZero() {
			since = time.Since(job.acceptedAt)
		}
		started(job.Spec.JobID, since)
	}
}

// DropFinishedJobs deletes the jobs that were done more than a minute ago and the counts of
// random draws, so that memory does not grow during a long measurement. Users must not ask
// about the deleted jobs afterwards.
func (w *World) DropFinishedJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for jobID, job := range w.jobs {
		if job.allTasksDone() && time.Since(job.finishedAt) > time.Minute {
			delete(w.jobs, jobID)
		}
	}
	clear(w.draws)
}
