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

// extendLease returns the answer that extends the lease of an agent whose shard this controller
// does not own, and reports whether the lease may be extended. The answer carries no commands, and
// the shard's recorded token or the one that the agent shows, if the recorded owner has raised it
// since: a later owner's token would be above the revision that the view has reached. The lease of
// an agent that shows a task of a cancelled job may not be extended, because this controller can
// stop the task only by letting the lease expire.
func (c *Controller) extendLease(shard *replica.Shard, heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	contact := failover.LastContact{State: c.store.LastSuccess(), Owner: c.membership.lastContact[shard.Record.Owner]}
	if heartbeat.FencingToken > max(shard.Version, c.view.Revision) || !failover.MayExtendLease(contact, now, c.policy.NodeLease) {
		return transport.Response{}, false
	}
	if slices.ContainsFunc(heartbeat.Tasks, c.isCancelledTask) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(max(shard.Version, heartbeat.FencingToken))
}

// isCancelledTask reports whether a task has not exited although its job is cancelled, or is final
// and removed from the view.
func (c *Controller) isCancelledTask(status protocol.TaskStatus) bool {
	jobID, _, _ := protocol.ParseTaskName(status.Task)
	isRemoved := c.view.Jobs[jobID] == nil && c.view.FinalJobs[jobID].State != ""
	return status.Phase != protocol.TaskExited && (c.view.CancelledJobs[jobID] != nil || isRemoved)
}

// extendLeaseWithoutRecords does the same as extendLease for a controller that started behind a
// partition and has read no records. The answer carries the token that the agent itself shows,
// because this controller has no other.
func (c *Controller) extendLeaseWithoutRecords(heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	stateReached := c.store.LastSuccess().After(c.startedAt)
	start := failover.ColdStart{Uptime: now.Sub(c.startedAt), HadContact: stateReached || len(c.view.MachineTypes) > 0 || len(c.membership.lastContact) > 0}
	for _, peer := range c.settings.Peers {
		start.HasRemotePeers = start.HasRemotePeers || peer.Zone != c.settings.Zone
	}
	if heartbeat.FencingToken == 0 || !failover.MayExtendLeaseAfterColdStart(start, c.settings.Workers.CancelDeadline, c.settings.Workers.LeaseDuration) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(heartbeat.FencingToken)
}

// leaseOnlyResponse returns an answer that extends a lease and carries no commands, and reports
// whether it could be encoded.
func leaseOnlyResponse(token uint64) (transport.Response, bool) {
	body, err := protocol.Encode(protocol.HeartbeatResponse{FencingToken: token, Commands: []protocol.Command{}})
	return transport.Response{Status: http.StatusOK, Body: body}, err == nil
}
