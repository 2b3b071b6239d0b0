package replica

import (
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// IsCancelled tells that a job's cancellation is committed.
func (v *View) IsCancelled(jobID string) bool {
	if job := v.Jobs[jobID]; job != nil && job.Record != nil {
		return job.Record.State == protocol.JobCancelled
	}
	return v.FinalJobs[jobID].State == protocol.JobCancelled
}

// JobState is what the cache says of a job that does not wait for others.
func (v *View) JobState(jobID string) dag.State {
	if f, ok := v.FinalJobs[jobID]; ok {
		return dependencyState(f.State)
	}
	if job := v.Jobs[jobID]; job != nil && job.Record != nil {
		return dependencyState(job.Record.State)
	}
	return dag.Unknown
}

func dependencyState(state string) dag.State {
	switch state {
	case protocol.JobDone:
		return dag.Done
	case protocol.JobCancelled:
		return dag.Cancelled
	}
	return dag.Unfinished
}

// ApplyBlockedJob takes a version of a job's record into the graph, and tells whether that is
// all: a job that waits is nowhere else.
func (v *View) ApplyBlockedJob(jobID string, record *records.Job, version uint64) bool {
	if record.State != records.JobBlocked {
		v.Dependencies.ObserveState(jobID, dependencyState(record.State), time.Now())
		return false
	}
	if record.Spec == nil {
		v.log.Error("blocked job has no description", "job", jobID)
		return true
	}
	v.Dependencies.Add(dag.Job{ID: jobID, Dependencies: record.Dependencies, Spec: record.Spec, AcceptedAt: time.UnixMilli(record.AcceptedAtMs), Revision: version}, time.Now())
	return true
}

func (v *View) ApplyJob(jobID string, record *records.Job, version uint64) {
	job := v.Jobs[jobID]
	if record == nil {
		return // job records are kept for ever
	}
	if v.ApplyBlockedJob(jobID, record, version) {
		return
	}
	if job == nil {
		if record.IsFinal() && !v.HasClaims(jobID) && !v.mayHaveClaims(record, version) {
			v.rememberFinal(jobID, record, version)
			return
		}
		job = &Job{ID: jobID, Claims: make(map[int]*Claim), SeenAt: time.Now(), LeftUntil: make(map[int]time.Time)}
		v.Jobs[jobID] = job
		if record.Spec != nil && record.Spec.GPUs > 0 && !record.IsFinal() {
			v.GPUJobSeenAt = job.SeenAt
		}
	}
	if record.Spec == nil && job.Record != nil && job.Record.Spec != nil {
		c := *record
		c.Spec = job.Record.Spec
		record = &c
	}
	job.Record, job.Version = record, version
	v.Unplaced[jobID] = job
	v.Urgent = v.Urgent || (record.Spec != nil && record.Spec.Shape != protocol.ShapeArray)
	if record.IsFinal() && job.FinalAt.IsZero() {
		job.FinalAt = time.Now()
		// What counts is when its user was told, not when this process heard of it:
		// with every restart in between the machine that kept its tasks was given
		// the full time again.
		if at := time.UnixMilli(record.CancelledAtMs); record.CancelledAtMs != 0 && at.Before(job.FinalAt) {
			job.FinalAt = at
		}
	}
	if record.State == protocol.JobCancelled {
		v.CancelledJobs[jobID] = job
	}
	if record.Spec != nil {
		// From the record: every controller must cut a job the same way.
		job.ChunkSize = max(1, record.ChunkSize)
		job.Chunks = (record.Spec.Tasks + job.ChunkSize - 1) / job.ChunkSize
	}
	for key, claim := range v.OrphanClaims[jobID] {
		v.Attach(job, claim)
		delete(v.OrphanClaims[jobID], key)
	}
	delete(v.OrphanClaims, jobID)
	v.observer.JobChanged(job)
	for _, claim := range job.Claims {
		v.SetSpec(claim, job.Spec())
		v.MarkDirty(claim)
	}
	v.forgetIfOver(job)
}

func (v *View) HasClaims(jobID string) bool { return len(v.OrphanClaims[jobID]) > 0 }

func (v *View) Attach(job *Job, claim *Claim) {
	job.Claims[claim.Chunk] = claim
	v.SetSpec(claim, job.Spec())
}

// rememberFinal keeps only a small entry of a final job.
func (v *View) rememberFinal(jobID string, record *records.Job, version uint64) {
	if len(v.FinalJobs) >= maxFinalJobs {
		for old := range v.FinalJobs {
			delete(v.FinalJobs, old)
			delete(v.Versions, records.JobPrefix+old)
			break
		}
	}
	v.FinalJobs[jobID] = FinalJob{State: record.State, Tasks: record.Tasks, Version: version}
}

// maxFinalJobs bounds the finished jobs answered from memory; older ones are
// read from the state service.
const maxFinalJobs = 200_000

type FinalJob struct {
	State   string
	Tasks   int
	Version uint64
}

// mayHaveClaims tells that a job's cancellation is known ahead of the watch, which may
// yet bring claims of it. Forgotten at once, the job had to be read again for them, which
// nobody can in an outage, and they were minded by nobody.
func (v *View) mayHaveClaims(record *records.Job, version uint64) bool {
	return v.Loaded && record.State == protocol.JobCancelled && version > v.Revision
}

func (v *View) forgetIfOver(job *Job) {
	if v.mayHaveClaims(job.Record, job.Version) {
		v.EarlyCancellations[job.ID] = job
		return
	}
	if job.Record.IsFinal() && len(job.Claims) == 0 && v.Jobs[job.ID] == job {
		delete(v.Jobs, job.ID)
		delete(v.CancelledJobs, job.ID)
		v.rememberFinal(job.ID, job.Record, job.Version)
	}
}

func (v *View) SpecOfTask(task string) *protocol.Submission {
	jobID, _, ok := protocol.ParseTaskName(task)
	if job := v.Jobs[jobID]; ok && job != nil && job.Record != nil {
		return job.Spec()
	}
	return nil
}
