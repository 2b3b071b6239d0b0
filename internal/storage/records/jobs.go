package records

//go:generate go tool easyjson -output_filename jobs_easyjson.go jobs.go

import "madderslip/internal/protocol"

// Job is an accepted job. It is written once by the controller that accepts it, on
// condition that there is no record, and later on the version known: when it is released,
// cancelled, or all its chunks are complete. It is never deleted, so a repeated
// submission finds it; the description is dropped when the job becomes final, unless
// placements or other chunks still need it.
//
//easyjson:json
type Job struct {
	Spec          *protocol.Submission `json:"d,omitempty"`
	Shards        []string             `json:"q,omitempty"` // the shards whose queues it is in
	AcceptedAtMs  int64                `json:"b,omitempty"` // Unix milliseconds; orders the queues, and no rule rests on it
	State         string               `json:"x,omitempty"` // "", JobBlocked, protocol.JobDone or protocol.JobCancelled
	Tasks         int                  `json:"n,omitempty"` // of a final job
	ChunkSize     int                  `json:"k,omitempty"` // tasks in a chunk
	CancelledAtMs int64                `json:"e,omitempty"` // Unix milliseconds; the deadline for ending its tasks counts from here
	Dependencies  JobIDs               `json:"w,omitempty"` // of a blocked job: those of its user's list that were not done when it was accepted
	ReleasedAtMs  int64                `json:"r,omitempty"` // Unix milliseconds at which a blocked job entered the queues
}

// JobBlocked is the state of a job that waits for others. It is in no queue and has no
// claim. Versions that do not know it take it for a final state: they start nothing of
// the job and answer its users "pending", which it is.
const JobBlocked = protocol.JobPending

// IsFinal reports whether the job is done or cancelled, after which nothing of it changes.
func (j *Job) IsFinal() bool { return j.State == protocol.JobDone || j.State == protocol.JobCancelled }
