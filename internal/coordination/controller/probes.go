package controller

import (
	"context"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// probeLoop asks silent machines directly and fences those that stay silent.
func (n *Controller) probeLoop(ctx context.Context) {
	for n.pause(ctx, 300*time.Millisecond) {
		n.mu.Lock()
		now := time.Now()
		n.observePause(now)
		n.detectPartitions(now)
		for _, name := range n.view.ShardNames() {
			if s := n.view.Shards[name]; n.view.IsActive(s) {
				for _, m := range s.Machines {
					n.reconcileMachine(s, m, now)
					n.updateQuarantine(m, now)
				}
				n.recordImages(s, now)
			}
		}
		n.enforceCancellations(now)
		n.mu.Unlock()
	}
}

func (n *Controller) reconcileMachine(s *replica.Shard, m *replica.Machine, now time.Time) {
	quiet := n.silenceOf(m, now)
	if m.Agent.Heartbeat == nil {
		// Not heard by this process yet: it may be booting, or report elsewhere.
		if m.ListedAddress != "" && quiet > n.policy.SuspectAfter && !m.Detector.Probing {
			n.probeMachine(m)
		}
		if quiet > n.fenceDelay(m, 2*n.policy.FenceAfter, now) && len(m.Use.Slots) > 0 && !m.Lifecycle.Returning {
			n.log.Info("fencing a machine that does not come to its new owner", "host", m.Host)
			n.returnMachine(s, m)
		}
		return
	}
	// A mute one tells only when asked that its lease has ended, with what it ran.
	if (quiet > n.policy.ProbeAfter || m.Detector.Reachability.ShouldProbe(now, m.Agent.LastContact) || (quiet > n.settings.Workers.HeartbeatInterval/2 && n.cannotReport(m, now))) && !m.Detector.Probing {
		n.probeMachine(m)
	}
	s.RequestNewToken(m)
	if health.Unreachable(m.Agent.LastHeartbeat, n.hearingSince(m), now, n.settings.Workers.LeaseDuration) && quiet <= n.policy.SuspectAfter && !m.Lifecycle.Returning && !n.isOwnFault(s, now) && !n.isStateDown(now) && m.RunsNothingPlaced() {
		// It answers, but its lease ends again and again, with all that it is given.
		n.log.Info("fencing a machine whose reports do not arrive", "host", m.Host)
		n.returnMachine(s, m)
		return
	}
	if m.Detector.Reachability.CannotReceive() && !m.ShowsToken(s) && !m.Lifecycle.Returning && len(m.Use.Slots) > 0 && !n.isStateDown(now) && m.RunsNothingPlaced() {
		// It can't be shown the token, so nothing it says proves anything, and what was
		// placed there is not there any more: its lease has run out while it did not hear.
		n.log.Info("fencing a machine that does not hear and has lost what it ran", "host", m.Host)
		n.returnMachine(s, m)
		return
	}
	fence := n.policy.FenceAfter
	if quiet > n.policy.FenceReplicasAfter && m.RunsReplicas() {
		fence = n.policy.FenceReplicasAfter
	}
	if !m.Agent.PreemptionNoticeAt.IsZero() {
		fence = n.policy.SuspectAfter // it was announced to go
	}
	fence = n.fenceDelay(m, fence, now)
	// A direct question must have failed since: reports alone may be held up.
	if quiet <= fence || m.Lifecycle.Returning || !m.Detector.UnansweredAt.After(m.Agent.LastContact) {
		return
	}
	if n.isOwnFault(s, now) && quiet < 3*fence {
		return // isCutOff deals with it
	}
	if n.isStateDown(now) {
		return // nothing can be recorded now; it may be heard before that changes
	}
	n.log.Info("fencing a silent machine", "host", m.Host, "silent", quiet)
	n.returnMachine(s, m)
}

// probeTimeout is no multiple of the probe loop's period: whether a probe ended
// before or after the pass at the same instant would be left to chance.
const probeTimeout = 1480 * time.Millisecond

// probeMachine asks a machine for its account. An answer proves it alive even when
// its reports do not arrive.
func (n *Controller) probeMachine(m *replica.Machine) {
	m.Detector.Probing = true
	addr, ctx, began, before := m.Address(), n.ctx, time.Now(), m.Agent.Heartbeat
	go func() {
		var r protocol.Heartbeat
		status, err := n.callJSON(ctx, addr, "GET", protocol.PathStatus, nil, &r, probeTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		m.Detector.Probing = false
		if err == nil && status == 200 && r.Host == m.Host {
			m.Detector.Reachability.RecordAnswer(time.Now())
			if s := n.view.Shards[m.Record.Shard]; before != nil && m.Agent.Heartbeat != nil && m.Record.State == "" && health.HasRestarted(replica.IncarnationOf(before), replica.IncarnationOf(&r)) {
				n.recordRestart(s, m, &r)
			} else {
				n.observeHeartbeat(m, &r)
			}
			// It answers and has yet to see the token: its worker may be held by an
			// earlier owner, which the state service and the others do not reach. Once
			// it has seen the token, no answer of that one counts any more.
			s := n.view.Shards[m.Record.Shard]
			if n.view.IsActive(s) && m.Record.State == "" && r.FencingToken < s.FencingToken {
				n.sendCommands(s, m)
			}
			if !n.view.IsActive(s) {
				n.stopCancelledTasks(m, &r)
			}
			return
		}
		n.observePause(time.Now())
		if began.After(n.pauses.ResumedAt()) {
			m.Detector.UnansweredAt = time.Now() // else nobody was there to hear the answer
			m.Detector.Reachability.RecordFailure(m.Detector.UnansweredAt, m.Agent.LastContact)
		}
	}()
}
