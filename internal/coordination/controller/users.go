package controller

import (
	"net/http"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Users time out after 5 s for submissions and 2 s for status queries. Responses are sent
// before the user's time-out.
const (
	submitTimeout = 4 * time.Second
	queryTimeout  = 1700 * time.Millisecond
)

// Handle answers a request to the public address. It calls reply exactly once, before or after
// it returns.
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
		reply(errorResponse(http.StatusMethodNotAllowed, "wrong method"))
	default:
		reply(errorResponse(http.StatusNotFound, "no such path"))
	}
}

// handleReady answers the load balancer's health check. The controller is ready once it has
// read the records and the machine types, except while the state service serves other
// controllers and not this one: the load balancer then sends users to those others. In an
// outage that affects all controllers it stays ready, since no other controller could serve
// the users, and status queries for finished jobs are still answered.
func (c *Controller) handleReady(reply func(transport.Response)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInitialized() || c.isStateServingOthers(time.Now()) {
		reply(unavailable(shortRetry))
		return
	}
	reply(transport.Response{Status: http.StatusOK, Body: []byte("{}")})
}

// isInitialized reports whether this controller has read the records and the machine types.
func (c *Controller) isInitialized() bool {
	return c.view.Loaded && len(c.view.MachineTypes) > 0
}

// handleQuery answers a status query for a job.
func (c *Controller) handleQuery(jobID string, reply func(transport.Response)) {
	if !protocol.ValidJobID(jobID) {
		reply(jobNotFound)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmStatus(jobID, queryTimeout, func() { reply(jobNotFound) }, reply)
}

// handleSubmit answers a submission. If the job was accepted before, the response is its
// status, even if the repeated submission is not valid: only the first submission counts.
func (c *Controller) handleSubmit(body []byte, reply func(transport.Response)) {
	jobID, err := protocol.ParseJobID(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	spec, err := protocol.ParseSubmission(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.jobStatus(jobID).known:
		c.confirmStatus(jobID, submitTimeout, func() { reply(unavailable(shortRetry)) }, reply)
	case err != nil:
		// Another controller may have accepted a job with this ID.
		c.confirmStatus(jobID, submitTimeout, func() { reply(badRequest(err)) }, reply)
	case !c.isInitialized():
		reply(unavailable(shortRetry))
	default:
		c.acceptOrReject(spec, reply)
	}
}

// acceptOrReject accepts a valid submission, unless the job could never run.
func (c *Controller) acceptOrReject(spec *protocol.Submission, reply func(transport.Response)) {
	if reason := c.rejectionReason(spec); reason != "" {
		rejection := errorResponse(http.StatusUnprocessableEntity, reason)
		c.confirmStatus(spec.JobID, submitTimeout, func() { reply(rejection) }, reply)
		return
	}
	if len(spec.Dependencies) > 0 {
		c.acceptDependent(spec, time.Now().Add(submitTimeout), reply)
		return
	}
	c.acceptJob(spec, reply)
}

// rejectionReason returns why a job can never run, or "".
func (c *Controller) rejectionReason(spec *protocol.Submission) string {
	team, ok := c.settings.Teams[spec.Team]
	if !ok {
		return "unknown team"
	}
	if !c.fitsSomeMachineType(spec) {
		return "no allowed machine type has room for a task"
	}
	atOnce := float64(spec.Tasks)
	if spec.Shape == protocol.ShapeArray {
		atOnce = 1
	}
	exceedsCPUs := team.MaxCPUs > 0 && spec.CPUs*atOnce > team.MaxCPUs+tolerance
	exceedsGPUs := team.MaxGPUs > 0 && spec.GPUs*atOnce > team.MaxGPUs+tolerance
	if exceedsCPUs || exceedsGPUs {
		return "more than the team's limit"
	}
	return ""
}

// fitsSomeMachineType reports whether a task of a job fits an empty machine of a type and in
// a zone that the job allows, other than a spot instance.
func (c *Controller) fitsSomeMachineType(spec *protocol.Submission) bool {
	for _, machineType := range c.view.MachineTypes {
		if !placement.FitsEmpty(spec, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if placement.Allowed(spec, machineType.Name, zone, false) {
				return true
			}
		}
	}
	return false
}

// handleCancel commits a job's cancellation before it answers.
func (c *Controller) handleCancel(jobID string, reply func(transport.Response)) {
	if !protocol.ValidJobID(jobID) {
		reply(jobNotFound)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelJob(jobID, time.Now().Add(submitTimeout), reply)
}
