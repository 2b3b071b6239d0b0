package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// NodeHandler is a controller's public face.
type NodeHandler func(method, target string, body []byte, reply func(transport.Response))

// Job is a job as the world knows it: what was submitted and how its tasks
// really run.
type Job struct {
	Spec      protocol.Submission
	Run       time.Duration // 0 for a service
	Fail      bool          // every task fails
	Fetch     time.Duration // of its image, if longer than usual
	accepted  bool
	told      string // the latest phase a user was told
	cancelled time.Time
	wanted    bool // its user asked to cancel it
	done      map[int]bool
}

// World is everything outside the controllers.
type World struct {
	State   *State
	Workers protocol.WorkerSettings
	Teams   map[string]protocol.Team

	mu       sync.Mutex
	ctx      context.Context
	rng      *rand.Rand
	nodes    map[string]NodeHandler
	names    []string
	refused  map[string]bool // nodes that the state service alone refuses
	deaf     map[string]bool // nodes that reach no worker
	machines map[string]*Machine
	made     int
	hires    map[string][]string
	jobs     map[string]*Job
	broken   []string
	held     map[string][]func() // late commands, by host
	events   []string
	began    time.Time
	Types    []protocol.MachineType
	Spare    int // machines that the cloud has left to rent
}

// NewWorld makes an empty world.
func NewWorld(ctx context.Context, seed uint64, w protocol.WorkerSettings, teams map[string]protocol.Team) *World {
	world := &World{State: newState(), Workers: w, Teams: teams, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 7)),
		nodes: make(map[string]NodeHandler), refused: make(map[string]bool), deaf: make(map[string]bool),
		machines: make(map[string]*Machine), hires: make(map[string][]string), jobs: make(map[string]*Job),
		held: make(map[string][]func()), began: time.Now(),
		Types: []protocol.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 50, PullGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"}}}}
	go world.State.run(ctx)
	go world.check()
	return world
}

func (w *World) note(format string, a ...any) {
	w.events = append(w.events, fmt.Sprintf("%7.2f %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...)))
}

func (w *World) breakRule(rule, format string, a ...any) {
	text := rule + ": " + fmt.Sprintf(format, a...)
	w.note("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

// Broken lists the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.broken)
}

// Events is what happened, a line each.
func (w *World) Events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// SetNode connects a controller, or with nil ends it.
func (w *World) SetNode(name string, h NodeHandler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.names, name) {
		w.names = append(w.names, name)
	}
	w.nodes[name] = h
	if h == nil {
		delete(w.nodes, name)
	}
}

// Outage begins or ends an outage of the state service.
func (w *World) Outage(on bool) { w.State.setDown(on) }

// Refuse makes the state service refuse one node alone.
func (w *World) Refuse(node string, on bool) { w.mu.Lock(); w.refused[node] = on; w.mu.Unlock() }

// Deafen cuts a node off from the workers in both directions.
func (w *World) Deafen(node string, on bool) { w.mu.Lock(); w.deaf[node] = on; w.mu.Unlock() }

// Link is a controller's network.
type Link struct {
	W    *World
	Node string
	Ctx  context.Context // the process's life
}

var errReset = errors.New("connection reset")

// Do makes a call from the controller.
func (l Link) Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error) {
	w := l.W
	w.mu.Lock()
	delay := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	refused, deaf := w.refused[l.Node], w.deaf[l.Node]
	w.mu.Unlock()
	time.Sleep(delay)
	if l.Ctx.Err() != nil {
		return 0, nil, errReset
	}
	var status int
	var out []byte
	switch {
	case addr == "state" && refused:
		status = 503
	case addr == "state":
		status, out = w.State.do(ctx, method, target, body)
	case addr == "cloud":
		status, out = w.cloud(method, target, body)
	case deaf:
		<-ctx.Done()
		return 0, nil, fmt.Errorf("%w: no route", transport.ErrNotSent)
	default:
		return w.toWorker(ctx, strings.TrimSuffix(addr, ":9000"), method, target, body)
	}
	if status == 0 || ctx.Err() != nil || l.Ctx.Err() != nil {
		return 0, nil, errReset
	}
	return status, out, nil
}

func (w *World) cloud(method, target string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case target == "/machine_types":
		return reply(200, protocol.MachineTypes{Types: w.Types})
	case target == "/machines" && method == "POST":
		var h protocol.Hire
		if json.Unmarshal(body, &h) != nil {
			return 400, nil
		}
		hosts, again := w.hires[h.Name]
		if !again {
			for range min(h.Count, w.Spare) {
				w.Spare--
				hosts = append(hosts, w.boot(h.Type, h.Zone, h.Spot, 10*time.Second))
			}
			if len(hosts) == 0 {
				return reply(503, map[string]string{"error": "no capacity"})
			}
			w.hires[h.Name] = hosts
		}
		return reply(200, protocol.HostNames{Hosts: hosts})
	case target == "/machines/return":
		var h protocol.HostNames
		if json.Unmarshal(body, &h) != nil {
			return 400, nil
		}
		for _, host := range h.Hosts {
			if m := w.machines[host]; m != nil && !m.gone {
				w.note("%s returned", host)
				m.gone = true
				m.kill()
				delete(w.held, host)
				w.Spare++
			}
		}
		return reply(200, map[string]any{})
	}
	var list protocol.MachineList
	for _, m := range w.machines {
		if !m.gone {
			list.Hosts = append(list.Hosts, protocol.ListedMachine{Host: m.host, Addr: m.host + ":9000", Type: m.typ, Zone: m.zone, Phase: "running",
				HeldS: time.Since(m.born).Seconds()})
		}
	}
	return reply(200, list)
}

// Submit sends a job to a node and waits for the answer.
func (w *World) Submit(node string, j *Job) int {
	w.mu.Lock()
	if old := w.jobs[j.Spec.Ref]; old != nil {
		j = old
	} else {
		j.done = make(map[int]bool)
		w.jobs[j.Spec.Ref] = j
	}
	w.mu.Unlock()
	body, _ := json.Marshal(j.Spec)
	status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
	w.told(j.Spec.Ref, status, raw, status == 200 || status == 201)
	return status
}

// Abort asks a node to cancel a job.
func (w *World) Abort(node, ref string) int {
	w.mu.Lock()
	if j := w.jobs[ref]; j != nil {
		j.wanted = true
	}
	w.mu.Unlock()
	status, raw := w.Ask(node, "POST", "/submissions/"+ref+"/abort", nil, 5*time.Second)
	w.told(ref, status, raw, false)
	return status
}

// Query asks a node for a job; phase is empty without an answer.
func (w *World) Query(node, ref string) (status int, a protocol.JobAnswer) {
	status, raw := w.Ask(node, "GET", "/submissions/"+ref, nil, 2*time.Second)
	w.told(ref, status, raw, false)
	_ = json.Unmarshal(raw, &a)
	return status, a
}

// Ask makes a user's request.
func (w *World) Ask(node, method, target string, body []byte, timeout time.Duration) (int, []byte) {
	w.mu.Lock()
	h := w.nodes[node]
	w.mu.Unlock()
	if h == nil {
		return 0, nil
	}
	got := make(chan transport.Response, 1)
	go h(method, target, body, func(r transport.Response) { got <- r })
	select {
	case r := <-got:
		return r.Status, r.Body
	case <-time.After(timeout):
		return 0, nil
	case <-w.ctx.Done():
		return 0, nil
	}
}

// told checks an answer against what users were told before.
func (w *World) told(ref string, status int, raw []byte, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[ref]
	if j == nil {
		if status == 200 {
			w.breakRule("invented", "%s", ref)
		}
		return
	}
	if accepted {
		j.accepted = true
	}
	if status == 404 && j.accepted || (status == 400 || status == 422) && j.accepted {
		w.breakRule("forgotten", "%s got %d", ref, status)
	}
	var a protocol.JobAnswer
	if (status != 200 && status != 201) || json.Unmarshal(raw, &a) != nil {
		return
	}
	final := func(p string) bool { return p == protocol.Done || p == protocol.Cancelled }
	if final(j.told) && a.Phase != j.told {
		w.breakRule("went_back", "%s was %s, is %s", ref, j.told, a.Phase)
	}
	if a.Phase == protocol.Cancelled && !j.wanted {
		w.breakRule("went_back", "%s cancelled by nobody", ref)
	}
	if a.Phase == protocol.Done && len(j.done) < j.Spec.Tasks {
		w.breakRule("not_done", "%s has %d of %d", ref, len(j.done), j.Spec.Tasks)
	}
	if a.Phase == protocol.Cancelled && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
	j.told = a.Phase
}

// check looks for cancelled tasks that stay, and for teams beyond their limit.
func (w *World) check() {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
		w.mu.Lock()
		use := make(map[string]float64)
		for _, m := range w.machines {
			for name, t := range m.tasks {
				ref, _, _ := protocol.SplitTask(name)
				j := w.jobs[ref]
				if m.gone || j == nil || !t.on() {
					continue
				}
				use[j.Spec.Team] += j.Spec.CPUs
				if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.Workers.Cancel {
					w.breakRule("ran_cancelled", "%s on %s", name, m.host)
				}
			}
		}
		for team, cpus := range use {
			if limit := w.Teams[team].CPUsMax; limit > 0 && cpus > limit+1e-6 {
				w.breakRule("quota", "%s uses %v of %v", team, cpus, limit)
			}
		}
		w.mu.Unlock()
	}
}
