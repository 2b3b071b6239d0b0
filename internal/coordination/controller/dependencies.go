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
func (n *Controller) blockedStatus(ref string) (a protocol.JobStatus, stamp uint64, final, held bool) {
	w, held := n.view.Dependencies.Lookup(ref)
	if !held {
		return a, 0, false, false
	}
	a = protocol.JobStatus{JobID: ref, Phase: protocol.JobPending}
	if n.view.Dependencies.IsCancelled(ref) {
		a.Phase, final = protocol.JobCancelled, true
	}
	return a, w.Revision, final, true
}

// isUndecided tells that a job waits, and that a cancellation this node has not read of
// yet could have cancelled it: its own record does not show that.
func (n *Controller) isUndecided(ref string) bool {
	g := n.view.Dependencies
	_, held := g.Lookup(ref)
	return held && !g.IsReady(ref) && !g.IsCancelled(ref)
}

// replyWhenRead answers once the watch has come to a revision that the state service had
// after the question came in: a linearizable read of all the jobs before this one.
func (n *Controller) replyWhenRead(ref string, revision uint64, until time.Time, reply func(transport.Response)) {
	if revision == 0 {
		reply(unavailable(1))
		return
	}
	n.pendingReplies = append(n.pendingReplies, pendingReply{revision, until, func(read bool) {
		if !read {
			reply(unavailable(1))
			return
		}
		n.replyStatus(ref, 200, time.Until(until), reply)
	}})
	n.sendPendingReplies(time.Now())
}

// allSupportDependencies tells whether every live controller knows held jobs. One that
// does not would start what it accepts at once.
func (n *Controller) allSupportDependencies() bool {
	for _, seen := range n.view.Nodes {
		if seen.DependencyVersion < dependencyVersion {
			return false
		}
	}
	return len(n.view.Nodes) > 0
}

// acceptDependent accepts a job that names others, once it is certain that each of those
// was accepted.
func (n *Controller) acceptDependent(spec *protocol.Submission, until time.Time, reply func(transport.Response)) {
	if !n.allSupportDependencies() || time.Until(until) < 200*time.Millisecond {
		reply(unavailable(1))
		return
	}
	if missing := n.unknownJobs(spec.Dependencies); len(missing) > 0 {
		n.proveDependencies(spec, missing, until, reply)
		return
	}
	left, cancelled := n.view.Dependencies.Resolve(spec.Dependencies)
	own := *spec
	own.Dependencies = nil
	now := time.Now()
	switch {
	case cancelled:
		n.recordJob(own.JobID, &records.Job{State: protocol.JobCancelled, Tasks: own.Tasks, CancelledAtMs: now.UnixMilli()}, initialClaim{}, reply)
	case len(left) > 0:
		n.recordJob(own.JobID, &records.Job{State: records.JobBlocked, Spec: &own, Dependencies: left, AcceptedAtMs: now.UnixMilli()}, initialClaim{}, reply)
	default:
		n.acceptJob(&own, reply)
	}
}

// unknownJobs lists those jobs of which the cache has no record. A job's record is never
// dropped, so a cached one proves for ever that the job was accepted.
func (n *Controller) unknownJobs(refs []string) (missing []string) {
	for _, ref := range refs {
		if _, _, _, known := n.jobStatus(ref); !known {
			missing = append(missing, ref)
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
func (n *Controller) proveDependencies(spec *protocol.Submission, missing []string, until time.Time, reply func(transport.Response)) {
	missing = missing[:min(len(missing), maxProvedJobs)]
	conds := []kv.Compare{{Key: records.JobPrefix + spec.JobID, Version: 0}}
	for _, ref := range missing {
		conds = append(conds, kv.Compare{Key: records.JobPrefix + ref, Version: 0})
	}
	n.commit(kv.PriorityUser, conds, nil, time.Until(until), func(err error) {
		switch {
		case err == nil:
			body, _ := json.Marshal(map[string]string{"error": "awaits names " + missing[0] + ", which was never accepted"})
			reply(transport.Response{Status: 422, Body: body})
		case !errors.Is(err, kv.ErrCompareFailed):
			reply(n.retryLater(kv.PriorityUser, time.Now()))
		default:
			if _, _, _, known := n.jobStatus(spec.JobID); known {
				n.confirmStatus(spec.JobID, time.Until(until), func() { reply(unavailable(1)) }, reply)
				return
			}
			n.acceptDependent(spec, until, reply)
		}
	})
}

// releaseDependents releases the jobs for which the end of one, just committed here, was the
// last that they needed. Nobody else knows of it yet.
func (n *Controller) releaseDependents(ref string, now time.Time) {
	for _, w := range n.view.Dependencies.ReadyJobs() {
		if w.LastDependency == ref {
			n.releaseJob(w.Job, now)
		}
	}
}

// reconcileDependencies works off the difference between what is decided of jobs that wait and
// what is on record. Controllers do so by turns; the conditional write decides.
func (n *Controller) reconcileDependencies(now time.Time) {
	if n.view.Dependencies.Len() == 0 || n.isStateDown(now) {
		return
	}
	turn := time.Duration(0)
	for _, name := range n.view.LiveNodes() {
		if name == n.settings.NodeName {
			break
		}
		turn++
	}
	for _, w := range n.view.Dependencies.ReadyJobs() {
		if now.Sub(w.Since) >= releaseDelay+turn*releaseStagger {
			n.releaseJob(w.Job, now)
		}
	}
	for _, w := range n.view.Dependencies.CancelledJobs() {
		if now.Sub(w.Since) >= cancelRecordDelay+turn*cancelRecordStagger {
			n.recordCancelled(w.Job, w.Since)
		}
	}
	n.readDependencies()
}

// releaseJob lets a job into the queues all of whose needed jobs are done. They are done in
// the records, for ever, so the job's own revision is the only condition. The claim goes
// with it if this node can make it at once.
func (n *Controller) releaseJob(w dag.Job, now time.Time) {
	if n.dependencies.releasing[w.ID] || len(n.dependencies.releasing) >= maxReleasing || len(n.view.MachineTypes) == 0 {
		return
	}
	at := n.chooseShards(w.Spec, now)
	rec := &records.Job{Spec: w.Spec, Shards: at, AcceptedAtMs: w.AcceptedAt.UnixMilli(), ReleasedAtMs: now.UnixMilli(), ChunkSize: n.chunkSize(w.Spec, at)}
	raised := dag.Inherit(w.Spec, n.view.Dependencies.Urgency(w.ID, n.estimateRuntime), 0)
	n.dependencies.releasing[w.ID] = true
	n.commitRelease(w, rec, n.claimImmediately(raised, at, now))
}

func (n *Controller) commitRelease(w dag.Job, rec *records.Job, first initialClaim) {
	key := records.JobPrefix + w.ID
	conds := append([]kv.Compare{{Key: key, Version: w.Revision}}, first.conds...)
	ops := append([]kv.Op{{Key: key, Value: rec}}, first.ops()...)
	for _, name := range rec.Shards {
		n.shardLoads.queuedSince[name] += w.Spec.CPUs * float64(w.Spec.Tasks)
	}
	n.commit(kv.PriorityClaim, conds, ops, submitTimeout, func(err error) {
		first.finish(n, err)
		if err == nil {
			n.log.Debug("job released", "job", w.ID, "class", w.Spec.Class, "at", rec.Shards, "claimed", first.claim != nil)
			n.broadcastJob(key)
		} else if errors.Is(err, kv.ErrCompareFailed) && first.claim != nil {
			if still, held := n.view.Dependencies.Lookup(w.ID); held && still.Revision == w.Revision {
				n.commitRelease(w, rec, initialClaim{}) // only the claim failed
				return
			}
		}
		delete(n.dependencies.releasing, w.ID)
	})
}

// recordCancelled writes down that a job is cancelled because one before it is. Its
// users have been told so already.
func (n *Controller) recordCancelled(w dag.Job, since time.Time) {
	if n.dependencies.releasing[w.ID] || n.dependencies.recordingCancelled >= maxCancelRecords {
		return
	}
	n.dependencies.releasing[w.ID] = true
	n.dependencies.recordingCancelled++
	key := records.JobPrefix + w.ID
	rec := &records.Job{State: protocol.JobCancelled, Tasks: w.Spec.Tasks, CancelledAtMs: since.UnixMilli()}
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: w.Revision}}, []kv.Op{{Key: key, Value: rec}}, 10*time.Second, func(error) {
		delete(n.dependencies.releasing, w.ID)
		n.dependencies.recordingCancelled--
	})
}

// readDependencies reads the records of needed jobs that this node has forgotten: it keeps a
// bounded number of those that are over.
func (n *Controller) readDependencies() {
	refs := n.view.Dependencies.UnknownDependencies()
	if len(refs) == 0 || n.dependencies.reading {
		return
	}
	refs = refs[:min(len(refs), maxJobReads)]
	n.dependencies.reading = true
	life := n.ctx
	go func() {
		for _, ref := range refs {
			ctx, cancel := context.WithTimeout(life, jobReadTimeout)
			it, err := n.store.Get(ctx, records.JobPrefix+ref)
			cancel()
			if err != nil {
				break
			}
			n.mu.Lock()
			if n.view.JobState(ref) == dag.Unknown {
				delete(n.view.Versions, it.Key)
				n.view.ApplyItem(it)
			}
			n.mu.Unlock()
		}
		n.mu.Lock()
		n.dependencies.reading = false
		n.mu.Unlock()
	}()
}

// propagateUrgency gives the jobs that others need the rank and the time of those, and takes
// them back where nobody needs them any more.
func (n *Controller) propagateUrgency(now time.Time) {
	p := &n.dependencies
	if p.appliedChanges == n.view.Dependencies.Changes() && (len(p.raisedJobs) == 0 || now.Sub(p.appliedAt) < urgencyInterval) {
		return
	}
	p.appliedChanges, p.appliedAt = n.view.Dependencies.Changes(), now
	n.view.Dependencies.InvalidateUrgency()
	for _, ref := range n.view.Dependencies.DependencyIDs() {
		if j := n.view.Jobs[ref]; j != nil && j.Record != nil {
			p.raisedJobs[ref] = j
		}
	}
	for ref, j := range p.raisedJobs {
		n.inheritUrgency(j)
		if n.view.Jobs[ref] != j || (j.Inherited == replica.Inheritance{}) {
			delete(p.raisedJobs, ref)
		}
	}
}

// inheritUrgency works out what an open job has from those that need it.
func (n *Controller) inheritUrgency(j *replica.Job) {
	g := n.view.Dependencies
	if j.Record.IsFinal() || j.Record.Spec == nil || (g.DependentCount(j.ID) == 0 && j.Inherited == replica.Inheritance{}) {
		return
	}
	before := j.Spec()
	u := g.Urgency(j.ID, n.estimateRuntime)
	j.Inherited.FinishBy = u.FinishBy
	switch raised := dag.Inherit(j.Record.Spec, u, time.Since(j.SeenAt)); {
	case raised == j.Record.Spec:
		j.Inherited.From, j.Inherited.Spec = nil, nil
	case j.Inherited.From == j.Record.Spec && j.Inherited.Spec.PriorityClass == raised.PriorityClass && j.Inherited.Spec.AllowSpot == raised.AllowSpot:
		return
	default:
		j.Inherited.From, j.Inherited.Spec = j.Record.Spec, raised
	}
	if j.Spec() == before {
		return
	}
	n.log.Debug("rank inherited", "job", j.ID, "rank", j.Spec().PriorityClass)
	for _, c := range j.Claims {
		n.view.SetSpec(c, j.Spec())
		n.view.MarkDirty(c)
	}
	n.view.Unplaced[j.ID] = j
}
