package controller

import (
	"context"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// probeLoop asks silent machines directly and fences those that stay silent.
func (c *Controller) probeLoop(ctx context.Context) {
	for c.pause(ctx, 300*time.Millisecond) {
		c.mu.Lock()
		now := time.Now()
		c.observePause(now)
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

func (c *Controller) reconcileMachine(shard *replica.Shard, machine *replica.Machine, now time.Time) {
	quiet := c.silenceOf(machine, now)
	if machine.Agent.Heartbeat == nil {
		// Not heard by this process yet: it may be booting, or report elsewhere.
		if machine.ListedAddress != "" && quiet > c.policy.SuspectAfter && !machine.Detector.Probing {
			c.probeMachine(machine)
		}
		if quiet > c.fenceDelay(machine, 2*c.policy.FenceAfter, now) && len(machine.Use.Slots) > 0 && !machine.Lifecycle.Returning {
			c.log.Info("machine fenced, not heard by its new owner", "host", machine.Host)
			c.returnMachine(shard, machine)
		}
		return
	}
	// A mute one tells only when asked that its lease has ended, with what it ran.
	if (quiet > c.policy.ProbeAfter || machine.Detector.Reachability.ShouldProbe(now, machine.Agent.LastContact) || (quiet > c.settings.Workers.HeartbeatInterval/2 && c.cannotReport(machine, now))) && !machine.Detector.Probing {
		c.probeMachine(machine)
	}
	shard.RequestNewToken(machine)
	if health.Unreachable(machine.Agent.LastHeartbeat, c.hearingSince(machine), now, c.settings.Workers.LeaseDuration) && quiet <= c.policy.SuspectAfter && !machine.Lifecycle.Returning && !c.isOwnFault(shard, now) && !c.isStateDown(now) && machine.RunsNothingPlaced() {
		// It answers, but its lease ends again and again, with all that it is given.
		c.log.Info("machine fenced, heartbeats do not arrive", "host", machine.Host)
		c.returnMachine(shard, machine)
		return
	}
	if machine.Detector.Reachability.CannotReceive() && !machine.ShowsToken(shard) && !machine.Lifecycle.Returning && len(machine.Use.Slots) > 0 && !c.isStateDown(now) && machine.RunsNothingPlaced() {
		// It can't be shown the token, so nothing it says proves anything, and what was
		// placed there is not there any more: its lease has run out while it did not hear.
		c.log.Info("machine fenced, cannot receive commands", "host", machine.Host)
		c.returnMachine(shard, machine)
		return
	}
	fence := c.policy.FenceAfter
	if quiet > c.policy.FenceReplicasAfter && machine.RunsReplicas() {
		fence = c.policy.FenceReplicasAfter
	}
	if !machine.Agent.PreemptionNoticeAt.IsZero() {
		fence = c.policy.SuspectAfter // it was announced to go
	}
	fence = c.fenceDelay(machine, fence, now)
	// A direct question must have failed since: reports alone may be held up.
	if quiet <= fence || machine.Lifecycle.Returning || !machine.Detector.UnansweredAt.After(machine.Agent.LastContact) {
		return
	}
	if c.isOwnFault(shard, now) && quiet < 3*fence {
		return // isCutOff deals with it
	}
	if c.isStateDown(now) {
		return // nothing can be recorded now; it may be heard before that changes
	}
	c.log.Info("machine fenced, silent", "host", machine.Host, "silence", quiet)
	c.returnMachine(shard, machine)
}

// probeTimeout is no multiple of the probe loop's period: whether a probe ended
// before or after the pass at the same instant would be left to chance.
const probeTimeout = 1480 * time.Millisecond

// probeMachine asks a machine for its account. An answer proves it alive even when
// its reports do not arrive.
func (c *Controller) probeMachine(machine *replica.Machine) {
	machine.Detector.Probing = true
	addr, ctx, began, before := machine.Address(), c.ctx, time.Now(), machine.Agent.Heartbeat
	go func() {
		var heartbeat protocol.Heartbeat
		status, err := c.callJSON(ctx, addr, "GET", protocol.PathStatus, nil, &heartbeat, probeTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		machine.Detector.Probing = false
		if err == nil && status == 200 && heartbeat.Host == machine.Host {
			machine.Detector.Reachability.RecordAnswer(time.Now())
			if shard := c.view.Shards[machine.Record.Shard]; before != nil && machine.Agent.Heartbeat != nil && machine.Record.State == "" && health.HasRestarted(replica.IncarnationOf(before), replica.IncarnationOf(&heartbeat)) {
				c.recordRestart(shard, machine, &heartbeat)
			} else {
				c.observeHeartbeat(machine, &heartbeat)
			}
			// It answers and has yet to see the token: its worker may be held by an
			// earlier owner, which the state service and the others do not reach. Once
			// it has seen the token, no answer of that one counts any more.
			shard := c.view.Shards[machine.Record.Shard]
			if c.view.IsActive(shard) && machine.Record.State == "" && heartbeat.FencingToken < shard.FencingToken {
				c.sendCommands(shard, machine)
			}
			if !c.view.IsActive(shard) {
				c.stopCancelledTasks(machine, &heartbeat)
			}
			return
		}
		c.observePause(time.Now())
		if began.After(c.pauses.ResumedAt()) {
			machine.Detector.UnansweredAt = time.Now() // else nobody was there to hear the answer
			machine.Detector.Reachability.RecordFailure(machine.Detector.UnansweredAt, machine.Agent.LastContact)
		}
	}()
}
