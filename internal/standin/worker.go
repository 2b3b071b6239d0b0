package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Machine is a rented machine and its worker.
type Machine struct {
	w               *World
	host, typ, zone string
	spot            bool
	born            time.Time
	gone, hung      bool
	cutOff          bool // no packets in or out; commands are held and come late
	sick            bool // every task that starts here fails
	session, seq    uint64
	token           uint64
	tasks           map[string]*task
	images          map[string]bool
	node            int
	kick            chan struct{}
	lease           time.Time
}

type task struct {
	try   uint64
	phase string
	cause string
	began time.Time
}

func (t *task) on() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaiting || t.phase == protocol.TaskSaving
}

// AddMachines starts machines that are up at once.
func (w *World) AddMachines(count int, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		w.boot(w.Types[0].Name, zone, false, 0)
	}
}

func (w *World) boot(typ, zone string, spot bool, after time.Duration) string {
	w.made++
	m := &Machine{w: w, host: fmt.Sprintf("vm-%06d", w.made), typ: typ, zone: zone, spot: spot, born: time.Now(), session: 1,
		tasks: make(map[string]*task), images: make(map[string]bool), kick: make(chan struct{}, 1), node: w.made}
	w.machines[m.host] = m
	go m.live(after)
	return m.host
}

// Set changes a machine's condition: "hang", "resume", "cut", "heal", "sick".
func (w *World) Set(host, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[host]
	if m == nil {
		return
	}
	switch what {
	case "hang":
		m.hung = true
	case "resume":
		m.hung = false
	case "cut":
		m.cutOff = true
	case "heal":
		m.cutOff = false
	case "sick":
		m.sick = true
	}
	if (what == "resume" || what == "heal") && !m.gone {
		m.expire()
		for _, late := range w.held[host] {
			late()
		}
		delete(w.held, host)
		m.poke()
	}
}

func (m *Machine) poke() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *Machine) kill() { m.tasks = make(map[string]*task) }

func (m *Machine) expire() {
	if !m.lease.IsZero() && time.Since(m.lease) > m.w.Workers.Lease {
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
	if after > 0 {
		select {
		case <-time.After(after):
		case <-w.ctx.Done():
			return
		}
	}
	w.mu.Lock()
	m.lease = time.Now()
	w.mu.Unlock()
	for {
		wait := m.report()
		select {
		case <-w.ctx.Done():
			return
		case <-m.kick:
			time.Sleep(500 * time.Millisecond)
		case <-time.After(wait):
		}
		w.mu.Lock()
		gone := m.gone
		if !m.hung {
			m.expire()
		}
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

func (m *Machine) account() protocol.Report {
	m.seq++
	r := protocol.Report{Host: m.host, Addr: m.host + ":9000", Type: m.typ, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq,
		Token: m.token, Tasks: []protocol.TaskReport{}}
	for name, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: name, Try: t.try, Phase: t.phase, Cause: t.cause})
	}
	return r
}

// report makes one report and returns when to make the next.
func (m *Machine) report() time.Duration {
	w := m.w
	w.mu.Lock()
	if m.gone || m.hung || m.cutOff || len(w.names) == 0 {
		w.mu.Unlock()
		return time.Second
	}
	name := w.names[m.node%len(w.names)]
	h := w.nodes[name]
	if w.deaf[name] {
		h = nil
	}
	body, _ := json.Marshal(m.account())
	sent, session := time.Now(), m.session
	w.mu.Unlock()
	if h == nil {
		m.node++
		return time.Second
	}
	got := make(chan transport.Response, 1)
	go h("POST", "/v1/report", body, func(r transport.Response) { got <- r })
	var r transport.Response
	select {
	case r = <-got:
	case <-time.After(4 * time.Second):
	case <-w.ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.gone || m.hung || m.cutOff || m.session != session {
		return time.Second
	}
	switch r.Status {
	case 200:
		var a protocol.ReportAnswer
		if json.Unmarshal(r.Body, &a) == nil && a.Token >= m.token && a.Token > 0 {
			if a.Token > m.token {
				m.poke()
			}
			m.token, m.lease = a.Token, sent
			m.execute(a.Commands)
		}
		// Give or take a quarter, as workers do.
		return w.Workers.Report*3/4 + time.Duration(w.rng.Int64N(int64(w.Workers.Report/2)))
	case 421:
		var s protocol.Steward
		_ = json.Unmarshal(r.Body, &s)
		for i, n := range w.names {
			if n == s.Node && n != name {
				m.node = i
				return 100 * time.Millisecond
			}
		}
	}
	m.node++
	return time.Second
}

// toWorker carries a controller's call. Across a cut, or to a hung machine,
// it is held and executed late, though the caller has long given up.
func (w *World) toWorker(ctx context.Context, host, method, target string, body []byte) (int, []byte, error) {
	w.mu.Lock()
	m := w.machines[host]
	if m == nil || m.gone || m.cutOff || m.hung {
		if m != nil && !m.gone && target == protocol.PathCommands {
			w.held[host] = append(w.held[host], func() { m.commands(body) })
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errReset
	}
	defer w.mu.Unlock()
	if target == protocol.PathShow {
		status, out := reply(200, m.account())
		return status, out, nil
	}
	status, out := m.commands(body)
	return status, out, nil
}

func (m *Machine) commands(body []byte) (int, []byte) {
	var in protocol.DirectCommands
	if json.Unmarshal(body, &in) != nil || in.Token == 0 || in.Session == 0 {
		return 400, nil
	}
	if in.Token < m.token || in.Session != m.session {
		return reply(409, m.account())
	}
	if in.Token > m.token {
		m.token = in.Token
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
			if t == nil || (t.try != c.Try && t.phase == protocol.TaskExited) {
				m.start(c.Task, c.Try)
			}
		case "stop":
			if t != nil && t.try == c.Try && t.phase != protocol.TaskExited {
				m.exit(c.Task, t, "halted")
			}
		case "reap":
			if t != nil && t.try == c.Try && t.phase == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}

func (m *Machine) exit(name string, t *task, cause string) {
	t.phase, t.cause = protocol.TaskExited, cause
	m.w.note("%s %s/%d exits: %s", m.host, name, t.try, cause)
	m.poke()
}

func (m *Machine) start(name string, try uint64) {
	w := m.w
	ref, _, _ := protocol.SplitTask(name)
	t := &task{try: try, phase: protocol.TaskFetching}
	m.tasks[name] = t
	j := w.jobs[ref]
	if j == nil {
		m.exit(name, t, protocol.CauseNoSuch)
		return
	}
	used := 0.0
	for other, o := range m.tasks {
		r, _, _ := protocol.SplitTask(other)
		if o != t && o.phase != protocol.TaskExited && w.jobs[r] != nil {
			used += w.jobs[r].Spec.CPUs
		}
	}
	if used+j.Spec.CPUs > w.Types[0].CPUs+1e-6 {
		m.exit(name, t, protocol.CauseNoRoom)
		return
	}
	fetch := max(time.Second, j.Fetch)
	if m.images[j.Spec.Image] {
		fetch = time.Millisecond
	}
	m.after(name, t, fetch, func() { m.begin(name, t, j) })
}

// after does something to a task later, if it is still there by then.
func (m *Machine) after(name string, t *task, d time.Duration, do func()) {
	w, session := m.w, m.session
	go func() {
		select {
		case <-time.After(d):
		case <-w.ctx.Done():
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !m.gone && m.session == session && m.tasks[name] == t && t.phase != protocol.TaskExited {
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
	inZone := 1
	for _, o := range w.machines {
		if o.gone {
			continue
		}
		for other, x := range o.tasks {
			ref, _, _ := protocol.SplitTask(other)
			if ref != j.Spec.Ref || !x.on() {
				continue
			}
			if other == name && x != t {
				w.breakRule("ran_twice", "%s on %s and %s", name, o.host, m.host)
			}
			if o.zone == m.zone {
				inZone++
			} else if j.Spec.SameZone {
				w.breakRule("wrong_place", "%s in %s and %s", ref, o.zone, m.zone)
			}
		}
	}
	if j.Spec.Spread && inZone > (j.Spec.Tasks+1)/2 {
		w.breakRule("wrong_place", "%s has %d tasks in %s", j.Spec.Ref, inZone, m.zone)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.Workers.Cancel {
		w.breakRule("ran_cancelled", "%s starts on %s", name, m.host)
	}
	t.phase, t.began = protocol.TaskRunning, time.Now()
	w.note("%s %s/%d runs", m.host, name, t.try)
	m.poke()
	if j.Spec.Shape == protocol.Gang && j.Spec.Tasks > 1 {
		t.phase = protocol.TaskWaiting
		if !w.assemble(j, t.try) {
			m.after(name, t, w.Workers.GangWait, func() {
				if t.phase == protocol.TaskWaiting {
					m.exit(name, t, protocol.CauseIncomplete)
				}
			})
			return
		}
	}
	if j.Fail || m.sick {
		m.after(name, t, time.Second, func() { m.exit(name, t, protocol.CauseError) })
		return
	}
	if j.Run > 0 {
		m.after(name, t, j.Run, func() {
			if j.Spec.Shape == protocol.Gang {
				w.finishGang(j, t.try)
				return
			}
			_, num, _ := protocol.SplitTask(name)
			j.done[num] = true
			m.exit(name, t, protocol.CauseDone)
		})
	}
}

// assemble starts a gang's attempt if all of its tasks wait for one another.
func (w *World) assemble(j *Job, try uint64) bool {
	var there []*task
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if ref, _, _ := protocol.SplitTask(name); ref == j.Spec.Ref && t.try == try && t.phase == protocol.TaskWaiting && !m.gone {
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
	for _, m := range w.machines {
		m.poke()
	}
	return true
}

// finishGang ends a gang's attempt: its tasks complete together.
func (w *World) finishGang(j *Job, try uint64) {
	for k := range j.Spec.Tasks {
		j.done[k] = true
	}
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if ref, _, _ := protocol.SplitTask(name); ref == j.Spec.Ref && t.try == try && t.on() && !m.gone {
				m.exit(name, t, protocol.CauseDone)
			}
		}
	}
}

// Running counts the tasks of a job that are on machines.
func (w *World) Running(ref string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if r, _, _ := protocol.SplitTask(name); r == ref && !m.gone && t.on() {
				count++
			}
		}
	}
	return count
}
