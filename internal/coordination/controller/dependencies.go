package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// Package dag decides about jobs that depend on others. The methods here carry its decisions
// out: a blocked job's record becomes an ordinary one once all that it depends on is done,
// and a final one once it is cancelled with a job that it depends on. The latter only brings
// the records up to date: what is cancelled follows from those that exist already.

// dependencyVersion is the version of job dependencies that this controller announces in its
// record.
const dependencyVersion = 1

const (
	releaseDelay        = 300 * time.Millisecond // after a job has become ready
	releaseStagger      = 500 * time.Millisecond // between one controller's turn and the next's
	cancelRecordDelay   = 3 * time.Second        // after a job has been cancelled with another
	cancelRecordStagger = 5 * time.Second        // between one controller's turn and the next's
	cancelRecordTimeout = 10 * time.Second
	maxReleasing        = 24              // at a time
	maxCancelRecords    = 4               // at a time
	urgencyInterval     = 2 * time.Second // between two passes over the raised jobs while nothing changes
)

// dependencies is what a controller remembers of jobs that depend on others.
type dependencies struct {
	updating           map[string]bool         // blocked jobs whose record is being changed
	recordingCancelled int                     // how many of those changes record a cancellation
	reading            bool                    // the records of jobs that others depend on are being read
	raisedJobs         map[string]*replica.Job // jobs that inherit urgency from their dependents
	propagatedChanges  uint64                  // the graph's changes up to which urgency was propagated
	propagatedAt       time.Time               // when it last was
}

func newDependencies() dependencies {
	return dependencies{updating: make(map[string]bool), raisedJobs: make(map[string]*replica.Job)}
}

// blockedStatus returns what the cache says of a blocked job; for any other it is not known.
func (c *Controller) blockedStatus(jobID string) cachedStatus {
	blocked, isBlocked := c.view.Dependencies.Lookup(jobID)
	if !isBlocked {
		return cachedStatus{}
	}
	status := cachedStatus{answer: protocol.JobStatus{JobID: jobID, Phase: protocol.JobPending}, version: blocked.Revision, known: true}
	if c.view.Dependencies.IsCancelled(jobID) {
		status.answer.Phase, status.final = protocol.JobCancelled, true
	}
	return status
}

// isUndecided reports whether a job is blocked and may have been cancelled by a cancellation
// that this controller has not read yet: the job's own record does not show that.
func (c *Controller) isUndecided(jobID string) bool {
	graph := c.view.Dependencies
	_, isBlocked := graph.Lookup(jobID)
	return isBlocked && !graph.IsReady(jobID) && !graph.IsCancelled(jobID)
}

// allSupportDependencies reports whether every live controller supports blocked jobs. One
// that does not would start at once what it accepts.
func (c *Controller) allSupportDependencies() bool {
	for _, node := range c.view.Nodes {
		if node.DependencyVersion < dependencyVersion {
			return false
		}
	}
	return len(c.view.Nodes) > 0
}

// acceptDependent accepts a job that depends on others, once it is certain that each of
// those was accepted.
func (c *Controller) acceptDependent(spec *protocol.Submission, until time.Time, reply func(transport.Response)) {
	if !c.allSupportDependencies() || time.Until(until) < minCommitTime {
		reply(unavailable(shortRetry))
		return
	}
	if missing := c.unknownJobs(spec.Dependencies); len(missing) > 0 {
		c.proveDependencies(spec, missing, until, reply)
		return
	}
	unfinished, cancelled := c.view.Dependencies.Resolve(spec.Dependencies)
	recorded := *spec
	recorded.Dependencies = nil
	now := time.Now()
	switch {
	case cancelled:
		record := &records.Job{State: protocol.JobCancelled, Tasks: recorded.Tasks, CancelledAtMs: now.UnixMilli()}
		c.recordJob(recorded.JobID, record, initialClaim{}, reply)
	case len(unfinished) > 0:
		record := &records.Job{State: records.JobBlocked, Spec: &recorded, Dependencies: unfinished, AcceptedAtMs: now.UnixMilli()}
		c.recordJob(recorded.JobID, record, initialClaim{}, reply)
	default:
		c.acceptJob(&recorded, reply)
	}
}

// unknownJobs lists those jobs of which the cache has no record. A job's record is never
// removed, so a cached one proves that the job was accepted.
func (c *Controller) unknownJobs(jobIDs []string) (missing []string) {
	for _, jobID := range jobIDs {
		if !c.jobStatus(jobID).known {
			missing = append(missing, jobID)
		}
	}
	return missing
}

// maxProvedJobs bounds the compares of one transaction that asks whether jobs exist. It fits
// the lowest limits with which the state service can be used.
const maxProvedJobs = 12

// proveDependencies asks the state service whether jobs were accepted of which the cache has
// no record. If neither any of them was nor the job itself, the submission is rejected; those
// that were are in the cache afterwards, and the submission is tried again.
func (c *Controller) proveDependencies(spec *protocol.Submission, missing []string, until time.Time, reply func(transport.Response)) {
	missing = missing[:min(len(missing), maxProvedJobs)]
	compares := []kv.Compare{{Key: records.JobPrefix + spec.JobID, Version: 0}}
	for _, jobID := range missing {
		compares = append(compares, kv.Compare{Key: records.JobPrefix + jobID, Version: 0})
	}
	c.commit(kv.PriorityUser, compares, nil, time.Until(until), func(err error) {
		switch {
		case err == nil:
			reply(errorResponse(http.StatusUnprocessableEntity, "awaits names "+missing[0]+", which was never accepted"))
		case !errors.Is(err, kv.ErrCompareFailed):
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		case c.jobStatus(spec.JobID).known:
			c.confirmStatus(spec.JobID, time.Until(until), func() { reply(unavailable(shortRetry)) }, reply)
		default:
			c.acceptDependent(spec, until, reply)
		}
	})
}

// releaseDependents releases the jobs for which a job whose end was just committed here was
// the last unfinished dependency. No other controller has read of that end yet.
func (c *Controller) releaseDependents(jobID string, now time.Time) {
	for _, resolved := range c.view.Dependencies.ReadyJobs() {
		if resolved.LastDependency == jobID {
			c.releaseJob(resolved.Job, now)
		}
	}
}

// reconcileDependencies brings the records of blocked jobs in line with what is decided about
// them. Each controller waits for its turn, which keeps several from trying at once; the
// compare of the job's version decides.
func (c *Controller) reconcileDependencies(now time.Time) {
	if c.view.Dependencies.Len() == 0 || c.isStateDown(now) {
		return
	}
	turn := c.dependencyTurn()
	for _, resolved := range c.view.Dependencies.ReadyJobs() {
		if now.Sub(resolved.Since) >= releaseDelay+turn*releaseStagger {
			c.releaseJob(resolved.Job, now)
		}
	}
	for _, resolved := range c.view.Dependencies.CancelledJobs() {
		if now.Sub(resolved.Since) >= cancelRecordDelay+turn*cancelRecordStagger {
			c.recordCancelled(resolved.Job, resolved.Since)
		}
	}
	c.readDependencies()
}

// dependencyTurn returns how many live controllers act before this one.
func (c *Controller) dependencyTurn() time.Duration {
	turn := time.Duration(0)
	for _, name := range c.view.LiveNodes() {
		if name == c.settings.NodeName {
			break
		}
		turn++
	}
	return turn
}

// releaseJob admits a job to the queues all of whose dependencies are done. They stay done in
// the records, so the job's own revision is the only condition. The claim goes into the same
// transaction if this controller can make it at once.
func (c *Controller) releaseJob(blocked dag.Job, now time.Time) {
	if c.dependencies.updating[blocked.ID] || len(c.dependencies.updating) >= maxReleasing || len(c.view.MachineTypes) == 0 {
		return
	}
	shards := c.chooseShards(blocked.Spec, now)
	record := &records.Job{
		Spec:         blocked.Spec,
		Shards:       shards,
		AcceptedAtMs: blocked.AcceptedAt.UnixMilli(),
		ReleasedAtMs: now.UnixMilli(),
		ChunkSize:    c.chunkSize(blocked.Spec, shards),
	}
	raised := dag.Inherit(blocked.Spec, c.view.Dependencies.Urgency(blocked.ID, c.estimateRuntime), 0)
	c.dependencies.updating[blocked.ID] = true
	c.commitRelease(blocked, record, c.claimImmediately(raised, shards, now))
}

// commitRelease commits the record that releases a job, and once more without the claim if
// only that failed.
func (c *Controller) commitRelease(blocked dag.Job, record *records.Job, initial initialClaim) {
	key := records.JobPrefix + blocked.ID
	compares := append([]kv.Compare{{Key: key, Version: blocked.Revision}}, initial.compares...)
	ops := append([]kv.Op{{Key: key, Value: record}}, initial.ops()...)
	c.addQueued(record.Shards, blocked.Spec)
	c.commit(kv.PriorityClaim, compares, ops, submitTimeout, func(err error) {
		initial.finish(c, err)
		if err == nil {
			c.log.Debug("job released", "job", blocked.ID, "class", blocked.Spec.Class, "shards", record.Shards, "claimed", initial.claim != nil)
			c.broadcastJob(key)
		} else if errors.Is(err, kv.ErrCompareFailed) && initial.claim != nil {
			if cached, isBlocked := c.view.Dependencies.Lookup(blocked.ID); isBlocked && cached.Revision == blocked.Revision {
				c.commitRelease(blocked, record, initialClaim{}) // only the claim failed
				return
			}
		}
		delete(c.dependencies.updating, blocked.ID)
	})
}

// recordCancelled records that a job is cancelled because one that it depends on is. Its
// users are answered so already.
func (c *Controller) recordCancelled(blocked dag.Job, since time.Time) {
	if c.dependencies.updating[blocked.ID] || c.dependencies.recordingCancelled >= maxCancelRecords {
		return
	}
	c.dependencies.updating[blocked.ID] = true
	c.dependencies.recordingCancelled++
	key := records.JobPrefix + blocked.ID
	record := &records.Job{State: protocol.JobCancelled, Tasks: blocked.Spec.Tasks, CancelledAtMs: since.UnixMilli()}
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: blocked.Revision}}, []kv.Op{{Key: key, Value: record}}, cancelRecordTimeout, func(error) {
		delete(c.dependencies.updating, blocked.ID)
		c.dependencies.recordingCancelled--
	})
}

// readDependencies reads the records of jobs that others depend on and that the cache no
// longer has: it keeps a bounded number of those that are over.
func (c *Controller) readDependencies() {
	jobIDs := c.view.Dependencies.UnknownDependencies()
	if len(jobIDs) == 0 || c.dependencies.reading {
		return
	}
	jobIDs = jobIDs[:min(len(jobIDs), maxJobReads)]
	c.dependencies.reading = true
	ctx := c.ctx
	go func() {
		for _, jobID := range jobIDs {
			if c.readDependency(ctx, jobID) != nil {
				break
			}
		}
		c.mu.Lock()
		c.dependencies.reading = false
		c.mu.Unlock()
	}()
}

// readDependency reads a job's record and applies it. It takes the lock itself.
func (c *Controller) readDependency(ctx context.Context, jobID string) error {
	ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
	item, err := c.store.Get(ctx, records.JobPrefix+jobID)
	cancel()
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.JobState(jobID) == dag.Unknown {
		// The version is known although the record was dropped; with it the item would be
		// ignored.
		delete(c.view.Versions, item.Key)
		c.view.ApplyItem(item)
	}
	return nil
}

// propagateUrgency gives the jobs that others depend on the priority and the deadlines of
// those, and withdraws them where no job depends on them any more.
func (c *Controller) propagateUrgency(now time.Time) {
	state := &c.dependencies
	isUnchanged := state.propagatedChanges == c.view.Dependencies.Changes()
	if isUnchanged && (len(state.raisedJobs) == 0 || now.Sub(state.propagatedAt) < urgencyInterval) {
		return
	}
	state.propagatedChanges, state.propagatedAt = c.view.Dependencies.Changes(), now
	c.view.Dependencies.InvalidateUrgency()
	for _, jobID := range c.view.Dependencies.DependencyIDs() {
		if job := c.view.Jobs[jobID]; job != nil && job.Record != nil {
			state.raisedJobs[jobID] = job
		}
	}
	for jobID, job := range state.raisedJobs {
		c.inheritUrgency(job)
		if c.view.Jobs[jobID] != job || (job.Inherited == replica.Inheritance{}) {
			delete(state.raisedJobs, jobID)
		}
	}
}

// inheritUrgency works out what an open job inherits from those that depend on it, and has
// its claims reconciled if that has changed.
func (c *Controller) inheritUrgency(job *replica.Job) {
	graph := c.view.Dependencies
	if job.Record.IsFinal() || job.Record.Spec == nil {
		return
	}
	if graph.DependentCount(job.ID) == 0 && job.Inherited == (replica.Inheritance{}) {
		return
	}
	before := job.Spec()
	urgency := graph.Urgency(job.ID, c.estimateRuntime)
	job.Inherited.FinishBy = urgency.FinishBy
	switch raised := dag.Inherit(job.Record.Spec, urgency, time.Since(job.SeenAt)); {
	case raised == job.Record.Spec:
		job.Inherited.From, job.Inherited.Spec = nil, nil
	case inheritsAlready(job, raised):
		return
	default:
		job.Inherited.From, job.Inherited.Spec = job.Record.Spec, raised
	}
	if job.Spec() == before {
		return
	}
	c.log.Debug("job priority inherited", "job", job.ID, "priority", job.Spec().PriorityClass)
	for _, claim := range job.Claims {
		c.view.SetSpec(claim, job.Spec())
		c.view.MarkDirty(claim)
	}
	c.view.Unplaced[job.ID] = job
}

// inheritsAlready reports whether a job has been raised from its present description to the
// same priority and use of spot instances. Its description is then kept, since a new one of
// the same content would have all its claims reconciled.
func inheritsAlready(job *replica.Job, raised *protocol.Submission) bool {
	inherited := job.Inherited
	return inherited.From == job.Record.Spec && inherited.Spec.PriorityClass == raised.PriorityClass && inherited.Spec.AllowSpot == raised.AllowSpot
}
