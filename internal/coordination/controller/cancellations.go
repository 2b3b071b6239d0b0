package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// No task may outlive the cancellation of its job by more than the cancel deadline, whatever
// holds its stop back. A machine that keeps one is fenced:
//
//   - at once if it has been silent and did not answer when probed, for its stop cannot
//     arrive, and whatever else fails soon would keep it;
//   - after two fifths of the deadline, if it was heard or should have been (see
//     health.CancelledTask);
//   - after half of it without a record, if the state service does not take one.
//
// A controller that may not act for the machine's shard does not leave it at that: it probes
// the machine itself and stops what it shows (see health.MisplacedTask).
//
// The times count from the record of the cancellation, so they go on through restarts. They
// do not wait for reconciliation, which leaves a claim alone while a version of it is being
// committed, and in an outage that is all along.

// peerContactTime is the time in which whoever is there has spoken: peers do so every
// second.
const peerContactTime = 2500 * time.Millisecond

// enforceCancellations looks at the machines that may keep tasks of cancelled jobs.
func (c *Controller) enforceCancellations(now time.Time) {
	var bare []string // to be returned without a record
	ask := make(map[*replica.Machine]bool)
	// A process that has just begun, or gone on after standing still, knows the age of
	// each alone, not what others have done about it meanwhile.
	settled := c.pauses.Stable(now, peerContactTime) && now.Sub(c.startedAt) > peerContactTime
	for _, jobID := range slices.Sorted(maps.Keys(c.view.CancelledJobs)) {
		job := c.view.CancelledJobs[jobID]
		for _, chunk := range slices.Sorted(maps.Keys(job.Claims)) {
			claim := job.Claims[chunk]
			for _, slot := range claim.SortedSlots() {
				machine := slot.Host.Machine
				if machine == nil || machine.Lifecycle.Gone {
					continue
				}
				late := false
				if c.view.IsActive(c.view.Shards[machine.Record.Shard]) {
					late = c.mayRunTask(machine, slot) && c.enforceCancellation(job, machine, now)
				} else if machine.Record.State == "" {
					stray := c.misplacedTask(job, machine, slot, now)
					late = settled && stray.ShouldReturn(c.settings.Workers.CancelDeadline, c.isStateDown(now)) && !c.isRefusedAlone(now)
					if settled && stray.ShouldProbe(c.settings.Workers.CancelDeadline) && !machine.Detector.Probing && machine.Address() != "" {
						ask[machine] = true
					}
				}
				if late && !slices.Contains(bare, machine.Host) {
					bare = append(bare, machine.Host)
				}
			}
		}
	}
	c.probeMisplaced(ask, now)
	if len(bare) > 0 && !c.provisioner.returningUnrecorded {
		slices.Sort(bare)
		bare = bare[:min(len(bare), maxReturnsPerCall)]
		c.log.Info("machines being returned without a record", "hosts", bare)
		c.provisioner.returningUnrecorded = true
		go c.returnUnrecorded(c.ctx, bare)
	}
}

// mayRunTask tells whether a placement's task is, or may yet be, on its machine.
func (c *Controller) mayRunTask(machine *replica.Machine, slot *replica.Slot) bool {
	status := machine.Agent.Tasks[slot.TaskName]
	if status != nil && status.Attempt == slot.Attempt {
		return status.Phase != protocol.TaskExited
	}
	return !machine.ShowsToken(c.view.Shards[machine.Record.Shard]) || machine.HasUnconfirmedStart(slot.TaskName, slot.Attempt)
}

// enforceCancellation has a machine fenced if it is time, and tells whether that must
// not wait for a record any longer.
func (c *Controller) enforceCancellation(job *replica.Job, machine *replica.Machine, now time.Time) bool {
	limit, shard := c.settings.Workers.CancelDeadline, c.view.Shards[machine.Record.Shard]
	cancelled := health.CancelledTask{Age: now.Sub(job.FinalAt), Heard: machine.ShowsToken(shard), OwnedFor: now.Sub(shard.OwnedSince)}
	// Not when all of them are silent to this node: on a day with such troubles it
	// fenced healthy machines for the one task that was cancelled on each.
	cancelled.Silent = machine.Agent.Heartbeat != nil && c.silenceOf(machine, now) > c.policy.SuspectAfter && machine.Detector.UnansweredAt.After(machine.Agent.LastContact) && !c.isOwnFault(shard, now) && !c.isPartitioned(machine.Record.Zone, now)
	if !cancelled.ShouldFence(limit, c.maxHeartbeatGap()) {
		return false
	}
	if machine.Record.State == "" && !machine.Lifecycle.Returning {
		c.log.Info("machine fenced for a cancelled task", "host", machine.Host, "job", job.ID, "age", cancelled.Age, "silent", cancelled.Silent)
		c.returnMachine(shard, machine)
	}
	// A process that has just gone on after standing still knows the age alone, not
	// what others have done about it meanwhile.
	return cancelled.ReturnUnrecorded(limit, c.isStateDown(now)) && machine.Record.State == "" && !c.isRefusedAlone(now) && c.pauses.Stable(now, peerContactTime)
}

// misplacedTask is what this node knows of a cancelled task on a machine of a shard that it
// may not act for.
func (c *Controller) misplacedTask(job *replica.Job, machine *replica.Machine, slot *replica.Slot, now time.Time) health.MisplacedTask {
	stray := health.MisplacedTask{Age: now.Sub(job.FinalAt), SinceProbe: now.Sub(machine.Detector.CancelProbeAt), Unanswered: machine.Detector.UnansweredAt.After(job.FinalAt) && machine.Detector.UnansweredAt.After(machine.Agent.LastContact)}
	if shard := c.view.Shards[machine.Record.Shard]; shard != nil && shard.Record != nil {
		stray.OwnerNotified = now.Sub(job.NotifiedAt[shard.Record.Owner]) < notifiedTTL || now.Sub(c.membership.stateReachableAt[shard.Record.Owner]) < peerStatusTTL
	}
	if !machine.Agent.LastContact.After(job.FinalAt) {
		return stray
	}
	switch status := machine.Agent.Tasks[slot.TaskName]; {
	case status != nil && status.Phase != protocol.TaskExited:
		stray.Finding = health.Present
	case status == nil, status.Attempt != slot.Attempt, status.Cause == protocol.CauseGangTimeout: // the last its owner reaps, to begin it again
		stray.Finding = health.Absent
	default:
		stray.Finding = health.Ended
	}
	return stray
}

// maxCancelProbes bounds how many machines are asked in a pass; some three passes are made a
// second.
const maxCancelProbes = 20

// probeMisplaced asks machines, those first that were not asked for longest. Each
// controller begins elsewhere in the list, so that together they come through sooner.
func (c *Controller) probeMisplaced(due map[*replica.Machine]bool, now time.Time) {
	ask := slices.SortedFunc(maps.Keys(due), func(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) })
	names := append(slices.Collect(maps.Keys(c.peerClients)), c.settings.NodeName)
	slices.Sort(names)
	from := slices.Index(names, c.settings.NodeName) * len(ask) / len(names)
	ask = slices.Concat(ask[from:], ask[:from])
	slices.SortStableFunc(ask, func(a, b *replica.Machine) int { return a.Detector.CancelProbeAt.Compare(b.Detector.CancelProbeAt) })
	for _, machine := range ask[:min(len(ask), maxCancelProbes)] {
		machine.Detector.CancelProbeAt = now
		c.probeMachine(machine)
	}
}

// stopCancelledTasks stops what a machine of a shard that this node may not act for has just
// shown of cancelled jobs. The stop carries the token and the session that the machine
// itself has shown: it raises nothing, and a machine that has seen a newer one refuses
// it. Nothing may follow on a cancellation but the end of its tasks, and their names
// are not used again; so it is right from whoever sends it, late or twice.
func (c *Controller) stopCancelledTasks(machine *replica.Machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.FencingToken == 0 || machine.Record.State != "" {
		return
	}
	body := protocol.CommandRequest{FencingToken: heartbeat.FencingToken, AgentEpoch: heartbeat.AgentEpoch}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		if jobID, _, ok := protocol.ParseTaskName(t.Task); ok && t.Phase != protocol.TaskExited && c.view.IsCancelled(jobID) {
			body.Commands = append(body.Commands, protocol.StopCommand(t.Task, t.Attempt, 0))
		}
	}
	if len(body.Commands) == 0 {
		return
	}
	c.log.Info("cancelled tasks stopped on a machine of another owner", "host", machine.Host, "shard", machine.Record.Shard, "tasks", len(body.Commands), "task", body.Commands[0].Task)
	addr, ctx := machine.Address(), c.ctx
	go func() {
		var after protocol.Heartbeat
		status, err := c.callJSON(ctx, addr, "POST", protocol.PathCommands, body, &after, commandTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && status == 200 && after.Host == machine.Host {
			c.observeHeartbeat(machine, &after)
		}
	}()
}

// isRefusedAlone tells that other controllers have just heard from the state
// service and this one has not for a while: its shards' next owner does what is
// needed, with a record.
func (c *Controller) isRefusedAlone(now time.Time) bool {
	return now.Sub(c.store.LastSuccess()) >= 4*time.Second && c.isStateServingOthers(now)
}

// returnUnrecorded returns machines whose return could not be recorded. Their 200
// proves them gone as any other does. What a return does that is carried out
// late, twice, or by a node that owns the shard no longer: it takes away a
// machine that kept a cancelled task when it was sent, with whatever was placed
// there since. To its owner that is a machine lost without notice, found and
// proved as such; no task is taken for gone by it, and no name is used again.
func (c *Controller) returnUnrecorded(ctx context.Context, hosts []string) {
	status, err := c.callReturn(ctx, hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provisioner.returningUnrecorded = false
	if err == nil && status == 200 {
		for _, host := range hosts {
			c.markGone(c.view.Machines[host])
		}
	}
	c.log.Info("machines returned without a record", "hosts", hosts, "status", status, "err", err)
}
