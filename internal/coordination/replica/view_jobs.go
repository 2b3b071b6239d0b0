package replica

import (
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// maxFinalJobs bounds the final jobs about which requests are answered from memory; any others
// are read from the state service.
const maxFinalJobs = 200_000

// IsCancelled reports whether a job's cancellation is committed.
func (v *View) IsCancelled(jobID string) bool {
	if job := v.Jobs[jobID]; job != nil && job.Record != nil {
		return job.Record.State == protocol.JobCancelled
	}
	return v.FinalJobs[jobID].State == protocol.JobCancelled
}

// JobState returns the state of a job that is not blocked, or dag.Unknown if the job is not
// cached.
func (v *View) JobState(jobID string) dag.State {
	if final, ok := v.FinalJobs[jobID]; ok {
		return dependencyState(final.State)
	}
	if job := v.Jobs[jobID]; job != nil && job.Record != nil {
		return dependencyState(job.Record.State)
	}
	return dag.Unknown
}

// dependencyState returns a job's recorded state as the dependency graph represents it.
func dependencyState(state string) dag.State {
	switch state {
	case protocol.JobDone:
		return dag.Done
	case protocol.JobCancelled:
		return dag.Cancelled
	}
	return dag.Unfinished
}

// ApplyBlockedJob applies a version of a job's record to the dependency graph. It reports
// whether the job is blocked: such a job is kept in the graph alone.
func (v *View) ApplyBlockedJob(jobID string, record *records.Job, version uint64) bool {
	if record.State != records.JobBlocked {
		v.Dependencies.ObserveState(jobID, dependencyState(record.State), time.Now())
		return false
	}
	if record.Spec == nil {
		v.log.Error("blocked job has no description", "job", jobID)
		return true
	}
	blocked := dag.Job{
		ID:           jobID,
		Dependencies: record.Dependencies,
		Spec:         record.Spec,
		AcceptedAt:   time.UnixMilli(record.AcceptedAtMs),
		Revision:     version,
	}
	v.Dependencies.Add(blocked, time.Now())
	return true
}

// ApplyJob applies a job's record. Job records are never removed, so a nil record changes
// nothing.
func (v *View) ApplyJob(jobID string, record *records.Job, version uint64) {
	if record == nil {
		return
	}
	if v.ApplyBlockedJob(jobID, record, version) {
		return
	}
	job := v.Jobs[jobID]
	if job == nil {
		if record.IsFinal() && !v.HasOrphanClaims(jobID) && !v.mayReceiveClaims(record, version) {
			v.addFinalJob(jobID, record, version)
			return
		}
		job = v.addJob(jobID, record)
	}
	v.setJobRecord(job, record, version)
	v.attachOrphans(job)
	v.observer.JobChanged(job)
	for _, claim := range job.Claims {
		v.SetSpec(claim, job.Spec())
		v.MarkDirty(claim)
	}
	v.dropIfFinal(job)
}

// addJob adds a job that the view does not have yet.
func (v *View) addJob(jobID string, record *records.Job) *Job {
	job := &Job{ID: jobID, Claims: make(map[int]*Claim), SeenAt: time.Now(), DeferredUntil: make(map[int]time.Time)}
	v.Jobs[jobID] = job
	if record.Spec != nil && record.Spec.GPUs > 0 && !record.IsFinal() {
		v.GPUJobSeenAt = job.SeenAt
	}
	return job
}

// setJobRecord replaces a job's record and updates the fields and indexes that depend on the
// record. If the new record has no description, that of the previous one is kept.
func (v *View) setJobRecord(job *Job, record *records.Job, version uint64) {
	if record.Spec == nil && job.Record != nil && job.Record.Spec != nil {
		described := *record
		described.Spec = job.Record.Spec
		record = &described
	}
	job.Record, job.Version = record, version
	v.Unplaced[job.ID] = job
	v.Urgent = v.Urgent || (record.Spec != nil && record.Spec.Shape != protocol.ShapeArray)
	if record.IsFinal() && job.FinalAt.IsZero() {
		job.setFinal(record, time.Now())
	}
	if record.State == protocol.JobCancelled {
		v.CancelledJobs[job.ID] = job
	}
	job.setChunks(record)
}

// attachOrphans attaches the claims that were read before their job.
func (v *View) attachOrphans(job *Job) {
	for key, claim := range v.OrphanClaims[job.ID] {
		v.Attach(job, claim)
		delete(v.OrphanClaims[job.ID], key)
	}
	delete(v.OrphanClaims, job.ID)
}

// HasOrphanClaims reports whether claims of a job were read before the job.
func (v *View) HasOrphanClaims(jobID string) bool { return len(v.OrphanClaims[jobID]) > 0 }

// Attach adds a claim to its job.
func (v *View) Attach(job *Job, claim *Claim) {
	job.Claims[claim.Chunk] = claim
	v.SetSpec(claim, job.Spec())
}

// addFinalJob adds a summary of a final job. If there are maxFinalJobs already, an arbitrary
// one is evicted.
func (v *View) addFinalJob(jobID string, record *records.Job, version uint64) {
	if len(v.FinalJobs) >= maxFinalJobs {
		for evicted := range v.FinalJobs {
			delete(v.FinalJobs, evicted)
			delete(v.Versions, records.JobPrefix+evicted)
			break
		}
	}
	v.FinalJobs[jobID] = FinalJob{State: record.State, Tasks: record.Tasks, Version: version}
}

// mayReceiveClaims reports whether a job's cancellation was applied ahead of the watch, which
// may still deliver claims of the job. Such a job is kept in the view: in an outage of the
// state service it could not be read again for these claims, and no controller would reconcile
// them.
func (v *View) mayReceiveClaims(record *records.Job, version uint64) bool {
	return v.Loaded && record.State == protocol.JobCancelled && version > v.Revision
}

// dropIfFinal drops a job that is final and has no claims left, unless the watch may still
// deliver claims of it.
func (v *View) dropIfFinal(job *Job) {
	if v.mayReceiveClaims(job.Record, job.Version) {
		v.EarlyCancellations[job.ID] = job
		return
	}
	if job.Record.IsFinal() && len(job.Claims) == 0 && v.Jobs[job.ID] == job {
		delete(v.Jobs, job.ID)
		delete(v.CancelledJobs, job.ID)
		v.addFinalJob(job.ID, job.Record, job.Version)
	}
}

// SpecOfTask returns the description of a task's job, or nil if the job is not in the view.
func (v *View) SpecOfTask(task string) *protocol.Submission {
	jobID, _, ok := protocol.ParseTaskName(task)
	if job := v.Jobs[jobID]; ok && job != nil && job.Record != nil {
		return job.Spec()
	}
	return nil
}
