package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// machine is a rented machine, as recorded and as last reported.
type machine struct {
	host      string
	rec       ledger.Machine
	stamp     uint64
	adoptedAt time.Time // when this process began to answer for it

	rep     *protocol.Report // the newest, by session and sequence
	tasks   map[string]*protocol.TaskReport
	heard   time.Time // latest sign of life
	running map[string]time.Time
	images  []ledger.ImageUse // most recently used last
	noting  bool              // its images are being recorded
	noted   time.Time
	warned  time.Time

	queue    []protocol.Command // not sent yet
	sending  bool
	inflight []protocol.Command
	unsure   []sentStart // starts of unknown fate
	tried    map[string]time.Time
	stopped  map[string]time.Time

	probing    bool
	mute       time.Time // when it last failed to answer a direct question
	returning  bool      // a commit or a call to return it is under way
	returnNext time.Time
	idleSince  time.Time
	draining   time.Time            // being emptied since, to be returned
	errorJobs  map[string]time.Time // jobs whose tasks failed here, cleared by a success
	denied     time.Time            // refused a start for want of room: nothing new before
	sick       bool
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
}

func (m *machine) address() string {
	if m.rep != nil && m.rep.Addr != "" {
		return m.rep.Addr
	}
	return m.rec.Addr
}

func (n *Node) storeMachine(host string, r *ledger.Machine, stamp uint64) {
	m := n.machines[host]
	if r == nil {
		return // kept as a tombstone: a return is final
	}
	if m == nil {
		m = &machine{host: host, adoptedAt: time.Now(), running: make(map[string]time.Time),
			tried: make(map[string]time.Time), stopped: make(map[string]time.Time), errorJobs: make(map[string]time.Time)}
		n.machines[host] = m
		delete(n.unknown, host)
	}
	m.rec, m.stamp = *r, stamp
	if len(m.images) == 0 {
		m.images = slices.Clone(r.Images)
	}
	if r.State == ledger.Gone {
		// Only the tombstone stays in memory.
		m.rep, m.tasks, m.images, m.queue, m.inflight, m.unsure = nil, nil, nil, nil, nil, nil
		m.running, m.tried, m.stopped, m.errorJobs = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	}
}

// holds tells whether a machine's cache holds an image, as far as known.
func (m *machine) holds(image string) bool {
	return slices.ContainsFunc(m.images, func(u ledger.ImageUse) bool { return u.Name == image })
}

func (m *machine) touchImage(name string, gb, cache float64) {
	m.images = slices.DeleteFunc(m.images, func(u ledger.ImageUse) bool { return u.Name == name })
	m.images = append(m.images, ledger.ImageUse{Name: name, GB: gb})
	total := 0.0
	for _, u := range m.images {
		total += u.GB
	}
	for len(m.images) > 1 && cache > 0 && total > cache {
		total -= m.images[0].GB
		m.images = m.images[1:]
	}
}

// observe takes a worker's account, from a report or a direct answer. It
// returns false when a newer one was seen before.
func (n *Node) observe(m *machine, r *protocol.Report) bool {
	if m.rep != nil && (r.Session < m.rep.Session || (r.Session == m.rep.Session && r.Seq <= m.rep.Seq)) {
		return false
	}
	now := time.Now()
	m.rep, m.heard = r, now
	m.tasks = make(map[string]*protocol.TaskReport, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		m.tasks[t.Task] = t
		if t.Phase == protocol.TaskRunning || t.Phase == protocol.TaskWaiting {
			if _, ok := m.running[t.Task]; !ok {
				m.running[t.Task] = now
				n.log.Debug("task runs", "task", t.Task, "try", t.Try, "host", m.host)
				if spec := n.specOf(t.Task); spec != nil {
					m.touchImage(spec.Image, spec.ImageGB, n.typeOf(m.rec.Type).CacheGB)
				}
			}
		}
	}
	for task := range m.running {
		if _, ok := m.tasks[task]; !ok {
			delete(m.running, task)
		}
	}
	m.unsure = slices.DeleteFunc(m.unsure, func(u sentStart) bool { return r.Token > u.token || r.Session > u.session })
	if r.WarningS != nil && m.warned.IsZero() {
		m.warned = now
		n.log.Info("spot notice", "host", m.host, "seconds", *r.WarningS)
	}
	n.poke()
	return true
}

func (n *Node) specOf(task string) *protocol.Submission {
	ref, _, ok := protocol.SplitTask(task)
	if j := n.jobs[ref]; ok && j != nil && j.rec != nil {
		return j.rec.Spec
	}
	return nil
}

func (n *Node) typeOf(name string) protocol.MachineType {
	if t := n.types[name]; t != nil {
		return *t
	}
	return protocol.MachineType{}
}

// settled tells whether a machine's own account shows the current token: then
// no command of an earlier owner can act any more, and the account is complete.
func (m *machine) settled(s *shard) bool {
	return m.rep != nil && s.token != 0 && m.rep.Token >= s.token
}

// outstanding tells whether a start of this attempt may still be executed.
func (m *machine) outstanding(task string, try uint64) bool {
	same := func(c protocol.Command) bool { return c.Verb == "start" && c.Task == task && c.Try == try }
	return slices.ContainsFunc(m.queue, same) || slices.ContainsFunc(m.inflight, same) ||
		slices.ContainsFunc(m.unsure, func(u sentStart) bool { return u.task == task && u.try == try })
}

// order queues commands for a machine and sends them at once.
func (n *Node) order(s *shard, m *machine, cmds ...protocol.Command) {
	if m.rec.State != "" || s.token == 0 || m.address() == "" {
		return
	}
	m.queue = append(m.queue, cmds...)
	n.send(s, m)
}

const commandTimeout = 3 * time.Second

// send delivers the queued commands, one call at a time for each machine.
func (n *Node) send(s *shard, m *machine) {
	if m.sending || m.rep == nil {
		return
	}
	m.sending = true
	m.inflight, m.queue = m.queue, nil
	body := protocol.DirectCommands{Token: s.token, Session: m.rep.Session, Commands: m.inflight}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	addr, ctx := m.address(), n.ctx
	n.log.Debug("commands", "host", m.host, "token", body.Token, "orders", body.Commands)
	go func() {
		var r protocol.Report
		status, err := n.call(ctx, addr, "POST", protocol.PathCommands, body, &r, commandTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.sent(m, body, &r, status, err)
	}()
}

func (n *Node) sent(m *machine, body protocol.DirectCommands, r *protocol.Report, status int, err error) {
	m.sending = false
	m.inflight = nil
	switch {
	case err != nil && !errors.Is(err, transport.ErrNotSent), err == nil && status != 200 && status != 409:
		n.log.Debug("commands of unknown fate", "host", m.host, "status", status, "err", err)
		for _, c := range body.Commands {
			if c.Verb == "start" {
				m.unsure = append(m.unsure, sentStart{c.Task, c.Try, body.Token, body.Session})
			}
		}
	case err == nil && r.Host == m.host:
		n.observe(m, r)
	}
	if s := n.shards[m.rec.Shard]; len(m.queue) > 0 && s != nil && s.token != 0 && m.rec.State == "" {
		n.send(s, m)
	}
	n.poke()
}

var misdirected = transport.Response{Status: 421, Body: []byte("{}")}

func unavailable(after int) transport.Response {
	return transport.Response{Status: 503, Body: []byte(`{"error":"not now"}`), RetryAfter: after}
}

// handleReport answers a worker.
func (n *Node) handleReport(body []byte, reply func(transport.Response)) {
	r, err := protocol.ParseReport(body)
	if err != nil {
		reply(badRequest(err))
		return
	}
	n.mu.Lock()
	resp := n.report(r)
	n.mu.Unlock()
	reply(resp)
}

func (n *Node) report(r *protocol.Report) transport.Response {
	if !n.loaded {
		return unavailable(1)
	}
	m := n.machines[r.Host]
	if m == nil {
		n.adopt(r.Host, r.Type, r.Zone, r.Spot, r.Addr)
		return unavailable(1)
	}
	if m.rec.State != "" {
		return misdirected
	}
	s := n.shards[m.rec.Shard]
	if s == nil || s.token == 0 {
		if s != nil && s.rec != nil && s.rec.Owner != n.cfg.Node {
			if _, live := n.nodes[s.rec.Owner]; live {
				b, _ := json.Marshal(protocol.Steward{Node: s.rec.Owner})
				return transport.Response{Status: 421, Body: b}
			}
		}
		return unavailable(1)
	}
	if r.Token > s.token {
		// Someone else owns the shard by now. A 200 would hold the worker here
		// while its lease runs out.
		return misdirected
	}
	n.observe(m, r)
	answer := protocol.ReportAnswer{Token: s.token, Commands: []protocol.Command{}}
	if n.active(s) {
		answer.Commands = append(answer.Commands, n.housekeeping(s, m)...)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		return unavailable(1)
	}
	return transport.Response{Status: 200, Body: b}
}

// housekeeping is what a report's answer orders: an end to what should not
// run, and the reaping of what has exited and is booked. Commands in answers
// are never executed late, which is why reaps go nowhere else.
func (n *Node) housekeeping(s *shard, m *machine) []protocol.Command {
	var out []protocol.Command
	if !m.settled(s) && m.rep.Token != 0 && m.rep.Token < s.token {
		// The worker has yet to show the token; wait for its next account.
		return nil
	}
	now := time.Now()
	for i := range m.rep.Tasks {
		t := &m.rep.Tasks[i]
		c, p := n.placementOf(m.host, t.Task)
		if p != nil && p.Try == t.Try {
			if grace, stop := n.wantStop(c, p, now); stop && t.Phase != protocol.TaskExited && (t.Phase != protocol.TaskSaving || grace == 0) {
				out = append(out, protocol.Stop(t.Task, t.Try, grace))
			}
			continue
		}
		if t.Phase != protocol.TaskExited {
			out = append(out, protocol.Stop(t.Task, t.Try, 0))
			continue
		}
		if m.outstanding(t.Task, t.Try) {
			s.raise = true
			continue
		}
		out = append(out, protocol.Reap(t.Task, t.Try))
	}
	return out
}

// placementOf finds the claim of a reported task and its placement on a host.
func (n *Node) placementOf(host, task string) (*claim, *ledger.Placement) {
	ref, num, ok := protocol.SplitTask(task)
	j := n.jobs[ref]
	if !ok || j == nil || j.size == 0 {
		return nil, nil
	}
	c := j.claims[num/j.size]
	if c == nil {
		return nil, nil
	}
	for _, rec := range []*ledger.Claim{c.rec, c.pend} {
		if rec == nil {
			continue
		}
		for i := range rec.Open {
			if rec.Open[i].Task == num && rec.Open[i].Host == host {
				return c, &rec.Open[i]
			}
		}
	}
	return c, nil
}

// adopt records a machine that nobody expected, in the shard with the fewest.
func (n *Node) adopt(host, typ, zone string, spot bool, addr string) {
	// The leader alone chooses: several nodes that choose at once, each blind to
	// the others, would all put their machines into the same shard.
	if n.leadStamp == 0 || (n.lead != n.cfg.Node && n.nodes[n.lead].stamp != 0) {
		return
	}
	u, seen := n.unknown[host]
	now := time.Now()
	if !seen {
		u.first = now
		n.unknown[host] = u
	}
	// The answer to a hire may just be on its way; it knows better.
	patience := time.Duration(0)
	if len(n.hires) > 0 {
		patience = 3 * time.Second
	}
	target := n.smallestShard(zone, typ)
	if u.busy || now.Sub(u.first) < patience || target == "" || n.types[typ] == nil {
		return
	}
	u.busy, u.shard, u.zone, u.typ = true, target, zone, typ
	n.unknown[host] = u
	rec := &ledger.Machine{Shard: target, Type: typ, Zone: zone, Spot: spot, Addr: addr, Born: now.UnixMilli()}
	n.commit(ledger.PrioRest, []ledger.Cond{{Key: ledger.MachineKeys + host, Stamp: 0}},
		[]ledger.Op{{Key: ledger.MachineKeys + host, Value: rec}}, 5*time.Second, func(err error) {
			if err == nil {
				n.log.Info("machine adopted", "host", host, "shard", target)
			}
			delete(n.unknown, host)
		})
}

// smallestShard is the shard with the fewest machines of a zone and type, the
// one with the least room among equals.
func (n *Node) smallestShard(zone, typ string) string {
	cpus, like := make(map[string]float64), make(map[string]int)
	for _, m := range n.machines {
		if m.rec.State != "" {
			continue
		}
		cpus[m.rec.Shard] += n.typeOf(m.rec.Type).CPUs
		if m.rec.Zone == zone && m.rec.Type == typ {
			like[m.rec.Shard]++
		}
	}
	for _, h := range n.hires {
		cpus[h.rec.Shard] += n.typeOf(h.rec.Type).CPUs * float64(h.rec.Count)
		if h.rec.Zone == zone && h.rec.Type == typ {
			like[h.rec.Shard] += h.rec.Count
		}
	}
	for _, u := range n.unknown {
		if u.busy {
			cpus[u.shard] += n.typeOf(u.typ).CPUs
			if u.zone == zone && u.typ == typ {
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

func (n *Node) shardNames() []string {
	names := make([]string, 0, len(n.shards))
	for name := range n.shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// silence is how long a machine has given no sign of life to this owner.
func (n *Node) silence(m *machine, now time.Time) time.Duration {
	since := m.heard
	if m.adoptedAt.After(since) {
		since = m.adoptedAt
	}
	return now.Sub(since)
}

// probeLoop asks silent machines directly and fences those that stay silent.
func (n *Node) probeLoop(ctx context.Context) {
	for pause(ctx, 300*time.Millisecond) {
		n.mu.Lock()
		now := time.Now()
		for _, m := range n.machines {
			s := n.shards[m.rec.Shard]
			if m.rec.State == "" && n.active(s) {
				n.tendMachine(s, m, now)
			}
		}
		n.mu.Unlock()
	}
}

func (n *Node) tendMachine(s *shard, m *machine, now time.Time) {
	quiet := n.silence(m, now)
	if m.rep == nil {
		// Not heard by this process yet: it may be booting, or report elsewhere.
		if m.rec.Addr != "" && quiet > n.pol.Suspect && !m.probing {
			n.probe(m)
		}
		if quiet > 2*n.pol.Fence && n.workOn(m.host) > 0 && !m.returning {
			n.log.Info("fencing a machine that does not come to its new owner", "host", m.host)
			n.returnMachine(s, m)
		}
		return
	}
	if quiet > n.pol.Probe && !m.probing {
		n.probe(m)
	}
	n.noteImages(s, m, now)
	if len(m.unsure) > 0 && quiet < n.pol.Suspect {
		s.raise = true // it lives, so a new token settles what may still act there
	}
	fence := n.pol.Fence
	if quiet > n.pol.FenceUp && n.runsReplicas(m.host) {
		fence = n.pol.FenceUp
	}
	if !m.warned.IsZero() {
		fence = n.pol.Suspect // it was announced to go
	}
	// A direct question must have failed since: reports alone may be held up.
	if quiet <= fence || m.returning || !m.mute.After(m.heard) {
		return
	}
	// Machines that fell silent together do not all look silent for as long:
	// each has its own beat. More than a beat without hearing from nearly all of
	// them tells that this node is cut off, before the first is due for fencing.
	beat := n.cfg.Workers.Report * 13 / 10
	if silent, total := n.silentShare(s, beat, now); s.name == n.cfg.Node && n.otherLive() != "" && total >= 3 && silent*10 >= total*8 && quiet < 3*fence {
		return // cutOff deals with it
	}
	n.log.Info("fencing a silent machine", "host", m.host, "silent", quiet)
	n.returnMachine(s, m)
}

// noteGap spaces the records of a machine's images out: they are advice.
const noteGap = 8 * time.Second

// noteImages records which images a machine holds. An owner that does not know
// sends work to machines that must fetch for many seconds, and did so after
// every restart of a controller.
func (n *Node) noteImages(s *shard, m *machine, now time.Time) {
	same := func(u ledger.ImageUse) bool { return m.holds(u.Name) }
	if m.noting || m.returning || now.Sub(m.noted) < noteGap ||
		(len(m.images) == len(m.rec.Images) && !slices.ContainsFunc(m.rec.Images, func(u ledger.ImageUse) bool { return !same(u) })) {
		return
	}
	m.noting, m.noted = true, now
	rec := m.rec
	rec.Images = slices.Clone(m.images)
	n.commit(ledger.PrioRest, []ledger.Cond{{Key: ledger.ShardKeys + s.name, Stamp: s.token}, {Key: ledger.MachineKeys + m.host, Stamp: m.stamp}},
		[]ledger.Op{{Key: ledger.MachineKeys + m.host, Value: &rec}}, 5*time.Second, func(error) { m.noting = false })
}

// probe asks a machine for its account. An answer proves it alive even when
// its reports do not arrive.
func (n *Node) probe(m *machine) {
	m.probing = true
	addr, ctx := m.address(), n.ctx
	go func() {
		var r protocol.Report
		status, err := n.call(ctx, addr, "GET", protocol.PathShow, nil, &r, 1500*time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		m.probing = false
		if err == nil && status == 200 && r.Host == m.host {
			n.observe(m, &r)
			return
		}
		m.mute = time.Now()
	}()
}

func (n *Node) runsReplicas(host string) bool {
	for _, c := range n.claims {
		if c.rec == nil || c.spec == nil || c.spec.Shape != protocol.Service {
			continue
		}
		if slices.ContainsFunc(c.rec.Open, func(p ledger.Placement) bool { return p.Host == host }) {
			return true
		}
	}
	return false
}
