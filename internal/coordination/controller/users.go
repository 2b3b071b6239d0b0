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
func (c *Controller) Handle(method, target string, body []byte, reply func(transport.Response)) {
	route, id := protocol.MatchRoute(method, target)
	switch route {
	case protocol.RouteSubmit:
		c.handleSubmit(body, reply)
	case protocol.RouteQuery:
		c.handleQuery(id, reply)
	case protocol.RouteCancel:
		c.handleCancel(id, reply)
	case protocol.RouteHeartbeat:
		c.handleHeartbeat(body, reply)
	case protocol.RouteReady:
		c.handleReady(reply)
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

func jobResponse(status int, answer protocol.JobStatus) transport.Response {
	b, _ := protocol.Encode(answer)
	return transport.Response{Status: status, Body: b}
}

var jobNotFound = transport.Response{Status: 404, Body: []byte(`{"error":"no such job"}`)}

// handleReady: a node is ready once it has read the records. It turns unready
// when it alone is refused by the state service, so that users go where they
// are served; in an outage that all share, turning away would help nobody, and
// finished jobs are still answered.
func (c *Controller) handleReady(reply func(transport.Response)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ok := c.view.Loaded && len(c.view.MachineTypes) > 0
	if !ok || c.isStateServingOthers(now) {
		reply(unavailable(1))
		return
	}
	reply(transport.Response{Status: 200, Body: []byte("{}")})
}

// jobStatus is what the cache says of a job; known is false if it says nothing.
func (c *Controller) jobStatus(jobID string) (answer protocol.JobStatus, version uint64, final, known bool) {
	answer.JobID, answer.Phase = jobID, protocol.JobPending
	if f, ok := c.view.FinalJobs[jobID]; ok {
		answer.Phase = f.State
		if f.State == protocol.JobDone {
			answer.DoneTasks = f.Tasks
		}
		return answer, f.Version, true, true
	}
	if held, version, final, waits := c.blockedStatus(jobID); waits {
		return held, version, final, true
	}
	job := c.view.Jobs[jobID]
	if job == nil || job.Record == nil {
		return answer, 0, false, false
	}
	answer.DoneTasks, answer.RunningTasks = job.Progress()
	switch {
	case job.Record.IsFinal():
		answer.Phase, answer.RunningTasks = job.Record.State, 0
		if job.Record.State == protocol.JobDone {
			answer.DoneTasks = job.Record.Tasks
		}
	case answer.RunningTasks > 0:
		answer.Phase = protocol.JobRunning
	}
	return answer, job.Version, job.Record.IsFinal(), true
}

func (c *Controller) handleQuery(jobID string, reply func(transport.Response)) {
	if !protocol.ValidJobID(jobID) {
		reply(jobNotFound)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmStatus(jobID, queryTimeout, func() { reply(jobNotFound) }, reply)
}

func (c *Controller) handleSubmit(body []byte, reply func(transport.Response)) {
	jobID, err := protocol.ParseJobID(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	spec, err := protocol.ParseSubmission(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, _, known := c.jobStatus(jobID)
	if known {
		c.confirmStatus(jobID, submitTimeout, func() { reply(unavailable(1)) }, reply)
		return
	}
	if err != nil {
		// Unless another node accepted a job of this id.
		c.confirmStatus(jobID, submitTimeout, func() { reply(badRequest(err)) }, reply)
		return
	}
	if !c.view.Loaded || len(c.view.MachineTypes) == 0 {
		reply(unavailable(1))
		return
	}
	if reason := c.rejectionReason(spec); reason != "" {
		b, _ := json.Marshal(map[string]string{"error": reason})
		c.confirmStatus(jobID, submitTimeout, func() { reply(transport.Response{Status: 422, Body: b}) }, reply)
		return
	}
	if len(spec.Dependencies) > 0 {
		c.acceptDependent(spec, time.Now().Add(submitTimeout), reply)
		return
	}
	c.acceptJob(spec, reply)
}

// rejectionReason tells why a job can never run, or "".
func (c *Controller) rejectionReason(spec *protocol.Submission) string {
	team, ok := c.settings.Teams[spec.Team]
	if !ok {
		return "unknown team"
	}
	fits := false
	for _, machineType := range c.view.MachineTypes {
		if !placement.FitsEmpty(spec, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if placement.Allowed(spec, machineType.Name, zone, false) {
				fits = true
			}
		}
	}
	if !fits {
		return "no allowed machine type has room for a task"
	}
	count := float64(spec.Tasks)
	if spec.Shape == protocol.ShapeArray {
		count = 1
	}
	if (team.MaxCPUs > 0 && spec.CPUs*count > team.MaxCPUs+tolerance) || (team.MaxGPUs > 0 && spec.GPUs*count > team.MaxGPUs+tolerance) {
		return "more than the team's limit"
	}
	return ""
}

// acceptJob records a job. If this node owns one of the shards chosen for it and
// there is room, the claim goes into the same transaction and the start
// follows at once.
func (c *Controller) acceptJob(spec *protocol.Submission, reply func(transport.Response)) {
	now := time.Now()
	if b := c.backlog(kv.PriorityUser, now); b.Unavailable || b.ShouldShed(submitTimeout) {
		// It would be told so in the end; so it is told at once.
		reply(c.retryLater(kv.PriorityUser, now))
		return
	}
	at := c.chooseShards(spec, now)
	record := &records.Job{Spec: spec, Shards: at, AcceptedAtMs: now.UnixMilli(), ChunkSize: c.chunkSize(spec, at)}
	first := c.claimImmediately(spec, at, now)
	for _, name := range at {
		c.shardLoads.queuedSince[name] += spec.CPUs * float64(spec.Tasks)
	}
	c.recordJob(spec.JobID, record, first, reply)
}

// recordJob writes down that a job is accepted, with the claim on it if there is one.
func (c *Controller) recordJob(jobID string, record *records.Job, first initialClaim, reply func(transport.Response)) {
	until := time.Now().Add(submitTimeout)
	key := records.JobPrefix + jobID
	compares := append([]kv.Compare{{Key: key, Version: 0}}, first.conds...)
	ops := append([]kv.Op{{Key: key, Value: record}}, first.ops()...)
	c.commit(kv.PriorityUser, compares, ops, submitTimeout, func(err error) {
		first.finish(c, err)
		switch {
		case err == nil:
			c.log.Debug("job accepted", "job", jobID, "shards", record.Shards, "dependencies", len(record.Dependencies), "claimed", first.claim != nil)
			c.replyStatus(jobID, 201, time.Until(until), reply)
			c.broadcastAccepted(key, record)
		case errors.Is(err, kv.ErrTooLarge) && !errors.Is(err, kv.ErrOutcomeUnknown):
			reply(badRequest(errors.New("the job's record is larger than the state service takes")))
		case errors.Is(err, kv.ErrCompareFailed):
			if _, _, final, known := c.jobStatus(jobID); known {
				if final {
					c.replyStatus(jobID, 200, time.Until(until), reply)
				} else {
					c.confirmStatus(jobID, submitTimeout/2, func() { reply(unavailable(1)) }, reply)
				}
				return
			}
			if first.claim != nil {
				c.recordUnclaimed(key, record, reply) // only the claim failed
				return
			}
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		default:
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}

func (c *Controller) recordUnclaimed(key string, record *records.Job, reply func(transport.Response)) {
	c.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: 0}}, []kv.Op{{Key: key, Value: record}}, submitTimeout/2, func(err error) {
		if err != nil {
			reply(c.retryLater(kv.PriorityUser, time.Now()))
			return
		}
		c.replyStatus(record.Spec.JobID, 201, submitTimeout/4, reply)
		c.broadcastJob(key)
	})
}

// handleCancel commits a cancellation before it is told.
func (c *Controller) handleCancel(jobID string, reply func(transport.Response)) {
	if !protocol.ValidJobID(jobID) {
		reply(jobNotFound)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelJob(jobID, time.Now().Add(submitTimeout), reply)
}

func (c *Controller) cancelJob(jobID string, until time.Time, reply func(transport.Response)) {
	_, version, final, known := c.jobStatus(jobID)
	left := time.Until(until)
	switch {
	case final:
		c.replyStatus(jobID, 200, left, reply)
		return
	case !c.view.Loaded || left < 200*time.Millisecond:
		reply(unavailable(1))
		return
	case c.isStateDown(time.Now()):
		reply(c.retryLater(kv.PriorityUser, time.Now()))
		return
	case !known:
		c.commit(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: 0}}, nil, left, func(err error) {
			if err == nil {
				reply(jobNotFound)
			} else if _, _, _, found := c.jobStatus(jobID); found {
				c.cancelJob(jobID, until, reply)
			} else {
				reply(unavailable(1))
			}
		})
		return
	}
	record := c.cancelledRecord(jobID, time.Now())
	key := records.JobPrefix + jobID
	c.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: version}}, []kv.Op{{Key: key, Value: record}}, left, func(err error) {
		switch {
		case err == nil:
			c.broadcastJob(key)
			c.replyStatus(jobID, 200, time.Until(until), reply)
		case errors.Is(err, kv.ErrCompareFailed):
			if _, newer, _, _ := c.jobStatus(jobID); newer != version {
				c.cancelJob(jobID, until, reply)
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
func (c *Controller) cancelledRecord(jobID string, now time.Time) *records.Job {
	if blocked, held := c.view.Dependencies.Lookup(jobID); held {
		return &records.Job{State: protocol.JobCancelled, Tasks: blocked.Spec.Tasks, CancelledAtMs: now.UnixMilli()}
	}
	rec := *c.view.Jobs[jobID].Record
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
