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
	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// machine is a rented machine, as recorded and as last reported.
type machine struct {
	host      string
	listed    string // its address in the cloud's list
	rec       records.Machine
	stamp     uint64
	adoptedAt time.Time // when this process began to answer for it

	rep     *protocol.Heartbeat // the newest, by session and sequence
	tasks   map[string]*protocol.TaskStatus
	heard   time.Time // latest sign of life
	said    time.Time // when a report of its own last arrived
	back    time.Time // since when it is heard again, after a silence
	running map[string]time.Time
	images  []records.CachedImage // most recently used last
	warned  time.Time

	queue    []protocol.Command // not sent yet
	sending  bool
	inflight []protocol.Command
	unsure   []sentStart // starts of unknown fate
	tried    map[string]time.Time
	stopped  map[string]time.Time

	asked      time.Time // when it was last asked for cancelled tasks by a node that may not act for it
	probing    bool
	mute       time.Time // when it last failed to answer a direct question
	hearing    health.Reachability
	returning  bool // a commit or a call to return it is under way
	returnNext time.Time
	idleSince  time.Time
	draining   time.Time                  // being emptied since, to be returned
	ev         quarantine.MachineEvidence // against it
	denied     time.Time                  // refused a start for want of room: nothing new before
	sick       bool
	sickAt     time.Time
	late       bool // it did not come up in time
	gone       bool // the cloud has taken it back, which may not be recorded yet

	use   *hostUse
	left  [3]float64 // CPUs, cards and memory that are free, unless stale
	stale bool
	// When its tasks should end and which may be displaced, unless undetailed.
	ends       []ending
	victims    []victim
	undetailed bool
	unclear    bool // something of unknown size is there

	floor uint64 // it has begun again since it was shown this token; 0: it has not
}

// sentStart is a direct start whose fate is unknown. Network and hung machines
// may hold it back for minutes and then execute it, as long as token and
// session still match. Until the machine shows a higher token or a later
// session, the attempt must not be forgotten by the worker (a reap would let
// the late command start it again) nor be counted as gone.
type sentStart struct {
	task    string
	try     uint64
	token   uint64
	session uint64
	at      time.Time
}

// wantRaise asks for a new token to settle a machine's commands of unknown fate. One
// that has given no sign of life since could not show it, nor can one that does not hear
// what it is sent, and each token is shown to every machine of the shard: with sixty
// machines hanging, several hundred calls went out every few seconds for nothing.
func (s *shard) wantRaise(m *machine) {
	if !m.hearing.Suspect() && slices.ContainsFunc(m.unsure, func(u sentStart) bool { return m.heard.After(u.at) }) {
		s.raise = true
	}
}

func (m *machine) address() string {
	if m.rep != nil && m.rep.Address != "" {
		return m.rep.Address
	}
	return m.listed
}

func (n *Controller) storeMachine(host string, r *records.Machine, stamp uint64) {
	m := n.machines[host]
	if r == nil {
		return // kept as a tombstone: a return is final
	}
	if m == nil {
		m = &machine{host: host, adoptedAt: time.Now(), running: make(map[string]time.Time),
			tried: make(map[string]time.Time), stopped: make(map[string]time.Time)}
		m.use = n.hostUse(host)
		m.use.m = m
		n.machines[host] = m
		delete(n.unknown, host)
		m.rec = *r
		if r.State == "" {
			n.shard(r.Shard).enlist(m)
		}
		n.recallImages(m)
	}
	m.rec, m.stamp, m.stale, m.undetailed = *r, stamp, true, true
	n.shard(r.Shard).stirred = true
	if r.State != "" {
		n.shard(r.Shard).discharge(m)
	}
	if r.State == records.MachineReturning {
		n.returns[host] = m
	} else {
		delete(n.returns, host)
	}
	if r.State == records.MachineGone {
		for _, p := range m.use.places {
			n.mark(p.c)
		}
		// Only the tombstone stays in memory, and what its worker has said of
		// tasks whose end is not booked yet.
		m.rep, m.images, m.queue, m.inflight, m.unsure = nil, nil, nil, nil, nil
		if len(m.use.places) == 0 {
			m.tasks = nil
		}
		m.running, m.tried, m.stopped, m.ev = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, quarantine.MachineEvidence{}
	}
}

func (m *machine) kind() machineKind { return machineKind{m.rec.Type, m.rec.Zone, m.rec.Spot} }

// enlist and discharge keep a shard's list of machines in use.
func (s *shard) enlist(m *machine) {
	at, _ := slices.BinarySearchFunc(s.machines, m.host, func(x *machine, host string) int { return strings.Compare(x.host, host) })
	s.machines = slices.Insert(s.machines, at, m)
	s.kinds[m.kind()]++
}

func (s *shard) discharge(m *machine) {
	at, ok := slices.BinarySearchFunc(s.machines, m.host, func(x *machine, host string) int { return strings.Compare(x.host, host) })
	if ok {
		s.machines = slices.Delete(s.machines, at, at+1)
		if k := m.kind(); s.kinds[k] > 1 {
			s.kinds[k]--
		} else {
			delete(s.kinds, k)
		}
	}
}

// observe takes a worker's account, from a report or a direct answer. It
// returns false when a newer one was seen before, or it may be of a former life.
func (n *Controller) observe(m *machine, r *protocol.Heartbeat) bool {
	if m.rep != nil && (!accountOf(r).Supersedes(accountOf(m.rep)) || !accountOf(r).Valid(m.floor)) {
		return false
	}
	n.takeAccount(m, r)
	return true
}

func accountOf(r *protocol.Heartbeat) health.Incarnation {
	return health.Incarnation{AgentEpoch: r.AgentEpoch, Sequence: r.Sequence, FencingToken: r.FencingToken}
}

// beganAgain takes the first account of a machine's later life, an answer to a
// direct question. Messages of the former life may still come and look newer: one
// of them could show a task as ended that runs again. So a higher token is shown,
// and until then nothing that the machine says counts.
func (n *Controller) beganAgain(s *shard, m *machine, r *protocol.Heartbeat) {
	n.log.Info("machine began again", "host", m.host, "seq", r.Sequence, "was", m.rep.Sequence, "session", r.AgentEpoch)
	m.floor = max(m.floor, m.rep.FencingToken, s.token)
	s.raise = true
	m.queue, m.running = nil, make(map[string]time.Time)
	m.tried, m.stopped = make(map[string]time.Time), make(map[string]time.Time)
	delete(n.outbox, m)
	n.takeAccount(m, r)
}

func (n *Controller) takeAccount(m *machine, r *protocol.Heartbeat) {
	now := time.Now()
	if m.rep == nil {
		n.cameUp(m, now)
	}
	if m.rep != nil && r.AgentEpoch > m.rep.AgentEpoch {
		m.hearing.RecordNewEpoch(now)
	}
	anew := m.rep == nil || m.rep.FencingToken != r.FencingToken || m.rep.AgentEpoch != r.AgentEpoch
	before := m.tasks
	if n.silence(m, now) > n.pol.SuspectAfter {
		m.back = now // its reports may take a moment longer than its answers
	}
	m.rep, m.heard = r, now
	m.tasks = make(map[string]*protocol.TaskStatus, len(r.Tasks))
	news := anew || len(before) != len(r.Tasks)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		m.tasks[t.Task] = t
		if was := before[t.Task]; was == nil || was.Phase != t.Phase || was.Attempt != t.Attempt {
			news = true
		}
		if t.Phase == protocol.TaskRunning || t.Phase == protocol.TaskWaitingForGang {
			if _, ok := m.running[t.Task]; !ok {
				m.running[t.Task] = now
				n.log.Debug("task runs", "task", t.Task, "try", t.Attempt, "host", m.host)
				if spec := n.specOf(t.Task); spec != nil {
					m.touchImage(spec.Image, spec.ImageGB, n.typeOf(m.rec.Type).ImageCacheGB)
				}
			}
		}
	}
	for task := range m.running {
		if _, ok := m.tasks[task]; !ok {
			delete(m.running, task)
		}
	}
	m.unsure = slices.DeleteFunc(m.unsure, func(u sentStart) bool { return r.FencingToken > u.token || r.AgentEpoch > u.session })
	if r.PreemptionNoticeS != nil && m.warned.IsZero() {
		m.warned = now
		n.log.Info("spot notice", "host", m.host, "seconds", *r.PreemptionNoticeS)
	}
	// Only claims about which the report says something new are looked at, and
	// those it does not mention.
	for name, p := range m.use.places {
		was, is := before[name], m.tasks[name]
		if anew || is == nil || was == nil || was.Phase != is.Phase || was.Attempt != is.Attempt {
			n.mark(p.c)
		}
	}
	if news {
		m.stale, m.undetailed = true, true
		n.shard(m.rec.Shard).stirred = true
		n.poke()
	}
}

func (n *Controller) specOf(task string) *protocol.Submission {
	ref, _, ok := protocol.ParseTaskName(task)
	if j := n.jobs[ref]; ok && j != nil && j.rec != nil {
		return j.spec()
	}
	return nil
}

func (n *Controller) typeOf(name string) protocol.MachineType {
	if t := n.types[name]; t != nil {
		return *t
	}
	return protocol.MachineType{}
}

// settled tells whether a machine's own account shows the current token: then
// no command of an earlier owner can act any more, and the account is complete.
func (m *machine) settled(s *shard) bool {
	return m.rep != nil && s.token != 0 && m.rep.FencingToken >= s.token && accountOf(m.rep).Valid(m.floor)
}

// outstanding tells whether a start of this attempt may still be executed.
func (m *machine) outstanding(task string, try uint64) bool {
	same := func(c protocol.Command) bool { return c.Verb == "start" && c.Task == task && c.Attempt == try }
	return slices.ContainsFunc(m.queue, same) || slices.ContainsFunc(m.inflight, same) ||
		slices.ContainsFunc(m.unsure, func(u sentStart) bool { return u.task == task && u.try == try })
}

// order queues commands for a machine until the next flush.
func (n *Controller) order(s *shard, m *machine, cmds ...protocol.Command) {
	if m.rec.State != "" || s.token == 0 || m.address() == "" {
		return
	}
	m.queue = append(m.queue, cmds...)
	n.outbox[m] = struct{}{}
}

// flush sends what has been ordered: the commands for one machine go together.
func (n *Controller) flush(s *shard) {
	machines := slices.SortedFunc(maps.Keys(n.outbox), func(a, b *machine) int { return strings.Compare(a.host, b.host) })
	clear(n.outbox)
	for _, m := range machines {
		n.send(s, m)
	}
}

const commandTimeout = 3 * time.Second

// send delivers the queued commands, one call at a time for each machine.
func (n *Controller) send(s *shard, m *machine) {
	if m.sending || m.rep == nil {
		return
	}
	m.sending = true
	m.inflight, m.queue = m.queue, nil
	body := protocol.CommandRequest{FencingToken: s.token, AgentEpoch: m.rep.AgentEpoch, Commands: m.inflight}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	addr, ctx := m.address(), n.ctx
	n.log.Debug("commands", "host", m.host, "token", body.FencingToken, "orders", body.Commands)
	go func() {
		var r protocol.Heartbeat
		status, err := n.call(ctx, addr, "POST", protocol.PathCommands, body, &r, commandTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.sent(m, body, &r, status, err)
	}()
}

func (n *Controller) sent(m *machine, body protocol.CommandRequest, r *protocol.Heartbeat, status int, err error) {
	m.sending = false
	m.inflight = nil
	switch {
	case err != nil && !errors.Is(err, transport.ErrNotSent), err == nil && status != 200 && status != 409:
		n.log.Debug("commands of unknown fate", "host", m.host, "status", status, "err", err)
		m.hearing.RecordFailure(time.Now(), m.heard)
		for _, c := range body.Commands {
			if c.Verb == "start" {
				m.unsure = append(m.unsure, sentStart{c.Task, c.Attempt, body.FencingToken, body.AgentEpoch, time.Now()})
			}
		}
	case err == nil && r.Host == m.host:
		m.hearing.RecordAnswer(time.Now())
		n.observe(m, r)
	}
	if s := n.shards[m.rec.Shard]; len(m.queue) > 0 && s != nil && s.token != 0 && m.rec.State == "" {
		n.send(s, m)
	}
	n.poke()
}

var misdirected = transport.Response{Status: 421, Body: []byte("{}")}

// steward sends a worker to another controller.
func steward(node string) transport.Response {
	b, _ := json.Marshal(protocol.Redirect{Node: node})
	return transport.Response{Status: 421, Body: b}
}

func unavailable(after int) transport.Response {
	return transport.Response{Status: 503, Body: []byte(`{"error":"not now"}`), RetryAfter: after}
}

// handleReport answers a worker.
func (n *Controller) handleReport(body []byte, reply func(transport.Response)) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	n.mu.Lock()
	n.look(time.Now())
	resp := n.report(r)
	n.mu.Unlock()
	reply(resp)
}

func (n *Controller) report(r *protocol.Heartbeat) transport.Response {
	if !n.loaded {
		if kept, ok := n.keepUnread(r, time.Now()); ok {
			return kept
		}
		return unavailable(1)
	}
	m := n.machines[r.Host]
	if m == nil {
		n.adopt(r.Host, r.Type, r.Zone, r.Spot)
		if _, live := n.nodes[n.lead]; live && n.lead != n.cfg.NodeName {
			return steward(n.lead)
		}
		return unavailable(1)
	}
	if m.rec.State != "" {
		return misdirected
	}
	s := n.shards[m.rec.Shard]
	if s != nil && s.heir != "" {
		return steward(s.heir)
	}
	if s == nil || s.token == 0 {
		if s != nil && s.rec != nil && s.rec.Owner != n.cfg.NodeName {
			if kept, ok := n.keepLease(s, r, time.Now()); ok {
				return kept
			}
			if _, live := n.nodes[s.rec.Owner]; live {
				return steward(s.rec.Owner)
			}
		}
		return unavailable(1)
	}
	if r.FencingToken > s.token {
		// Someone else owns the shard by now. A 200 would hold the worker here
		// while its lease runs out.
		return misdirected
	}
	doubtful := m.rep != nil && health.MayBeRestarted(accountOf(m.rep), accountOf(r))
	if doubtful && !m.probing {
		n.probe(m)
	}
	answer := protocol.HeartbeatResponse{FencingToken: s.token, Commands: []protocol.Command{}}
	// What a message from who knows when says is no ground for orders, and what was
	// said before it may be of a former life.
	if !doubtful && n.observe(m, r) {
		m.said = time.Now()
	}
	if !doubtful && n.active(s) {
		answer.Commands = append(answer.Commands, n.housekeeping(s, m)...)
	}
	b, err := protocol.Encode(answer)
	if err != nil {
		return unavailable(1)
	}
	return transport.Response{Status: 200, Body: b}
}

// housekeeping is what a report's answer orders: an end to what should not
// run, and the reaping of what has exited and is booked. Commands in answers
// are never executed late, which is why reaps go nowhere else.
func (n *Controller) housekeeping(s *shard, m *machine) []protocol.Command {
	var out []protocol.Command
	if !m.settled(s) && m.rep.FencingToken != 0 && m.rep.FencingToken < s.token {
		// The worker has yet to show the token; wait for its next account.
		return nil
	}
	now := time.Now()
	for i := range m.rep.Tasks {
		t := &m.rep.Tasks[i]
		c, p := n.placementOf(m, t.Task)
		if p != nil && p.Attempt == t.Attempt {
			if grace, stop := n.wantStop(c, p, now); stop && t.Phase != protocol.TaskExited && (t.Phase != protocol.TaskCheckpointing || grace == 0) {
				out = append(out, protocol.StopCommand(t.Task, t.Attempt, grace))
			} else if !stop && t.Phase == protocol.TaskExited && t.Cause == protocol.CauseGangTimeout && !m.outstanding(t.Task, t.Attempt) {
				out = append(out, protocol.ReapCommand(t.Task, t.Attempt)) // to start again
			}
			continue
		}
		if t.Phase != protocol.TaskExited {
			out = append(out, protocol.StopCommand(t.Task, t.Attempt, 0))
			continue
		}
		if m.outstanding(t.Task, t.Attempt) {
			s.wantRaise(m)
			continue
		}
		out = append(out, protocol.ReapCommand(t.Task, t.Attempt))
	}
	return out
}

// placementOf finds the claim of a reported task and its placement on a host.
func (n *Controller) placementOf(m *machine, task string) (*claim, *records.Placement) {
	host := m.host
	if p := m.use.places[task]; p != nil && p.c.pend == nil {
		return p.c, &records.Placement{Task: p.task, Attempt: p.try, Host: host}
	}
	ref, num, ok := protocol.ParseTaskName(task)
	j := n.jobs[ref]
	if !ok || j == nil || j.size == 0 {
		return nil, nil
	}
	c := j.claims[num/j.size]
	if c == nil {
		return nil, nil
	}
	for _, rec := range []*records.Claim{c.rec, c.pend} {
		if rec == nil {
			continue
		}
		for i := range rec.Placements {
			if rec.Placements[i].Task == num && rec.Placements[i].Host == host {
				return c, &rec.Placements[i]
			}
		}
	}
	return c, nil
}

// adopt notes a machine that nobody expected. The leader alone records such
// machines: several nodes that choose shards at once, each blind to the others,
// would all put theirs into the same one.
func (n *Controller) adopt(host, typ, zone string, loaner bool) {
	if _, seen := n.unknown[host]; !seen && n.leading() {
		n.unknown[host] = unknownHost{first: time.Now(), kind: machineKind{typ, zone, loaner}}
	}
}

// adoptKnown records the machines noted, all of a kind together.
func (n *Controller) adoptKnown(now time.Time) {
	hosts := make(map[machineKind][]string)
	for host, u := range n.unknown {
		// The answer to a hire may just be on its way; it knows better.
		patience := time.Duration(0)
		if len(n.hires) > 0 {
			patience = 3 * time.Second
		}
		if !u.busy && now.Sub(u.first) >= patience && n.types[u.kind.typ] != nil {
			hosts[u.kind] = append(hosts[u.kind], host)
		}
	}
	for _, kind := range slices.SortedFunc(maps.Keys(hosts), machineKind.compare) {
		list := hosts[kind]
		slices.Sort(list)
		for part := range slices.Chunk(list, maxHire) {
			n.adoptGroup(kind, part, now)
		}
	}
}

func (n *Controller) adoptGroup(kind machineKind, hosts []string, now time.Time) {
	n.fleet.counter++
	name := fmt.Sprintf("%s-%d-%d", n.cfg.NodeName, n.boot.UnixMilli(), n.fleet.counter)
	rec := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: name, Type: kind.typ, Zone: kind.zone, Spot: kind.loaner, Count: len(hosts)}, RequestedAtMs: now.UnixMilli()}
	byShard := make(map[string][]string)
	for _, host := range hosts {
		shard := n.smallestShard(kind.zone, kind.typ)
		n.unknown[host] = unknownHost{busy: true, shard: shard, kind: kind}
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
	conds := []kv.Compare{{Key: records.LeaderKey, Version: n.leadStamp}, {Key: records.ProvisionPrefix + name, Version: 0}}
	ops := []kv.Op{{Key: records.ProvisionPrefix + name, Value: rec}}
	for _, name := range slices.Sorted(maps.Keys(n.hires)) {
		if h := n.hires[name]; h.stamp != 0 && h.rec.Type == kind.typ && h.rec.Zone == kind.zone && h.rec.Spot == kind.loaner {
			again := h.rec
			conds = append(conds, kv.Compare{Key: records.ProvisionPrefix + h.name, Version: h.stamp})
			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + h.name, Value: &again})
		}
	}
	if len(ops) > n.cfg.RecordLimits().MaxTxnOps {
		for _, host := range hosts {
			delete(n.unknown, host) // until fewer hires are without an answer
		}
		return
	}
	n.commit(kv.PriorityLease, conds, ops, 5*time.Second, func(err error) {
		if err == nil {
			n.log.Info("machines adopted", "hosts", len(hosts), "type", kind.typ, "zone", kind.zone, "parts", rec.Allocations)
		}
		for _, host := range hosts {
			delete(n.unknown, host)
		}
	})
}

// smallestShard is the shard with the fewest machines of a zone and type, the
// one with the least room among equals.
func (n *Controller) smallestShard(zone, typ string) string {
	cpus, like := make(map[string]float64), make(map[string]int)
	for _, s := range n.shards {
		for k, count := range s.kinds {
			cpus[s.name] += n.typeOf(k.typ).CPUs * float64(count)
			if k.zone == zone && k.typ == typ {
				like[s.name] += count
			}
		}
	}
	for _, h := range n.hires {
		for _, p := range h.rec.Allocations {
			cpus[p.Shard] += n.typeOf(h.rec.Type).CPUs * float64(p.Count)
			if h.rec.Zone == zone && h.rec.Type == typ {
				like[p.Shard] += p.Count
			}
		}
	}
	for _, u := range n.unknown {
		if u.busy {
			cpus[u.shard] += n.typeOf(u.kind.typ).CPUs
			if u.kind.zone == zone && u.kind.typ == typ {
				like[u.shard]++
			}
		}
	}
	best := ""
	// Shards that nobody owns yet count as well: at the first start the first
	// one to be acquired would otherwise get every machine.
	for _, name := range n.shardNames() {
		if best == "" || like[name] < like[best] || (like[name] == like[best] && cpus[name] < cpus[best]) {
			best = name
		}
	}
	return best
}

func (n *Controller) shardNames() []string {
	names := make([]string, 0, len(n.shards))
	for name := range n.shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// listensSince is from when on this process was there to hear a machine's reports.
func (n *Controller) listensSince(m *machine) time.Time {
	if woke := n.beat.ResumedAt(); woke.After(m.adoptedAt) {
		return woke
	}
	return m.adoptedAt
}

// hearsSince is from when on this process has heard a machine, by its answers at least.
func (n *Controller) hearsSince(m *machine) time.Time {
	if from := n.listensSince(m); from.After(m.back) {
		return from
	}
	return m.back
}

// mute tells that a machine answers at best, and does not report.
func (n *Controller) mute(m *machine, now time.Time) bool {
	return health.CannotReport(m.said, n.hearsSince(m), now, n.cfg.Workers.LeaseDuration)
}

// silence is how long a machine has given no sign of life to this owner.
func (n *Controller) silence(m *machine, now time.Time) time.Duration {
	since := m.heard
	if from := n.listensSince(m); from.After(since) {
		since = from // its silence while this process stood still is this process's own
	}
	return now.Sub(since)
}

// probeLoop asks silent machines directly and fences those that stay silent.
func (n *Controller) probeLoop(ctx context.Context) {
	for n.pause(ctx, 300*time.Millisecond) {
		n.mu.Lock()
		now := time.Now()
		n.look(now)
		n.weighZones(now)
		for _, name := range n.shardNames() {
			if s := n.shards[name]; n.active(s) {
				for _, m := range s.machines {
					n.tendMachine(s, m, now)
					n.weigh(m, now)
				}
				n.noteImages(s, now)
			}
		}
		n.enforceCancels(now)
		n.mu.Unlock()
	}
}

func (n *Controller) tendMachine(s *shard, m *machine, now time.Time) {
	quiet := n.silence(m, now)
	if m.rep == nil {
		// Not heard by this process yet: it may be booting, or report elsewhere.
		if m.listed != "" && quiet > n.pol.SuspectAfter && !m.probing {
			n.probe(m)
		}
		if quiet > n.fenceAfter(m, 2*n.pol.FenceAfter, now) && len(m.use.places) > 0 && !m.returning {
			n.log.Info("fencing a machine that does not come to its new owner", "host", m.host)
			n.returnMachine(s, m)
		}
		return
	}
	// A mute one tells only when asked that its lease has ended, with what it ran.
	if (quiet > n.pol.ProbeAfter || m.hearing.ShouldProbe(now, m.heard) || (quiet > n.cfg.Workers.HeartbeatInterval/2 && n.mute(m, now))) && !m.probing {
		n.probe(m)
	}
	s.wantRaise(m)
	if health.Unreachable(m.said, n.hearsSince(m), now, n.cfg.Workers.LeaseDuration) && quiet <= n.pol.SuspectAfter && !m.returning && !n.ownFault(s, now) && !n.stateDown(now) && m.showsNone() {
		// It answers, but its lease ends again and again, with all that it is given.
		n.log.Info("fencing a machine whose reports do not arrive", "host", m.host)
		n.returnMachine(s, m)
		return
	}
	if m.hearing.CannotReceive() && !m.settled(s) && !m.returning && len(m.use.places) > 0 && !n.stateDown(now) && m.showsNone() {
		// It can't be shown the token, so nothing it says proves anything, and what was
		// placed there is not there any more: its lease has run out while it did not hear.
		n.log.Info("fencing a machine that does not hear and has lost what it ran", "host", m.host)
		n.returnMachine(s, m)
		return
	}
	fence := n.pol.FenceAfter
	if quiet > n.pol.FenceReplicasAfter && m.runsReplicas() {
		fence = n.pol.FenceReplicasAfter
	}
	if !m.warned.IsZero() {
		fence = n.pol.SuspectAfter // it was announced to go
	}
	fence = n.fenceAfter(m, fence, now)
	// A direct question must have failed since: reports alone may be held up.
	if quiet <= fence || m.returning || !m.mute.After(m.heard) {
		return
	}
	if n.ownFault(s, now) && quiet < 3*fence {
		return // cutOff deals with it
	}
	if n.stateDown(now) {
		return // nothing can be recorded now; it may be heard before that changes
	}
	n.log.Info("fencing a silent machine", "host", m.host, "silent", quiet)
	n.returnMachine(s, m)
}

// showsNone tells that a machine shows none of what is placed there as being on it.
func (m *machine) showsNone() bool {
	for name := range m.use.places {
		if t := m.tasks[name]; t != nil && t.Phase != protocol.TaskExited {
			return false
		}
	}
	return true
}

// ownFault tells that nearly all of a shard's machines are silent together, which
// speaks for a fault of this node's own links. Machines that fell silent together
// do not all look silent for as long: each has its own beat. More than a beat
// without hearing from nearly all of them tells it, before the first is due for
// fencing.
func (n *Controller) ownFault(s *shard, now time.Time) bool {
	if !s.weighedAlone.Equal(now) { // once for all machines that one pass looks at
		s.weighedAlone, s.alone = now, n.otherLive() != "" && n.alone(s, n.reportBeat(), now)
	}
	return s.alone
}

// probeTimeout is no multiple of the probe loop's period: whether a probe ended
// before or after the pass at the same instant would be left to chance.
const probeTimeout = 1480 * time.Millisecond

// probe asks a machine for its account. An answer proves it alive even when
// its reports do not arrive.
func (n *Controller) probe(m *machine) {
	m.probing = true
	addr, ctx, began, before := m.address(), n.ctx, time.Now(), m.rep
	go func() {
		var r protocol.Heartbeat
		status, err := n.call(ctx, addr, "GET", protocol.PathStatus, nil, &r, probeTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		m.probing = false
		if err == nil && status == 200 && r.Host == m.host {
			m.hearing.RecordAnswer(time.Now())
			if s := n.shards[m.rec.Shard]; before != nil && m.rep != nil && m.rec.State == "" && health.HasRestarted(accountOf(before), accountOf(&r)) {
				n.beganAgain(s, m, &r)
			} else {
				n.observe(m, &r)
			}
			// It answers and has yet to see the token: its worker may be held by an
			// earlier owner, which the state service and the others do not reach. Once
			// it has seen the token, no answer of that one counts any more.
			s := n.shards[m.rec.Shard]
			if n.active(s) && m.rec.State == "" && r.FencingToken < s.token {
				n.send(s, m)
			}
			if !n.active(s) {
				n.stopStrayed(m, &r)
			}
			return
		}
		n.look(time.Now())
		if began.After(n.beat.ResumedAt()) {
			m.mute = time.Now() // else nobody was there to hear the answer
			m.hearing.RecordFailure(m.mute, m.heard)
		}
	}()
}
