package controller

import (
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
)

// observePause notes that this process runs. What it slept through is told from others'
// silence, and logged.
func (c *Controller) observePause(now time.Time) {
	if still := c.pauses.Observe(now); still > 0 {
		c.log.Info("process paused", "pause", still)
	}
}

// detectPartitions works out which zones seem to be cut off.
func (c *Controller) detectPartitions(now time.Time) {
	if len(c.settings.Zones) < 2 {
		return
	}
	beat := c.maxHeartbeatGap()
	var signs []health.MachineSilence
	for _, shard := range c.view.Shards {
		if !c.view.IsActive(shard) {
			continue
		}
		for _, machine := range shard.Machines {
			// A machine that has not reported to this process may be booting, unless
			// something was placed there. One that has not done so since its shard was
			// taken over says nothing until it should have: counted as heard, those of a
			// dead neighbour hid the cut until their new owner had fenced its own.
			silent := c.silenceOf(machine, now)
			if (machine.Agent.Heartbeat != nil || len(machine.Use.Slots) > 0) && (machine.Agent.LastContact.After(machine.AdoptedAt) || silent > beat) {
				signs = append(signs, health.MachineSilence{Zone: machine.Record.Zone, Silent: silent})
			}
		}
	}
	witnesses := make([]health.PeerStatus, 0, len(c.settings.Peers))
	for _, p := range c.settings.Peers {
		_, live := c.view.Nodes[p.Node]
		witnesses = append(witnesses, health.PeerStatus{Zone: p.Zone, Live: live || now.Sub(c.membership.lastContact[p.Node]) < c.policy.NodeLease})
	}
	for zone := range health.PartitionedZones(c.settings.Zone, signs, beat, witnesses) {
		if !c.isPartitioned(zone, now) {
			c.log.Info("zone partitioned, fencing delayed", "zone", zone)
		}
		c.partitionSeenAt[zone] = now
	}
}

// isPartitioned tells whether a zone seems cut off, or seemed so until just now: once
// the cut is over its workers take a while to come back, and whoever had not yet
// been heard was fenced for the silence of the whole cut.
func (c *Controller) isPartitioned(zone string, now time.Time) bool {
	at, seen := c.partitionSeenAt[zone]
	return seen && now.Sub(at) < c.settings.Workers.LeaseDuration
}

// fenceDelay is how long a machine may be silent.
func (c *Controller) fenceDelay(machine *replica.Machine, usual time.Duration, now time.Time) time.Duration {
	return health.FenceDelay(usual, c.policy.PartitionPatience, c.isPartitioned(machine.Record.Zone, now))
}

// stateDownAfter is how long nothing may have been executed before users are turned
// away at once rather than in the end: more than a lease renewal's beat.
const stateDownAfter = 2500 * time.Millisecond

// isStateDown tells that the state service has executed nothing of this node's for
// a while: an outage, or a fault of the node's own.
func (c *Controller) isStateDown(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) > stateDownAfter
}

// hearsNobody tells that neither the state service nor another controller has spoken
// to this node for a while: what others have confirmed to users it cannot know.
func (c *Controller) hearsNobody(now time.Time) bool {
	for name := range c.peerClients {
		if now.Sub(c.membership.lastContact[name]) < peerStatusTTL {
			return false
		}
	}
	return len(c.peerClients) > 0 && c.isStateDown(now)
}

// maxHeartbeatGap is the longest that a worker goes without reporting when all is well:
// its period, give or take a quarter, and a little more.
func (c *Controller) maxHeartbeatGap() time.Duration {
	return c.settings.Workers.HeartbeatInterval * 13 / 10
}

// listeningSince is from when on this process was there to hear a machine's reports.
func (c *Controller) listeningSince(machine *replica.Machine) time.Time {
	if woke := c.pauses.ResumedAt(); woke.After(machine.AdoptedAt) {
		return woke
	}
	return machine.AdoptedAt
}

// hearingSince is from when on this process has heard a machine, by its answers at least.
func (c *Controller) hearingSince(machine *replica.Machine) time.Time {
	if from := c.listeningSince(machine); from.After(machine.Agent.HeardAgainAt) {
		return from
	}
	return machine.Agent.HeardAgainAt
}

// cannotReport tells that a machine answers at best, and does not report.
func (c *Controller) cannotReport(machine *replica.Machine, now time.Time) bool {
	return health.CannotReport(machine.Agent.LastHeartbeat, c.hearingSince(machine), now, c.settings.Workers.LeaseDuration)
}

// silenceOf is how long a machine has given no sign of life to this owner.
func (c *Controller) silenceOf(machine *replica.Machine, now time.Time) time.Duration {
	since := machine.Agent.LastContact
	if from := c.listeningSince(machine); from.After(since) {
		since = from // its silence while this process stood still is this process's own
	}
	return now.Sub(since)
}

// isOwnFault tells that nearly all of a shard's machines are silent together, which
// speaks for a fault of this node's own links. Machines that fell silent together
// do not all look silent for as long: each has its own beat. More than a beat
// without hearing from nearly all of them tells it, before the first is due for
// fencing.
func (c *Controller) isOwnFault(shard *replica.Shard, now time.Time) bool {
	if !shard.IsolationCheckedAt.Equal(now) { // once for all machines that one pass looks at
		shard.IsolationCheckedAt, shard.SelfIsolated = now, c.leastLoadedPeer() != "" && c.isSelfIsolated(shard, c.maxHeartbeatGap(), now)
	}
	return shard.SelfIsolated
}
