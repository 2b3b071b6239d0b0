package controller

import (
	"context"
	"net/http"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

const (
	probeLoopInterval = 300 * time.Millisecond
	// probeTimeout is not a multiple of probeLoopInterval, so that a probe sent in one pass does
	// not time out at the instant of another, when their order would be left to chance.
	probeTimeout = 1480 * time.Millisecond
	// newOwnerFenceFactor multiplies the fence delay of a machine that this process has not
	// been in contact with since it became the shard owner.
	newOwnerFenceFactor = 2
	// selfIsolatedFenceFactor multiplies the fence delay while the silence of a shard's machines
	// seems to be caused by this controller's own links.
	selfIsolatedFenceFactor = 3
)

// probeLoop periodically detects partitions, probes and fences silent machines, updates their
// quarantine, records their images, and enforces cancellations.
func (c *Controller) probeLoop(ctx context.Context) {
	for c.pause(ctx, probeLoopInterval) {
		c.mu.Lock()
		now := time.Now()
		c.observePause(now)
		c.logStateAccess(now)
		c.detectPartitions(now)
		for _, name := range c.view.ShardNames() {
			if shard := c.view.Shards[name]; c.view.IsActive(shard) {
				for _, machine := range shard.Machines {
					c.reconcileMachine(shard, machine, now)
					c.updateQuarantine(machine, now)
				}
				c.recordImages(shard, now)
			}
		}
		c.enforceCancellations(now)
		c.mu.Unlock()
	}
}

// reconcileMachine probes or fences a machine if a probe or a fence is due.
func (c *Controller) reconcileMachine(shard *replica.Shard, machine *replica.Machine, now time.Time) {
	silence := c.silenceOf(machine, now)
	if machine.Agent.Heartbeat == nil {
		c.reconcileWithoutHeartbeat(shard, machine, silence, now)
		return
	}
	if c.shouldProbe(machine, silence, now) {
		c.probeMachine(machine)
	}
	c.voidUnknownStarts(shard, machine)
	switch {
	case c.isUnreachable(shard, machine, silence, now):
		c.log.Info("machine fenced, heartbeats do not arrive", "host", machine.Host)
		c.returnMachine(shard, machine)
	case c.cannotShowToken(shard, machine, now):
		c.log.Info("machine fenced, cannot receive commands", "host", machine.Host)
		c.returnMachine(shard, machine)
	case c.isSilentTooLong(shard, machine, silence, now):
		c.log.Info("machine fenced, silent", "host", machine.Host, "silence", silence)
		c.returnMachine(shard, machine)
	}
}

// reconcileWithoutHeartbeat probes or fences a machine of which this process has no heartbeat
// yet, if a probe or a fence is due. The machine may be booting, or its agent may call another
// controller.
func (c *Controller) reconcileWithoutHeartbeat(shard *replica.Shard, machine *replica.Machine, silence time.Duration, now time.Time) {
	if machine.ListedAddress != "" && silence > c.policy.SuspectAfter && !machine.Detector.Probing {
		c.probeMachine(machine)
	}
	overdue := silence > c.fenceDelay(machine, newOwnerFenceFactor*c.policy.FenceAfter, now)
	if overdue && len(machine.Use.Slots) > 0 && !machine.Lifecycle.Returning {
		c.log.Info("machine fenced, no contact with new owner", "host", machine.Host)
		c.returnMachine(shard, machine)
	}
}

// shouldProbe reports whether to probe a machine of which this process has a heartbeat. A machine
// that cannot report is probed more often, because only its answers show whether its lease has
// expired and which tasks it runs.
func (c *Controller) shouldProbe(machine *replica.Machine, silence time.Duration, now time.Time) bool {
	silent := silence > c.policy.ProbeAfter || machine.Detector.Reachability.ShouldProbe(now, machine.Agent.LastContact)
	due := silent || (silence > c.settings.Workers.HeartbeatInterval/2 && c.cannotReport(machine, now))
	return due && !machine.Detector.Probing
}

// isUnreachable reports whether a machine must be fenced because it answers probes while its
// heartbeats do not arrive. Its lease expires repeatedly, and each time the tasks placed there
// are lost.
func (c *Controller) isUnreachable(shard *replica.Shard, machine *replica.Machine, silence time.Duration, now time.Time) bool {
	answersProbesOnly := health.Unreachable(machine.Agent.LastHeartbeat, c.inContactSince(machine), now, c.settings.Workers.LeaseDuration) && silence <= c.policy.SuspectAfter
	return answersProbesOnly && !machine.Lifecycle.Returning && !c.isSelfIsolated(shard, now) && !c.isStateDown(now) && machine.RunsNothingPlaced()
}

// cannotShowToken reports whether a machine must be fenced because it does not receive the current
// fencing token, without which its heartbeats prove nothing. The tasks placed there are lost,
// because its lease expired while it received nothing.
func (c *Controller) cannotShowToken(shard *replica.Shard, machine *replica.Machine, now time.Time) bool {
	outdated := machine.Detector.Reachability.CannotReceive() && !machine.ShowsToken(shard) && !machine.Lifecycle.Returning
	return outdated && len(machine.Use.Slots) > 0 && !c.isStateDown(now) && machine.RunsNothingPlaced()
}

// isSilentTooLong reports whether a machine must be fenced because it is silent. A probe must have
// failed since the last contact, because heartbeats alone may be delayed.
func (c *Controller) isSilentTooLong(shard *replica.Shard, machine *replica.Machine, silence time.Duration, now time.Time) bool {
	limit := c.silenceLimit(machine, silence, now)
	unanswered := machine.Detector.UnansweredAt.After(machine.Agent.LastContact)
	if silence <= limit || machine.Lifecycle.Returning || !unanswered {
		return false
	}
	if c.isSelfIsolated(shard, now) && silence < selfIsolatedFenceFactor*limit {
		return false // the machine is not fenced yet: the shard is transferred to another controller instead, see shouldGiveAway
	}
	return !c.isStateDown(now) // in an outage no return can be recorded, and contact may be restored before the outage ends
}

// silenceLimit returns how long a machine may be silent before it is fenced.
func (c *Controller) silenceLimit(machine *replica.Machine, silence time.Duration, now time.Time) time.Duration {
	limit := c.policy.FenceAfter
	if silence > c.policy.FenceReplicasAfter && machine.RunsReplicas() {
		limit = c.policy.FenceReplicasAfter
	}
	if !machine.Agent.PreemptionNoticeAt.IsZero() {
		limit = c.policy.SuspectAfter // the machine is a spot instance whose preemption was announced
	}
	return c.fenceDelay(machine, limit, now)
}

// probeMachine requests a heartbeat from a machine's agent. An answer proves that the machine is
// alive even if its heartbeats do not arrive.
func (c *Controller) probeMachine(machine *replica.Machine) {
	machine.Detector.Probing = true
	address, ctx, sentAt, before := machine.Address(), c.ctx, time.Now(), machine.Agent.Heartbeat
	go func() {
		var heartbeat protocol.Heartbeat
		status, err := c.callJSON(ctx, address, http.MethodGet, protocol.PathStatus, nil, &heartbeat, probeTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		machine.Detector.Probing = false
		if err == nil && status == http.StatusOK && heartbeat.Host == machine.Host {
			c.recordProbeAnswer(machine, before, &heartbeat)
		} else {
			c.recordProbeFailure(machine, sentAt)
		}
	}()
}

// recordProbeAnswer records an answer to a probe. before is the machine's newest heartbeat at the
// time when the probe was sent.
func (c *Controller) recordProbeAnswer(machine *replica.Machine, before, heartbeat *protocol.Heartbeat) {
	machine.Detector.Reachability.RecordAnswer(time.Now())
	shard := c.view.Shards[machine.Record.Shard]
	if before != nil && machine.Agent.Heartbeat != nil && machine.Record.State == records.MachineInUse && health.HasRestarted(replica.MessagePositionOf(before), replica.MessagePositionOf(heartbeat)) {
		c.recordRestart(shard, machine, heartbeat)
	} else {
		c.observeHeartbeat(machine, heartbeat)
	}
	if !c.view.IsActive(shard) {
		c.stopCancelledTasks(machine, heartbeat)
		return
	}
	// The machine answers but has not received the current token yet: an earlier owner that is
	// partitioned from the state service and from the other controllers may still answer its agent.
	// Once the machine has received the token, the agent ignores the answers of that owner.
	if machine.Record.State == records.MachineInUse && heartbeat.FencingToken < machine.CommandToken(shard) {
		c.sendCommands(shard, machine)
	}
}

// recordProbeFailure records that a machine did not answer a probe, unless this process was paused
// after it sent the probe and so could not receive the answer.
func (c *Controller) recordProbeFailure(machine *replica.Machine, sentAt time.Time) {
	c.observePause(time.Now())
	if sentAt.After(c.pauses.ResumedAt()) {
		machine.Detector.UnansweredAt = time.Now()
		machine.Detector.Reachability.RecordFailure(machine.Detector.UnansweredAt, machine.Agent.LastContact)
	}
}
