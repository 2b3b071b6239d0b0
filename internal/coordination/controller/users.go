package controller

import (
	"encoding/json"
	"errors"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// Users wait 5 s for submissions and 2 s for polls; answers come before that.
const (
	submitTimeout = 4 * time.Second
	queryTimeout  = 1700 * time.Millisecond
)

// Handle answers a request of the public address.
func (n *Controller) Handle(method, target string, body []byte, reply func(transport.Response)) {
	route, id := protocol.MatchRoute(method, target)
	switch route {
	case protocol.RouteSubmit:
		n.handleSubmit(body, reply)
	case protocol.RouteQuery:
		n.handleQuery(id, reply)
	case protocol.RouteCancel:
		n.handleCancel(id, reply)
	case protocol.RouteHeartbeat:
		n.handleHeartbeat(body, reply)
	case protocol.RouteReady:
		n.handleReady(reply)
	case protocol.RouteWrongMethod:
		reply(transport.Response{Status: 405, Body: []byte(`{"error":"wrong method"}`)})
	default:
		reply(transport.Response{Status: 404, Body: []byte(`{"error":"no such path"}`)})
	}
}

func badRequest(err error) transport.Response {
	b, _ := json.Marshal(map[string]string{"error": err.Error()})
	return transport.Response{Status: 400, Body: b}
}

func jobResponse(status int, a protocol.JobStatus) transport.Response {
	b, _ := protocol.Encode(a)
	return transport.Response{Status: status, Body: b}
}

var jobNotFound = transport.Response{Status: 404, Body: []byte(`{"error":"no such job"}`)}

// handleReady: a node is ready once it has read the records. It turns unready
// when it alone is refused by the state service, so that users go where they
// are served; in an outage that all share, turning away would help nobody, and
// finished jobs are still answered.
func (n *Controller) handleReady(reply func(transport.Response)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	ok := n.view.Loaded && len(n.view.MachineTypes) > 0
	if !ok || n.isStateServingOthers(now) {
		reply(unavailable(1))
		return
	}
	reply(transport.Response{Status: 200, Body: []byte("{}")})
}

// jobStatus is what the cache says of a job; known is false if it says nothing.
func (n *Controller) jobStatus(ref string) (a protocol.JobStatus, stamp uint64, final, known bool) {
	a.JobID, a.Phase = ref, protocol.JobPending
	if f, ok := n.view.FinalJobs[ref]; ok {
		a.Phase = f.State
		if f.State == protocol.JobDone {
			a.DoneTasks = f.Tasks
		}
		return a, f.Version, true, true
	}
	if held, stamp, final, waits := n.blockedStatus(ref); waits {
		return held, stamp, final, true
	}
	j := n.view.Jobs[ref]
	if j == nil || j.Record == nil {
		return a, 0, false, false
	}
	a.DoneTasks, a.RunningTasks = j.Progress()
	switch {
	case j.Record.IsFinal():
		a.Phase, a.RunningTasks = j.Record.State, 0
		if j.Record.State == protocol.JobDone {
			a.DoneTasks = j.Record.Tasks
		}
	case a.RunningTasks > 0:
		a.Phase = protocol.JobRunning
	}
	return a, j.Version, j.Record.IsFinal(), true
}

func (n *Controller) handleQuery(ref string, reply func(transport.Response)) {
	if !protocol.ValidJobID(ref) {
		reply(jobNotFound)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmStatus(ref, queryTimeout, func() { reply(jobNotFound) }, reply)
}

func (n *Controller) handleSubmit(body []byte, reply func(transport.Response)) {
	ref, err := protocol.ParseJobID(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	spec, err := protocol.ParseSubmission(body)
	n.mu.Lock()
	defer n.mu.Unlock()
	_, _, _, known := n.jobStatus(ref)
	if known {
		n.confirmStatus(ref, submitTimeout, func() { reply(unavailable(1)) }, reply)
		return
	}
	if err != nil {
		// Unless another node accepted a job of this id.
		n.confirmStatus(ref, submitTimeout, func() { reply(badRequest(err)) }, reply)
		return
	}
	if !n.view.Loaded || len(n.view.MachineTypes) == 0 {
		reply(unavailable(1))
		return
	}
	if reason := n.rejectionReason(spec); reason != "" {
		b, _ := json.Marshal(map[string]string{"error": reason})
		n.confirmStatus(ref, submitTimeout, func() { reply(transport.Response{Status: 422, Body: b}) }, reply)
		return
	}
	if len(spec.Dependencies) > 0 {
		n.acceptDependent(spec, time.Now().Add(submitTimeout), reply)
		return
	}
	n.acceptJob(spec, reply)
}

// rejectionReason tells why a job can never run, or "".
func (n *Controller) rejectionReason(s *protocol.Submission) string {
	team, ok := n.settings.Teams[s.Team]
	if !ok {
		return "unknown team"
	}
	fits := false
	for _, t := range n.view.MachineTypes {
		if !placement.FitsEmpty(s, t) {
			continue
		}
		for _, zone := range t.Zones {
			if placement.Allowed(s, t.Name, zone, false) {
				fits = true
			}
		}
	}
	if !fits {
		return "no allowed machine type has room for a task"
	}
	count := float64(s.Tasks)
	if s.Shape == protocol.ShapeArray {
		count = 1
	}
	if (team.MaxCPUs > 0 && s.CPUs*count > team.MaxCPUs+tolerance) || (team.MaxGPUs > 0 && s.GPUs*count > team.MaxGPUs+tolerance) {
		return "more than the team's limit"
	}
	return ""
}

// acceptJob records a job. If this node owns one of the shards chosen for it and
// there is room, the claim goes into the same transaction and the start
// follows at once.
func (n *Controller) acceptJob(spec *protocol.Submission, reply func(transport.Response)) {
	now := time.Now()
	if b := n.backlog(kv.PriorityUser, now); b.Unavailable || b.ShouldShed(submitTimeout) {
		// It would be told so in the end; so it is told at once.
		reply(n.retryLater(kv.PriorityUser, now))
		return
	}
	at := n.chooseShards(spec, now)
	rec := &records.Job{Spec: spec, Shards: at, AcceptedAtMs: now.UnixMilli(), ChunkSize: n.chunkSize(spec, at)}
	first := n.claimImmediately(spec, at, now)
	for _, name := range at {
		n.shardLoads.queuedSince[name] += spec.CPUs * float64(spec.Tasks)
	}
	n.recordJob(spec.JobID, rec, first, reply)
}

// recordJob writes down that a job is accepted, with the claim on it if there is one.
func (n *Controller) recordJob(ref string, rec *records.Job, first initialClaim, reply func(transport.Response)) {
	until := time.Now().Add(submitTimeout)
	key := records.JobPrefix + ref
	conds := append([]kv.Compare{{Key: key, Version: 0}}, first.conds...)
	ops := append([]kv.Op{{Key: key, Value: rec}}, first.ops()...)
	n.commit(kv.PriorityUser, conds, ops, submitTimeout, func(err error) {
		first.finish(n, err)
		switch {
		case err == nil:
			n.log.Debug("job accepted", "job", ref, "at", rec.Shards, "needs", len(rec.Dependencies), "claimed", first.claim != nil)
			n.replyStatus(ref, 201, time.Until(until), reply)
			n.broadcastAccepted(key, rec)
		case errors.Is(err, kv.ErrTooLarge) && !errors.Is(err, kv.ErrOutcomeUnknown):
			reply(badRequest(errors.New("the job's record is larger than the state service takes")))
		case errors.Is(err, kv.ErrCompareFailed):
			if _, _, final, known := n.jobStatus(ref); known {
				if final {
					n.replyStatus(ref, 200, time.Until(until), reply)
				} else {
					n.confirmStatus(ref, submitTimeout/2, func() { reply(unavailable(1)) }, reply)
				}
				return
			}
			if first.claim != nil {
				n.recordUnclaimed(key, rec, reply) // only the claim failed
				return
			}
			reply(n.retryLater(kv.PriorityUser, time.Now()))
		default:
			reply(n.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}

func (n *Controller) recordUnclaimed(key string, rec *records.Job, reply func(transport.Response)) {
	n.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: 0}}, []kv.Op{{Key: key, Value: rec}}, submitTimeout/2, func(err error) {
		if err != nil {
			reply(n.retryLater(kv.PriorityUser, time.Now()))
			return
		}
		n.replyStatus(rec.Spec.JobID, 201, submitTimeout/4, reply)
		n.broadcastJob(key)
	})
}

// handleCancel commits a cancellation before it is told.
func (n *Controller) handleCancel(ref string, reply func(transport.Response)) {
	if !protocol.ValidJobID(ref) {
		reply(jobNotFound)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelJob(ref, time.Now().Add(submitTimeout), reply)
}

func (n *Controller) cancelJob(ref string, until time.Time, reply func(transport.Response)) {
	_, stamp, final, known := n.jobStatus(ref)
	left := time.Until(until)
	switch {
	case final:
		n.replyStatus(ref, 200, left, reply)
		return
	case !n.view.Loaded || left < 200*time.Millisecond:
		reply(unavailable(1))
		return
	case n.isStateDown(time.Now()):
		reply(n.retryLater(kv.PriorityUser, time.Now()))
		return
	case !known:
		n.commit(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + ref, Version: 0}}, nil, left, func(err error) {
			if err == nil {
				reply(jobNotFound)
			} else if _, _, _, found := n.jobStatus(ref); found {
				n.cancelJob(ref, until, reply)
			} else {
				reply(unavailable(1))
			}
		})
		return
	}
	rec := n.cancelledRecord(ref, time.Now())
	key := records.JobPrefix + ref
	n.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: stamp}}, []kv.Op{{Key: key, Value: rec}}, left, func(err error) {
		switch {
		case err == nil:
			n.broadcastJob(key)
			n.replyStatus(ref, 200, time.Until(until), reply)
		case errors.Is(err, kv.ErrCompareFailed):
			if _, newer, _, _ := n.jobStatus(ref); newer != stamp {
				n.cancelJob(ref, until, reply)
				return
			}
			reply(unavailable(1))
		default:
			reply(unavailable(1))
		}
	})
}

// cancelledRecord is a known job's record once its user has cancelled it. One that waits
// for others has no tasks, so nobody needs its description any more.
func (n *Controller) cancelledRecord(ref string, now time.Time) *records.Job {
	if w, held := n.view.Dependencies.Lookup(ref); held {
		return &records.Job{State: protocol.JobCancelled, Tasks: w.Spec.Tasks, CancelledAtMs: now.UnixMilli()}
	}
	rec := *n.view.Jobs[ref].Record
	rec.State, rec.Tasks, rec.CancelledAtMs = protocol.JobCancelled, rec.Spec.Tasks, now.UnixMilli()
	return &rec
}

var misdirected = transport.Response{Status: 421, Body: []byte("{}")}

// redirectTo sends a worker to another controller.
func redirectTo(node string) transport.Response {
	b, _ := json.Marshal(protocol.Redirect{Node: node})
	return transport.Response{Status: 421, Body: b}
}

func unavailable(after int) transport.Response {
	return transport.Response{Status: 503, Body: []byte(`{"error":"not now"}`), RetryAfter: after}
}
