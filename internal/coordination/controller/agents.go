package controller

import (
	"net/http"
	"slices"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// heartbeatRetrySeconds is after how many seconds an agent repeats a heartbeat that cannot be
// processed now.
const heartbeatRetrySeconds = 1

// observeHeartbeat records an agent's heartbeat, whether it is a request of the agent or the answer
// to a direct call. It records nothing and returns false if a newer heartbeat is already recorded or
// if the heartbeat may be of an earlier incarnation of the agent.
func (c *Controller) observeHeartbeat(machine *replica.Machine, heartbeat *protocol.Heartbeat) bool {
	if machine.Agent.Heartbeat != nil {
		position := replica.MessagePositionOf(heartbeat)
		if !position.Supersedes(replica.MessagePositionOf(machine.Agent.Heartbeat)) || !position.Valid(machine.Agent.MinToken) {
			return false
		}
	}
	c.recordHeartbeat(machine, heartbeat)
	return true
}

// recordRestart records the answer to a direct call that proves that a machine has restarted.
// Messages of the earlier incarnation may still arrive and look newer than those of the present
// incarnation: such a message could show a task as exited that runs again. So the machine's token
// is raised, and its further messages are ignored until it shows the new token. Tasks that are
// not placed there were begun by a late copy of a start, and are stopped at once.
func (c *Controller) recordRestart(shard *replica.Shard, machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	c.log.Info("agent restarted", "host", machine.Host, "sequence", heartbeat.Sequence, "last_sequence", machine.Agent.Heartbeat.Sequence, "agent_epoch", heartbeat.AgentEpoch)
	machine.Agent.MinToken = max(machine.Agent.MinToken, machine.Agent.Heartbeat.FencingToken, machine.CommandToken(shard))
	if !c.view.RaiseToken(shard, machine, machine.Agent.MinToken) {
		shard.RenewToken(replica.RenewalRestart)
	}
	machine.Commands.Pending, machine.Agent.RunningSince = nil, make(map[string]time.Time)
	machine.Agent.LastPosition, machine.Commands.Request = health.MessagePosition{}, replica.HeartbeatRequest{}
	machine.Commands.StopSentAt = make(map[string]time.Time)
	delete(c.pendingCommands, machine)
	c.recordHeartbeat(machine, heartbeat)
	if c.view.IsActive(shard) {
		c.queueCommands(shard, machine, c.stopsOfUnplaced(machine)...)
	}
}

// placementOfStatus returns the claim and the placement of the attempt that a machine shows, or nil if
// that attempt is not placed there.
func (c *Controller) placementOfStatus(machine *replica.Machine, status *protocol.TaskStatus) (*replica.Claim, *records.Placement) {
	claim, placement := c.view.PlacementOf(machine, status.Task)
	if placement == nil || placement.Attempt != status.Attempt {
		return nil, nil
	}
	return claim, placement
}

// stopsOfUnplaced returns a stop for each task that a machine shows and that is not placed there.
// An attempt that is not placed is never placed later, so the stops are correct at any time.
func (c *Controller) stopsOfUnplaced(machine *replica.Machine) []protocol.Command {
	var stops []protocol.Command
	for i := range machine.Agent.Heartbeat.Tasks {
		status := &machine.Agent.Heartbeat.Tasks[i]
		if _, placement := c.placementOfStatus(machine, status); placement == nil && status.Phase != protocol.TaskExited {
			stops = append(stops, protocol.StopCommand(status.Task, status.Attempt, 0))
		}
	}
	return stops
}

// recordHeartbeat stores a heartbeat as the newest of its machine and marks the claims that must
// be reconciled because of it.
func (c *Controller) recordHeartbeat(machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	now := time.Now()
	previous, previousTasks := machine.Agent.Heartbeat, machine.Agent.Tasks
	if previous == nil {
		c.recordBoot(machine, now)
	}
	if previous != nil && heartbeat.AgentEpoch > previous.AgentEpoch {
		machine.Detector.Reachability.RecordNewEpoch(now)
	}
	if c.silenceOf(machine, now) > c.policy.SuspectAfter {
		machine.Agent.ContactRestoredAt = now // contact may be restored by a probe before heartbeats arrive: their absence counts against the machine only from now on
	}
	machine.Commands.Request.Listed = heartbeat.TakeHeartbeatRequest()
	machine.Agent.Heartbeat, machine.Agent.LastContact = heartbeat, now
	c.recordTaskStatuses(machine, heartbeat, now)
	machine.Commands.ForgetRefused(heartbeat)
	if heartbeat.PreemptionNoticeS != nil && machine.Agent.PreemptionNoticeAt.IsZero() {
		machine.Agent.PreemptionNoticeAt = now
		c.log.Info("spot preemption notice", "host", machine.Host, "seconds", *heartbeat.PreemptionNoticeS)
	}
	c.markChangedTasks(machine, previous, previousTasks)
}

// recordTaskStatuses replaces the recorded task statuses of a machine with those of a heartbeat.
func (c *Controller) recordTaskStatuses(machine *replica.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	machine.Agent.Tasks = make(map[string]*protocol.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		machine.Agent.Tasks[status.Task] = status
		if status.Phase == protocol.TaskRunning || status.Phase == protocol.TaskWaitingForGang {
			c.recordRunning(machine, status, now)
		}
	}
	for task := range machine.Agent.RunningSince {
		if _, ok := machine.Agent.Tasks[task]; !ok {
			delete(machine.Agent.RunningSince, task)
		}
	}
}

// recordRunning records when a task was first reported as running, and that the machine's cache
// holds the task's image.
func (c *Controller) recordRunning(machine *replica.Machine, status *protocol.TaskStatus, now time.Time) {
	if _, known := machine.Agent.RunningSince[status.Task]; known {
		return
	}
	machine.Agent.RunningSince[status.Task] = now
	c.log.Debug("task running", "task", status.Task, "attempt", status.Attempt, "host", machine.Host)
	if spec := c.view.SpecOfTask(status.Task); spec != nil {
		machine.RecordImageUse(spec.Image, spec.ImageGB, c.view.MachineType(machine.Record.Type).ImageCacheGB)
	}
}

// markChangedTasks marks as dirty the claims of tasks whose phase, attempt or presence differs
// between the newest heartbeat and the previous one. A new fencing token or agent epoch marks
// the claims of all tasks of the machine. After any change the machine's free capacity is
// computed again.
func (c *Controller) markChangedTasks(machine *replica.Machine, previous *protocol.Heartbeat, previousTasks map[string]*protocol.TaskStatus) {
	heartbeat := machine.Agent.Heartbeat
	newEpoch := previous == nil || previous.FencingToken != heartbeat.FencingToken || previous.AgentEpoch != heartbeat.AgentEpoch
	for name, slot := range machine.Use.Slots {
		if newEpoch || hasStatusChanged(previousTasks[name], machine.Agent.Tasks[name]) {
			c.view.MarkDirty(slot.Claim)
		}
	}
	changed := newEpoch || len(previousTasks) != len(heartbeat.Tasks) || slices.ContainsFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool {
		return hasStatusChanged(previousTasks[status.Task], &status)
	})
	if changed {
		machine.Capacity.Stale, machine.Capacity.DetailsStale = true, true
		c.view.Shard(machine.Record.Shard).Changed = true
		c.wake()
	}
}

// hasStatusChanged reports whether the phase or attempt of a task differs between two
// heartbeats. A nil status, of a task that a heartbeat does not list, counts as a change.
func hasStatusChanged(before, after *protocol.TaskStatus) bool {
	return before == nil || after == nil || before.Phase != after.Phase || before.Attempt != after.Attempt
}

// handleHeartbeat decodes an agent's heartbeat and answers it as respondToHeartbeat decides.
func (c *Controller) handleHeartbeat(body []byte, reply func(transport.Response)) {
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	c.mu.Lock()
	c.observePause(time.Now())
	response := c.respondToHeartbeat(heartbeat)
	c.mu.Unlock()
	reply(response)
}

// respondToHeartbeat accepts a heartbeat of a machine whose shard this process owns. Otherwise it
// redirects the agent to the shard's owner, extends the agent's lease, or answers
// with an error.
func (c *Controller) respondToHeartbeat(heartbeat *protocol.Heartbeat) transport.Response {
	if !c.view.Loaded {
		if extension, ok := c.extendLeaseWithoutRecords(heartbeat, time.Now()); ok {
			return extension
		}
		return unavailable(heartbeatRetrySeconds)
	}
	machine := c.view.Machines[heartbeat.Host]
	if machine == nil {
		return c.respondToUnrecorded(heartbeat)
	}
	if machine.Record.State != records.MachineInUse {
		return misdirected
	}
	shard := c.view.Shards[machine.Record.Shard]
	switch {
	case shard == nil:
		return unavailable(heartbeatRetrySeconds)
	case shard.NewOwner != "":
		return redirectTo(shard.NewOwner)
	case shard.FencingToken == 0:
		return c.respondWithoutToken(shard, heartbeat)
	case heartbeat.FencingToken > c.view.OwnedRevision(shard):
		// The agent has a newer token, so another controller has acquired the shard. A response
		// with status 200 would keep the agent with this controller until the lease of this
		// controller expires.
		return misdirected
	}
	return c.acceptHeartbeat(shard, machine, heartbeat)
}

// respondToUnrecorded answers the agent of a machine without a record. Only the leader records
// such machines, so the agent is redirected to the leader if that is another live controller.
func (c *Controller) respondToUnrecorded(heartbeat *protocol.Heartbeat) transport.Response {
	c.addUnrecorded(heartbeat.Host, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if _, live := c.view.Nodes[c.leadership.node]; live && c.leadership.node != c.settings.NodeName {
		return redirectTo(c.leadership.node)
	}
	return unavailable(heartbeatRetrySeconds)
}

// respondWithoutToken answers the agent of a machine whose shard this process does not own.
func (c *Controller) respondWithoutToken(shard *replica.Shard, heartbeat *protocol.Heartbeat) transport.Response {
	if shard.Record != nil && shard.Record.Owner != c.settings.NodeName {
		if extension, ok := c.extendLease(shard, heartbeat, time.Now()); ok {
			return extension
		}
		if _, live := c.view.Nodes[shard.Record.Owner]; live {
			return redirectTo(shard.Record.Owner)
		}
	}
	return unavailable(heartbeatRetrySeconds)
}

// acceptHeartbeat records a heartbeat and answers with the machine's cleanup commands and the starts
// of the tasks that are placed there and not shown.
func (c *Controller) acceptHeartbeat(shard *replica.Shard, machine *replica.Machine, heartbeat *protocol.Heartbeat) transport.Response {
	mayBeRestarted := machine.Agent.Heartbeat != nil && health.MayBeRestarted(replica.MessagePositionOf(machine.Agent.Heartbeat), replica.MessagePositionOf(heartbeat))
	if mayBeRestarted && !machine.Detector.Probing {
		c.probeMachine(machine)
	}
	machine.Commands.Token = max(machine.Commands.Token, heartbeat.FencingToken)
	answer := protocol.HeartbeatResponse{Commands: []protocol.Command{}}
	// If the agent may have restarted, this heartbeat may be late or the recorded one may be of
	// an earlier incarnation. Neither is a basis for commands.
	isNext := false
	if !mayBeRestarted {
		c.observeHeartbeat(machine, heartbeat)
		isNext = recordArrival(machine, heartbeat, time.Now())
	}
	if !mayBeRestarted && c.view.IsActive(shard) {
		answer.Commands = append(answer.Commands, c.cleanupCommands(shard, machine)...)
	}
	answer.FencingToken = machine.CommandToken(shard)
	if isNext && c.view.IsActive(shard) {
		starts := c.startCommands(shard, machine, time.Now())
		machine.Commands.RecordAnsweredStarts(starts, answer.FencingToken, heartbeat, time.Now())
		answer.Commands = append(answer.Commands, starts...)
	}
	if len(answer.Commands) > 0 {
		shard.Counts.Add(answer.Commands)
		c.log.Debug("commands answered", "host", machine.Host, "token", answer.FencingToken, "agent_epoch", heartbeat.AgentEpoch, "sequence", heartbeat.Sequence, "revision", c.view.Revision, "commands", answer.Commands)
	}
	body, err := protocol.Encode(answer)
	if err != nil {
		return unavailable(heartbeatRetrySeconds)
	}
	return transport.Response{Status: http.StatusOK, Body: body}
}

// cleanupCommands returns the commands of the answer to a heartbeat: a stop for each task that
// must not run, and a reap for each exited task whose end is recorded. Commands in answers are
// never executed late; reaps are therefore sent only in answers.
func (c *Controller) cleanupCommands(shard *replica.Shard, machine *replica.Machine) []protocol.Command {
	shownToken := machine.Agent.Heartbeat.FencingToken
	if !machine.ShowsToken(shard) && shownToken != 0 && shownToken < shard.FencingToken {
		return nil // no commands before a heartbeat shows the current token
	}
	var commands []protocol.Command
	if listed := machine.Commands.Request.Listed; listed != 0 {
		commands = append(commands, protocol.ReapHeartbeatRequestCommand(listed))
	}
	now := time.Now()
	for i := range machine.Agent.Heartbeat.Tasks {
		status := &machine.Agent.Heartbeat.Tasks[i]
		claim, placement := c.placementOfStatus(machine, status)
		switch {
		case placement != nil:
			if command, needed := c.cleanupPlaced(claim, placement, status, now); needed {
				c.logDecision(machine, command, placedCleanupReason(command))
				commands = append(commands, command)
			}
		case status.Phase != protocol.TaskExited:
			command := protocol.StopCommand(status.Task, status.Attempt, 0)
			c.logDecision(machine, command, "not placed there")
			commands = append(commands, command)
		default:
			command := protocol.ReapCommand(status.Task, status.Attempt)
			c.logDecision(machine, command, "end recorded")
			commands = append(commands, command)
		}
	}
	return commands
}

// placedCleanupReason returns why a placed task gets a cleanup command, as the log spells it.
func placedCleanupReason(command protocol.Command) string {
	if command.Verb == protocol.VerbReap {
		return "gang task starts again"
	}
	return "placement ends"
}

// cleanupPlaced returns the cleanup command for a task that is placed on its machine, and reports
// whether the task needs one: a stop, or a reap for a task of a gang that waited too long for the
// others and exited, so that it can start again.
func (c *Controller) cleanupPlaced(claim *replica.Claim, placement *records.Placement, status *protocol.TaskStatus, now time.Time) (protocol.Command, bool) {
	grace, stop := c.shouldStop(claim, placement, now)
	exited := status.Phase == protocol.TaskExited
	if stop {
		savesCheckpoint := status.Phase == protocol.TaskCheckpointing && grace != 0
		return protocol.StopCommand(status.Task, status.Attempt, grace), !exited && !savesCheckpoint
	}
	startsAgain := exited && status.Cause == protocol.CauseGangTimeout
	return protocol.ReapCommand(status.Task, status.Attempt), startsAgain
}
