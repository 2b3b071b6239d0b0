package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// Package pipeline decides about jobs that wait for others. The loops here carry its
// decisions out: a held job's record becomes an ordinary one once all that it needs is
// done, and a final one once it is cancelled with a job before it. The second is only
// tidiness: what is cancelled follows from the records that are there already.

// dependencyVersion is what controllers of these sources say of themselves.
const dependencyVersion = 1

const (
	releaseDelay        = 300 * time.Millisecond // after a job has become ready
	releaseStagger      = 500 * time.Millisecond // between one controller's turn and the next's
	cancelRecordDelay   = 3 * time.Second
	cancelRecordStagger = 5 * time.Second
	maxReleasing        = 24 // at a time
	maxCancelRecords    = 4  // at a time
	urgencyInterval     = 2 * time.Second
)

// dependencies is what a node remembers of jobs that wait for others.
type dependencies struct {
	releasing          map[string]bool // a change of their record is under way
	recordingCancelled int
	reading            bool // the records of needed jobs are being read
	raisedJobs         map[string]*replica.Job
	appliedChanges     uint64 // the graph's changes up to which ranks have been passed on
	appliedAt          time.Time
}

func newDependencies() dependencies {
	return dependencies{releasing: make(map[string]bool), raisedJobs: make(map[string]*replica.Job)}
}

// blockedStatus is what the cache says of a job that waits for others.
func (c *Controller) blockedStatus(jobID string) (answer protocol.JobStatus, version uint64, final, held bool) {
	blocked, held := c.view.Dependencies.Lookup(jobID)
	if !held {
		return answer, 0, false, false
	}
	answer = protocol.JobStatus{JobID: jobID, Phase: protocol.JobPending}
	if c.view.Dependencies.IsCancelled(jobID) {
		answer.Phase, final = protocol.JobCancelled, true
	}
	return answer, blocked.Revision, final, true
}

// isUndecided tells that a job waits, and that a cancellation this node has not read of
// yet could have cancelled it: its own record does not show that.
func (c *Controller) isUndecided(jobID string) bool {
	graph := c.view.Dependencies
	_, held := graph.Lookup(jobID)
	return held && !graph.IsReady(jobID) && !graph.IsCancelled(jobID)
}

// replyWhenRead answers once the watch has come to a revision that the state service had
// after the question came in: a linearizable read of all the jobs before this one.
func (c *Controller) replyWhenRead(jobID string, revision uint64, until time.Time, reply func(transport.Response)) {
	if revision == 0 {
		reply(unavailable(1))
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{revision, until, func(read bool) {
		if !read {
			reply(unavailable(1))
			return
		}
		c.replyStatus(jobID, 200, time.Until(until), reply)
	}})
	c.sendPendingReplies(time.Now())
}

// allSupportDependencies tells whether every live controller knows held jobs. One that
// does not would start what it accepts at once.
func (c *Controller) allSupportDependencies() bool {
	for _, seen := range c.view.Nodes {
		if seen.DependencyVersion < dependencyVersion {
			return false
		}
	}
	return len(c.view.Nodes) > 0
}

// acceptDependent accepts a job that names others, once it is certain that each of those
// was accepted.
func (c *Controller) acceptDependent(spec *protocol.Submission, until time.Time, reply func(transport.Response)) {
	if !c.allSupportDependencies() || time.Until(until) < 200*time.Millisecond {
		reply(unavailable(1))
		return
	}
	if missing := c.unknownJobs(spec.Dependencies); len(missing) > 0 {
		c.proveDependencies(spec, missing, until, reply)
		return
	}
	left, cancelled := c.view.Dependencies.Resolve(spec.Dependencies)
	own := *spec
	own.Dependencies = nil
	now := time.Now()
	switch {
	case cancelled:
		c.recordJob(own.JobID, &records.Job{State: protocol.JobCancelled, Tasks: own.Tasks, CancelledAtMs: now.UnixMilli()}, initialClaim{}, reply)
	case len(left) > 0:
		c.recordJob(own.JobID, &records.Job{State: records.JobBlocked, Spec: &own, Dependencies: left, AcceptedAtMs: now.UnixMilli()}, initialClaim{}, reply)
	default:
		c.acceptJob(&own, reply)
	}
}

// unknownJobs lists those jobs of which the cache has no record. A job's record is never
// dropped, so a cached one proves for ever that the job was accepted.
func (c *Controller) unknownJobs(jobIDs []string) (missing []string) {
	for _, jobID := range jobIDs {
		if _, _, _, known := c.jobStatus(jobID); !known {
			missing = append(missing, jobID)
		}
	}
	return missing
}

// maxProvedJobs bounds the conditions of one question whether jobs exist. It fits the
// lowest limits that the service can work with.
const maxProvedJobs = 12

// proveDependencies asks the state service whether jobs were accepted of which the cache has no
// record. That none of them was, and the job itself neither, is a 422; those that were
// are in the cache afterwards.
func (c *Controller) proveDependencies(spec *protocol.Submission, missing []string, until time.Time, reply func(transport.Response)) {
	missing = missing[:min(len(missing), maxProvedJobs)]
	compares := []kv.Compare{{Key: records.JobPrefix + spec.JobID, Version: 0}}
	for _, jobID := range missing {
		compares = append(compares, kv.Compare{Key: records.JobPrefix + jobID, Version: 0})
	}
	c.commit(kv.PriorityUser, compares, nil, time.Until(until), func(err error) {
		switch {
		case err == nil:
			body, _ := json.Marshal(map[string]string{"error": "awaits names " + missing[0] + ", which was never accepted"})
			reply(transport.Response{Status: 422, Body: body})
		case !errors.Is(err, kv.ErrCompareFailed):
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		default:
			if _, _, _, known := c.jobStatus(spec.JobID); known {
				c.confirmStatus(spec.JobID, time.Until(until), func() { reply(unavailable(1)) }, reply)
				return
			}
			c.acceptDependent(spec, until, reply)
		}
	})
}

// releaseDependents releases the jobs for which the end of one, just committed here, was the
// last that they needed. Nobody else knows of it yet.
func (c *Controller) releaseDependents(jobID string, now time.Time) {
	for _, resolved := range c.view.Dependencies.ReadyJobs() {
		if resolved.LastDependency == jobID {
			c.releaseJob(resolved.Job, now)
		}
	}
}

// reconcileDependencies works off the difference between what is decided of jobs that wait and
// what is on record. Controllers do so by turns; the conditional write decides.
func (c *Controller) reconcileDependencies(now time.Time) {
	if c.view.Dependencies.Len() == 0 || c.isStateDown(now) {
		return
	}
	turn := time.Duration(0)
	for _, name := range c.view.LiveNodes() {
		if name == c.settings.NodeName {
			break
		}
		turn++
	}
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

// releaseJob lets a job into the queues all of whose needed jobs are done. They are done in
// the records, for ever, so the job's own revision is the only condition. The claim goes
// with it if this node can make it at once.
func (c *Controller) releaseJob(blocked dag.Job, now time.Time) {
	if c.dependencies.releasing[blocked.ID] || len(c.dependencies.releasing) >= maxReleasing || len(c.view.MachineTypes) == 0 {
		return
	}
	at := c.chooseShards(blocked.Spec, now)
	record := &records.Job{Spec: blocked.Spec, Shards: at, AcceptedAtMs: blocked.AcceptedAt.UnixMilli(), ReleasedAtMs: now.UnixMilli(), ChunkSize: c.chunkSize(blocked.Spec, at)}
	raised := dag.Inherit(blocked.Spec, c.view.Dependencies.Urgency(blocked.ID, c.estimateRuntime), 0)
	c.dependencies.releasing[blocked.ID] = true
	c.commitRelease(blocked, record, c.claimImmediately(raised, at, now))
}

func (c *Controller) commitRelease(blocked dag.Job, record *records.Job, first initialClaim) {
	key := records.JobPrefix + blocked.ID
	compares := append([]kv.Compare{{Key: key, Version: blocked.Revision}}, first.conds...)
	ops := append([]kv.Op{{Key: key, Value: record}}, first.ops()...)
	for _, name := range record.Shards {
		c.shardLoads.queuedSince[name] += blocked.Spec.CPUs * float64(blocked.Spec.Tasks)
	}
	c.commit(kv.PriorityClaim, compares, ops, submitTimeout, func(err error) {
		first.finish(c, err)
		if err == nil {
			c.log.Debug("job released", "job", blocked.ID, "class", blocked.Spec.Class, "shards", record.Shards, "claimed", first.claim != nil)
			c.broadcastJob(key)
		} else if errors.Is(err, kv.ErrCompareFailed) && first.claim != nil {
			if still, held := c.view.Dependencies.Lookup(blocked.ID); held && still.Revision == blocked.Revision {
				c.commitRelease(blocked, record, initialClaim{}) // only the claim failed
				return
			}
		}
		delete(c.dependencies.releasing, blocked.ID)
	})
}

// recordCancelled writes down that a job is cancelled because one before it is. Its
// users have been told so already.
func (c *Controller) recordCancelled(blocked dag.Job, since time.Time) {
	if c.dependencies.releasing[blocked.ID] || c.dependencies.recordingCancelled >= maxCancelRecords {
		return
	}
	c.dependencies.releasing[blocked.ID] = true
	c.dependencies.recordingCancelled++
	key := records.JobPrefix + blocked.ID
	record := &records.Job{State: protocol.JobCancelled, Tasks: blocked.Spec.Tasks, CancelledAtMs: since.UnixMilli()}
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: blocked.Revision}}, []kv.Op{{Key: key, Value: record}}, 10*time.Second, func(error) {
		delete(c.dependencies.releasing, blocked.ID)
		c.dependencies.recordingCancelled--
	})
}

// readDependencies reads the records of needed jobs that this node has forgotten: it keeps a
// bounded number of those that are over.
func (c *Controller) readDependencies() {
	jobIDs := c.view.Dependencies.UnknownDependencies()
	if len(jobIDs) == 0 || c.dependencies.reading {
		return
	}
	jobIDs = jobIDs[:min(len(jobIDs), maxJobReads)]
	c.dependencies.reading = true
	life := c.ctx
	go func() {
		for _, jobID := range jobIDs {
			ctx, cancel := context.WithTimeout(life, jobReadTimeout)
			item, err := c.store.Get(ctx, records.JobPrefix+jobID)
			cancel()
			if err != nil {
				break
			}
			c.mu.Lock()
			if c.view.JobState(jobID) == dag.Unknown {
				delete(c.view.Versions, item.Key)
				c.view.ApplyItem(item)
			}
			c.mu.Unlock()
		}
		c.mu.Lock()
		c.dependencies.reading = false
		c.mu.Unlock()
	}()
}

// propagateUrgency gives the jobs that others need the rank and the time of those, and takes
// them back where nobody needs them any more.
func (c *Controller) propagateUrgency(now time.Time) {
	p := &c.dependencies
	if p.appliedChanges == c.view.Dependencies.Changes() && (len(p.raisedJobs) == 0 || now.Sub(p.appliedAt) < urgencyInterval) {
		return
	}
	p.appliedChanges, p.appliedAt = c.view.Dependencies.Changes(), now
	c.view.Dependencies.InvalidateUrgency()
	for _, jobID := range c.view.Dependencies.DependencyIDs() {
		if job := c.view.Jobs[jobID]; job != nil && job.Record != nil {
			p.raisedJobs[jobID] = job
		}
	}
	for jobID, job := range p.raisedJobs {
		c.inheritUrgency(job)
		if c.view.Jobs[jobID] != job || (job.Inherited == replica.Inheritance{}) {
			delete(p.raisedJobs, jobID)
		}
	}
}

// inheritUrgency works out what an open job has from those that need it.
func (c *Controller) inheritUrgency(job *replica.Job) {
	graph := c.view.Dependencies
	if job.Record.IsFinal() || job.Record.Spec == nil || (graph.DependentCount(job.ID) == 0 && job.Inherited == replica.Inheritance{}) {
		return
	}
	before := job.Spec()
	u := graph.Urgency(job.ID, c.estimateRuntime)
	job.Inherited.FinishBy = u.FinishBy
	switch raised := dag.Inherit(job.Record.Spec, u, time.Since(job.SeenAt)); {
	case raised == job.Record.Spec:
		job.Inherited.From, job.Inherited.Spec = nil, nil
	case job.Inherited.From == job.Record.Spec && job.Inherited.Spec.PriorityClass == raised.PriorityClass && job.Inherited.Spec.AllowSpot == raised.AllowSpot:
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
