package replica

import (
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Job is an accepted job that is open, or final with claims that are not removed yet.
type Job struct {
	ID            string
	Record        *records.Job
	Version       uint64
	Chunks        int
	ChunkSize     int                    // tasks in a chunk
	Claims        map[int]*Claim         // by chunk
	SeenAt        time.Time              // when this controller added the job to the view
	FinalAt       time.Time              // when the job's cancellation was accepted, or else when this controller first read the job as final
	NotifiedAt    map[string]time.Time   // by controller: when that controller last confirmed the job's cancellation
	Evidence      quarantine.JobEvidence // evidence of failures of the job's tasks, and of successes after these failures
	NotBefore     time.Time              // earliest next start, after an agent rejected one because the job was unknown to it
	DeferredUntil map[int]time.Time      // by chunk: earliest next claim, while another shard is expected to claim the chunk
	Inherited     Inheritance            // priority and deadline that the job inherits from the jobs that depend on it
	claimKeys     []string               // by chunk: keys of the job's claims; built by the first call of ClaimKey
}

// Inheritance is the priority and the deadline that an open job inherits from the jobs that
// depend on it.
type Inheritance struct {
	From     *protocol.Submission // the job's own description from which Spec was derived
	Spec     *protocol.Submission // a copy of From with the inherited priority and use of spot instances; nil: the job's own description applies
	FinishBy time.Time            // when the job should be done for the deadlines of its dependents; zero: none
}

// FinalJob is the cached summary of a final job that has no claims left.
type FinalJob struct {
	State   string
	Tasks   int
	Version uint64
}

// Spec returns the job's description, with the inherited priority and use of spot instances
// if there are any.
func (j *Job) Spec() *protocol.Submission {
	if j.Inherited.Spec != nil {
		return j.Inherited.Spec
	}
	return j.Record.Spec
}

// SubmittedAt returns the time from which the job's deadlines count: SeenAt, or, for a job
// that was blocked at first, the recorded time of its acceptance, not of its release.
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

// ClaimKey returns the key of a chunk's claim. The keys are cached because each pass over a
// queue needs them, and building them takes a tenth of the time of a pass.
func (j *Job) ClaimKey(chunk int) string {
	if len(j.claimKeys) < j.Chunks {
		j.claimKeys = make([]string, j.Chunks)
		for i := range j.claimKeys {
			j.claimKeys[i] = records.ClaimKey(j.ID, i)
		}
	}
	return j.claimKeys[chunk]
}

// Progress returns how many tasks of a job are done and how many are placed, which are
// displayed as running.
func (j *Job) Progress() (done, running int) {
	for _, claim := range j.Claims {
		if claim.Record != nil {
			done += claim.Record.CompletedCount()
			running += len(claim.Record.Placements)
		}
	}
	return done, running
}

// OnProbation reports whether a job is on probation because it fails on every machine. One of
// its tasks, or its whole gang, is tried at a time, in capacity that no other work needs, and
// nothing is preempted or provisioned for it.
func (j *Job) OnProbation(now time.Time) bool {
	return j.Evidence.Verdict(now) == quarantine.Suspect
}

// HasPlacements reports whether a task of the job is placed, so that no other is tried
// while the job is on probation.
func (j *Job) HasPlacements() bool {
	for _, claim := range j.Claims {
		if record := claim.Latest(); record != nil && len(record.Placements) > 0 {
			return true
		}
	}
	return false
}

// setChunks sets the number and the size of a job's chunks. Every controller must divide a
// job in the same way, so they depend on the job's record alone.
func (j *Job) setChunks(record *records.Job) {
	if record.Spec != nil {
		j.ChunkSize = max(1, record.ChunkSize)
		j.Chunks = (record.Spec.Tasks + j.ChunkSize - 1) / j.ChunkSize
	}
}

// setFinal sets FinalAt. For a cancellation it is the time at which the user's request was
// accepted: if it were the time at which this process read the record, every restart would
// give a machine that keeps tasks of the job the full cancel deadline again.
func (j *Job) setFinal(record *records.Job, now time.Time) {
	j.FinalAt = now
	if at := time.UnixMilli(record.CancelledAtMs); record.CancelledAtMs != 0 && at.Before(j.FinalAt) {
		j.FinalAt = at
	}
}
