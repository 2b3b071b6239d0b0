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
func (c *Controller) observeHeartbeat(machine *replica.Machine, heartbeat *protocol.Heartbeat) bool {
	if machine.Agent.Heartbeat != nil && (!replica.IncarnationOf(heartbeat).Supersedes(replica.IncarnationOf(machine.Agent.Heartbeat)) || !replica.IncarnationOf(heartbeat).Valid(machine.Agent.MinToken)) {
		return false
	}
	c.recordHeartbeat(machine, heartbeat)
	return true
}

// recordRestart takes the first account of a machine's later life, an answer to a
// direct question. Messages of the former life may still come and look newer: one
// of them could show a task as ended that runs again. So a higher token is shown,
// and until then nothing that the machine says counts.
func (c *Controller) recordRestart(shard *replica.Shard, machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	c.log.Info("agent restarted", "host", machine.Host, "sequence", heartbeat.Sequence, "last_sequence", machine.Agent.Heartbeat.Sequence, "agent_epoch", heartbeat.AgentEpoch)
	machine.Agent.MinToken = max(machine.Agent.MinToken, machine.Agent.Heartbeat.FencingToken, shard.FencingToken)
	shard.NeedsNewToken = true
	machine.Commands.Pending, machine.Agent.RunningSince = nil, make(map[string]time.Time)
	machine.Commands.StartSentAt, machine.Commands.StopSentAt = make(map[string]time.Time), make(map[string]time.Time)
	delete(c.pendingCommands, machine)
	c.recordHeartbeat(machine, heartbeat)
}

func (c *Controller) recordHeartbeat(machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	now := time.Now()
	if machine.Agent.Heartbeat == nil {
		c.recordBoot(machine, now)
	}
	if machine.Agent.Heartbeat != nil && heartbeat.AgentEpoch > machine.Agent.Heartbeat.AgentEpoch {
		machine.Detector.Reachability.RecordNewEpoch(now)
	}
	anew := machine.Agent.Heartbeat == nil || machine.Agent.Heartbeat.FencingToken != heartbeat.FencingToken || machine.Agent.Heartbeat.AgentEpoch != heartbeat.AgentEpoch
	before := machine.Agent.Tasks
	if c.silenceOf(machine, now) > c.policy.SuspectAfter {
		machine.Agent.HeardAgainAt = now // its reports may take a moment longer than its answers
	}
	machine.Agent.Heartbeat, machine.Agent.LastContact = heartbeat, now
	machine.Agent.Tasks = make(map[string]*protocol.TaskStatus, len(heartbeat.Tasks))
	news := anew || len(before) != len(heartbeat.Tasks)
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		machine.Agent.Tasks[status.Task] = status
		if was := before[status.Task]; was == nil || was.Phase != status.Phase || was.Attempt != status.Attempt {
			news = true
		}
		if status.Phase == protocol.TaskRunning || status.Phase == protocol.TaskWaitingForGang {
			if _, ok := machine.Agent.RunningSince[status.Task]; !ok {
				machine.Agent.RunningSince[status.Task] = now
				c.log.Debug("task running", "task", status.Task, "attempt", status.Attempt, "host", machine.Host)
				if spec := c.view.SpecOfTask(status.Task); spec != nil {
					machine.RecordImageUse(spec.Image, spec.ImageGB, c.view.MachineType(machine.Record.Type).ImageCacheGB)
				}
			}
		}
	}
	for task := range machine.Agent.RunningSince {
		if _, ok := machine.Agent.Tasks[task]; !ok {
			delete(machine.Agent.RunningSince, task)
		}
	}
	machine.Commands.Unknown = slices.DeleteFunc(machine.Commands.Unknown, func(u replica.UnknownStart) bool {
		return heartbeat.FencingToken > u.FencingToken || heartbeat.AgentEpoch > u.AgentEpoch
	})
	if heartbeat.PreemptionNoticeS != nil && machine.Agent.PreemptionNoticeAt.IsZero() {
		machine.Agent.PreemptionNoticeAt = now
		c.log.Info("spot preemption notice", "host", machine.Host, "seconds", *heartbeat.PreemptionNoticeS)
	}
	// Only claims about which the report says something new are looked at, and
	// those it does not mention.
	for name, slot := range machine.Use.Slots {
		was, is := before[name], machine.Agent.Tasks[name]
		if anew || is == nil || was == nil || was.Phase != is.Phase || was.Attempt != is.Attempt {
			c.view.MarkDirty(slot.Claim)
		}
	}
	if news {
		machine.Capacity.Stale, machine.Capacity.DetailsStale = true, true
		c.view.Shard(machine.Record.Shard).Changed = true
		c.wake()
	}
}

// handleHeartbeat answers a worker.
func (c *Controller) handleHeartbeat(body []byte, reply func(transport.Response)) {
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	c.mu.Lock()
	c.observePause(time.Now())
	resp := c.respondToHeartbeat(heartbeat)
	c.mu.Unlock()
	reply(resp)
}

func (c *Controller) respondToHeartbeat(heartbeat *protocol.Heartbeat) transport.Response {
	if !c.view.Loaded {
		if kept, ok := c.extendLeaseUnread(heartbeat, time.Now()); ok {
			return kept
		}
		return unavailable(1)
	}
	machine := c.view.Machines[heartbeat.Host]
	if machine == nil {
		c.noteUnrecorded(heartbeat.Host, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
		if _, live := c.view.Nodes[c.leadership.node]; live && c.leadership.node != c.settings.NodeName {
			return redirectTo(c.leadership.node)
		}
		return unavailable(1)
	}
	if machine.Record.State != "" {
		return misdirected
	}
	shard := c.view.Shards[machine.Record.Shard]
	if shard != nil && shard.NewOwner != "" {
		return redirectTo(shard.NewOwner)
	}
	if shard == nil || shard.FencingToken == 0 {
		if shard != nil && shard.Record != nil && shard.Record.Owner != c.settings.NodeName {
			if kept, ok := c.extendLease(shard, heartbeat, time.Now()); ok {
				return kept
			}
			if _, live := c.view.Nodes[shard.Record.Owner]; live {
				return redirectTo(shard.Record.Owner)
			}
		}
		return unavailable(1)
	}
	if heartbeat.FencingToken > shard.FencingToken {
		// Someone else owns the shard by now. A 200 would hold the worker here
		// while its lease runs out.
		return misdirected
	}
	doubtful := machine.Agent.Heartbeat != nil && health.MayBeRestarted(replica.IncarnationOf(machine.Agent.Heartbeat), replica.IncarnationOf(heartbeat))
	if doubtful && !machine.Detector.Probing {
		c.probeMachine(machine)
	}
	answer := protocol.HeartbeatResponse{FencingToken: shard.FencingToken, Commands: []protocol.Command{}}
	// What a message from who knows when says is no ground for orders, and what was
	// said before it may be of a former life.
	if !doubtful && c.observeHeartbeat(machine, heartbeat) {
		machine.Agent.LastHeartbeat = time.Now()
	}
	if !doubtful && c.view.IsActive(shard) {
		answer.Commands = append(answer.Commands, c.cleanupCommands(shard, machine)...)
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
func (c *Controller) cleanupCommands(shard *replica.Shard, machine *replica.Machine) []protocol.Command {
	var out []protocol.Command
	if !machine.ShowsToken(shard) && machine.Agent.Heartbeat.FencingToken != 0 && machine.Agent.Heartbeat.FencingToken < shard.FencingToken {
		// The worker has yet to show the token; wait for its next account.
		return nil
	}
	now := time.Now()
	for i := range machine.Agent.Heartbeat.Tasks {
		status := &machine.Agent.Heartbeat.Tasks[i]
		claim, placement := c.view.PlacementOf(machine, status.Task)
		if placement != nil && placement.Attempt == status.Attempt {
			if grace, stop := c.shouldStop(claim, placement, now); stop && status.Phase != protocol.TaskExited && (status.Phase != protocol.TaskCheckpointing || grace == 0) {
				out = append(out, protocol.StopCommand(status.Task, status.Attempt, grace))
			} else if !stop && status.Phase == protocol.TaskExited && status.Cause == protocol.CauseGangTimeout && !machine.HasUnconfirmedStart(status.Task, status.Attempt) {
				out = append(out, protocol.ReapCommand(status.Task, status.Attempt)) // to start again
			}
			continue
		}
		if status.Phase != protocol.TaskExited {
			out = append(out, protocol.StopCommand(status.Task, status.Attempt, 0))
			continue
		}
		if machine.HasUnconfirmedStart(status.Task, status.Attempt) {
			shard.RequestNewToken(machine)
			continue
		}
		out = append(out, protocol.ReapCommand(status.Task, status.Attempt))
	}
	return out
}
