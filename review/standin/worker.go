package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is the worker of one machine, by its published protocol.
type worker struct {
	world   *world
	machine *machine
	address string
	toNodes []*gate // the links to the controllers

	mu           sync.Mutex
	tenure, tick uint64
	baton        uint64
	tasks        map[string]*workerTask // by task and attempt
	images       map[string]bool
	renewedAt    time.Time // when the last answered report was sent, or the session began
	node         int
	gone         bool
	changed      chan struct{}
	tokenShownAt time.Time
	server       *http.Server
	hang         *gate // closed while the machine hangs
	deaf, mute   bool  // answers and direct commands are lost; reports reach no controller
	begun        int   // how often the machine began again under its name
}

// beginAgain lets the machine begin again under its name, with nothing on it.
func (k *worker) beginAgain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.killAll("machine begins again")
	k.begun++
	k.tenure, k.tick, k.baton, k.images = 1, 0, 0, make(map[string]bool)
	k.renewedAt, k.tokenShownAt = time.Now(), time.Time{}
	k.notify()
}

type workerTask struct {
	job     *job
	name    string
	attempt uint64
	phase   string // fetching, gathering, running or exited
	cause   string
	timer   *time.Timer
}

type order struct {
	Verb  string   `json:"verb"`
	Shard string   `json:"shard"`
	Try   uint64   `json:"try"`
	Grace *float64 `json:"windDownS"`
}

type reportTask struct {
	Shard string `json:"shard"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

type report struct {
	Host     string       `json:"host"`
	Address  string       `json:"address"`
	Flavour  string       `json:"flavour"`
	Hall     string       `json:"hall"`
	Loaner   bool         `json:"loaner"`
	Tenure   uint64       `json:"tenure"`
	Tick     uint64       `json:"tick"`
	Baton    uint64       `json:"baton"`
	WarningS *float64     `json:"warningS"`
	Shards   []reportTask `json:"shards"`
}

func (w *world) startWorker(m *machine) *worker {
	k := &worker{world: w, machine: m, tenure: 1, tasks: make(map[string]*workerTask), images: make(map[string]bool),
		renewedAt: time.Now(), node: rand.IntN(len(w.controllers)), changed: make(chan struct{}, 1), hang: newGate()}
	for _, c := range w.controllers {
		k.toNodes = append(k.toNodes, w.link(c.zone, m.hall))
	}
	listener := m.listener
	k.address = listener.Addr().String()
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve)}
	go func() {
		_ = k.server.Serve(gatedListener{listener, func(conn net.Conn) (*gate, bool) {
			i := ownerOf(conn, w.pids())
			if i < 0 {
				note("worker %s: a connection of an unknown process is closed", m.ref)
				return nil, false
			}
			return k.toNodes[i], true
		}})
	}()
	go k.reportLoop()
	return k
}

// end ends the worker with all that runs on its machine.
func (k *worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = true
	k.killAll("machine gone")
	_ = k.server.Close()
}

// killAll forgets every task. The caller holds the lock.
func (k *worker) killAll(why string) {
	for key, t := range k.tasks {
		t.timer.Stop()
		if t.isOn() {
			k.world.taskOff(k, t, why)
		}
		delete(k.tasks, key)
	}
}

// checkLease begins the next session if the lease has run out. The caller holds the lock.
func (k *worker) checkLease() {
	if time.Since(k.renewedAt) <= k.world.timing.lease {
		return
	}
	note("worker %s: lease ran out, session %d ends with %d tasks", k.machine.ref, k.tenure, len(k.tasks))
	k.killAll("lease ran out")
	k.tenure++
	k.renewedAt = time.Now()
	k.notify()
}

func (k *worker) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds the lock.
func (k *worker) report() report {
	k.tick++
	r := report{Host: k.machine.ref, Address: k.address, Flavour: k.machine.flavour.Label, Hall: k.machine.hall, Loaner: k.machine.loaner,
		Tenure: k.tenure, Tick: k.tick, Baton: k.baton, Shards: []reportTask{}}
	for _, t := range k.tasks {
		r.Shards = append(r.Shards, reportTask{Shard: t.name, Try: t.attempt, Phase: t.phase, Cause: t.cause})
	}
	sort.Slice(r.Shards, func(i, j int) bool { return r.Shards[i].Shard < r.Shards[j].Shard })
	return r
}

const (
	reportPause  = 500 * time.Millisecond
	answerWithin = 4 * time.Second
)

func (k *worker) reportLoop() {
	clients := make([]*http.Client, len(k.toNodes))
	for i, g := range k.toNodes {
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGatedConn(conn, g), nil
		}
		clients[i] = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}}
	}
	lastReport := time.Time{}
	for {
		every := k.world.timing.report
		next := lastReport.Add(time.Duration(float64(every) * (0.75 + 0.5*rand.Float64())))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-k.changed:
			time.Sleep(time.Until(lastReport.Add(reportPause)))
		}
		timer.Stop()
		k.hang.wait()
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return
		}
		k.checkLease()
		r, node := k.report(), k.node
		k.mu.Unlock()
		lastReport = time.Now()
		wait := k.send(clients[node], node, r, lastReport)
		for wait > 0 {
			time.Sleep(wait)
			k.hang.wait()
			k.mu.Lock()
			if k.gone {
				k.mu.Unlock()
				return
			}
			k.checkLease()
			r, node = k.report(), k.node
			k.mu.Unlock()
			lastReport = time.Now()
			wait = k.send(clients[node], node, r, lastReport)
		}
	}
}

// send sends a report and handles the answer. It returns after which time the worker reports
// again at the node it has changed to; 0 if it stays.
func (k *worker) send(client *http.Client, node int, r report, sentAt time.Time) time.Duration {
	k.mu.Lock()
	begun, mute := k.begun, k.mute
	k.mu.Unlock()
	if mute {
		time.Sleep(answerWithin)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.checkLease()
		k.node = (node + 1) % len(k.world.controllers)
		return time.Second
	}
	if k.world.copyReport != nil {
		if copied, late := k.world.copyReport(); copied {
			to := k.world.controllers[rand.IntN(len(k.world.controllers))]
			time.AfterFunc(late, func() { k.world.ask(to, "POST", "/v1/report", encode(r), answerWithin) })
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+k.world.controllers[node].publicAddr+"/v1/report", bytes.NewReader(encode(r)))
	status, body := 0, []byte(nil)
	if response, err := client.Do(request); err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if status = response.StatusCode; err != nil {
			status = 0
		}
	}
	k.hang.wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkLease()
	if k.begun != begun {
		return 0
	}
	if k.deaf {
		status = 0
	}
	if status != 200 {
		note("worker %s: report to %s: %d %s", k.machine.ref, k.world.controllers[node].name, status, body)
	}
	switch status {
	case 200:
		var answer struct {
			Baton  *uint64 `json:"baton"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(body, &answer) != nil || answer.Baton == nil || *answer.Baton < k.baton || r.Tenure != k.tenure || k.gone {
			return 0
		}
		k.raise(*answer.Baton)
		k.renewedAt = sentAt
		k.carryOut(answer.Orders, "report")
		return 0
	case 421:
		var redirect struct {
			Steward string `json:"steward"`
		}
		_ = json.Unmarshal(body, &redirect)
		client.CloseIdleConnections()
		for i, c := range k.world.controllers {
			if c.name == redirect.Steward && i != node {
				k.node = i
				return time.Duration(1 + rand.IntN(500)*int(time.Millisecond))
			}
		}
	}
	k.node = (node + 1) % len(k.world.controllers)
	return time.Second
}

// raise records a token. A higher one counts as a change no more than once per half lease. The
// caller holds the lock.
func (k *worker) raise(baton uint64) {
	if baton <= k.baton {
		return
	}
	k.baton = baton
	if time.Since(k.tokenShownAt) > k.world.timing.lease/2 {
		k.tokenShownAt = time.Now()
		k.notify()
	}
}

// carryOut executes orders one after the other. The caller holds the lock.
func (k *worker) carryOut(orders []order, by string) {
	for _, o := range orders {
		key := o.Shard + "#" + strconv.FormatUint(o.Try, 10)
		t := k.tasks[key]
		note("worker %s: %s %s try %d (by %s, baton %d)", k.machine.ref, o.Verb, o.Shard, o.Try, by, k.baton)
		switch {
		case o.Verb == "start" && t == nil:
			k.start(key, o)
		case o.Verb == "stop" && t != nil && t.phase != "exited":
			k.exit(t, "halted")
		case o.Verb == "reap" && t != nil && t.phase == "exited":
			delete(k.tasks, key)
			k.notify()
		}
	}
}

func (k *worker) start(key string, o order) {
	jobRef, number, _ := strings.Cut(o.Shard, "/")
	index, err := strconv.Atoi(number)
	j := k.world.job(jobRef)
	t := &workerTask{job: j, name: o.Shard, attempt: o.Try, phase: "fetching", timer: time.NewTimer(time.Hour)}
	k.tasks[key] = t
	k.notify()
	refuse := func(cause string) { t.phase, t.cause = "exited", cause }
	if j == nil || err != nil || index >= j.spec.Shards {
		refuse("no_such")
		return
	}
	var cpus, cards, mem float64
	for _, other := range k.tasks {
		if other == t || other.phase == "exited" {
			continue
		}
		if other.name == t.name {
			refuse("busy")
			return
		}
		cpus, cards, mem = cpus+other.job.spec.CPUs, cards+other.job.spec.Cards, mem+other.job.spec.MemGb
	}
	f := k.machine.flavour
	if cpus+j.spec.CPUs > f.CPUs+1e-6 || cards+j.spec.Cards > f.Cards+1e-6 || mem+j.spec.MemGb > f.MemGb+1e-6 {
		refuse("no_room")
		return
	}
	pull := time.Duration(0)
	if !k.images[j.spec.Bundle] {
		pull = time.Duration(j.spec.SizeGb / f.PullGbPerS * float64(time.Second))
	}
	tenure := k.tenure
	t.timer = time.AfterFunc(pull, func() {
		k.hang.wait()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.checkLease()
		if k.gone || k.tenure != tenure || k.tasks[key] != t || t.phase != "fetching" {
			return
		}
		k.images[j.spec.Bundle] = true
		if k.world.isCompleted(t.name) {
			note("run: %s has its image on %s; its result was kept", t, k.machine.ref)
			k.exit(t, "done")
			return
		}
		k.world.taskOn(k, t)
		if j.spec.Shape == "group" {
			t.phase = "gathering"
			t.timer = time.AfterFunc(k.world.timing.gangWait, func() {
				k.hang.wait()
				k.mu.Lock()
				defer k.mu.Unlock()
				if k.tasks[key] == t && t.phase == "gathering" {
					k.exit(t, "incomplete")
				}
			})
			go k.world.gather(t, func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				if k.tasks[key] == t && t.phase == "gathering" {
					t.timer.Stop()
					k.run(key, t)
				}
			}, func() {
				k.hang.wait()
				k.mu.Lock()
				defer k.mu.Unlock()
				if k.tasks[key] == t && t.isOn() {
					k.exit(t, "peers")
				}
			})
			k.notify()
			return
		}
		k.run(key, t)
	})
}

// run lets a task run from now on. The caller holds the lock.
func (k *worker) run(key string, t *workerTask) {
	tenure := k.tenure
	t.phase = "running"
	k.notify()
	if t.job.spec.Shape == "service" {
		return
	}
	t.timer = time.AfterFunc(t.job.run, func() {
		k.hang.wait()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.checkLease()
		if k.gone || k.tenure != tenure || k.tasks[key] != t || t.phase != "running" {
			return
		}
		k.exit(t, "done")
	})
}

// exit ends a task. The caller holds the lock.
func (k *worker) exit(t *workerTask, cause string) {
	t.timer.Stop()
	if t.isOn() {
		k.world.taskOff(k, t, cause)
	}
	if cause == "done" {
		k.world.complete(t.name)
	}
	t.phase, t.cause = "exited", cause
	k.notify()
}

// serve answers direct calls.
func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	lost := false
	if k.world.loseCommand != nil && r.URL.Path == "/commands" {
		var late time.Duration
		if lost, late = k.world.loseCommand(); lost {
			time.Sleep(late)
		}
	}
	k.hang.wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone || k.deaf {
		panic(http.ErrAbortHandler)
	}
	k.checkLease()
	status := 200
	if r.URL.Path == "/commands" {
		var request struct {
			Baton  *uint64 `json:"baton"`
			Tenure *uint64 `json:"tenure"`
			Orders []order `json:"orders"`
		}
		switch {
		case json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Tenure == nil:
			w.WriteHeader(400)
			return
		case *request.Baton < k.baton || *request.Tenure != k.tenure:
			status = 409
		default:
			k.raise(*request.Baton)
			k.carryOut(request.Orders, "commands")
		}
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(k.report()))
}

func (t *workerTask) String() string { return fmt.Sprintf("%s try %d", t.name, t.attempt) }

// isOn reports whether a task is on its machine: it has its image and has not ended.
func (t *workerTask) isOn() bool { return t.phase == "running" || t.phase == "gathering" }
