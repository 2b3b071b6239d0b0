package controller

import (
	"slices"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// observeHeartbeat takes a worker's account, from a report or a direct answer. It
// returns false when a newer one was seen before, or it may be of a former life.
func (n *Controller) observeHeartbeat(m *replica.Machine, r *protocol.Heartbeat) bool {
	if m.Agent.Heartbeat != nil && (!replica.IncarnationOf(r).Supersedes(replica.IncarnationOf(m.Agent.Heartbeat)) || !replica.IncarnationOf(r).Valid(m.Agent.MinToken)) {
		return false
	}
	n.recordHeartbeat(m, r)
	return true
}

// recordRestart takes the first account of a machine's later life, an answer to a
// direct question. Messages of the former life may still come and look newer: one
// of them could show a task as ended that runs again. So a higher token is shown,
// and until then nothing that the machine says counts.
func (n *Controller) recordRestart(s *replica.Shard, m *replica.Machine, r *protocol.Heartbeat) {
	n.log.Info("machine began again", "host", m.Host, "seq", r.Sequence, "was", m.Agent.Heartbeat.Sequence, "session", r.AgentEpoch)
	m.Agent.MinToken = max(m.Agent.MinToken, m.Agent.Heartbeat.FencingToken, s.FencingToken)
	s.NeedsNewToken = true
	m.Commands.Pending, m.Agent.RunningSince = nil, make(map[string]time.Time)
	m.Commands.StartSentAt, m.Commands.StopSentAt = make(map[string]time.Time), make(map[string]time.Time)
	delete(n.pendingCommands, m)
	n.recordHeartbeat(m, r)
}

func (n *Controller) recordHeartbeat(m *replica.Machine, r *protocol.Heartbeat) {
	now := time.Now()
	if m.Agent.Heartbeat == nil {
		n.recordBoot(m, now)
	}
	if m.Agent.Heartbeat != nil && r.AgentEpoch > m.Agent.Heartbeat.AgentEpoch {
		m.Detector.Reachability.RecordNewEpoch(now)
	}
	anew := m.Agent.Heartbeat == nil || m.Agent.Heartbeat.FencingToken != r.FencingToken || m.Agent.Heartbeat.AgentEpoch != r.AgentEpoch
	before := m.Agent.Tasks
	if n.silenceOf(m, now) > n.policy.SuspectAfter {
		m.Agent.HeardAgainAt = now // its reports may take a moment longer than its answers
	}
	m.Agent.Heartbeat, m.Agent.LastContact = r, now
	m.Agent.Tasks = make(map[string]*protocol.TaskStatus, len(r.Tasks))
	news := anew || len(before) != len(r.Tasks)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		m.Agent.Tasks[t.Task] = t
		if was := before[t.Task]; was == nil || was.Phase != t.Phase || was.Attempt != t.Attempt {
			news = true
		}
		if t.Phase == protocol.TaskRunning || t.Phase == protocol.TaskWaitingForGang {
			if _, ok := m.Agent.RunningSince[t.Task]; !ok {
				m.Agent.RunningSince[t.Task] = now
				n.log.Debug("task runs", "task", t.Task, "try", t.Attempt, "host", m.Host)
				if spec := n.view.SpecOfTask(t.Task); spec != nil {
					m.RecordImageUse(spec.Image, spec.ImageGB, n.view.MachineType(m.Record.Type).ImageCacheGB)
				}
			}
		}
	}
	for task := range m.Agent.RunningSince {
		if _, ok := m.Agent.Tasks[task]; !ok {
			delete(m.Agent.RunningSince, task)
		}
	}
	m.Commands.Unknown = slices.DeleteFunc(m.Commands.Unknown, func(u replica.UnknownStart) bool {
		return r.FencingToken > u.FencingToken || r.AgentEpoch > u.AgentEpoch
	})
	if r.PreemptionNoticeS != nil && m.Agent.PreemptionNoticeAt.IsZero() {
		m.Agent.PreemptionNoticeAt = now
		n.log.Info("spot notice", "host", m.Host, "seconds", *r.PreemptionNoticeS)
	}
	// Only claims about which the report says something new are looked at, and
	// those it does not mention.
	for name, p := range m.Use.Slots {
		was, is := before[name], m.Agent.Tasks[name]
		if anew || is == nil || was == nil || was.Phase != is.Phase || was.Attempt != is.Attempt {
			n.view.MarkDirty(p.Claim)
		}
	}
	if news {
		m.Capacity.Stale, m.Capacity.DetailsStale = true, true
		n.view.Shard(m.Record.Shard).Changed = true
		n.wake()
	}
}

// handleHeartbeat answers a worker.
func (n *Controller) handleHeartbeat(body []byte, reply func(transport.Response)) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	n.mu.Lock()
	n.observePause(time.Now())
	resp := n.respondToHeartbeat(r)
	n.mu.Unlock()
	reply(resp)
}

func (n *Controller) respondToHeartbeat(r *protocol.Heartbeat) transport.Response {
	if !n.view.Loaded {
		if kept, ok := n.extendLeaseUnread(r, time.Now()); ok {
			return kept
		}
		return unavailable(1)
	}
	m := n.view.Machines[r.Host]
	if m == nil {
		n.noteUnrecorded(r.Host, r.Type, r.Zone, r.Spot)
		if _, live := n.view.Nodes[n.leadership.node]; live && n.leadership.node != n.settings.NodeName {
			return redirectTo(n.leadership.node)
		}
		return unavailable(1)
	}
	if m.Record.State != "" {
		return misdirected
	}
	s := n.view.Shards[m.Record.Shard]
	if s != nil && s.NewOwner != "" {
		return redirectTo(s.NewOwner)
	}
	if s == nil || s.FencingToken == 0 {
		if s != nil && s.Record != nil && s.Record.Owner != n.settings.NodeName {
			if kept, ok := n.extendLease(s, r, time.Now()); ok {
				return kept
			}
			if _, live := n.view.Nodes[s.Record.Owner]; live {
				return redirectTo(s.Record.Owner)
			}
		}
		return unavailable(1)
	}
	if r.FencingToken > s.FencingToken {
		// Someone else owns the shard by now. A 200 would hold the worker here
		// while its lease runs out.
		return misdirected
	}
	doubtful := m.Agent.Heartbeat != nil && health.MayBeRestarted(replica.IncarnationOf(m.Agent.Heartbeat), replica.IncarnationOf(r))
	if doubtful && !m.Detector.Probing {
		n.probeMachine(m)
	}
	answer := protocol.HeartbeatResponse{FencingToken: s.FencingToken, Commands: []protocol.Command{}}
	// What a message from who knows when says is no ground for orders, and what was
	// said before it may be of a former life.
	if !doubtful && n.observeHeartbeat(m, r) {
		m.Agent.LastHeartbeat = time.Now()
	}
	if !doubtful && n.view.IsActive(s) {
		answer.Commands = append(answer.Commands, n.cleanupCommands(s, m)...)
	}
	b, err := protocol.Encode(answer)
	if err != nil {
		return unavailable(1)
	}
	return transport.Response{Status: 200, Body: b}
}

// cleanupCommands is what a report's answer orders: an end to what should not
// run, and the reaping of what has exited and is booked. Commands in answers
// are never executed late, which is why reaps go nowhere else.
func (n *Controller) cleanupCommands(s *replica.Shard, m *replica.Machine) []protocol.Command {
	var out []protocol.Command
	if !m.ShowsToken(s) && m.Agent.Heartbeat.FencingToken != 0 && m.Agent.Heartbeat.FencingToken < s.FencingToken {
		// The worker has yet to show the token; wait for its next account.
		return nil
	}
	now := time.Now()
	for i := range m.Agent.Heartbeat.Tasks {
		t := &m.Agent.Heartbeat.Tasks[i]
		c, p := n.view.PlacementOf(m, t.Task)
		if p != nil && p.Attempt == t.Attempt {
			if grace, stop := n.shouldStop(c, p, now); stop && t.Phase != protocol.TaskExited && (t.Phase != protocol.TaskCheckpointing || grace == 0) {
				out = append(out, protocol.StopCommand(t.Task, t.Attempt, grace))
			} else if !stop && t.Phase == protocol.TaskExited && t.Cause == protocol.CauseGangTimeout && !m.HasUnconfirmedStart(t.Task, t.Attempt) {
				out = append(out, protocol.ReapCommand(t.Task, t.Attempt)) // to start again
			}
			continue
		}
		if t.Phase != protocol.TaskExited {
			out = append(out, protocol.StopCommand(t.Task, t.Attempt, 0))
			continue
		}
		if m.HasUnconfirmedStart(t.Task, t.Attempt) {
			s.RequestNewToken(m)
			continue
		}
		out = append(out, protocol.ReapCommand(t.Task, t.Attempt))
	}
	return out
}
