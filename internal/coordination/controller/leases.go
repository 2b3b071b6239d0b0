package controller

import (
	"time"

	"madderslip/internal/coordination/failover"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// extendLease answers a worker of a shard that this node does not own, if it is to
// keep the lease alive: with the shard's token and without orders.
func (c *Controller) extendLease(shard *replica.Shard, heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	w := failover.LastContact{State: c.store.LastSuccess(), Owner: c.membership.lastContact[shard.Record.Owner]}
	if heartbeat.FencingToken > shard.Version || !failover.MayExtendLease(w, now, c.policy.NodeLease) {
		return transport.Response{}, false
	}
	for i := range heartbeat.Tasks {
		jobID, _, _ := protocol.ParseTaskName(heartbeat.Tasks[i].Task)
		if job := c.view.Jobs[jobID]; heartbeat.Tasks[i].Phase != protocol.TaskExited && (c.view.CancelledJobs[jobID] != nil || (job == nil && c.view.FinalJobs[jobID].State != "")) {
			return transport.Response{}, false // nobody here can stop that but the end of its lease
		}
	}
	return leaseOnlyResponse(shard.Version)
}

// extendLeaseUnread does the same for a node that began behind a cut and has read no
// records: the worker's own token is the only one it knows.
func (c *Controller) extendLeaseUnread(heartbeat *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	u := failover.ColdStart{Uptime: now.Sub(c.startedAt), HeardAnyone: c.store.LastSuccess().After(c.startedAt) || len(c.view.MachineTypes) > 0 || len(c.membership.lastContact) > 0}
	for _, p := range c.settings.Peers {
		u.HasRemotePeers = u.HasRemotePeers || p.Zone != c.settings.Zone
	}
	if heartbeat.FencingToken == 0 || !failover.MayExtendUnread(u, c.settings.Workers.CancelDeadline, c.settings.Workers.LeaseDuration) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(heartbeat.FencingToken)
}

func leaseOnlyResponse(token uint64) (transport.Response, bool) {
	b, err := protocol.Encode(protocol.HeartbeatResponse{FencingToken: token, Commands: []protocol.Command{}})
	return transport.Response{Status: 200, Body: b}, err == nil
}
