package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/coordination/failover"
	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/transport"
)

// The loops ask package recovery what to make of silence, and hand it what they
// know. Its verdicts are advice: they put fences off or keep leases, and prove
// nothing.

// observePause notes that this process runs. What it slept through is told from others'
// silence, and logged.
func (n *Controller) observePause(now time.Time) {
	if still := n.pauses.Observe(now); still > 0 {
		n.log.Info("this process stood still", "for", still)
	}
}

// detectPartitions works out which zones seem to be cut off.
func (n *Controller) detectPartitions(now time.Time) {
	if len(n.settings.Zones) < 2 {
		return
	}
	beat := n.maxHeartbeatGap()
	var signs []health.MachineSilence
	for _, s := range n.view.Shards {
		if !n.view.IsActive(s) {
			continue
		}
		for _, m := range s.Machines {
			// A machine that has not reported to this process may be booting, unless
			// something was placed there. One that has not done so since its shard was
			// taken over says nothing until it should have: counted as heard, those of a
			// dead neighbour hid the cut until their new owner had fenced its own.
			silent := n.silenceOf(m, now)
			if (m.Agent.Heartbeat != nil || len(m.Use.Slots) > 0) && (m.Agent.LastContact.After(m.AdoptedAt) || silent > beat) {
				signs = append(signs, health.MachineSilence{Zone: m.Record.Zone, Silent: silent})
			}
		}
	}
	witnesses := make([]health.PeerStatus, 0, len(n.settings.Peers))
	for _, p := range n.settings.Peers {
		_, live := n.view.Nodes[p.Node]
		witnesses = append(witnesses, health.PeerStatus{Zone: p.Zone, Live: live || now.Sub(n.membership.lastContact[p.Node]) < n.policy.NodeLease})
	}
	for zone := range health.PartitionedZones(n.settings.Zone, signs, beat, witnesses) {
		if !n.isPartitioned(zone, now) {
			n.log.Info("a zone seems cut off, its machines are not fenced for a while", "zone", zone)
		}
		n.partitionSeenAt[zone] = now
	}
}

// isPartitioned tells whether a zone seems cut off, or seemed so until just now: once
// the cut is over its workers take a while to come back, and whoever had not yet
// been heard was fenced for the silence of the whole cut.
func (n *Controller) isPartitioned(zone string, now time.Time) bool {
	at, seen := n.partitionSeenAt[zone]
	return seen && now.Sub(at) < n.settings.Workers.LeaseDuration
}

// fenceDelay is how long a machine may be silent.
func (n *Controller) fenceDelay(m *replica.Machine, usual time.Duration, now time.Time) time.Duration {
	return health.FenceDelay(usual, n.policy.PartitionPatience, n.isPartitioned(m.Record.Zone, now))
}

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

// takeoverDelay is how long this node lets others take a shard first whose owner's lease
// has ended.
func (n *Controller) takeoverDelay() time.Duration {
	machines := make(map[string]int)
	for _, s := range n.view.Shards {
		if s.Record != nil {
			machines[s.Record.Owner] += len(s.Machines)
		}
	}
	var all []failover.Candidate
	for name := range n.view.Nodes {
		all = append(all, failover.Candidate{Node: name, Machines: machines[name]})
	}
	return failover.TakeoverDelay(n.settings.NodeName, all)
}

// peerStatusTTL is how old another controller's word of its backlog may be.
const peerStatusTTL = 3 * time.Second

// shareStateBudget takes this node's part of the state service's budgets: by need if all
// live controllers have said theirs, else evenly.
func (n *Controller) shareStateBudget(now time.Time) {
	names := n.view.LiveNodes()
	own := slices.Index(names, n.settings.NodeName)
	waits := make([]int, max(1, len(names)))
	known := own >= 0
	for i, name := range names {
		w := n.membership.backlogs[name]
		if i == own {
			w.changes, _ = n.store.Backlog(kv.PriorityBackground)
			w.at = now
		}
		known = known && now.Sub(w.at) < peerStatusTTL
		waits[i] = w.changes
	}
	if !known {
		clear(waits)
		own = 0
	}
	n.store.SetBudgetShare(admission.BudgetShare(waits, own))
}

// backlog is what waits ahead of a transaction of a priority.
func (n *Controller) backlog(prio int, now time.Time) admission.Backlog {
	b := admission.Backlog{Unavailable: n.isStateDown(now)}
	b.Pending, b.Rate = n.store.Backlog(prio)
	return b
}

// stateDownAfter is how long nothing may have been executed before users are turned
// away at once rather than in the end: more than a lease renewal's beat.
const stateDownAfter = 2500 * time.Millisecond

// isStateDown tells that the state service has executed nothing of this node's for
// a while: an outage, or a fault of the node's own.
func (n *Controller) isStateDown(now time.Time) bool {
	return now.Sub(n.store.LastSuccess()) > stateDownAfter
}

// hearsNobody tells that neither the state service nor another controller has spoken
// to this node for a while: what others have confirmed to users it cannot know.
func (n *Controller) hearsNobody(now time.Time) bool {
	for name := range n.peerClients {
		if now.Sub(n.membership.lastContact[name]) < peerStatusTTL {
			return false
		}
	}
	return len(n.peerClients) > 0 && n.isStateDown(now)
}

// maxHeartbeatGap is the longest that a worker goes without reporting when all is well:
// its period, give or take a quarter, and a little more.
func (n *Controller) maxHeartbeatGap() time.Duration {
	return n.settings.Workers.HeartbeatInterval * 13 / 10
}

// isStateServingOthers tells that the state service serves other controllers and not
// this one. A node that refuses at once has the fewest open connections, so the
// load balancer sends it the more users the longer it seems healthy.
func (n *Controller) isStateServingOthers(now time.Time) bool {
	if !n.isStateDown(now) {
		return false
	}
	for _, at := range n.membership.stateReachableAt {
		if now.Sub(at) < peerStatusTTL {
			return true
		}
	}
	return false
}

// retryLater turns a user away, and says when to come back.
func (n *Controller) retryLater(prio int, now time.Time) transport.Response {
	if n.isStateServingOthers(now) {
		return unavailable(1) // at another node, most likely
	}
	return unavailable(int(n.backlog(prio, now).RetryAfter(n.random.Float64()) / time.Second))
}
