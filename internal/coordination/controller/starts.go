package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Starts are sent only in answers to heartbeats. A direct call may arrive again, minutes later, and
// an agent whose machine has restarted since accepts it until a controller has answered: a start in
// it would begin a task that is placed elsewhere, or whose job is cancelled. An agent executes
// an answer once and within answerTimeout, or never.

// recordArrival records that a heartbeat of an agent has arrived, as opposed to the answer to a
// direct call, and reports whether the heartbeat is later than all that have arrived before. Its
// agent has then executed or dropped the answers to all of those.
func recordArrival(machine *replica.Machine, heartbeat *protocol.Heartbeat, now time.Time) bool {
	position := replica.MessagePositionOf(heartbeat)
	if !position.Supersedes(machine.Agent.LastPosition) || !position.Valid(machine.Agent.MinToken) {
		return false
	}
	machine.Agent.LastPosition, machine.Agent.LastHeartbeat = position, now
	machine.Commands.ForgetAnswered(heartbeat)
	machine.Commands.Request.SentAt = time.Time{}
	return true
}

// startCommands returns a start for each task that is placed on a machine and that the newest
// message of the machine does not show, because the task was never started or was lost when the
// agent epoch ended. The same attempt may start again, since it can run nowhere else. Whether a task
// may start is decided here, when the answer is sent.
func (c *Controller) startCommands(shard *replica.Shard, machine *replica.Machine, now time.Time) []protocol.Command {
	if len(machine.Use.Slots) == 0 || !machine.ShowsToken(shard) || machine.Record.State != records.MachineInUse || c.hasNoContact(now) {
		return nil
	}
	var starts []protocol.Command
	for _, name := range slices.Sorted(maps.Keys(machine.Use.Slots)) {
		slot := machine.Use.Slots[name]
		if machine.Agent.Tasks[name] != nil || !c.mayStart(shard, machine, slot, now) {
			continue
		}
		command := protocol.StartCommand(name, slot.Attempt)
		c.logDecision(machine, command, "placed and not shown")
		starts = append(starts, command)
	}
	return starts
}

// mayStart reports whether a task may start whose machine does not show it: its placement is
// committed, no change of its claim is being committed, and nothing forbids the start.
func (c *Controller) mayStart(shard *replica.Shard, machine *replica.Machine, slot *replica.Slot, now time.Time) bool {
	claim := slot.Claim
	isCommitted := claim.Record != nil && claim.Pending == nil && c.view.Jobs[claim.JobID] != nil && claim.Spec != nil
	if !isCommitted || (claim.Record.Shard != "" && claim.Record.Shard != shard.Name) || hasLostGangTask(claim) {
		return false
	}
	_, stop := c.shouldStop(claim, &records.Placement{Task: slot.Task, Attempt: slot.Attempt, Host: machine.Host}, now)
	return !stop && !c.isStartForbidden(claim, machine, now)
}

// isStartForbidden reports whether a task that is placed on a machine and not shown there must not
// start. If the team's limit was lowered, running tasks continue but no task may start. A machine
// that cannot receive would not start the task, and one that cannot report gets no starts; but
// while the state service is down the task cannot be placed elsewhere either, so its placement
// stays.
func (c *Controller) isStartForbidden(claim *replica.Claim, machine *replica.Machine, now time.Time) bool {
	return c.isOverLimit(claim.Spec) || machine.Detector.Reachability.CannotReceive() || (c.cannotReport(machine, now) && !c.isStateDown(now))
}

// requestStart requests a heartbeat of the machine of a task that is placed and not shown, since the
// answer carries the start. Nothing is requested while this controller has contact neither with
// the state service nor with another controller: it could not learn that the job was cancelled.
// A start that was sent already needs no request: the agent's next heartbeat shows its outcome.
func (c *Controller) requestStart(task *placedTask, now time.Time) {
	machine := task.machine
	if c.hasNoContact(now) || machine.Record.State != records.MachineInUse || machine.HasUnconfirmedStart(task.name, task.placement.Attempt) {
		return
	}
	if attempt, due := machine.Commands.Request.Next(now); due {
		c.queueCommands(task.shard, machine, protocol.RequestHeartbeatCommand(attempt))
	}
}
