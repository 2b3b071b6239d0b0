package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
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

// queueCommands queues commands for a machine until the next flush.
func (n *Controller) queueCommands(s *replica.Shard, m *replica.Machine, cmds ...protocol.Command) {
	if m.Record.State != "" || s.FencingToken == 0 || m.Address() == "" {
		return
	}
	m.Commands.Pending = append(m.Commands.Pending, cmds...)
	n.pendingCommands[m] = struct{}{}
}

// sendPendingCommands sends what has been ordered: the commands for one machine go together.
func (n *Controller) sendPendingCommands(s *replica.Shard) {
	machines := slices.SortedFunc(maps.Keys(n.pendingCommands), func(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) })
	clear(n.pendingCommands)
	for _, m := range machines {
		n.sendCommands(s, m)
	}
}

const commandTimeout = 3 * time.Second

// sendCommands delivers the queued commands, one call at a time for each machine.
func (n *Controller) sendCommands(s *replica.Shard, m *replica.Machine) {
	if m.Commands.Sending || m.Agent.Heartbeat == nil {
		return
	}
	m.Commands.Sending = true
	m.Commands.InFlight, m.Commands.Pending = m.Commands.Pending, nil
	body := protocol.CommandRequest{FencingToken: s.FencingToken, AgentEpoch: m.Agent.Heartbeat.AgentEpoch, Commands: m.Commands.InFlight}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	addr, ctx := m.Address(), n.ctx
	n.log.Debug("commands", "host", m.Host, "token", body.FencingToken, "orders", body.Commands)
	go func() {
		var r protocol.Heartbeat
		status, err := n.callJSON(ctx, addr, "POST", protocol.PathCommands, body, &r, commandTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.commandsSent(m, body, &r, status, err)
	}()
}

func (n *Controller) commandsSent(m *replica.Machine, body protocol.CommandRequest, r *protocol.Heartbeat, status int, err error) {
	m.Commands.Sending = false
	m.Commands.InFlight = nil
	switch {
	case err != nil && !errors.Is(err, transport.ErrNotSent), err == nil && status != 200 && status != 409:
		n.log.Debug("commands of unknown fate", "host", m.Host, "status", status, "err", err)
		m.Detector.Reachability.RecordFailure(time.Now(), m.Agent.LastContact)
		for _, c := range body.Commands {
			if c.Verb == "start" {
				m.Commands.Unknown = append(m.Commands.Unknown, replica.UnknownStart{Task: c.Task, Attempt: c.Attempt, FencingToken: body.FencingToken, AgentEpoch: body.AgentEpoch, SentAt: time.Now()})
			}
		}
	case err == nil && r.Host == m.Host:
		m.Detector.Reachability.RecordAnswer(time.Now())
		n.observeHeartbeat(m, r)
	}
	if s := n.view.Shards[m.Record.Shard]; len(m.Commands.Pending) > 0 && s != nil && s.FencingToken != 0 && m.Record.State == "" {
		n.sendCommands(s, m)
	}
	n.wake()
}

var misdirected = transport.Response{Status: 421, Body: []byte("{}")}

// redirectTo sends a worker to another controller.
func redirectTo(node string) transport.Response {
	b, _ := json.Marshal(protocol.Redirect{Node: node})
	return transport.Response{Status: 421, Body: b}
}

func unavailable(after int) transport.Response {
	return transport.Response{Status: 503, Body: []byte(`{"error":"not now"}`), RetryAfter: after}
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

// noteUnrecorded notes a machine that nobody expected. The leader alone records such
// machines: several nodes that choose shards at once, each blind to the others,
// would all put theirs into the same one.
func (n *Controller) noteUnrecorded(host, typ, zone string, loaner bool) {
	if _, seen := n.provisioner.unrecorded[host]; !seen && n.isLeader() {
		n.provisioner.unrecorded[host] = unrecordedHost{firstSeen: time.Now(), kind: replica.MachineKind{Type: typ, Zone: zone, Spot: loaner}}
	}
}

// adoptMachines records the machines noted, all of a kind together.
func (n *Controller) adoptMachines(now time.Time) {
	hosts := make(map[replica.MachineKind][]string)
	for host, u := range n.provisioner.unrecorded {
		// The answer to a hire may just be on its way; it knows better.
		patience := time.Duration(0)
		if len(n.view.Provisions) > 0 {
			patience = 3 * time.Second
		}
		if !u.recording && now.Sub(u.firstSeen) >= patience && n.view.MachineTypes[u.kind.Type] != nil {
			hosts[u.kind] = append(hosts[u.kind], host)
		}
	}
	for _, kind := range slices.SortedFunc(maps.Keys(hosts), replica.MachineKind.Compare) {
		list := hosts[kind]
		slices.Sort(list)
		for part := range slices.Chunk(list, maxMachinesPerRequest) {
			n.adoptGroup(kind, part, now)
		}
	}
}

func (n *Controller) adoptGroup(kind replica.MachineKind, hosts []string, now time.Time) {
	n.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", n.settings.NodeName, n.startedAt.UnixMilli(), n.provisioner.requestCount)
	rec := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: len(hosts)}, RequestedAtMs: now.UnixMilli()}
	byShard := make(map[string][]string)
	for _, host := range hosts {
		shard := n.smallestShard(kind.Zone, kind.Type)
		n.provisioner.unrecorded[host] = unrecordedHost{recording: true, shard: shard, kind: kind}
		byShard[shard] = append(byShard[shard], host)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		for _, host := range byShard[shard] {
			rec.Allocate(shard)
			rec.Hosts = append(rec.Hosts, host)
		}
	}
	// A hire that is still without an answer may have rented these. If its answer
	// is recorded first, this fails. If this comes first, the hire's record gets a
	// new version, and an answer that was about to be recorded, or is recorded
	// late, fails: else a machine is put into two shards, with two owners.
	conds := []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}}
	ops := []kv.Op{{Key: records.ProvisionPrefix + name, Value: rec}}
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		if h := n.view.Provisions[name]; h.Version != 0 && h.Record.Type == kind.Type && h.Record.Zone == kind.Zone && h.Record.Spot == kind.Spot {
			again := h.Record
			conds = append(conds, kv.Compare{Key: records.ProvisionPrefix + h.Name, Version: h.Version})
			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + h.Name, Value: &again})
		}
	}
	if len(ops) > n.settings.RecordLimits().MaxTxnOps {
		for _, host := range hosts {
			delete(n.provisioner.unrecorded, host) // until fewer hires are without an answer
		}
		return
	}
	n.commit(kv.PriorityLease, conds, ops, 5*time.Second, func(err error) {
		if err == nil {
			n.log.Info("machines adopted", "hosts", len(hosts), "type", kind.Type, "zone", kind.Zone, "parts", rec.Allocations)
		}
		for _, host := range hosts {
			delete(n.provisioner.unrecorded, host)
		}
	})
}

// smallestShard is the shard with the fewest machines of a zone and type, the
// one with the least room among equals.
func (n *Controller) smallestShard(zone, typ string) string {
	cpus, like := make(map[string]float64), make(map[string]int)
	for _, s := range n.view.Shards {
		for k, count := range s.Kinds {
			cpus[s.Name] += n.view.MachineType(k.Type).CPUs * float64(count)
			if k.Zone == zone && k.Type == typ {
				like[s.Name] += count
			}
		}
	}
	for _, h := range n.view.Provisions {
		for _, p := range h.Record.Allocations {
			cpus[p.Shard] += n.view.MachineType(h.Record.Type).CPUs * float64(p.Count)
			if h.Record.Zone == zone && h.Record.Type == typ {
				like[p.Shard] += p.Count
			}
		}
	}
	for _, u := range n.provisioner.unrecorded {
		if u.recording {
			cpus[u.shard] += n.view.MachineType(u.kind.Type).CPUs
			if u.kind.Zone == zone && u.kind.Type == typ {
				like[u.shard]++
			}
		}
	}
	best := ""
	// Shards that nobody owns yet count as well: at the first start the first
	// one to be acquired would otherwise get every machine.
	for _, name := range n.view.ShardNames() {
		if best == "" || like[name] < like[best] || (like[name] == like[best] && cpus[name] < cpus[best]) {
			best = name
		}
	}
	return best
}

// listeningSince is from when on this process was there to hear a machine's reports.
func (n *Controller) listeningSince(m *replica.Machine) time.Time {
	if woke := n.pauses.ResumedAt(); woke.After(m.AdoptedAt) {
		return woke
	}
	return m.AdoptedAt
}

// hearingSince is from when on this process has heard a machine, by its answers at least.
func (n *Controller) hearingSince(m *replica.Machine) time.Time {
	if from := n.listeningSince(m); from.After(m.Agent.HeardAgainAt) {
		return from
	}
	return m.Agent.HeardAgainAt
}

// cannotReport tells that a machine answers at best, and does not report.
func (n *Controller) cannotReport(m *replica.Machine, now time.Time) bool {
	return health.CannotReport(m.Agent.LastHeartbeat, n.hearingSince(m), now, n.settings.Workers.LeaseDuration)
}

// silenceOf is how long a machine has given no sign of life to this owner.
func (n *Controller) silenceOf(m *replica.Machine, now time.Time) time.Duration {
	since := m.Agent.LastContact
	if from := n.listeningSince(m); from.After(since) {
		since = from // its silence while this process stood still is this process's own
	}
	return now.Sub(since)
}

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

// isOwnFault tells that nearly all of a shard's machines are silent together, which
// speaks for a fault of this node's own links. Machines that fell silent together
// do not all look silent for as long: each has its own beat. More than a beat
// without hearing from nearly all of them tells it, before the first is due for
// fencing.
func (n *Controller) isOwnFault(s *replica.Shard, now time.Time) bool {
	if !s.IsolationCheckedAt.Equal(now) { // once for all machines that one pass looks at
		s.IsolationCheckedAt, s.SelfIsolated = now, n.leastLoadedPeer() != "" && n.isSelfIsolated(s, n.maxHeartbeatGap(), now)
	}
	return s.SelfIsolated
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
