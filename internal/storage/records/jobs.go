package records

//go:generate go tool easyjson -output_filename jobs_easyjson.go jobs.go

import "madderslip/internal/protocol"

// Job is an accepted job. The controller that accepts it writes the record, conditional on its
// absence. Later writes are conditional on the known version: when the job is released or
// cancelled, or when all its chunks are complete. The record is never deleted, so that a
// repeated submission is recognized. The write that makes the job final removes Spec, unless
// claims of the job may still have placements: clearing these requires Spec.
//
//easyjson:json
type Job struct {
	Spec          *protocol.Submission `json:"d,omitempty"`
	Shards        []string             `json:"q,omitempty"` // the shards in whose queues the job is
	AcceptedAtMs  int64                `json:"b,omitempty"` // time of the acceptance, Unix milliseconds; orders the queues, and no guarantee depends on this time
	State         string               `json:"x,omitempty"` // "", JobBlocked, protocol.JobDone or protocol.JobCancelled
	Tasks         int                  `json:"n,omitempty"` // number of tasks; set for a final job
	ChunkSize     int                  `json:"k,omitempty"` // number of tasks in a chunk
	CancelledAtMs int64                `json:"e,omitempty"` // time of the cancellation, Unix milliseconds; the deadline for ending the job's tasks counts from this time
	Dependencies  JobIDs               `json:"w,omitempty"` // dependencies of a blocked job that were not done when the job was accepted
	ReleasedAtMs  int64                `json:"r,omitempty"` // Unix milliseconds at which a blocked job entered the queues
}

// JobBlocked is the state of a job that waits for the jobs it depends on. A blocked job is in
// no queue and has no claim. Versions that do not support dependencies treat the state as
// final: they start no task of the job and report it to users as "pending", which is correct.
const JobBlocked = protocol.JobPending

// IsFinal reports whether the job is done or cancelled, after which its state does not change.
func (j *Job) IsFinal() bool { return j.State == protocol.JobDone || j.State == protocol.JobCancelled }
