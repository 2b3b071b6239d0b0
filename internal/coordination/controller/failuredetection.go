package controller

import (
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
)

// observePause records that this process runs. A gap since the previous call that counts as a pause
// of the process is logged; during a pause the process receives no messages.
func (c *Controller) observePause(now time.Time) {
	if pause := c.pauses.Observe(now); pause > 0 {
		c.log.Info("process paused", "pause", pause)
	}
}

// detectPartitions records which zones seem to be partitioned from this controller's zone.
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

// machineSilences lists how long each machine of the shards that this process acts for has been
// silent. It omits machines that may be booting, and machines whose first heartbeat since the
// takeover of their shard is not due yet. If these counted as not silent, the machines of a
// failed controller would hide a partition until this controller had fenced its own machines.
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

// peerStatuses lists the other controllers with their zones and whether they are alive.
func (c *Controller) peerStatuses(now time.Time) []health.PeerStatus {
	statuses := make([]health.PeerStatus, 0, len(c.settings.Peers))
	for _, peer := range c.settings.Peers {
		_, live := c.view.Nodes[peer.Node]
		statuses = append(statuses, health.PeerStatus{Zone: peer.Zone, Live: live || now.Sub(c.membership.lastContact[peer.Node]) < c.policy.NodeLease})
	}
	return statuses
}

// isPartitioned reports whether a zone seemed partitioned within the last agent lease. After a
// partition the zone's agents need a while to reconnect; without the delay their machines
// would be fenced then, because their silence includes the whole partition.
func (c *Controller) isPartitioned(zone string, now time.Time) bool {
	at, seen := c.partitionSeenAt[zone]
	return seen && now.Sub(at) < c.settings.Workers.LeaseDuration
}

// fenceDelay returns how long a machine may be silent before it is fenced: usual, or longer
// while its zone seems partitioned.
func (c *Controller) fenceDelay(machine *replica.Machine, usual time.Duration, now time.Time) time.Duration {
	return health.FenceDelay(usual, c.policy.FencePartitionedAfter, c.isPartitioned(machine.Record.Zone, now))
}

// hasNoContact reports whether this controller has recently had contact neither with the state
// service nor with another controller, so that its view may lack changes, such as
// cancellations, that other controllers have confirmed to users.
func (c *Controller) hasNoContact(now time.Time) bool {
	for name := range c.peerClients {
		if now.Sub(c.membership.lastContact[name]) < peerStatusTTL {
			return false
		}
	}
	return len(c.peerClients) > 0 && c.isStateDown(now)
}

// maxHeartbeatGap returns the longest time between two heartbeats of a healthy machine: the
// heartbeat interval, which varies by up to a quarter, plus a small margin.
func (c *Controller) maxHeartbeatGap() time.Duration {
	return c.settings.Workers.HeartbeatInterval * 13 / 10
}

// receivingSince returns since when this process has been able to receive a machine's heartbeats.
func (c *Controller) receivingSince(machine *replica.Machine) time.Time {
	if resumed := c.pauses.ResumedAt(); resumed.After(machine.AdoptedAt) {
		return resumed
	}
	return machine.AdoptedAt
}

// inContactSince returns since when this process has been in contact with a machine, by its
// heartbeats or only by its answers to probes.
func (c *Controller) inContactSince(machine *replica.Machine) time.Time {
	if since := c.receivingSince(machine); since.After(machine.Agent.ContactRestoredAt) {
		return since
	}
	return machine.Agent.ContactRestoredAt
}

// cannotReport reports whether a machine's heartbeats do not arrive, though it may answer
// direct calls.
func (c *Controller) cannotReport(machine *replica.Machine, now time.Time) bool {
	return health.CannotReport(machine.Agent.LastHeartbeat, c.inContactSince(machine), now, c.settings.Workers.LeaseDuration)
}

// silenceOf returns the time since the last contact with a machine. Time before this process
// adopted the machine and time before the end of the last pause of this process do not count.
func (c *Controller) silenceOf(machine *replica.Machine, now time.Time) time.Duration {
	since := machine.Agent.LastContact
	if receiving := c.receivingSince(machine); receiving.After(since) {
		since = receiving
	}
	return now.Sub(since)
}

// isSelfIsolated reports whether nearly all of a shard's machines are silent at the same time, which
// indicates a fault of this controller's own links. Machines that become unreachable at one
// instant seem silent for different times, because the phases of their heartbeats differ. The
// threshold is therefore only a little more than one heartbeat interval (maxHeartbeatGap), so that
// it is reached before the first machine is due for fencing. The result is cached for one pass.
func (c *Controller) isSelfIsolated(shard *replica.Shard, now time.Time) bool {
	if !shard.IsolationCheckedAt.Equal(now) {
		shard.IsolationCheckedAt, shard.SelfIsolated = now, c.leastLoadedPeer() != "" && c.detectSelfIsolation(shard, c.maxHeartbeatGap(), now)
	}
	return shard.SelfIsolated
}
