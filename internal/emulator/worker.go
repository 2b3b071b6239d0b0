package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Machine is a rented machine and its worker.
type Machine struct {
	w               *World
	host, typ, zone string
	spot            bool
	born, up        time.Time
	goneAt          time.Time
	gone, hung      bool
	dead            bool // it has stopped with all that was on it, and is listed still
	deaf            bool // what is sent to it is lost, its reports arrive
	mute            bool // it reaches no controller, while direct commands reach it
	cutOff          bool // no packets in or out; what is sent is held and comes late
	sick            bool // every task that starts here fails
	slow            bool // tasks take four times as long
	warning         time.Time
	session, seq    uint64
	token           uint64
	tasks           map[string]*task
	images          map[string]bool
	node            int
	kick            chan struct{}
	lease           time.Time
	drift           time.Duration // what the worker's clock gains in 2,000 s
	away            bool          // it is beginning again
	life            int           // how often it has
	said            func()        // sends the latest report once more
}

type task struct {
	try   uint64
	phase string
	cause string
	saved bool
	began time.Time
	stop  time.Time // gang: when it was told to stop
}

// on tells whether a task is on its machine by the rules: from when it has its
// image until it exits.
func (t *task) on() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaitingForGang || t.phase == protocol.TaskCheckpointing
}

// AddMachines starts machines that are up at once.
func (w *World) AddMachines(count int, zone string) { w.AddKind(count, w.Types[0].Name, zone, false) }

// AddKind starts machines of a kind that are up at once.
func (w *World) AddKind(count int, typ, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		w.boot(typ, zone, spot, 0)
	}
}

func (w *World) boot(typ, zone string, spot bool, after time.Duration) string {
	w.made++
	m := &Machine{w: w, host: fmt.Sprintf("vm-%06d", w.made), typ: typ, zone: zone, spot: spot, born: time.Now(), up: time.Now().Add(after), session: 1,
		tasks: make(map[string]*task), images: make(map[string]bool), kick: make(chan struct{}, 1), node: w.made}
	// Clocks drift apart by as much as 0.05 %.
	m.drift = time.Duration(w.roll("drift", m.host)%2001)*time.Millisecond - time.Second
	w.machines[m.host] = m
	w.note("%s rented: %s in %s, cheap %v", m.host, typ, zone, spot)
	go m.live(after + time.Duration(w.made)*17*time.Microsecond)
	return m.host
}

// byClock is how long a duration of the worker's own clock really takes.
func (m *Machine) byClock(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.drift.Seconds()/2000)
}

// Set changes a machine's condition: hang, resume, cut, heal, sick, slow, well,
// notice (it will be taken), take (it is taken at once), die, reboot, deaf, hears, mute,
// speaks.
func (w *World) Set(host, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[host]
	if m == nil || m.gone || (m.dead && what != "take") {
		return
	}
	hung, cutOff := m.hung, m.cutOff
	switch what {
	case "hang":
		if !m.hung {
			m.hung = true
			m.leaveGangs()
		}
	case "resume":
		m.hung = false
	case "deaf", "hears":
		if m.deaf = what == "deaf"; m.deaf {
			w.note("%s: deaf", host)
		}
	case "mute", "speaks":
		if m.mute = what == "mute"; m.mute {
			w.note("%s: mute", host)
		}
	case "cut":
		m.cutOff = true
	case "heal":
		m.cutOff = false
	case "die":
		m.die()
		return
	case "reboot":
		m.reboot()
		return
	case "sick":
		m.sick = true
	case "slow":
		m.slow = true
	case "well":
		m.sick, m.slow = false, false
	case "notice":
		m.warning = time.Now().Add(20 * time.Second)
		m.poke()
		// Half the nominal value, or one and a half times it.
		m.later(w.between(10*time.Second, 30*time.Second, "notice", host), func() { w.note("%s taken", host); w.remove(m) })
	case "take":
		w.note("%s taken", host)
		w.remove(m)
		return
	}
	if m.hung != hung || m.cutOff != cutOff || what == "sick" || what == "slow" {
		w.note("%s: %s", host, what)
	}
	if (what == "resume" && hung || what == "heal" && cutOff) && !m.hung && !m.cutOff {
		m.expire()
		w.arrive(w.held[host])
		delete(w.held, host)
		m.poke()
	}
}

// HostOf is a machine that has a task of a job, or is fetching for it: the one
// that neither hangs nor is cut off, if there is one, with the lowest name.
func (w *World) HostOf(ref string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[host]
		for name, t := range m.tasks {
			if r, _, _ := protocol.ParseTaskName(name); r == ref && !m.gone && t.phase != protocol.TaskExited {
				if best == "" || w.machines[best].hung || w.machines[best].cutOff {
					best = host
				}
			}
		}
	}
	return best
}

// Hosts lists the machines that are rented, those of one zone or kind if asked.
func (w *World) Hosts(spotOnly bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		if m := w.machines[host]; !m.gone && (m.spot || !spotOnly) {
			out = append(out, host)
		}
	}
	return out
}

func (m *Machine) poke() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// later does something after a while, unless the machine is gone by then.
func (m *Machine) later(d time.Duration, do func()) {
	go func() {
		if wait(m.w.ctx, d) {
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			if !m.gone {
				do()
			}
		}
	}()
}

func (m *Machine) kill() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		delete(m.tasks, name)
		m.w.missed(name, t)
	}
}

func (m *Machine) expire() {
	if !m.lease.IsZero() && time.Since(m.lease) > m.byClock(m.w.Workers.LeaseDuration) {
		m.w.note("%s lease over, session %d", m.host, m.session+1)
		m.kill()
		m.session++
		m.seq, m.lease = 0, time.Now()
	}
}

// live reports to the controllers for as long as the machine exists.
func (m *Machine) live(after time.Duration) {
	w := m.w
	// The runtime may crash on a select over a timer that is due already, in a
	// test bubble under the race detector; so no such timer is waited on here.
	if after >= never || (after > 0 && !wait(w.ctx, after)) {
		return
	}
	w.mu.Lock()
	m.lease, m.up = time.Now(), time.Now()
	w.mu.Unlock()
	for {
		pause := m.byClock(m.report())
		select {
		case <-w.ctx.Done():
			return
		case <-m.kick:
			if !wait(w.ctx, m.byClock(500*time.Millisecond)) {
				return
			}
		case <-time.After(pause):
		}
		w.mu.Lock()
		gone := m.gone
		if !m.hung && !m.dead {
			m.expire()
		}
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

func (m *Machine) account() protocol.Heartbeat {
	m.seq++
	r := protocol.Heartbeat{Host: m.host, Address: m.w.Address(m.host), Type: m.typ, Zone: m.zone, Spot: m.spot, AgentEpoch: m.session, Sequence: m.seq,
		FencingToken: m.token, Tasks: []protocol.TaskStatus{}}
	if !m.warning.IsZero() {
		left := time.Until(m.warning).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: name, Attempt: t.try, Phase: t.phase, Cause: t.cause, Checkpointed: t.saved})
	}
	return r
}

// ignored is what nobody waits for any more.
func ignored(transport.Response) {}

// report makes one report and returns when to make the next.
func (m *Machine) report() time.Duration {
	w := m.w
	w.mu.Lock()
	if m.away {
		w.mu.Unlock()
		return 50 * time.Millisecond
	}
	if m.gone || m.hung || m.dead || len(w.names) == 0 {
		w.mu.Unlock()
		return time.Second
	}
	if m.mute {
		m.node++
		w.mu.Unlock()
		return time.Second
	}
	name := w.names[m.node%len(w.names)]
	h := w.nodes[name]
	if w.trouble["deaf "+name] {
		h = nil
	}
	body, _ := json.Marshal(m.account())
	sent, session, tick := time.Now(), m.session, strconv.FormatUint(m.seq, 10)
	if h != nil {
		m.said = func() { go h("POST", reportPath, body, ignored) }
	}
	if w.trouble["reports for next"] && w.chance(40, "keep", m.host, tick) {
		w.keep(m, body)
	}
	if h != nil && !m.cutOff && w.trouble["late reports"] && w.chance(40, "copy", m.host, tick) {
		m.later(w.between(2*time.Second, w.Workers.LeaseDuration*3/2, "copy", m.host, tick), m.said)
	}
	life := m.life
	there, back := w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick), w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick)
	if m.cutOff {
		// The packets are held and may arrive once the cut is over, though nobody
		// waits for an answer any more.
		if h != nil && w.chance(50, m.host, tick) {
			w.held[m.host] = append(w.held[m.host], func() { go h("POST", reportPath, body, ignored) })
		}
		w.mu.Unlock()
		return 4 * time.Second
	}
	if h != nil && !m.reached(name) {
		if w.chance(50, m.host, tick) {
			w.hold(m.zone, w.zoneOf[name], func() { go h("POST", reportPath, body, ignored) })
		}
		m.node++
		w.mu.Unlock()
		return 5 * time.Second
	}
	if h == nil {
		m.node++
		w.mu.Unlock()
		return time.Second
	}
	w.mu.Unlock()
	if !wait(w.ctx, there) {
		return time.Second
	}
	got := make(chan transport.Response, 1)
	go h("POST", reportPath, body, func(r transport.Response) { got <- r })
	var r transport.Response
	select {
	case r = <-got:
	case <-time.After(4 * time.Second):
	case <-w.ctx.Done():
	}
	if !wait(w.ctx, back) {
		return time.Second
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.gone || m.hung || m.dead || m.cutOff || m.deaf || m.session != session || m.life != life || w.trouble["deaf "+name] || !m.reached(name) {
		if m.deaf {
			m.node++ // no answer in time: the next node
		}
		return time.Second
	}
	switch r.Status {
	case 200:
		var a protocol.HeartbeatResponse
		if json.Unmarshal(r.Body, &a) == nil && a.FencingToken >= m.token && a.FencingToken > 0 {
			if a.FencingToken > m.token {
				m.poke()
			}
			m.token, m.lease = a.FencingToken, sent
			m.execute(a.Commands)
		}
		// Give or take a quarter, as workers do.
		return w.between(w.Workers.HeartbeatInterval*3/4, w.Workers.HeartbeatInterval*5/4, m.host, tick)
	case 421:
		var s protocol.Redirect
		_ = json.Unmarshal(r.Body, &s)
		for i, n := range w.names {
			if n == s.Node && n != name {
				m.node = i
				return w.between(0, 500*time.Millisecond, m.host, tick)
			}
		}
	}
	m.node++
	return time.Second
}

// toWorker carries a controller's call. Across a cut, or to a hung machine,
// it is held and executed late, though the caller has long given up.
func (w *World) toWorker(ctx context.Context, node, host, target string, body []byte, back time.Duration) (int, []byte, error) {
	w.mu.Lock()
	m := w.machines[host]
	if m != nil && !m.gone && !m.dead && !m.hung && !m.cutOff && !m.reached(node) {
		if target == protocol.PathCommands {
			w.hold(m.zone, w.zoneOf[node], func() {
				if !m.gone && !m.dead && !m.hung && !m.cutOff {
					m.expire()
					m.commands(body)
				}
			})
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errReset
	}
	if m != nil && (m.away || time.Now().Before(m.up)) { // it boots
		w.mu.Unlock()
		return 0, nil, errReset
	}
	if m == nil || m.gone || m.dead || m.cutOff || m.hung || m.deaf {
		if m != nil && !m.gone && !m.dead && !m.deaf && target == protocol.PathCommands {
			w.held[host] = append(w.held[host], func() { m.commands(body) })
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errReset
	}
	var status int
	var out []byte
	if target == protocol.PathStatus {
		status, out = reply(200, m.account())
	} else {
		status, out = m.commands(body)
	}
	w.mu.Unlock()
	if !wait(ctx, back) {
		return 0, nil, errReset
	}
	return status, out, nil
}

func (m *Machine) commands(body []byte) (int, []byte) {
	var in protocol.CommandRequest
	if json.Unmarshal(body, &in) != nil || in.FencingToken == 0 || in.AgentEpoch == 0 {
		return 400, nil
	}
	if in.FencingToken < m.token || in.AgentEpoch != m.session {
		return reply(409, m.account())
	}
	if in.FencingToken > m.token {
		m.token = in.FencingToken
		m.poke()
	}
	m.execute(in.Commands)
	return reply(200, m.account())
}

func (m *Machine) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		t := m.tasks[c.Task]
		switch c.Verb {
		case "start":
			switch {
			case t == nil || (t.try != c.Attempt && t.phase == protocol.TaskExited):
				m.start(c.Task, c.Attempt)
			case t.try != c.Attempt:
				m.w.note("%s %s/%d refused: busy with attempt %d", m.host, c.Task, c.Attempt, t.try)
			}
		case "stop":
			if t != nil && t.try == c.Attempt && t.phase != protocol.TaskExited {
				m.stop(c.Task, t, c.GraceS)
			}
		case "reap":
			if t != nil && t.try == c.Attempt && t.phase == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}

// stop ends a task. One that runs and can save does so if its grace suffices; a
// gang's saves only if all of its tasks are told in time.
func (m *Machine) stop(name string, t *task, grace *float64) {
	ref, _, _ := protocol.ParseTaskName(name)
	j := m.w.jobs[ref]
	saves := t.phase == protocol.TaskRunning && j != nil && j.Spec.CheckpointIntervalS > 0 && grace != nil && *grace >= j.Spec.CheckpointS
	if m.w.OnStop != nil && t.phase == protocol.TaskRunning {
		if why := m.w.OnStop(name, m.host, m.w.teamUse()); why != "" {
			m.w.breakRule("guarantee", "%s", why)
		}
	}
	if !saves {
		m.exit(name, t, "halted")
		return
	}
	t.phase, t.stop = protocol.TaskCheckpointing, time.Now()
	m.poke()
	m.after(name, t, j.Spec.CheckpointDuration(), func() {
		if t.saved = j.Spec.Shape != protocol.ShapeGang || m.w.allSaving(ref, t.try, j); t.saved {
			m.exit(name, t, "halted")
		} else {
			m.exit(name, t, causePeers)
		}
	})
}

const (
	causePeers = "peers"
	reportPath = "/v1/report"
)

// allSaving tells whether every task of a gang's attempt was told to stop.
func (w *World) allSaving(ref string, try uint64, j *Job) bool {
	told := 0
	for _, o := range w.machines {
		for name, t := range o.tasks {
			if r, _, _ := protocol.ParseTaskName(name); r == ref && t.try == try && (t.phase == protocol.TaskCheckpointing || t.saved) && !o.gone {
				told++
			}
		}
	}
	return told == j.Spec.Tasks
}

func (m *Machine) exit(name string, t *task, cause string) {
	was := *t
	t.phase, t.cause = protocol.TaskExited, cause
	m.w.note("%s %s/%d exits: %s", m.host, name, t.try, cause)
	m.poke()
	if cause != protocol.CauseDone && cause != causePeers {
		m.w.missed(name, &was)
	}
}

// missed has the others of a running gang notice that one of them is gone.
func (w *World) missed(name string, t *task) {
	ref, _, ok := protocol.ParseTaskName(name)
	j := w.jobs[ref]
	if !ok || j == nil || j.Spec.Shape != protocol.ShapeGang || t.phase != protocol.TaskRunning {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[host]
		for _, other := range slices.Sorted(maps.Keys(m.tasks)) {
			x := m.tasks[other]
			if r, _, _ := protocol.ParseTaskName(other); r == ref && x.try == t.try && x != t && x.phase == protocol.TaskRunning {
				m.after(other, x, w.between(w.Workers.GangPeerTimeout/2, w.Workers.GangPeerTimeout, other, m.host), func() {
					if x.phase == protocol.TaskRunning {
						m.exit(other, x, causePeers)
					}
				})
			}
		}
	}
}

// leaveGangs has gangs notice that the machine hangs; once it goes on, its own
// tasks of theirs notice it too.
func (m *Machine) leaveGangs() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		ref, _, _ := protocol.ParseTaskName(name)
		if j := m.w.jobs[ref]; j == nil || j.Spec.Shape != protocol.ShapeGang || j.Spec.Tasks < 2 || t.phase != protocol.TaskRunning {
			continue
		}
		m.w.missed(name, t)
		m.after(name, t, m.w.Workers.GangPeerTimeout, func() {
			if t.phase == protocol.TaskRunning {
				m.exit(name, t, causePeers)
			}
		})
	}
}

func (m *Machine) start(name string, try uint64) {
	w := m.w
	ref, num, _ := protocol.ParseTaskName(name)
	t := &task{try: try, phase: protocol.TaskFetching}
	m.tasks[name] = t
	j := w.jobs[ref]
	if j == nil || num >= j.Spec.Tasks {
		m.exit(name, t, protocol.CauseUnknownJob)
		return
	}
	var used [3]float64
	for other, o := range m.tasks {
		r, _, _ := protocol.ParseTaskName(other)
		if x := w.jobs[r]; o.phase != protocol.TaskExited && x != nil {
			used = [3]float64{used[0] + x.Spec.CPUs, used[1] + x.Spec.GPUs, used[2] + x.Spec.MemoryGB}
		}
	}
	typ := w.typeOf(m.typ)
	if used[0] > typ.CPUs+1e-6 || used[1] > typ.GPUs+1e-6 || used[2] > typ.MemoryGB+1e-6 {
		m.exit(name, t, protocol.CauseNoCapacity)
		return
	}
	fetch := max(time.Second, j.Fetch)
	if m.images[j.Spec.Image] {
		fetch = time.Millisecond
	}
	m.after(name, t, fetch, func() { m.begin(name, t, j) })
}

func (w *World) typeOf(name string) protocol.MachineType {
	for _, t := range w.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

// after does something to a task later, if it is still there by then. A hanging
// machine does nothing until it goes on.
func (m *Machine) after(name string, t *task, d time.Duration, do func()) {
	w, session := m.w, m.session
	d = m.byClock(d) + w.between(0, time.Millisecond, "after", m.host, name)
	go func() {
		if !wait(w.ctx, d) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !m.gone && !m.dead && m.session == session && m.tasks[name] == t && t.phase != protocol.TaskExited {
			if m.hung {
				m.after(name, t, time.Second, do)
				return
			}
			do()
		}
	}()
}

// begin is the moment a task is on its machine; the rules are checked here.
func (m *Machine) begin(name string, t *task, j *Job) {
	w := m.w
	m.images[j.Spec.Image] = true
	w.checkStart(m, name, t, j)
	t.phase, t.began = protocol.TaskRunning, time.Now()
	w.note("%s %s/%d runs", m.host, name, t.try)
	m.poke()
	if j.Spec.Shape == protocol.ShapeGang && j.Spec.Tasks > 1 {
		t.phase = protocol.TaskWaitingForGang
		if !w.assemble(j, t.try) {
			m.after(name, t, w.Workers.GangStartTimeout, func() {
				if t.phase == protocol.TaskWaitingForGang {
					m.exit(name, t, protocol.CauseGangTimeout)
				}
			})
			return
		}
	}
	if j.began.IsZero() {
		j.began = time.Now()
	}
	if j.Fail || m.sick {
		m.after(name, t, time.Second, func() { m.exit(name, t, protocol.CauseError) })
		return
	}
	if j.Run > 0 {
		run := j.Run
		if m.slow {
			run *= 4
		}
		var end func()
		end = func() {
			if t.phase != protocol.TaskRunning {
				return // it is being stopped
			}
			if j.Spec.Shape == protocol.ShapeGang {
				w.finishGang(j, t.try)
				if t.phase == protocol.TaskRunning {
					m.after(name, t, time.Second, end) // another one's machine hangs
				}
				return
			}
			_, num, _ := protocol.ParseTaskName(name)
			j.done[num] = true
			m.exit(name, t, protocol.CauseDone)
			m.w.ended(j)
		}
		m.after(name, t, run, end)
	}
}

// checkStart judges a start by the rules.
func (w *World) checkStart(m *Machine, name string, t *task, j *Job) {
	if w.RecordStartsOnly {
		w.started(j)
		return
	}
	s := &j.Spec
	inZone := 1
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		o := w.machines[host]
		if o.gone {
			continue
		}
		for other, x := range o.tasks {
			ref, _, _ := protocol.ParseTaskName(other)
			if ref != s.JobID || !x.on() {
				continue
			}
			if other == name && x != t {
				w.breakRule("ran_twice", "%s on %s and %s", name, o.host, m.host)
			}
			if o.zone == m.zone {
				inZone++
			} else if s.SameZone {
				w.breakRule("wrong_place", "%s in %s and %s", ref, o.zone, m.zone)
			}
		}
	}
	if s.SpreadZones && inZone > (s.Tasks+1)/2 {
		w.breakRule("wrong_place", "%s has %d tasks in %s", s.JobID, inZone, m.zone)
	}
	if (len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, m.typ)) || (s.Zone != "" && s.Zone != m.zone) || (m.spot && !s.AllowSpot) {
		w.breakRule("wrong_place", "%s on %s: %s in %s, cheap %v", s.JobID, m.host, m.typ, m.zone, m.spot)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.Workers.CancelDeadline {
		w.breakRule("ran_cancelled", "%s starts on %s", name, m.host)
	}
	if !w.needsDone(j) {
		w.breakRule("too_early", "%s starts on %s before all that it needs is done", name, m.host)
	}
	if !j.cancelled.IsZero() {
		w.vain++
		w.note("%s starts after its cancellation was confirmed", name)
	}
}

// assemble starts a gang's attempt if all of its tasks wait for one another.
func (w *World) assemble(j *Job, try uint64) bool {
	var there []*task
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == j.Spec.JobID && t.try == try && t.phase == protocol.TaskWaitingForGang && !m.gone {
				there = append(there, t)
			}
		}
	}
	if len(there) < j.Spec.Tasks {
		return false
	}
	for _, t := range there {
		t.phase, t.began = protocol.TaskRunning, time.Now()
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		w.machines[host].poke()
	}
	return true
}

// finishGang ends a gang's attempt: its tasks complete together.
func (w *World) finishGang(j *Job, try uint64) {
	running := 0
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == j.Spec.JobID && t.try == try && t.phase == protocol.TaskRunning && !m.gone && !m.hung {
				running++
			}
		}
	}
	if running < j.Spec.Tasks {
		return // one is gone, and the others are about to notice
	}
	for k := range j.Spec.Tasks {
		j.done[k] = true
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[host]
		for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
			t := m.tasks[name]
			if ref, _, _ := protocol.ParseTaskName(name); ref == j.Spec.JobID && t.try == try && t.on() && !m.gone {
				m.exit(name, t, protocol.CauseDone)
			}
		}
	}
	w.ended(j)
}

// MachineTokens is the highest token that each worker obeys which nothing keeps from being
// answered: its machine is well, reached by all, and has had an answer lately.
func (w *World) MachineTokens() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]uint64)
	for host, m := range w.machines {
		if !m.gone && !m.hung && !m.dead && !m.cutOff && !w.trouble["zone "+m.zone] && m.token > 0 && time.Since(m.lease) < 2*w.Workers.HeartbeatInterval {
			out[host] = m.token
		}
	}
	return out
}

// FaultyMachines lists the troubles that are on, in order.
func (w *World) FaultyMachines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(w.trouble)), func(name string) bool { return !w.trouble[name] })
}

// TeamUse is the CPUs and cards that each team's tasks take on machines.
func (w *World) TeamUse() map[string]protocol.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamUse()
}

// JobUse is what a job's tasks from one up to another take on machines. It is for OnStop, which holds the
// world's lock.
func (w *World) JobUse(ref string, from, upTo int) (use protocol.Resources) {
	for _, m := range w.machines {
		for name, t := range m.tasks {
			r, num, _ := protocol.ParseTaskName(name)
			if j := w.jobs[ref]; r == ref && num >= from && num < upTo && j != nil && !m.gone && t.on() {
				use = use.Plus(j.Spec.TaskResources())
			}
		}
	}
	return use
}

func (w *World) teamUse() map[string]protocol.Resources {
	use := make(map[string]protocol.Resources)
	for _, m := range w.machines {
		for name, t := range m.tasks {
			ref, _, _ := protocol.ParseTaskName(name)
			if j := w.jobs[ref]; j != nil && !m.gone && t.on() {
				use[j.Spec.Team] = use[j.Spec.Team].Plus(j.Spec.TaskResources())
			}
		}
	}
	return use
}

// Running counts the tasks of a job that are on machines.
func (w *World) Running(ref string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if r, _, _ := protocol.ParseTaskName(name); (r == ref || ref == "") && !m.gone && t.on() {
				count++
			}
		}
	}
	return count
}
