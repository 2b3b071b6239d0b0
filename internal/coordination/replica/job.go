package replica

import (
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// OnProbation tells that a job fails wherever it runs: one task of it at a time is
// tried, in room that nobody else wants, and nothing is stopped or rented for it.
func (j *Job) OnProbation(now time.Time) bool {
	return j.Evidence.Verdict(now) == quarantine.Suspect
}

// ProbationRunning tells that the trial of a job is under way.
func (j *Job) ProbationRunning() bool {
	for _, claim := range j.Claims {
		if record := claim.Latest(); record != nil && len(record.Placements) > 0 {
			return true
		}
	}
	return false
}

// Inheritance is what an open job has from those that need it.
type Inheritance struct {
	From     *protocol.Submission // the description that was raised
	Spec     *protocol.Submission // the same with the higher rank; nil: its own counts
	FinishBy time.Time            // when it should be done for their deadlines; zero: any time
}

// Job is an accepted job that is open, or final with claims left to clear.
type Job struct {
	ID         string
	Record     *records.Job
	Version    uint64
	Chunks     int
	ChunkSize  int // tasks in a chunk
	Claims     map[int]*Claim
	SeenAt     time.Time              // when this node first saw it
	FinalAt    time.Time              // when this node saw it final
	NotifiedAt map[string]time.Time   // cancelled: when another controller last took this one's word
	Evidence   quarantine.JobEvidence // for and against it, after failures
	NotBefore  time.Time              // no start before this: a worker has not heard of it yet
	LeftUntil  map[int]time.Time      // chunks left to another shard until then
	claimKeys  []string               // of its claims, by chunk; made when first asked for
	Inherited  Inheritance            // what it has from the jobs that need it
}

// Spec is the job's description, with the rank that counts now.
func (j *Job) Spec() *protocol.Submission {
	if j.Inherited.Spec != nil {
		return j.Inherited.Spec
	}
	return j.Record.Spec
}

// SubmittedAt is when the job was accepted: deadlines count from then, also those of a job
// that waited for others first.
func (j *Job) SubmittedAt() time.Time {
	if j.Record.ReleasedAtMs != 0 {
		return time.UnixMilli(j.Record.AcceptedAtMs)
	}
	return j.SeenAt
}

// QueuedAt is when the job was let into the queues.
func (j *Job) QueuedAt() time.Time {
	return time.UnixMilli(max(j.Record.AcceptedAtMs, j.Record.ReleasedAtMs))
}

// ClaimKey is the key of a chunk's claim. Each pass over a queue asks for it, and
// putting it together anew every time was a tenth of a pass.
func (j *Job) ClaimKey(chunk int) string {
	if len(j.claimKeys) < j.Chunks {
		j.claimKeys = make([]string, j.Chunks)
		for i := range j.claimKeys {
			j.claimKeys[i] = records.ClaimKey(j.ID, i)
		}
	}
	return j.claimKeys[chunk]
}

// Progress tells how many tasks of a job are done and running, for display.
func (j *Job) Progress() (done, running int) {
	for _, claim := range j.Claims {
		if claim.Record != nil {
			done += claim.Record.CompletedCount()
			running += len(claim.Record.Placements)
		}
	}
	return done, running
}
