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

// understandsPipelines is what controllers of these sources say of themselves.
const understandsPipelines = 1

const (
	releaseFirst  = 300 * time.Millisecond // after a job has become ready
	releaseTurn   = 500 * time.Millisecond // between one controller's turn and the next's
	tidyFirst     = 3 * time.Second
	tidyTurn      = 5 * time.Second
	mostReleasing = 24 // at a time
	mostTidying   = 4  // at a time
	rankEvery     = 2 * time.Second
)

// pipelines is what a node remembers of jobs that wait for others.
type pipelines struct {
	releasing map[string]bool // a change of their record is under way
	tidying   int
	looking   bool // the records of needed jobs are being read
	raised    map[string]*replica.Job
	ranked    uint64 // the graph's changes up to which ranks have been passed on
	rankedAt  time.Time
}

func newPipelines() pipelines {
	return pipelines{releasing: make(map[string]bool), raised: make(map[string]*replica.Job)}
}

// heldAnswer is what the cache says of a job that waits for others.
func (n *Controller) heldAnswer(ref string) (a protocol.JobStatus, stamp uint64, final, held bool) {
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

// undecided tells that a job waits, and that a cancellation this node has not read of
// yet could have cancelled it: its own record does not show that.
func (n *Controller) undecided(ref string) bool {
	g := n.view.Dependencies
	_, held := g.Lookup(ref)
	return held && !g.IsReady(ref) && !g.IsCancelled(ref)
}

// tellWhenRead answers once the watch has come to a revision that the state service had
// after the question came in: a linearizable read of all the jobs before this one.
func (n *Controller) tellWhenRead(ref string, revision uint64, until time.Time, reply func(transport.Response)) {
	if revision == 0 {
		reply(unavailable(1))
		return
	}
	n.untold = append(n.untold, untold{revision, until, func(read bool) {
		if !read {
			reply(unavailable(1))
			return
		}
		n.tell(ref, 200, time.Until(until), reply)
	}})
	n.tellUntold(time.Now())
}

// allUnderstandPipelines tells whether every live controller knows held jobs. One that
// does not would start what it accepts at once.
func (n *Controller) allUnderstandPipelines() bool {
	for _, seen := range n.view.Nodes {
		if seen.DependencyVersion < understandsPipelines {
			return false
		}
	}
	return len(n.view.Nodes) > 0
}

// acceptWaiting accepts a job that names others, once it is certain that each of those
// was accepted.
func (n *Controller) acceptWaiting(spec *protocol.Submission, until time.Time, reply func(transport.Response)) {
	if !n.allUnderstandPipelines() || time.Until(until) < 200*time.Millisecond {
		reply(unavailable(1))
		return
	}
	if missing := n.notRead(spec.Dependencies); len(missing) > 0 {
		n.proveNeeds(spec, missing, until, reply)
		return
	}
	left, cancelled := n.view.Dependencies.Resolve(spec.Dependencies)
	own := *spec
	own.Dependencies = nil
	now := time.Now()
	switch {
	case cancelled:
		n.record(own.JobID, &records.Job{State: protocol.JobCancelled, Tasks: own.Tasks, CancelledAtMs: now.UnixMilli()}, newClaim{}, reply)
	case len(left) > 0:
		n.record(own.JobID, &records.Job{State: records.JobBlocked, Spec: &own, Dependencies: left, AcceptedAtMs: now.UnixMilli()}, newClaim{}, reply)
	default:
		n.accept(&own, reply)
	}
}

// notRead lists those jobs of which the cache has no record. A job's record is never
// dropped, so a cached one proves for ever that the job was accepted.
func (n *Controller) notRead(refs []string) (missing []string) {
	for _, ref := range refs {
		if _, _, _, known := n.answerOf(ref); !known {
			missing = append(missing, ref)
		}
	}
	return missing
}

// provedAtOnce bounds the conditions of one question whether jobs exist. It fits the
// lowest limits that the service can work with.
const provedAtOnce = 12

// proveNeeds asks the state service whether jobs were accepted of which the cache has no
// record. That none of them was, and the job itself neither, is a 422; those that were
// are in the cache afterwards.
func (n *Controller) proveNeeds(spec *protocol.Submission, missing []string, until time.Time, reply func(transport.Response)) {
	missing = missing[:min(len(missing), provedAtOnce)]
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
			reply(n.later(kv.PriorityUser, time.Now()))
		default:
			if _, _, _, known := n.answerOf(spec.JobID); known {
				n.confirm(spec.JobID, time.Until(until), func() { reply(unavailable(1)) }, reply)
				return
			}
			n.acceptWaiting(spec, until, reply)
		}
	})
}

// releaseAfter releases the jobs for which the end of one, just committed here, was the
// last that they needed. Nobody else knows of it yet.
func (n *Controller) releaseAfter(ref string, now time.Time) {
	for _, w := range n.view.Dependencies.ReadyJobs() {
		if w.LastDependency == ref {
			n.release(w.Job, now)
		}
	}
}

// tendPipelines works off the difference between what is decided of jobs that wait and
// what is on record. Controllers do so by turns; the conditional write decides.
func (n *Controller) tendPipelines(now time.Time) {
	if n.view.Dependencies.Len() == 0 || n.stateDown(now) {
		return
	}
	turn := time.Duration(0)
	for _, name := range n.view.LiveNodes() {
		if name == n.cfg.NodeName {
			break
		}
		turn++
	}
	for _, w := range n.view.Dependencies.ReadyJobs() {
		if now.Sub(w.Since) >= releaseFirst+turn*releaseTurn {
			n.release(w.Job, now)
		}
	}
	for _, w := range n.view.Dependencies.CancelledJobs() {
		if now.Sub(w.Since) >= tidyFirst+turn*tidyTurn {
			n.recordCancelled(w.Job, w.Since)
		}
	}
	n.readNeeds()
}

// release lets a job into the queues all of whose needed jobs are done. They are done in
// the records, for ever, so the job's own revision is the only condition. The claim goes
// with it if this node can make it at once.
func (n *Controller) release(w dag.Job, now time.Time) {
	if n.pipelines.releasing[w.ID] || len(n.pipelines.releasing) >= mostReleasing || len(n.view.MachineTypes) == 0 {
		return
	}
	at := n.chooseShards(w.Spec, now)
	rec := &records.Job{Spec: w.Spec, Shards: at, AcceptedAtMs: w.AcceptedAt.UnixMilli(), ReleasedAtMs: now.UnixMilli(), ChunkSize: n.chunkSize(w.Spec, at)}
	raised := dag.Inherit(w.Spec, n.view.Dependencies.Urgency(w.ID, n.estimate), 0)
	n.pipelines.releasing[w.ID] = true
	n.commitRelease(w, rec, n.claimAtOnce(raised, at, now))
}

func (n *Controller) commitRelease(w dag.Job, rec *records.Job, first newClaim) {
	key := records.JobPrefix + w.ID
	conds := append([]kv.Compare{{Key: key, Version: w.Revision}}, first.conds...)
	ops := append([]kv.Op{{Key: key, Value: rec}}, first.ops()...)
	for _, name := range rec.Shards {
		n.queuedNow[name] += w.Spec.CPUs * float64(w.Spec.Tasks)
	}
	n.commit(kv.PriorityClaim, conds, ops, submitWithin, func(err error) {
		first.finish(n, err)
		if err == nil {
			n.log.Debug("job released", "job", w.ID, "class", w.Spec.Class, "at", rec.Shards, "claimed", first.claim != nil)
			n.announce(key)
		} else if errors.Is(err, kv.ErrCompareFailed) && first.claim != nil {
			if still, held := n.view.Dependencies.Lookup(w.ID); held && still.Revision == w.Revision {
				n.commitRelease(w, rec, newClaim{}) // only the claim failed
				return
			}
		}
		delete(n.pipelines.releasing, w.ID)
	})
}

// recordCancelled writes down that a job is cancelled because one before it is. Its
// users have been told so already.
func (n *Controller) recordCancelled(w dag.Job, since time.Time) {
	if n.pipelines.releasing[w.ID] || n.pipelines.tidying >= mostTidying {
		return
	}
	n.pipelines.releasing[w.ID] = true
	n.pipelines.tidying++
	key := records.JobPrefix + w.ID
	rec := &records.Job{State: protocol.JobCancelled, Tasks: w.Spec.Tasks, CancelledAtMs: since.UnixMilli()}
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: w.Revision}}, []kv.Op{{Key: key, Value: rec}}, 10*time.Second, func(error) {
		delete(n.pipelines.releasing, w.ID)
		n.pipelines.tidying--
	})
}

// readNeeds reads the records of needed jobs that this node has forgotten: it keeps a
// bounded number of those that are over.
func (n *Controller) readNeeds() {
	refs := n.view.Dependencies.UnknownDependencies()
	if len(refs) == 0 || n.pipelines.looking {
		return
	}
	refs = refs[:min(len(refs), lookUpsAtOnce)]
	n.pipelines.looking = true
	life := n.ctx
	go func() {
		for _, ref := range refs {
			ctx, cancel := context.WithTimeout(life, lookUpWithin)
			it, err := n.led.Get(ctx, records.JobPrefix+ref)
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
		n.pipelines.looking = false
		n.mu.Unlock()
	}()
}

// passRanksOn gives the jobs that others need the rank and the time of those, and takes
// them back where nobody needs them any more.
func (n *Controller) passRanksOn(now time.Time) {
	p := &n.pipelines
	if p.ranked == n.view.Dependencies.Changes() && (len(p.raised) == 0 || now.Sub(p.rankedAt) < rankEvery) {
		return
	}
	p.ranked, p.rankedAt = n.view.Dependencies.Changes(), now
	n.view.Dependencies.InvalidateUrgency()
	for _, ref := range n.view.Dependencies.DependencyIDs() {
		if j := n.view.Jobs[ref]; j != nil && j.Record != nil {
			p.raised[ref] = j
		}
	}
	for ref, j := range p.raised {
		n.inherit(j)
		if n.view.Jobs[ref] != j || (j.Inherited == replica.Inheritance{}) {
			delete(p.raised, ref)
		}
	}
}

// inherit works out what an open job has from those that need it.
func (n *Controller) inherit(j *replica.Job) {
	g := n.view.Dependencies
	if j.Record.IsFinal() || j.Record.Spec == nil || (g.DependentCount(j.ID) == 0 && j.Inherited == replica.Inheritance{}) {
		return
	}
	before := j.Spec()
	u := g.Urgency(j.ID, n.estimate)
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
