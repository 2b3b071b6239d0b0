package controller

import (
	"net/http"
	"slices"
	"time"

	"madderslip/internal/coordination/failover"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// extendLease answers an agent of a shard that this controller does not own, if its lease
// is to be extended: with the shard's recorded token and without commands. It does not for
// an agent that shows a task of a cancelled job: nothing here but the expiry of the lease
// can stop the task.
func (c *Controller) extendLease(shard *replica.Shard, heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	contact := failover.LastContact{State: c.store.LastSuccess(), Owner: c.membership.lastContact[shard.Record.Owner]}
	if heartbeat.FencingToken > shard.Version || !failover.MayExtendLease(contact, now, c.policy.NodeLease) {
		return transport.Response{}, false
	}
	if slices.ContainsFunc(heartbeat.Tasks, c.isCancelledTask) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(shard.Version)
}

// isCancelledTask reports whether a task has not exited though its job is cancelled, or is
// final and forgotten.
func (c *Controller) isCancelledTask(status protocol.TaskStatus) bool {
	jobID, _, _ := protocol.ParseTaskName(status.Task)
	isForgotten := c.view.Jobs[jobID] == nil && c.view.FinalJobs[jobID].State != ""
	return status.Phase != protocol.TaskExited && (c.view.CancelledJobs[jobID] != nil || isForgotten)
}

// extendLeaseUnread does the same for a controller that started behind a partition and has
// read no records: the agent's own token is the only one that it knows.
func (c *Controller) extendLeaseUnread(heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	heardState := c.store.LastSuccess().After(c.startedAt)
	start := failover.ColdStart{Uptime: now.Sub(c.startedAt), HadContact: heardState || len(c.view.MachineTypes) > 0 || len(c.membership.lastContact) > 0}
	for _, peer := range c.settings.Peers {
		start.HasRemotePeers = start.HasRemotePeers || peer.Zone != c.settings.Zone
	}
	if heartbeat.FencingToken == 0 || !failover.MayExtendLeaseAfterColdStart(start, c.settings.Workers.CancelDeadline, c.settings.Workers.LeaseDuration) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(heartbeat.FencingToken)
}

// leaseOnlyResponse returns an answer that extends a lease and commands nothing.
func leaseOnlyResponse(token uint64) (transport.Response, bool) {
	body, err := protocol.Encode(protocol.HeartbeatResponse{FencingToken: token, Commands: []protocol.Command{}})
	return transport.Response{Status: http.StatusOK, Body: body}, err == nil
}
