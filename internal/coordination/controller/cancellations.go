package controller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// No task may outlive the cancellation of its job by more than the cancel deadline, whatever
// delays its stop. A machine that keeps one is fenced:
//
//   - at once if it has been silent and did not answer when probed, for its stop cannot
//     arrive, and whatever else fails soon would keep it;
//   - after two fifths of the deadline, if it was heard or should have been (see
//     health.CancelledTask);
//   - after half of it without a record, if the state service does not take one.
//
// A controller that may not act for the machine's shard acts too: it probes the machine and
// stops the cancelled tasks that the machine shows (see health.MisplacedTask).
//
// The times count from the record of the cancellation, so they go on through restarts. They
// do not depend on reconciliation, which skips a claim while a version of it is being
// committed: in an outage, for as long as the outage lasts.

// peerContactTime is the time within which every controller that is there has been heard:
// peers send a message every second.
const peerContactTime = 2500 * time.Millisecond

// refusedAloneAfter is for how long the state service must have executed nothing of this
// controller's while it serves others.
const refusedAloneAfter = 4 * time.Second

// cancellationPass collects what one pass over the cancelled jobs finds to be due.
type cancellationPass struct {
	now time.Time
	// mayAct tells that this process has run for long enough to know what others have done
	// about a cancellation, and not its age alone: it has neither just started nor just
	// resumed after a pause.
	mayAct     bool
	unrecorded []string // hosts to be returned without a record
	probes     map[*replica.Machine]bool
}

// enforceCancellations acts on the machines that may keep tasks of cancelled jobs.
func (c *Controller) enforceCancellations(now time.Time) {
	pass := cancellationPass{now: now, probes: make(map[*replica.Machine]bool)}
	pass.mayAct = c.pauses.Stable(now, peerContactTime) && now.Sub(c.startedAt) > peerContactTime
	for _, jobID := range slices.Sorted(maps.Keys(c.view.CancelledJobs)) {
		job := c.view.CancelledJobs[jobID]
		for _, chunk := range slices.Sorted(maps.Keys(job.Claims)) {
			for _, slot := range job.Claims[chunk].SortedSlots() {
				c.enforceOnSlot(&pass, job, slot)
			}
		}
	}
	c.probeMisplaced(pass.probes, now)
	if len(pass.unrecorded) > 0 && !c.provisioner.returningUnrecorded {
		slices.Sort(pass.unrecorded)
		hosts := pass.unrecorded[:min(len(pass.unrecorded), maxReturnsPerCall)]
		c.log.Info("machines being returned without a record", "hosts", hosts)
		c.provisioner.returningUnrecorded = true
		go c.returnUnrecorded(c.ctx, hosts)
	}
}

// enforceOnSlot acts on the machine of one placement of a cancelled job.
func (c *Controller) enforceOnSlot(pass *cancellationPass, job *replica.Job, slot *replica.Slot) {
	machine := slot.Host.Machine
	if machine == nil || machine.Lifecycle.Gone {
		return
	}
	late := false
	if c.view.IsActive(c.view.Shards[machine.Record.Shard]) {
		late = c.mayRunTask(machine, slot) && c.enforceCancellation(job, machine, pass.now)
	} else if machine.Record.State == records.MachineInUse {
		task := c.misplacedTask(job, machine, slot, pass.now)
		late = pass.mayAct && task.ShouldReturn(c.settings.Workers.CancelDeadline, c.isStateDown(pass.now)) && !c.isRefusedAlone(pass.now)
		mayProbe := pass.mayAct && !machine.Detector.Probing && machine.Address() != ""
		if mayProbe && task.ShouldProbe(c.settings.Workers.CancelDeadline) {
			pass.probes[machine] = true
		}
	}
	if late && !slices.Contains(pass.unrecorded, machine.Host) {
		pass.unrecorded = append(pass.unrecorded, machine.Host)
	}
}

// mayRunTask reports whether a placement's task runs, or may yet start, on its machine.
func (c *Controller) mayRunTask(machine *replica.Machine, slot *replica.Slot) bool {
	status := machine.Agent.Tasks[slot.TaskName]
	if status != nil && status.Attempt == slot.Attempt {
		return status.Phase != protocol.TaskExited
	}
	return !machine.ShowsToken(c.view.Shards[machine.Record.Shard]) || machine.HasUnconfirmedStart(slot.TaskName, slot.Attempt)
}

// enforceCancellation fences a machine if it is time, and reports whether the return must
// not wait for a record any longer.
func (c *Controller) enforceCancellation(job *replica.Job, machine *replica.Machine, now time.Time) bool {
	limit, shard := c.settings.Workers.CancelDeadline, c.view.Shards[machine.Record.Shard]
	cancelled := health.CancelledTask{Age: now.Sub(job.FinalAt), Heard: machine.ShowsToken(shard), OwnedFor: now.Sub(shard.OwnedSince),
		Silent: c.isSilentByItself(shard, machine, now)}
	if !cancelled.ShouldFence(limit, c.maxHeartbeatGap()) {
		return false
	}
	if machine.Record.State == records.MachineInUse && !machine.Lifecycle.Returning {
		c.log.Info("machine fenced for a cancelled task", "host", machine.Host, "job", job.ID, "age", cancelled.Age, "silent", cancelled.Silent)
		c.returnMachine(shard, machine)
	}
	// A process that has just resumed after a pause knows the age alone, not what others
	// have done about the cancellation meanwhile.
	return cancelled.ShouldReturnUnrecorded(limit, c.isStateDown(now)) && machine.Record.State == records.MachineInUse && !c.isRefusedAlone(now) && c.pauses.Stable(now, peerContactTime)
}

// isSilentByItself reports whether a machine is silent and did not answer a probe while
// other machines are heard. Silence that is this controller's own fault, or a partition's,
// does not count, which prevents healthy machines from being fenced for the one cancelled
// task on each.
func (c *Controller) isSilentByItself(shard *replica.Shard, machine *replica.Machine, now time.Time) bool {
	silent := machine.Agent.Heartbeat != nil && c.silenceOf(machine, now) > c.policy.SuspectAfter && machine.Detector.UnansweredAt.After(machine.Agent.LastContact)
	return silent && !c.isOwnFault(shard, now) && !c.isPartitioned(machine.Record.Zone, now)
}

// misplacedTask returns what this controller knows of a cancelled task on a machine of a
// shard that it may not act for.
func (c *Controller) misplacedTask(job *replica.Job, machine *replica.Machine, slot *replica.Slot, now time.Time) health.MisplacedTask {
	unansweredAt := machine.Detector.UnansweredAt
	task := health.MisplacedTask{Age: now.Sub(job.FinalAt), SinceProbe: now.Sub(machine.Detector.CancelProbeAt),
		Unanswered: unansweredAt.After(job.FinalAt) && unansweredAt.After(machine.Agent.LastContact)}
	if shard := c.view.Shards[machine.Record.Shard]; shard != nil && shard.Record != nil {
		owner := shard.Record.Owner
		task.OwnerNotified = now.Sub(job.NotifiedAt[owner]) < notifiedTTL || now.Sub(c.membership.stateReachableAt[owner]) < peerStatusTTL
	}
	if machine.Agent.LastContact.After(job.FinalAt) {
		task.Finding = findingOf(machine.Agent.Tasks[slot.TaskName], slot)
	}
	return task
}

// findingOf returns what a machine shows of a cancelled task. An exit for want of the rest
// of its gang counts as absence: the owner reaps the task to start it again.
func findingOf(status *protocol.TaskStatus, slot *replica.Slot) health.Finding {
	switch {
	case status != nil && status.Phase != protocol.TaskExited:
		return health.Present
	case status == nil, status.Attempt != slot.Attempt, status.Cause == protocol.CauseGangTimeout:
		return health.Absent
	}
	return health.Ended
}

// maxCancelProbes bounds the machines that are probed in one pass; some three passes are
// made a second.
const maxCancelProbes = 20

// probeMisplaced probes machines, those first that were not probed for longest. Each
// controller begins at another place of the list, so that together they probe all of them
// sooner.
func (c *Controller) probeMisplaced(due map[*replica.Machine]bool, now time.Time) {
	machines := slices.SortedFunc(maps.Keys(due), compareHosts)
	controllers := append(slices.Collect(maps.Keys(c.peerClients)), c.settings.NodeName)
	slices.Sort(controllers)
	from := slices.Index(controllers, c.settings.NodeName) * len(machines) / len(controllers)
	machines = slices.Concat(machines[from:], machines[:from])
	slices.SortStableFunc(machines, func(a, b *replica.Machine) int { return a.Detector.CancelProbeAt.Compare(b.Detector.CancelProbeAt) })
	for _, machine := range machines[:min(len(machines), maxCancelProbes)] {
		machine.Detector.CancelProbeAt = now
		c.probeMachine(machine)
	}
}

// stopCancelledTasks stops the tasks of cancelled jobs that a machine has just shown, of a
// shard that this controller may not act for. The stop carries the token and the agent
// epoch that the machine itself has shown: it raises nothing, and a machine that has seen a
// newer token refuses it. Nothing may follow on a cancellation but the end of its tasks,
// and their names are not used again; so the stop is right from whoever sends it, late or
// twice.
func (c *Controller) stopCancelledTasks(machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.FencingToken == 0 || machine.Record.State != records.MachineInUse {
		return
	}
	request := protocol.CommandRequest{FencingToken: heartbeat.FencingToken, AgentEpoch: heartbeat.AgentEpoch, Commands: c.cancelledTaskStops(heartbeat)}
	if len(request.Commands) == 0 {
		return
	}
	c.log.Info("cancelled tasks stopped on a machine of another owner", "host", machine.Host, "shard", machine.Record.Shard, "tasks", len(request.Commands), "task", request.Commands[0].Task)
	address, ctx := machine.Address(), c.ctx
	go func() {
		var after protocol.Heartbeat
		status, err := c.callCommands(ctx, address, request, &after)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && status == http.StatusOK && after.Host == machine.Host {
			c.observeHeartbeat(machine, &after)
		}
	}()
}

// cancelledTaskStops returns a stop for each task of a cancelled job that a heartbeat shows
// as not exited.
func (c *Controller) cancelledTaskStops(heartbeat *protocol.Heartbeat) []protocol.Command {
	var stops []protocol.Command
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if jobID, _, ok := protocol.ParseTaskName(status.Task); ok && status.Phase != protocol.TaskExited && c.view.IsCancelled(jobID) {
			stops = append(stops, protocol.StopCommand(status.Task, status.Attempt, 0))
		}
	}
	return stops
}

// isRefusedAlone reports whether the state service has served other controllers just now
// and this one not for a while. Then the next owner of this one's shards does what is
// needed, with a record.
func (c *Controller) isRefusedAlone(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) >= refusedAloneAfter && c.isStateServingOthers(now)
}

// returnUnrecorded returns machines whose return could not be recorded. The cloud's 200
// proves them gone as any other does. A return that is carried out late, twice, or by a
// node that owns the shard no longer takes away a machine that kept a cancelled task when
// the call was sent, with whatever was placed there since. To its owner that is a machine
// lost without notice, found and proved as such; no task counts as gone by it, and no name
// is used again.
func (c *Controller) returnUnrecorded(ctx context.Context, hosts []string) {
	status, err := c.callReturn(ctx, hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provisioner.returningUnrecorded = false
	if err == nil && status == http.StatusOK {
		for _, host := range hosts {
			c.markGone(c.view.Machines[host])
		}
	}
	c.log.Info("machines returned without a record", "hosts", hosts, "status", status, "err", err)
}
