package replica

import (
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// IsCancelled tells that a job's cancellation is committed.
func (v *View) IsCancelled(ref string) bool {
	if j := v.Jobs[ref]; j != nil && j.Record != nil {
		return j.Record.State == protocol.JobCancelled
	}
	return v.FinalJobs[ref].State == protocol.JobCancelled
}

// JobState is what the cache says of a job that does not wait for others.
func (v *View) JobState(ref string) dag.State {
	if f, ok := v.FinalJobs[ref]; ok {
		return dependencyState(f.State)
	}
	if j := v.Jobs[ref]; j != nil && j.Record != nil {
		return dependencyState(j.Record.State)
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
func (v *View) ApplyBlockedJob(ref string, r *records.Job, stamp uint64) bool {
	if r.State != records.JobBlocked {
		v.Dependencies.ObserveState(ref, dependencyState(r.State), time.Now())
		return false
	}
	if r.Spec == nil {
		v.log.Error("held job without a description", "job", ref)
		return true
	}
	v.Dependencies.Add(dag.Job{ID: ref, Dependencies: r.Dependencies, Spec: r.Spec, AcceptedAt: time.UnixMilli(r.AcceptedAtMs), Revision: stamp}, time.Now())
	return true
}

func (v *View) ApplyJob(ref string, r *records.Job, stamp uint64) {
	j := v.Jobs[ref]
	if r == nil {
		return // job records are kept for ever
	}
	if v.ApplyBlockedJob(ref, r, stamp) {
		return
	}
	if j == nil {
		if r.IsFinal() && !v.HasClaims(ref) && !v.mayHaveClaims(r, stamp) {
			v.rememberFinal(ref, r, stamp)
			return
		}
		j = &Job{ID: ref, Claims: make(map[int]*Claim), SeenAt: time.Now(), LeftUntil: make(map[int]time.Time)}
		v.Jobs[ref] = j
		if r.Spec != nil && r.Spec.GPUs > 0 && !r.IsFinal() {
			v.GPUJobSeenAt = j.SeenAt
		}
	}
	if r.Spec == nil && j.Record != nil && j.Record.Spec != nil {
		c := *r
		c.Spec = j.Record.Spec
		r = &c
	}
	j.Record, j.Version = r, stamp
	v.Unplaced[ref] = j
	v.Urgent = v.Urgent || (r.Spec != nil && r.Spec.Shape != protocol.ShapeArray)
	if r.IsFinal() && j.FinalAt.IsZero() {
		j.FinalAt = time.Now()
		// What counts is when its user was told, not when this process heard of it:
		// with every restart in between the machine that kept its tasks was given
		// the full time again.
		if at := time.UnixMilli(r.CancelledAtMs); r.CancelledAtMs != 0 && at.Before(j.FinalAt) {
			j.FinalAt = at
		}
	}
	if r.State == protocol.JobCancelled {
		v.CancelledJobs[ref] = j
	}
	if r.Spec != nil {
		// From the record: every controller must cut a job the same way.
		j.ChunkSize = max(1, r.ChunkSize)
		j.Chunks = (r.Spec.Tasks + j.ChunkSize - 1) / j.ChunkSize
	}
	for key, c := range v.OrphanClaims[ref] {
		v.Attach(j, c)
		delete(v.OrphanClaims[ref], key)
	}
	delete(v.OrphanClaims, ref)
	v.observer.JobChanged(j)
	for _, c := range j.Claims {
		v.SetSpec(c, j.Spec())
		v.MarkDirty(c)
	}
	v.forgetIfOver(j)
}

func (v *View) HasClaims(ref string) bool { return len(v.OrphanClaims[ref]) > 0 }

func (v *View) Attach(j *Job, c *Claim) {
	j.Claims[c.Chunk] = c
	v.SetSpec(c, j.Spec())
}

// rememberFinal keeps only a small entry of a final job.
func (v *View) rememberFinal(ref string, r *records.Job, stamp uint64) {
	if len(v.FinalJobs) >= maxFinalJobs {
		for old := range v.FinalJobs {
			delete(v.FinalJobs, old)
			delete(v.Versions, records.JobPrefix+old)
			break
		}
	}
	v.FinalJobs[ref] = FinalJob{State: r.State, Tasks: r.Tasks, Version: stamp}
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
func (v *View) mayHaveClaims(r *records.Job, stamp uint64) bool {
	return v.Loaded && r.State == protocol.JobCancelled && stamp > v.Revision
}

func (v *View) forgetIfOver(j *Job) {
	if v.mayHaveClaims(j.Record, j.Version) {
		v.EarlyCancellations[j.ID] = j
		return
	}
	if j.Record.IsFinal() && len(j.Claims) == 0 && v.Jobs[j.ID] == j {
		delete(v.Jobs, j.ID)
		delete(v.CancelledJobs, j.ID)
		v.rememberFinal(j.ID, j.Record, j.Version)
	}
}

func (v *View) SpecOfTask(task string) *protocol.Submission {
	ref, _, ok := protocol.ParseTaskName(task)
	if j := v.Jobs[ref]; ok && j != nil && j.Record != nil {
		return j.Spec()
	}
	return nil
}
