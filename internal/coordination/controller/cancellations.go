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
func (n *Controller) enforceCancellations(now time.Time) {
	var bare []string // to be returned without a record
	ask := make(map[*replica.Machine]bool)
	// A process that has just begun, or gone on after standing still, knows the age of
	// each alone, not what others have done about it meanwhile.
	settled := n.pauses.Stable(now, peerContactTime) && now.Sub(n.startedAt) > peerContactTime
	for _, ref := range slices.Sorted(maps.Keys(n.view.CancelledJobs)) {
		j := n.view.CancelledJobs[ref]
		for _, chunk := range slices.Sorted(maps.Keys(j.Claims)) {
			c := j.Claims[chunk]
			for _, p := range c.SortedSlots() {
				m := p.Host.Machine
				if m == nil || m.Lifecycle.Gone {
					continue
				}
				late := false
				if n.view.IsActive(n.view.Shards[m.Record.Shard]) {
					late = n.mayRunTask(m, p) && n.enforceCancellation(j, m, now)
				} else if m.Record.State == "" {
					stray := n.misplacedTask(j, m, p, now)
					late = settled && stray.ShouldReturn(n.settings.Workers.CancelDeadline, n.isStateDown(now)) && !n.isRefusedAlone(now)
					if settled && stray.ShouldProbe(n.settings.Workers.CancelDeadline) && !m.Detector.Probing && m.Address() != "" {
						ask[m] = true
					}
				}
				if late && !slices.Contains(bare, m.Host) {
					bare = append(bare, m.Host)
				}
			}
		}
	}
	n.probeMisplaced(ask, now)
	if len(bare) > 0 && !n.provisioner.returningUnrecorded {
		slices.Sort(bare)
		bare = bare[:min(len(bare), maxReturnsPerCall)]
		n.log.Info("returning machines without a record, the state service takes none", "hosts", bare)
		n.provisioner.returningUnrecorded = true
		go n.returnUnrecorded(n.ctx, bare)
	}
}

// mayRunTask tells whether a placement's task is, or may yet be, on its machine.
func (n *Controller) mayRunTask(m *replica.Machine, p *replica.Slot) bool {
	t := m.Agent.Tasks[p.TaskName]
	if t != nil && t.Attempt == p.Attempt {
		return t.Phase != protocol.TaskExited
	}
	return !m.ShowsToken(n.view.Shards[m.Record.Shard]) || m.HasUnconfirmedStart(p.TaskName, p.Attempt)
}

// enforceCancellation has a machine fenced if it is time, and tells whether that must
// not wait for a record any longer.
func (n *Controller) enforceCancellation(j *replica.Job, m *replica.Machine, now time.Time) bool {
	limit, s := n.settings.Workers.CancelDeadline, n.view.Shards[m.Record.Shard]
	c := health.CancelledTask{Age: now.Sub(j.FinalAt), Heard: m.ShowsToken(s), OwnedFor: now.Sub(s.OwnedSince)}
	// Not when all of them are silent to this node: on a day with such troubles it
	// fenced healthy machines for the one task that was cancelled on each.
	c.Silent = m.Agent.Heartbeat != nil && n.silenceOf(m, now) > n.policy.SuspectAfter && m.Detector.UnansweredAt.After(m.Agent.LastContact) && !n.isOwnFault(s, now) && !n.isPartitioned(m.Record.Zone, now)
	if !c.ShouldFence(limit, n.maxHeartbeatGap()) {
		return false
	}
	if m.Record.State == "" && !m.Lifecycle.Returning {
		n.log.Info("fencing a machine that keeps a cancelled task", "host", m.Host, "job", j.ID, "after", c.Age, "silent", c.Silent)
		n.returnMachine(s, m)
	}
	// A process that has just gone on after standing still knows the age alone, not
	// what others have done about it meanwhile.
	return c.ReturnUnrecorded(limit, n.isStateDown(now)) && m.Record.State == "" && !n.isRefusedAlone(now) && n.pauses.Stable(now, peerContactTime)
}

// misplacedTask is what this node knows of a cancelled task on a machine of a shard that it
// may not act for.
func (n *Controller) misplacedTask(j *replica.Job, m *replica.Machine, p *replica.Slot, now time.Time) health.MisplacedTask {
	stray := health.MisplacedTask{Age: now.Sub(j.FinalAt), SinceProbe: now.Sub(m.Detector.CancelProbeAt), Unanswered: m.Detector.UnansweredAt.After(j.FinalAt) && m.Detector.UnansweredAt.After(m.Agent.LastContact)}
	if s := n.view.Shards[m.Record.Shard]; s != nil && s.Record != nil {
		stray.OwnerNotified = now.Sub(j.NotifiedAt[s.Record.Owner]) < notifiedTTL || now.Sub(n.membership.stateReachableAt[s.Record.Owner]) < peerStatusTTL
	}
	if !m.Agent.LastContact.After(j.FinalAt) {
		return stray
	}
	switch t := m.Agent.Tasks[p.TaskName]; {
	case t != nil && t.Phase != protocol.TaskExited:
		stray.Finding = health.Present
	case t == nil, t.Attempt != p.Attempt, t.Cause == protocol.CauseGangTimeout: // the last its owner reaps, to begin it again
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
func (n *Controller) probeMisplaced(due map[*replica.Machine]bool, now time.Time) {
	ask := slices.SortedFunc(maps.Keys(due), func(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) })
	names := append(slices.Collect(maps.Keys(n.peerClients)), n.settings.NodeName)
	slices.Sort(names)
	from := slices.Index(names, n.settings.NodeName) * len(ask) / len(names)
	ask = slices.Concat(ask[from:], ask[:from])
	slices.SortStableFunc(ask, func(a, b *replica.Machine) int { return a.Detector.CancelProbeAt.Compare(b.Detector.CancelProbeAt) })
	for _, m := range ask[:min(len(ask), maxCancelProbes)] {
		m.Detector.CancelProbeAt = now
		n.probeMachine(m)
	}
}

// stopCancelledTasks stops what a machine of a shard that this node may not act for has just
// shown of cancelled jobs. The stop carries the token and the session that the machine
// itself has shown: it raises nothing, and a machine that has seen a newer one refuses
// it. Nothing may follow on a cancellation but the end of its tasks, and their names
// are not used again; so it is right from whoever sends it, late or twice.
func (n *Controller) stopCancelledTasks(m *replica.Machine, r *protocol.Heartbeat) {
	if r.FencingToken == 0 || m.Record.State != "" {
		return
	}
	body := protocol.CommandRequest{FencingToken: r.FencingToken, AgentEpoch: r.AgentEpoch}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if ref, _, ok := protocol.ParseTaskName(t.Task); ok && t.Phase != protocol.TaskExited && n.view.IsCancelled(ref) {
			body.Commands = append(body.Commands, protocol.StopCommand(t.Task, t.Attempt, 0))
		}
	}
	if len(body.Commands) == 0 {
		return
	}
	n.log.Info("stopping cancelled tasks on a machine of another's shard", "host", m.Host, "shard", m.Record.Shard, "tasks", len(body.Commands), "first", body.Commands[0].Task)
	addr, ctx := m.Address(), n.ctx
	go func() {
		var after protocol.Heartbeat
		status, err := n.callJSON(ctx, addr, "POST", protocol.PathCommands, body, &after, commandTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err == nil && status == 200 && after.Host == m.Host {
			n.observeHeartbeat(m, &after)
		}
	}()
}

// isRefusedAlone tells that other controllers have just heard from the state
// service and this one has not for a while: its shards' next owner does what is
// needed, with a record.
func (n *Controller) isRefusedAlone(now time.Time) bool {
	return now.Sub(n.store.LastSuccess()) >= 4*time.Second && n.isStateServingOthers(now)
}

// returnUnrecorded returns machines whose return could not be recorded. Their 200
// proves them gone as any other does. What a return does that is carried out
// late, twice, or by a node that owns the shard no longer: it takes away a
// machine that kept a cancelled task when it was sent, with whatever was placed
// there since. To its owner that is a machine lost without notice, found and
// proved as such; no task is taken for gone by it, and no name is used again.
func (n *Controller) returnUnrecorded(ctx context.Context, hosts []string) {
	status, err := n.callReturn(ctx, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.provisioner.returningUnrecorded = false
	if err == nil && status == 200 {
		for _, host := range hosts {
			n.markGone(n.view.Machines[host])
		}
	}
	n.log.Info("machines returned without a record", "hosts", hosts, "status", status, "err", err)
}
