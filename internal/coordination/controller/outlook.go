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

// look notes that this process runs. What it slept through is told from others'
// silence, and logged.
func (n *Controller) look(now time.Time) {
	if still := n.beat.Observe(now); still > 0 {
		n.log.Info("this process stood still", "for", still)
	}
}

// weighZones works out which zones seem to be cut off.
func (n *Controller) weighZones(now time.Time) {
	if len(n.cfg.Zones) < 2 {
		return
	}
	beat := n.reportBeat()
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
			silent := n.silence(m, now)
			if (m.Agent.Heartbeat != nil || len(m.Use.Slots) > 0) && (m.Agent.LastContact.After(m.AdoptedAt) || silent > beat) {
				signs = append(signs, health.MachineSilence{Zone: m.Record.Zone, Silent: silent})
			}
		}
	}
	witnesses := make([]health.PeerStatus, 0, len(n.cfg.Peers))
	for _, p := range n.cfg.Peers {
		_, live := n.view.Nodes[p.Node]
		witnesses = append(witnesses, health.PeerStatus{Zone: p.Zone, Live: live || now.Sub(n.heardFrom[p.Node]) < n.pol.NodeLease})
	}
	for zone := range health.PartitionedZones(n.cfg.Zone, signs, beat, witnesses) {
		if !n.zoneCut(zone, now) {
			n.log.Info("a zone seems cut off, its machines are not fenced for a while", "zone", zone)
		}
		n.cutSeen[zone] = now
	}
}

// zoneCut tells whether a zone seems cut off, or seemed so until just now: once
// the cut is over its workers take a while to come back, and whoever had not yet
// been heard was fenced for the silence of the whole cut.
func (n *Controller) zoneCut(zone string, now time.Time) bool {
	at, seen := n.cutSeen[zone]
	return seen && now.Sub(at) < n.cfg.Workers.LeaseDuration
}

// fenceAfter is how long a machine may be silent.
func (n *Controller) fenceAfter(m *replica.Machine, usual time.Duration, now time.Time) time.Duration {
	return health.FenceDelay(usual, n.pol.PartitionPatience, n.zoneCut(m.Record.Zone, now))
}

// keepLease answers a worker of a shard that this node does not own, if it is to
// keep the lease alive: with the shard's token and without orders.
func (n *Controller) keepLease(s *replica.Shard, r *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	w := failover.LastContact{State: n.led.LastSuccess(), Owner: n.heardFrom[s.Record.Owner]}
	if r.FencingToken > s.Version || !failover.MayExtendLease(w, now, n.pol.NodeLease) {
		return transport.Response{}, false
	}
	for i := range r.Tasks {
		ref, _, _ := protocol.ParseTaskName(r.Tasks[i].Task)
		if j := n.view.Jobs[ref]; r.Tasks[i].Phase != protocol.TaskExited && (n.view.CancelledJobs[ref] != nil || (j == nil && n.view.FinalJobs[ref].State != "")) {
			return transport.Response{}, false // nobody here can stop that but the end of its lease
		}
	}
	return withoutOrders(s.Version)
}

// keepUnread does the same for a node that began behind a cut and has read no
// records: the worker's own token is the only one it knows.
func (n *Controller) keepUnread(r *protocol.Heartbeat, now time.Time) (transport.Response, bool) {
	u := failover.ColdStart{Uptime: now.Sub(n.boot), HeardAnyone: n.led.LastSuccess().After(n.boot) || len(n.view.MachineTypes) > 0 || len(n.heardFrom) > 0}
	for _, p := range n.cfg.Peers {
		u.HasRemotePeers = u.HasRemotePeers || p.Zone != n.cfg.Zone
	}
	if r.FencingToken == 0 || !failover.MayExtendUnread(u, n.cfg.Workers.CancelDeadline, n.cfg.Workers.LeaseDuration) {
		return transport.Response{}, false
	}
	return withoutOrders(r.FencingToken)
}

func withoutOrders(token uint64) (transport.Response, bool) {
	b, err := protocol.Encode(protocol.HeartbeatResponse{FencingToken: token, Commands: []protocol.Command{}})
	return transport.Response{Status: 200, Body: b}, err == nil
}

// turn is how long this node lets others take a shard first whose owner's lease
// has ended.
func (n *Controller) turn() time.Duration {
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
	return failover.TakeoverDelay(n.cfg.NodeName, all)
}

// sayEvery is how old another controller's word of its backlog may be.
const sayEvery = 3 * time.Second

// shareBudget takes this node's part of the state service's budgets: by need if all
// live controllers have said theirs, else evenly.
func (n *Controller) shareBudget(now time.Time) {
	names := n.view.LiveNodes()
	own := slices.Index(names, n.cfg.NodeName)
	waits := make([]int, max(1, len(names)))
	known := own >= 0
	for i, name := range names {
		w := n.waits[name]
		if i == own {
			w.changes, _ = n.led.Backlog(kv.PriorityBackground)
			w.at = now
		}
		known = known && now.Sub(w.at) < sayEvery
		waits[i] = w.changes
	}
	if !known {
		clear(waits)
		own = 0
	}
	n.led.SetBudgetShare(admission.BudgetShare(waits, own))
}

// backlog is what waits ahead of a transaction of a priority.
func (n *Controller) backlog(prio int, now time.Time) admission.Backlog {
	b := admission.Backlog{Unavailable: n.stateDown(now)}
	b.Pending, b.Rate = n.led.Backlog(prio)
	return b
}

// downAfter is how long nothing may have been executed before users are turned
// away at once rather than in the end: more than a lease renewal's beat.
const downAfter = 2500 * time.Millisecond

// stateDown tells that the state service has executed nothing of this node's for
// a while: an outage, or a fault of the node's own.
func (n *Controller) stateDown(now time.Time) bool { return now.Sub(n.led.LastSuccess()) > downAfter }

// hearsNobody tells that neither the state service nor another controller has spoken
// to this node for a while: what others have confirmed to users it cannot know.
func (n *Controller) hearsNobody(now time.Time) bool {
	for name := range n.peers {
		if now.Sub(n.heardFrom[name]) < sayEvery {
			return false
		}
	}
	return len(n.peers) > 0 && n.stateDown(now)
}

// reportBeat is the longest that a worker goes without reporting when all is well:
// its period, give or take a quarter, and a little more.
func (n *Controller) reportBeat() time.Duration { return n.cfg.Workers.HeartbeatInterval * 13 / 10 }

// servedElsewhere tells that the state service serves other controllers and not
// this one. A node that refuses at once has the fewest open connections, so the
// load balancer sends it the more users the longer it seems healthy.
func (n *Controller) servedElsewhere(now time.Time) bool {
	if !n.stateDown(now) {
		return false
	}
	for _, at := range n.stateOKAt {
		if now.Sub(at) < sayEvery {
			return true
		}
	}
	return false
}

// later turns a user away, and says when to come back.
func (n *Controller) later(prio int, now time.Time) transport.Response {
	if n.servedElsewhere(now) {
		return unavailable(1) // at another node, most likely
	}
	return unavailable(int(n.backlog(prio, now).RetryAfter(n.rng.Float64()) / time.Second))
}
