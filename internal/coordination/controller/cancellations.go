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

// No task may run for longer than the cancel deadline after the cancellation of its job,
// whatever delays the stop command. A machine that still runs such a task is fenced:
//
//   - at once if it is silent and did not answer a probe: a stop command cannot reach it, and
//     a further fault soon after could prevent the fencing;
//   - after two fifths of the deadline if its owner has received a heartbeat from it, or
//     should have by then (see health.CancelledTask);
//   - after half of the deadline, without a record, if the state service accepts no record.
//
// A controller that may not act for the machine's shard also enforces the deadline: it probes
// the machine and stops the cancelled tasks that the machine reports, and returns the machine
// as a last resort (see health.ForeignCancelledTask).
//
// The times count from the recorded cancellation, so a restart does not reset them. The
// enforcement does not depend on the reconciliation of claims, which skips a claim while a
// version of it is being committed: in an outage, for as long as the outage lasts.

// peerContactTime is the time within which a message of every reachable controller has
// arrived: controllers send one another a message every second.
const peerContactTime = 2500 * time.Millisecond

// cancellationPass collects the returns and probes that one pass over the cancelled jobs finds
// to be due.
type cancellationPass struct {
	now time.Time
	// mayAct is set if this process has neither just started nor just resumed after a pause.
	// Until then the age of a cancellation is available, but messages about what other
	// controllers have done may still be missing.
	mayAct     bool
	unrecorded []string // hosts to be returned without a record
	probes     map[*replica.Machine]bool
}

// enforceCancellations fences, returns or probes the machines that may still run tasks of
// cancelled jobs, each step once it is due.
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
	c.probeCancelledTasks(pass.probes, now)
	if len(pass.unrecorded) > 0 && !c.provisioner.returningUnrecorded {
		slices.Sort(pass.unrecorded)
		hosts := pass.unrecorded[:min(len(pass.unrecorded), maxReturnsPerCall)]
		c.log.Info("machines being returned without a record", "hosts", hosts)
		c.provisioner.returningUnrecorded = true
		go c.returnUnrecorded(c.ctx, hosts)
	}
}

// enforceOnSlot checks the machine of one placement of a cancelled job. It fences the machine
// or adds the machine to the pass's returns or probes, if one of these steps is due.
func (c *Controller) enforceOnSlot(pass *cancellationPass, job *replica.Job, slot *replica.Slot) {
	machine := slot.Host.Machine
	if machine == nil || machine.Lifecycle.Gone {
		return
	}
	mustReturn := false
	if c.view.IsActive(c.view.Shards[machine.Record.Shard]) {
		mustReturn = c.mayRunTask(machine, slot) && c.enforceCancellation(pass, job, machine)
	} else if machine.Record.State == records.MachineInUse {
		task := c.foreignCancelledTask(job, machine, slot, pass.now)
		mustReturn = pass.mayAct && task.ShouldReturn(c.settings.Workers.CancelDeadline, c.isStateDown(pass.now)) && !c.isRefusedAlone(pass.now)
		mayProbe := pass.mayAct && !machine.Detector.Probing && machine.Address() != ""
		if mayProbe && task.ShouldProbe(c.settings.Workers.CancelDeadline) {
			pass.probes[machine] = true
		}
	}
	if mustReturn && !slices.Contains(pass.unrecorded, machine.Host) {
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

// enforceCancellation fences a machine if a fence is due, or adds it to the pass's probes, and
// reports whether the machine must be returned without waiting any longer for a record.
func (c *Controller) enforceCancellation(pass *cancellationPass, job *replica.Job, machine *replica.Machine) bool {
	now := pass.now
	limit, shard := c.settings.Workers.CancelDeadline, c.view.Shards[machine.Record.Shard]
	cancelled := health.CancelledTask{Age: now.Sub(job.FinalAt), TokenShown: machine.ShowsToken(shard), OwnedFor: now.Sub(shard.OwnedSince),
		Silent: c.isSilentByItself(shard, machine, now), Unanswered: c.isUnansweredByItself(shard, machine), SinceProbe: now.Sub(machine.Detector.CancellationProbedAt)}
	if cancelled.ShouldProbe(limit) && !machine.Detector.Probing && machine.Address() != "" {
		pass.probes[machine] = true
	}
	if !cancelled.ShouldFence(limit, c.maxHeartbeatGap()) {
		return false
	}
	if machine.Record.State == records.MachineInUse && !machine.Lifecycle.Returning {
		c.log.Info("machine fenced for a cancelled task", "host", machine.Host, "job", job.ID, "age", cancelled.Age, "silent", cancelled.Silent)
		c.returnMachine(shard, machine)
	}
	// A process that has just resumed after a pause may not have received what other
	// controllers have done about the cancellation meanwhile.
	return cancelled.ShouldReturnUnrecorded(limit, c.isStateDown(now)) && machine.Record.State == records.MachineInUse && !c.isRefusedAlone(now) && c.pauses.Stable(now, peerContactTime)
}

// isSilentByItself reports whether a machine is silent and did not answer a probe while
// heartbeats of other machines arrive. Silence caused by this controller's own links or by a
// partition does not count, which prevents healthy machines from being fenced for a single
// cancelled task on each.
func (c *Controller) isSilentByItself(shard *replica.Shard, machine *replica.Machine, now time.Time) bool {
	silent := machine.Agent.Heartbeat != nil && c.silenceOf(machine, now) > c.policy.SuspectAfter && machine.Detector.UnansweredAt.After(machine.Agent.LastContact)
	return silent && !c.isSelfIsolated(shard, now) && !c.isPartitioned(machine.Record.Zone, now)
}

// isUnansweredByItself reports whether a machine has not been in contact since this process began to
// act for its shard and did not answer a probe, while its zone is in contact: the fault is then
// neither this controller's own nor a partition of the zone.
func (c *Controller) isUnansweredByItself(shard *replica.Shard, machine *replica.Machine) bool {
	began := shard.OwnedSince
	if machine.Agent.LastContact.After(began) || !machine.Detector.UnansweredAt.After(began) {
		return false
	}
	return c.isZoneInContact(shard, machine, began)
}

// isZoneInContact reports whether another machine of a shard that is in the same zone as the given one
// has been in contact since a time. If the shard has none there, a controller of the zone must
// have been, unless this process is in the zone itself.
func (c *Controller) isZoneInContact(shard *replica.Shard, machine *replica.Machine, since time.Time) bool {
	zone, alone := machine.Record.Zone, true
	for _, other := range shard.Machines {
		if other == machine || other.Record.Zone != zone {
			continue
		}
		if other.Agent.LastContact.After(since) {
			return true
		}
		alone = false
	}
	isContactOfZone := func(peer protocol.Peer) bool {
		return peer.Zone == zone && c.membership.lastContact[peer.Node].After(since)
	}
	return alone && (zone == c.settings.Zone || slices.ContainsFunc(c.settings.Peers, isContactOfZone))
}

// foreignCancelledTask returns what this controller has observed of a cancelled task on a machine
// whose shard it may not act for.
func (c *Controller) foreignCancelledTask(job *replica.Job, machine *replica.Machine, slot *replica.Slot, now time.Time) health.ForeignCancelledTask {
	unansweredAt := machine.Detector.UnansweredAt
	task := health.ForeignCancelledTask{Age: now.Sub(job.FinalAt), SinceProbe: now.Sub(machine.Detector.CancellationProbedAt),
		Unanswered: unansweredAt.After(job.FinalAt) && unansweredAt.After(machine.Agent.LastContact)}
	if shard := c.view.Shards[machine.Record.Shard]; shard != nil && shard.Record != nil {
		owner := shard.Record.Owner
		task.OwnerNotified = now.Sub(job.NotifiedAt[owner]) < notifiedTTL || c.stateReports.isServed(owner, now)
	}
	if machine.Agent.LastContact.After(job.FinalAt) {
		task.Finding = findingOf(machine.Agent.Tasks[slot.TaskName], slot)
	}
	return task
}

// findingOf returns whether a machine's heartbeat lists a cancelled task, and if so, whether the
// task has exited. A task that exited because the rest of its gang did not start in time counts
// as absent: the owner reaps the task in order to start it again.
func findingOf(status *protocol.TaskStatus, slot *replica.Slot) health.Finding {
	switch {
	case status != nil && status.Phase != protocol.TaskExited:
		return health.Present
	case status == nil, status.Attempt != slot.Attempt, status.Cause == protocol.CauseGangTimeout:
		return health.Absent
	}
	return health.Ended
}

// maxCancelProbes bounds the machines that are probed in one pass. There are about three
// passes a second.
const maxCancelProbes = 20

// probeCancelledTasks probes the machines with cancelled tasks that are due, the least recently
// probed ones first. Each controller starts at a different position of the list, so that together
// the controllers probe all machines sooner.
func (c *Controller) probeCancelledTasks(due map[*replica.Machine]bool, now time.Time) {
	machines := slices.SortedFunc(maps.Keys(due), compareHosts)
	controllers := append(slices.Collect(maps.Keys(c.peerClients)), c.settings.NodeName)
	slices.Sort(controllers)
	from := slices.Index(controllers, c.settings.NodeName) * len(machines) / len(controllers)
	machines = slices.Concat(machines[from:], machines[:from])
	slices.SortStableFunc(machines, func(a, b *replica.Machine) int {
		return a.Detector.CancellationProbedAt.Compare(b.Detector.CancellationProbedAt)
	})
	for _, machine := range machines[:min(len(machines), maxCancelProbes)] {
		machine.Detector.CancellationProbedAt = now
		c.probeMachine(machine)
	}
}

// stopCancelledTasks stops the tasks of cancelled jobs that a machine has just reported, where
// this controller may not act for the machine's shard. The request carries the fencing token
// and the agent epoch of the machine's own heartbeat: it raises neither, and a machine that
// has received a newer token refuses the request. After a cancellation a job's tasks can only
// end, and their names are not used again, so the stop commands are correct from any
// controller, also if they arrive late or twice.
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
		var answer protocol.Heartbeat
		status, err := c.callCommands(ctx, address, request, &answer)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && status == http.StatusOK && answer.Host == machine.Host {
			c.observeHeartbeat(machine, &answer)
		}
	}()
}

// cancelledTaskStops returns a stop command for each task of a cancelled job that a heartbeat
// lists as not exited.
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

// returnUnrecorded returns machines whose return could not be recorded. As for any return, the
// cloud's status 200 proves that they are gone. A call that is executed late or twice, or that
// a controller makes which no longer owns the shard, removes a machine that had a cancelled task when
// the call was sent, together with the tasks placed there since. Its owner handles the machine
// as one that was lost without notice: the loss is detected and proved as usual, no task counts
// as gone because of the call, and no task name is used again.
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
