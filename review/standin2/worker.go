package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for the worker of one machine.
type Worker struct {
	Host, Addr string

	cluster *Cluster
	flavour MachineType
	zone    string
	spot    bool
	rented  time.Time

	mu       sync.Mutex
	up       bool
	gone     bool
	hung     chan struct{} // not nil while the machine hangs; closed when it goes on
	session  uint64
	tick     uint64
	baton    uint64
	renewed  time.Time // when the last answered report was sent, or the session began
	tasks    map[string]*task
	order    []string
	images   map[string]bool
	change   chan struct{}
	quiet    time.Time        // until then a worker that has begun again sends no report unless something changes
	births   int              // how often the machine has begun again
	starts   []commandRequest // the direct requests with starts that were executed
	answered int              // reports that were answered with 200
	refused  int              // reports that got another status
	calls    caller
}

// task is one attempt of a task on a machine.
type task struct {
	name    string
	attempt uint64
	phase   string
	cause   string
	job     *Job
	endsAt  time.Time // for running tasks of jobs that end by themselves
	ready   time.Time // when the image is there
}

type taskReport struct {
	Shard string  `json:"shard"`
	Try   uint64  `json:"try"`
	Phase string  `json:"phase"`
	Cause *string `json:"cause,omitempty"`
}

type report struct {
	Host    string       `json:"host"`
	Address string       `json:"address"`
	Flavour string       `json:"flavour"`
	Hall    string       `json:"hall"`
	Loaner  bool         `json:"loaner"`
	Tenure  uint64       `json:"tenure"`
	Tick    uint64       `json:"tick"`
	Baton   uint64       `json:"baton"`
	Warning *float64     `json:"warningS"`
	Shards  []taskReport `json:"shards"`
}

type order struct {
	Verb     string  `json:"verb"`
	Shard    string  `json:"shard"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"windDownS"`
}

type commandRequest struct {
	Baton  *uint64 `json:"baton"`
	Tenure *uint64 `json:"tenure"`
	Orders []order `json:"orders"`
}

// NewWorker returns the worker of a machine that is being started, at an address of its own.
func NewWorker(cluster *Cluster, host string, number int, flavour MachineType, zone string, spot bool) (*Worker, error) {
	w := &Worker{Host: host, cluster: cluster, flavour: flavour, zone: zone, spot: spot, rented: time.Now(), session: 1,
		tasks: make(map[string]*task), images: make(map[string]bool), change: make(chan struct{}, 1), calls: newCaller()}
	var err error
	w.Addr, err = serve(fmt.Sprintf("127.2.%d.%d", number/250, 1+number%250), http.HandlerFunc(w.handle))
	return w, err
}

// Up ends the boot: from now on the worker reports.
func (w *Worker) Up() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.up {
		return
	}
	w.up, w.renewed = true, time.Now()
	go w.reportLoop()
	go w.clockLoop()
}

// Remove ends the machine with everything on it.
func (w *Worker) Remove(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll(why)
	w.gone = true
	if w.hung != nil {
		close(w.hung)
		w.hung = nil
	}
}

// Hang stops the machine, which keeps its tasks; Continue lets it go on.
func (w *Worker) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung == nil && !w.gone {
		w.hung = make(chan struct{})
		w.cluster.Record.Add("worker", w.Host, "hangs", "")
	}
}

// Continue lets a machine that hangs go on.
func (w *Worker) Continue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung != nil {
		w.cluster.Record.Add("worker", w.Host, "goes on", "")
		close(w.hung)
		w.hung = nil
	}
}

// Restart ends all that runs on the machine, whose worker begins again at once: with session 1, no
// token and no tasks. The images on its disk are still there.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cluster.Record.Add("worker", w.Host, "restarts", "")
	w.killAll("restart")
	w.session, w.tick, w.baton, w.renewed = 1, 0, 0, time.Now()
	w.births++
	select {
	case <-w.change: // a change of the time before
	default:
	}
	interval := w.cluster.Site.Workers.Report * (0.75 + 0.5*rand.Float64())
	w.quiet = time.Now().Add(time.Duration(interval * float64(time.Second)))
}

// awaitReport waits while a worker that has begun again has no reason to report.
func (w *Worker) awaitReport() {
	for {
		w.mu.Lock()
		pause := time.Until(w.quiet)
		w.mu.Unlock()
		if pause <= 0 {
			return
		}
		select {
		case <-w.change:
			return
		case <-time.After(min(pause, 20*time.Millisecond)):
		}
	}
}

// RepeatStart delivers a copy of the request that started a task, which was executed and answered
// before. It reports whether there was such a request.
func (w *Worker) RepeatStart(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, request := range w.starts {
		if !slices.ContainsFunc(request.Orders, func(o order) bool { return o.Verb == "start" && o.Shard == name }) {
			continue
		}
		if *request.Baton < w.baton || *request.Tenure != w.session {
			w.cluster.Record.Add("worker", w.Host, "late copy", fmt.Sprintf("refused: token %d, session %d", *request.Baton, *request.Tenure))
			return true
		}
		w.baton = *request.Baton
		w.execute(request.Orders, "late copy")
		return true
	}
	return false
}

// Shows reports whether the worker lists a task.
func (w *Worker) Shows(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks[name] != nil
}

// wait blocks while the machine hangs and reports whether the machine is still there.
func (w *Worker) wait() bool {
	w.mu.Lock()
	hung, gone := w.hung, w.gone
	w.mu.Unlock()
	if hung != nil {
		<-hung
		return w.wait()
	}
	return !gone
}

func (w *Worker) killAll(why string) {
	for _, name := range w.order {
		t := w.tasks[name]
		if t.phase != "exited" {
			w.cluster.Judge().Ended(w, t, why)
		}
	}
	w.tasks, w.order = make(map[string]*task), nil
}

// clockLoop ends leases, image fetches and runs that are due.
func (w *Worker) clockLoop() {
	for w.wait() {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.hung == nil && !w.gone {
			w.advance(time.Now())
		}
		w.mu.Unlock()
	}
}

func (w *Worker) advance(now time.Time) {
	lease := time.Duration(w.cluster.Site.Workers.Lease * float64(time.Second))
	if now.Sub(w.renewed) > lease {
		w.cluster.Record.Add("worker", w.Host, leaseEnded, fmt.Sprintf("session %d, %d tasks", w.session, len(w.tasks)))
		w.killAll(leaseEnded)
		w.session++
		w.renewed = now
		w.notify()
		return
	}
	for _, name := range w.order {
		w.advanceTask(w.tasks[name], now)
	}
}

func (w *Worker) advanceTask(t *task, now time.Time) {
	switch {
	case t.phase == "fetching" && !now.Before(t.ready):
		w.images[t.job.Bundle] = true
		t.phase = "running"
		if t.job.Shape == "group" {
			t.phase = "gathering"
		}
		w.cluster.Judge().Began(w, t)
		t.endsAt = now.Add(t.job.runs)
		w.notify()
	case t.phase == "gathering" && w.cluster.Judge().GangComplete(t):
		t.phase, t.endsAt = "running", now.Add(t.job.runs)
		w.notify()
	case t.phase == "running" && t.job.Shape != "service" && (!now.Before(t.endsAt) || w.cluster.Judge().GangDone(t)):
		w.exit(t, "done")
	}
}

func (w *Worker) exit(t *task, cause string) {
	if t.phase == "running" || t.phase == "gathering" {
		w.cluster.Judge().Ended(w, t, cause)
	}
	t.phase, t.cause = "exited", cause
	w.notify()
}

func (w *Worker) notify() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

// message returns the next report.
func (w *Worker) message() report {
	w.tick++
	m := report{Host: w.Host, Address: w.Addr, Flavour: w.flavour.Label, Hall: w.zone, Loaner: w.spot, Tenure: w.session, Tick: w.tick, Baton: w.baton, Shards: []taskReport{}}
	for _, name := range w.order {
		t := w.tasks[name]
		shown := taskReport{Shard: t.name, Try: t.attempt, Phase: t.phase}
		if t.phase == "exited" {
			shown.Cause = &t.cause
		}
		m.Shards = append(m.Shards, shown)
	}
	return m
}

// reportLoop sends reports to one controller at a time.
func (w *Worker) reportLoop() {
	nodes := w.cluster.Nodes
	at := rand.IntN(len(nodes))
	interval := time.Duration(w.cluster.Site.Workers.Report * float64(time.Second))
	for w.wait() {
		w.awaitReport()
		w.mu.Lock()
		message, sentAt := w.message(), time.Now()
		session, birth := w.session, w.births
		w.mu.Unlock()
		body, _ := json.Marshal(message)
		if len(body) > maxBody {
			w.cluster.Record.Add("worker", w.Host, "report too long", strconv.Itoa(len(body)))
		}
		var reply struct {
			Baton   uint64  `json:"baton"`
			Orders  []order `json:"orders"`
			Steward string  `json:"steward"`
		}
		status := w.calls.call(http.MethodPost, "http://"+nodes[at].Public+"/v1/report", body, 4*time.Second, &reply)
		if !w.wait() {
			return
		}
		if status == http.StatusOK && time.Since(sentAt) < 4*time.Second {
			w.take(session, birth, sentAt, reply.Baton, reply.Orders)
			pause := time.Duration(float64(interval) * (0.75 + 0.5*rand.Float64()))
			time.Sleep(500 * time.Millisecond)
			select {
			case <-w.change:
			case <-time.After(pause - 500*time.Millisecond):
			}
			continue
		}
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
		next := slices.IndexFunc(nodes, func(n *Node) bool { return n.Name == reply.Steward })
		if status == http.StatusMisdirectedRequest && next >= 0 && next != at {
			at = next
			time.Sleep(100 * time.Millisecond)
			continue
		}
		at = (at + 1) % len(nodes)
		time.Sleep(time.Second)
	}
}

// take executes an answer to a report.
func (w *Worker) take(session uint64, birth int, sentAt time.Time, baton uint64, orders []order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if session != w.session || birth != w.births || baton == 0 || baton < w.baton {
		return
	}
	w.answered++
	w.baton = baton
	w.renewed = sentAt
	w.execute(orders, "answer")
}

// execute executes commands in order.
func (w *Worker) execute(orders []order, by string) {
	for _, o := range orders {
		w.cluster.Record.Add("worker", w.Host, by+" "+o.Verb, fmt.Sprintf("%s attempt %d, token %d", o.Shard, o.Try, w.baton))
		t := w.tasks[o.Shard]
		switch o.Verb {
		case "start":
			w.startTask(o)
		case "stop":
			if t != nil && t.attempt == o.Try && t.phase != "exited" {
				w.exit(t, "halted")
			}
		case "reap":
			if t != nil && t.attempt == o.Try && t.phase == "exited" {
				delete(w.tasks, o.Shard)
				w.order = slices.DeleteFunc(w.order, func(name string) bool { return name == o.Shard })
				w.notify()
			}
		}
	}
}

func (w *Worker) startTask(o order) {
	present := w.tasks[o.Shard]
	if present != nil && present.attempt == o.Try {
		return
	}
	t := &task{name: o.Shard, attempt: o.Try, phase: "exited"}
	ref, _, _ := strings.Cut(o.Shard, "/")
	t.job = w.cluster.Judge().Job(ref)
	switch {
	case t.job == nil:
		t.cause = "no_such"
	case present != nil && present.phase != "exited":
		t.cause = "busy"
	case !w.fits(t.job):
		t.cause = "no_room"
	default:
		t.phase = "fetching"
		t.ready = time.Now()
		if !w.images[t.job.Bundle] {
			t.ready = t.ready.Add(time.Duration(t.job.SizeGB / w.flavour.PullGBPerS * float64(time.Second)))
		}
	}
	if t.cause == "busy" {
		return // the attempt that is here stays listed
	}
	if present == nil {
		w.order = append(w.order, o.Shard)
	}
	w.tasks[o.Shard] = t
	w.notify()
	if t.phase == "fetching" {
		w.advanceTask(t, time.Now()) // a task whose image is there begins at once
	}
}

func (w *Worker) fits(job *Job) bool {
	cpus, cards, mem := job.CPUs, job.Cards, job.MemGB
	for _, t := range w.tasks {
		if t.phase != "exited" {
			cpus, cards, mem = cpus+t.job.CPUs, cards+t.job.Cards, mem+t.job.MemGB
		}
	}
	return cpus <= w.flavour.CPUs+1e-6 && cards <= w.flavour.Cards+1e-6 && mem <= w.flavour.MemGB+1e-6
}

// handle serves the controllers' direct calls.
func (w *Worker) handle(out http.ResponseWriter, r *http.Request) {
	body, err := readAll(r)
	if err != nil || !w.wait() {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up || w.gone:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/show":
		answer(out, http.StatusOK, w.message())
	case r.URL.Path == "/commands" && len(body) > maxBody:
		w.cluster.Record.Add("worker", w.Host, "request too long", strconv.Itoa(len(body)))
		answer(out, http.StatusRequestEntityTooLarge, map[string]string{"error": "body too long"})
	case r.URL.Path == "/commands":
		w.commands(out, body)
	default:
		answer(out, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

func (w *Worker) commands(out http.ResponseWriter, body []byte) {
	var request commandRequest
	if json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Tenure == nil {
		answer(out, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	if *request.Baton < w.baton || *request.Tenure != w.session {
		answer(out, http.StatusConflict, w.message())
		return
	}
	if *request.Baton > w.baton {
		w.baton = *request.Baton
		w.notify()
	}
	w.execute(request.Orders, "direct")
	if slices.ContainsFunc(request.Orders, func(o order) bool { return o.Verb == "start" }) {
		w.starts = append(w.starts, request)
	}
	if w.cluster.LateCopies && rand.IntN(3) == 0 {
		time.AfterFunc(time.Duration(2000+rand.IntN(14000))*time.Millisecond, func() {
			if !w.wait() {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if *request.Baton >= w.baton && *request.Tenure == w.session && !w.gone {
				w.execute(request.Orders, "late copy")
			}
		})
	}
	answer(out, http.StatusOK, w.message())
}

// Counts returns how many reports were answered with 200 and how many were not.
func (w *Worker) Counts() (answered, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered, w.refused
}
