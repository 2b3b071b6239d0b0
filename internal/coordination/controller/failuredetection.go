package controller

import (
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
)

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

// listeningSince is from when on this process was there to hear a machine's reports.
func (n *Controller) listeningSince(m *replica.Machine) time.Time {
	if woke := n.pauses.ResumedAt(); woke.After(m.AdoptedAt) {
		return woke
	}
	return m.AdoptedAt
}

// hearingSince is from when on this process has heard a machine, by its answers at least.
func (n *Controller) hearingSince(m *replica.Machine) time.Time {
	if from := n.listeningSince(m); from.After(m.Agent.HeardAgainAt) {
		return from
	}
	return m.Agent.HeardAgainAt
}

// cannotReport tells that a machine answers at best, and does not report.
func (n *Controller) cannotReport(m *replica.Machine, now time.Time) bool {
	return health.CannotReport(m.Agent.LastHeartbeat, n.hearingSince(m), now, n.settings.Workers.LeaseDuration)
}

// silenceOf is how long a machine has given no sign of life to this owner.
func (n *Controller) silenceOf(m *replica.Machine, now time.Time) time.Duration {
	since := m.Agent.LastContact
	if from := n.listeningSince(m); from.After(since) {
		since = from // its silence while this process stood still is this process's own
	}
	return now.Sub(since)
}

// isOwnFault tells that nearly all of a shard's machines are silent together, which
// speaks for a fault of this node's own links. Machines that fell silent together
// do not all look silent for as long: each has its own beat. More than a beat
// without hearing from nearly all of them tells it, before the first is due for
// fencing.
func (n *Controller) isOwnFault(s *replica.Shard, now time.Time) bool {
	if !s.IsolationCheckedAt.Equal(now) { // once for all machines that one pass looks at
		s.IsolationCheckedAt, s.SelfIsolated = now, n.leastLoadedPeer() != "" && n.isSelfIsolated(s, n.maxHeartbeatGap(), now)
	}
	return s.SelfIsolated
}
