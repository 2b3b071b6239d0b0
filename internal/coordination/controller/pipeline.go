package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"madderslip/internal/coordination/dag"
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
	graph     *dag.Graph
	releasing map[string]bool // a change of their record is under way
	tidying   int
	looking   bool // the records of needed jobs are being read
	raised    map[string]*job
	ranked    uint64 // the graph's changes up to which ranks have been passed on
	rankedAt  time.Time
}

func newPipelines(lookup func(string) dag.State) pipelines {
	return pipelines{graph: dag.NewGraph(lookup), releasing: make(map[string]bool), raised: make(map[string]*job)}
}

// inheritance is what an open job has from those that need it.
type inheritance struct {
	of   *protocol.Submission // the description that was raised
	spec *protocol.Submission // the same with the higher rank; nil: its own counts
	by   time.Time            // when it should be done for their deadlines; zero: any time
}

// stateOf is what the cache says of a job that does not wait for others.
func (n *Controller) stateOf(ref string) dag.State {
	if f, ok := n.final[ref]; ok {
		return finalState(f.state)
	}
	if j := n.jobs[ref]; j != nil && j.rec != nil {
		return finalState(j.rec.State)
	}
	return dag.Unknown
}

func finalState(state string) dag.State {
	switch state {
	case protocol.JobDone:
		return dag.Done
	case protocol.JobCancelled:
		return dag.Cancelled
	}
	return dag.Unfinished
}

// storeHeld takes a version of a job's record into the graph, and tells whether that is
// all: a job that waits is nowhere else.
func (n *Controller) storeHeld(ref string, r *records.Job, stamp uint64) bool {
	if r.State != records.JobBlocked {
		n.pipelines.graph.ObserveState(ref, finalState(r.State), time.Now())
		return false
	}
	if r.Spec == nil {
		n.log.Error("held job without a description", "job", ref)
		return true
	}
	n.pipelines.graph.Add(dag.Job{ID: ref, Dependencies: r.Dependencies, Spec: r.Spec, AcceptedAt: time.UnixMilli(r.AcceptedAtMs), Revision: stamp}, time.Now())
	return true
}

// heldAnswer is what the cache says of a job that waits for others.
func (n *Controller) heldAnswer(ref string) (a protocol.JobStatus, stamp uint64, final, held bool) {
	w, held := n.pipelines.graph.Lookup(ref)
	if !held {
		return a, 0, false, false
	}
	a = protocol.JobStatus{JobID: ref, Phase: protocol.JobPending}
	if n.pipelines.graph.IsCancelled(ref) {
		a.Phase, final = protocol.JobCancelled, true
	}
	return a, w.Revision, final, true
}

// undecided tells that a job waits, and that a cancellation this node has not read of
// yet could have cancelled it: its own record does not show that.
func (n *Controller) undecided(ref string) bool {
	g := n.pipelines.graph
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
	for _, seen := range n.nodes {
		if seen.waits < understandsPipelines {
			return false
		}
	}
	return len(n.nodes) > 0
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
	left, cancelled := n.pipelines.graph.Resolve(spec.Dependencies)
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
	for _, w := range n.pipelines.graph.ReadyJobs() {
		if w.LastDependency == ref {
			n.release(w.Job, now)
		}
	}
}

// tendPipelines works off the difference between what is decided of jobs that wait and
// what is on record. Controllers do so by turns; the conditional write decides.
func (n *Controller) tendPipelines(now time.Time) {
	if n.pipelines.graph.Len() == 0 || n.stateDown(now) {
		return
	}
	turn := time.Duration(0)
	for _, name := range n.liveNodes() {
		if name == n.cfg.NodeName {
			break
		}
		turn++
	}
	for _, w := range n.pipelines.graph.ReadyJobs() {
		if now.Sub(w.Since) >= releaseFirst+turn*releaseTurn {
			n.release(w.Job, now)
		}
	}
	for _, w := range n.pipelines.graph.CancelledJobs() {
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
	if n.pipelines.releasing[w.ID] || len(n.pipelines.releasing) >= mostReleasing || len(n.types) == 0 {
		return
	}
	at := n.chooseShards(w.Spec, now)
	rec := &records.Job{Spec: w.Spec, Shards: at, AcceptedAtMs: w.AcceptedAt.UnixMilli(), ReleasedAtMs: now.UnixMilli(), ChunkSize: n.chunkSize(w.Spec, at)}
	raised := dag.Inherit(w.Spec, n.pipelines.graph.Urgency(w.ID, n.estimate), 0)
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
			if still, held := n.pipelines.graph.Lookup(w.ID); held && still.Revision == w.Revision {
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
	refs := n.pipelines.graph.UnknownDependencies()
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
			if n.stateOf(ref) == dag.Unknown {
				delete(n.stamps, it.Key)
				n.take(it)
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
	if p.ranked == p.graph.Changes() && (len(p.raised) == 0 || now.Sub(p.rankedAt) < rankEvery) {
		return
	}
	p.ranked, p.rankedAt = p.graph.Changes(), now
	p.graph.InvalidateUrgency()
	for _, ref := range p.graph.DependencyIDs() {
		if j := n.jobs[ref]; j != nil && j.rec != nil {
			p.raised[ref] = j
		}
	}
	for ref, j := range p.raised {
		n.inherit(j)
		if n.jobs[ref] != j || (j.heir == inheritance{}) {
			delete(p.raised, ref)
		}
	}
}

// inherit works out what an open job has from those that need it.
func (n *Controller) inherit(j *job) {
	g := n.pipelines.graph
	if j.rec.IsFinal() || j.rec.Spec == nil || (g.DependentCount(j.ref) == 0 && j.heir == inheritance{}) {
		return
	}
	before := j.spec()
	u := g.Urgency(j.ref, n.estimate)
	j.heir.by = u.FinishBy
	switch raised := dag.Inherit(j.rec.Spec, u, time.Since(j.seen)); {
	case raised == j.rec.Spec:
		j.heir.of, j.heir.spec = nil, nil
	case j.heir.of == j.rec.Spec && j.heir.spec.PriorityClass == raised.PriorityClass && j.heir.spec.AllowSpot == raised.AllowSpot:
		return
	default:
		j.heir.of, j.heir.spec = j.rec.Spec, raised
	}
	if j.spec() == before {
		return
	}
	n.log.Debug("rank inherited", "job", j.ref, "rank", j.spec().PriorityClass)
	for _, c := range j.claims {
		n.setSpec(c, j.spec())
		n.mark(c)
	}
	n.hungry[j.ref] = j
}
