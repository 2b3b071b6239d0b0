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

// Package dag decides when jobs that depend on others are ready or cancelled. The methods in
// this file carry out its decisions: a blocked job's record is replaced by that of a queued job
// once all its dependencies are done, and by a final one once a dependency is cancelled. The
// latter only brings the record up to date, since the cancellation follows from the records
// that exist already.

// dependencyVersion is the version of job dependencies that this controller supports. It is
// announced in the controller's record.
const dependencyVersion = 1

const (
	releaseDelay        = 300 * time.Millisecond // time between a job becoming ready and its release by the first controller in turn
	releaseStagger      = 500 * time.Millisecond // time between the turns of two controllers to release a job
	cancelRecordDelay   = 3 * time.Second        // time between the cancellation of a job with its dependency and the first controller's turn to record it
	cancelRecordStagger = 5 * time.Second        // time between the turns of two controllers to record a cancellation
	cancelRecordTimeout = 10 * time.Second
	maxReleasing        = 24              // no further job is released while this many record changes are in progress
	maxCancelRecords    = 4               // at most this many cancellations are being recorded at a time
	urgencyInterval     = 2 * time.Second // between two updates of the urgency that jobs inherit from their dependents, while the dependency graph does not change
)

// dependencies is a controller's own state about jobs that depend on others.
type dependencies struct {
	updating           map[string]bool         // blocked jobs whose record is being changed
	recordingCancelled int                     // how many of the record changes in updating record a cancellation
	reading            bool                    // a goroutine is reading the records of dependencies
	raisedJobs         map[string]*replica.Job // jobs that inherit urgency from their dependents
	propagatedChanges  uint64                  // the graph's change counter when urgency was last propagated
	propagatedAt       time.Time               // when urgency was last propagated
}

func newDependencies() dependencies {
	return dependencies{updating: make(map[string]bool), raisedJobs: make(map[string]*replica.Job)}
}

// blockedStatus returns a blocked job's cached status; for any other job, the result says
// that the job is not known.
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

// isUndecided reports whether a job is blocked and may have been cancelled with a dependency
// whose cancellation this controller has not read yet. The job's own record does not show the
// cancellation of a dependency.
func (c *Controller) isUndecided(jobID string) bool {
	graph := c.view.Dependencies
	_, isBlocked := graph.Lookup(jobID)
	return isBlocked && !graph.IsReady(jobID) && !graph.IsCancelled(jobID)
}

// allSupportDependencies reports whether every live controller supports blocked jobs. A
// controller without this support would start a job with dependencies as soon as it accepts
// the job.
func (c *Controller) allSupportDependencies() bool {
	for _, node := range c.view.Nodes {
		if node.DependencyVersion < dependencyVersion {
			return false
		}
	}
	return len(c.view.Nodes) > 0
}

// acceptDependent accepts a job that depends on others, once it is certain that each of
// its dependencies was accepted.
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

// unknownJobs lists the jobs whose records are not cached. A job's record is never removed, so
// a cached record proves that the job was accepted.
func (c *Controller) unknownJobs(jobIDs []string) (missing []string) {
	for _, jobID := range jobIDs {
		if !c.jobStatus(jobID).known {
			missing = append(missing, jobID)
		}
	}
	return missing
}

// maxProvedJobs bounds the dependencies whose existence one transaction checks. The bound
// fits the lowest limits with which the state service can be used.
const maxProvedJobs = 12

// proveDependencies checks with the state service whether dependencies whose records are not
// cached were accepted. If none of them was accepted, nor the submitted job itself, the
// submission is rejected. Otherwise the records of those accepted are cached afterwards, and
// the submission is processed again.
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

// releaseDependents releases the jobs whose last unfinished dependency was a job whose end this
// controller has just committed. The release does not wait for this controller's turn (see
// dependencyTurn), since no other controller has read the record of that end yet.
func (c *Controller) releaseDependents(jobID string, now time.Time) {
	for _, resolved := range c.view.Dependencies.ReadyJobs() {
		if resolved.LastDependency == jobID {
			c.releaseJob(resolved.Job, now)
		}
	}
}

// reconcileDependencies commits the records of blocked jobs that are ready or cancelled. Each
// controller waits for its turn (see dependencyTurn), which keeps several controllers from
// attempting the same change at once; the condition on the job's version lets only one of
// them succeed.
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

// dependencyTurn returns the number of live controllers that precede this one by name. A
// controller releases a ready job, or records a cancelled one, later than the first controller
// by releaseStagger or cancelRecordStagger times this number.
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

// releaseJob admits a blocked job to the queues once all its dependencies are done. A job that
// is done stays done, so the blocked job's own revision is the only condition. If this
// controller can claim the job at once, the claim goes into the same transaction.
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
	c.commitRelease(blocked, record, c.prepareInitialClaim(raised, shards, now))
}

// commitRelease commits the record that releases a job, together with the job's initial claim
// if there is one. If only the claim's conditions fail, the record is committed without the
// claim.
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
				c.commitRelease(blocked, record, initialClaim{}) // the job's record is unchanged, so only a condition of the claim failed
				return
			}
		}
		delete(c.dependencies.updating, blocked.ID)
	})
}

// recordCancelled commits that a job is cancelled because one of its dependencies is
// cancelled. Status queries are answered with the cancellation even before that commit.
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

// readDependencies reads the records of dependencies that are not cached, since the cache keeps
// only a bounded number of final jobs.
func (c *Controller) readDependencies() {
	jobIDs := c.view.Dependencies.UnknownDependencies()
	if len(jobIDs) == 0 || c.dependencies.reading {
		return
	}
	jobIDs = jobIDs[:min(len(jobIDs), maxJobReads)]
	c.dependencies.reading = true
	runCtx := c.ctx
	go func() {
		for _, jobID := range jobIDs {
			if c.readDependency(runCtx, jobID) != nil {
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
		// The cached version may remain although the record was dropped. The item would then
		// be ignored as not newer.
		delete(c.view.Versions, item.Key)
		c.view.ApplyItem(item)
	}
	return nil
}

// propagateUrgency gives jobs the priority and the deadlines of their dependents, and withdraws
// both from jobs that no longer have dependents.
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

// inheritUrgency computes the urgency that an open job inherits from its dependents, and marks
// the job's claims dirty if its description changes.
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

// inheritsAlready reports whether a job has already been raised, from its present description,
// to the same priority and use of spot instances. The inherited description is then kept, since
// a new one with the same content would cause all the job's claims to be reconciled.
func inheritsAlready(job *replica.Job, raised *protocol.Submission) bool {
	inherited := job.Inherited
	return inherited.From == job.Record.Spec && inherited.Spec.PriorityClass == raised.PriorityClass && inherited.Spec.AllowSpot == raised.AllowSpot
}
