package controller

import (
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
)

// observePause records that this process runs. A pause of the process shows afterwards as
// time in which it heard nobody, and is logged.
func (c *Controller) observePause(now time.Time) {
	if pause := c.pauses.Observe(now); pause > 0 {
		c.log.Info("process paused", "pause", pause)
	}
}

// detectPartitions records which zones seem to be partitioned from this controller's.
func (c *Controller) detectPartitions(now time.Time) {
	if len(c.settings.Zones) < 2 {
		return
	}
	silences := c.machineSilences(now)
	for zone := range health.PartitionedZones(c.settings.Zone, silences, c.maxHeartbeatGap(), c.peerStatuses(now)) {
		if !c.isPartitioned(zone, now) {
			c.log.Info("zone partitioned, fencing delayed", "zone", zone)
		}
		c.partitionSeenAt[zone] = now
	}
}

// machineSilences lists how long each machine is silent, of the shards that this process
// acts for. It leaves out those that may be booting, and those that have not been due yet
// since their shard was taken over: counted as heard, the machines of a failed neighbour
// would hide a partition until their new owner has fenced its own.
func (c *Controller) machineSilences(now time.Time) []health.MachineSilence {
	var silences []health.MachineSilence
	for _, shard := range c.view.Shards {
		if !c.view.IsActive(shard) {
			continue
		}
		for _, machine := range shard.Machines {
			silence := c.silenceOf(machine, now)
			booted := machine.Agent.Heartbeat != nil || len(machine.Use.Slots) > 0
			due := machine.Agent.LastContact.After(machine.AdoptedAt) || silence > c.maxHeartbeatGap()
			if booted && due {
				silences = append(silences, health.MachineSilence{Zone: machine.Record.Zone, Silent: silence})
			}
		}
	}
	return silences
}

// peerStatuses lists which of the other controllers are alive.
func (c *Controller) peerStatuses(now time.Time) []health.PeerStatus {
	statuses := make([]health.PeerStatus, 0, len(c.settings.Peers))
	for _, peer := range c.settings.Peers {
		_, live := c.view.Nodes[peer.Node]
		statuses = append(statuses, health.PeerStatus{Zone: peer.Zone, Live: live || now.Sub(c.membership.lastContact[peer.Node]) < c.policy.NodeLease})
	}
	return statuses
}

// isPartitioned reports whether a zone seems partitioned, or seemed so less than a lease
// ago: after a partition its agents take a while to come back, and the delay prevents
// their machines from being fenced for the length of the whole partition.
func (c *Controller) isPartitioned(zone string, now time.Time) bool {
	at, seen := c.partitionSeenAt[zone]
	return seen && now.Sub(at) < c.settings.Workers.LeaseDuration
}

// fenceDelay returns how long a machine may be silent: usual, or longer while its zone
// seems partitioned.
func (c *Controller) fenceDelay(machine *replica.Machine, usual time.Duration, now time.Time) time.Duration {
	return health.FenceDelay(usual, c.policy.PartitionPatience, c.isPartitioned(machine.Record.Zone, now))
}

// stateDownAfter is how long the state service may have executed nothing before users are
// turned away at once rather than in the end: longer than the time between two renewals of
// a lease.
const stateDownAfter = 2500 * time.Millisecond

// isStateDown reports whether the state service has executed nothing of this controller's
// for a while: in an outage, or by a fault of the controller's own.
func (c *Controller) isStateDown(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) > stateDownAfter
}

// hearsNobody reports whether this controller has heard neither the state service nor
// another controller for a while, so that it can't know what others have confirmed to users.
func (c *Controller) hearsNobody(now time.Time) bool {
	for name := range c.peerClients {
		if now.Sub(c.membership.lastContact[name]) < peerStatusTTL {
			return false
		}
	}
	return len(c.peerClients) > 0 && c.isStateDown(now)
}

// maxHeartbeatGap returns the longest time between two heartbeats of a healthy machine: the
// heartbeat interval, give or take a quarter, and a little more.
func (c *Controller) maxHeartbeatGap() time.Duration {
	return c.settings.Workers.HeartbeatInterval * 13 / 10
}

// listeningSince returns since when this process could receive a machine's heartbeats.
func (c *Controller) listeningSince(machine *replica.Machine) time.Time {
	if resumed := c.pauses.ResumedAt(); resumed.After(machine.AdoptedAt) {
		return resumed
	}
	return machine.AdoptedAt
}

// hearingSince returns since when this process hears a machine, if only by its answers.
func (c *Controller) hearingSince(machine *replica.Machine) time.Time {
	if since := c.listeningSince(machine); since.After(machine.Agent.ContactRestoredAt) {
		return since
	}
	return machine.Agent.ContactRestoredAt
}

// cannotReport reports whether a machine's heartbeats do not arrive, though it may answer
// direct calls.
func (c *Controller) cannotReport(machine *replica.Machine, now time.Time) bool {
	return health.CannotReport(machine.Agent.LastHeartbeat, c.hearingSince(machine), now, c.settings.Workers.LeaseDuration)
}

// silenceOf returns how long a machine has given this owner no sign of life. The time in
// which this process was paused does not count.
func (c *Controller) silenceOf(machine *replica.Machine, now time.Time) time.Duration {
	since := machine.Agent.LastContact
	if listening := c.listeningSince(machine); listening.After(since) {
		since = listening
	}
	return now.Sub(since)
}

// isOwnFault reports whether nearly all of a shard's machines are silent together, which
// indicates a fault of this controller's own links. Machines that become silent at one
// instant do not look silent for the same time, since each has its own heartbeat phase. So
// a little more than one heartbeat interval is the threshold, which is reached before the
// first machine is due for fencing. The result is kept for one pass.
func (c *Controller) isOwnFault(shard *replica.Shard, now time.Time) bool {
	if !shard.IsolationCheckedAt.Equal(now) {
		shard.IsolationCheckedAt, shard.SelfIsolated = now, c.leastLoadedPeer() != "" && c.isSelfIsolated(shard, c.maxHeartbeatGap(), now)
	}
	return shard.SelfIsolated
}
