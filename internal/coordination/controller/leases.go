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
func (n *Controller) extendLease(s *replica.Shard, r *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	w := failover.LastContact{State: n.store.LastSuccess(), Owner: n.membership.lastContact[s.Record.Owner]}
	if r.FencingToken > s.Version || !failover.MayExtendLease(w, now, n.policy.NodeLease) {
		return transport.Response{}, false
	}
	for i := range r.Tasks {
		ref, _, _ := protocol.ParseTaskName(r.Tasks[i].Task)
		if j := n.view.Jobs[ref]; r.Tasks[i].Phase != protocol.TaskExited && (n.view.CancelledJobs[ref] != nil || (j == nil && n.view.FinalJobs[ref].State != "")) {
			return transport.Response{}, false // nobody here can stop that but the end of its lease
		}
	}
	return leaseOnlyResponse(s.Version)
}

// extendLeaseUnread does the same for a node that began behind a cut and has read no
// records: the worker's own token is the only one it knows.
func (n *Controller) extendLeaseUnread(r *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	u := failover.ColdStart{Uptime: now.Sub(n.startedAt), HeardAnyone: n.store.LastSuccess().After(n.startedAt) || len(n.view.MachineTypes) > 0 || len(n.membership.lastContact) > 0}
	for _, p := range n.settings.Peers {
		u.HasRemotePeers = u.HasRemotePeers || p.Zone != n.settings.Zone
	}
	if r.FencingToken == 0 || !failover.MayExtendUnread(u, n.settings.Workers.CancelDeadline, n.settings.Workers.LeaseDuration) {
		return transport.Response{}, false
	}
	return leaseOnlyResponse(r.FencingToken)
}

func leaseOnlyResponse(token uint64) (transport.Response, bool) {
	b, err := protocol.Encode(protocol.HeartbeatResponse{FencingToken: token, Commands: []protocol.Command{}})
	return transport.Response{Status: 200, Body: b}, err == nil
}
