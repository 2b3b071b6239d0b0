package replica

import (
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Job is an accepted job that is open, or final with claims left to clear.
type Job struct {
	ID         string
	Record     *records.Job
	Version    uint64
	Chunks     int
	ChunkSize  int                    // tasks in a chunk
	Claims     map[int]*Claim         // by chunk
	SeenAt     time.Time              // when this controller first saw it
	FinalAt    time.Time              // when this controller saw it final, or its cancellation was accepted
	NotifiedAt map[string]time.Time   // cancelled: when each other controller last confirmed that it knows
	Evidence   quarantine.JobEvidence // for and against it, after failures
	NotBefore  time.Time              // no start before this: an agent does not know of it yet
	LeftUntil  map[int]time.Time      // chunks left to another shard until then
	Inherited  Inheritance            // from the jobs that depend on it
	claimKeys  []string               // of its claims, by chunk; made when first asked for
}

// Inheritance is what an open job has from those that depend on it.
type Inheritance struct {
	From     *protocol.Submission // the description that was raised
	Spec     *protocol.Submission // the same with the higher priority; nil: its own counts
	FinishBy time.Time            // when it should be done for their deadlines; zero: any time
}

// FinalJob is what is kept of a job that is over.
type FinalJob struct {
	State   string
	Tasks   int
	Version uint64
}

// Spec returns the job's description, with the priority that counts now.
func (j *Job) Spec() *protocol.Submission {
	if j.Inherited.Spec != nil {
		return j.Inherited.Spec
	}
	return j.Record.Spec
}

// SubmittedAt returns when the job was accepted: deadlines count from then, also those of a
// job that was blocked on others first.
func (j *Job) SubmittedAt() time.Time {
	if j.Record.ReleasedAtMs != 0 {
		return time.UnixMilli(j.Record.AcceptedAtMs)
	}
	return j.SeenAt
}

// QueuedAt returns when the job was admitted to the queues.
func (j *Job) QueuedAt() time.Time {
	return time.UnixMilli(max(j.Record.AcceptedAtMs, j.Record.ReleasedAtMs))
}

// ClaimKey returns the key of a chunk's claim. The keys are kept because each pass over a
// queue asks for them, and building them takes a tenth of a pass.
func (j *Job) ClaimKey(chunk int) string {
	if len(j.claimKeys) < j.Chunks {
		j.claimKeys = make([]string, j.Chunks)
		for i := range j.claimKeys {
			j.claimKeys[i] = records.ClaimKey(j.ID, i)
		}
	}
	return j.claimKeys[chunk]
}

// Progress returns how many tasks of a job are done and running, for display.
func (j *Job) Progress() (done, running int) {
	for _, claim := range j.Claims {
		if claim.Record != nil {
			done += claim.Record.CompletedCount()
			running += len(claim.Record.Placements)
		}
	}
	return done, running
}

// OnProbation reports whether a job fails wherever it runs: one task of it at a time is
// tried, in capacity that no other work wants, and nothing is preempted or provisioned for
// it.
func (j *Job) OnProbation(now time.Time) bool {
	return j.Evidence.Verdict(now) == quarantine.Suspect
}

// ProbationRunning reports whether a task of a job on probation is placed.
func (j *Job) ProbationRunning() bool {
	for _, claim := range j.Claims {
		if record := claim.Latest(); record != nil && len(record.Placements) > 0 {
			return true
		}
	}
	return false
}

// setChunks derives from a job's record how it is cut into chunks. Every controller
// must cut a job the same way, so the record alone decides.
func (j *Job) setChunks(record *records.Job) {
	if record.Spec != nil {
		j.ChunkSize = max(1, record.ChunkSize)
		j.Chunks = (record.Spec.Tasks + j.ChunkSize - 1) / j.ChunkSize
	}
}

// setFinal notes when a job became final. A cancellation counts from when its user's
// request was accepted: counted from when this process read it, every restart would give
// the machine that keeps the job's tasks the full time again.
func (j *Job) setFinal(record *records.Job, now time.Time) {
	j.FinalAt = now
	if at := time.UnixMilli(record.CancelledAtMs); record.CancelledAtMs != 0 && at.Before(j.FinalAt) {
		j.FinalAt = at
	}
}
