package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/standin"
)

// The traces in testdata are scripts that people read: a time, an actor, what
// it does or what must be so by then. The stand-in checks the rules all along.

var (
	workerTimes = protocol.WorkerSettings{Report: 2 * time.Second, Lease: 12 * time.Second, GangWait: 30 * time.Second,
		GangPeer: 6 * time.Second, Cancel: 30 * time.Second}
	names = []string{"n0", "n1", "n2"}
)

type cluster struct {
	t     *testing.T
	mu    sync.Mutex // guards nodes
	w     *standin.World
	ctx   context.Context
	stops map[string]context.CancelFunc
	nodes map[string]*Node
	jobs  map[string]*standin.Job
}

// inProcess carries a controller's messages to another without a socket.
type inProcess struct {
	c  *cluster
	to string
}

func (p inProcess) Call(ctx context.Context, in, _ any) error {
	p.c.mu.Lock()
	n := p.c.nodes[p.to]
	p.c.mu.Unlock()
	if n == nil {
		return fmt.Errorf("%s is down", p.to)
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	_, err = n.HandlePeer(ctx, raw)
	return err
}

func settings(name string) protocol.Settings {
	s := protocol.Settings{Node: name, Zone: "a", Cloud: "cloud", State: "state", Nodes: 3, Zones: []string{"a", "b"},
		Teams:      map[string]protocol.Team{"open": {Name: "open"}, "tight": {Name: "tight", CPUsMax: 4}},
		Workers:    workerTimes,
		StateLimit: protocol.StateLimits{RPS: 200, WriteRPS: 80, ValueBytes: 8192, TxnOps: 12},
		CloudLimit: protocol.CloudLimits{RPS: 8, ListLag: 2 * time.Second},
		Machine:    protocol.MachineLimits{CPUShare: 0.3, RAMBytes: 128 << 20, MaxConns: 1000}}
	for _, other := range names {
		if other != name {
			s.Peers = append(s.Peers, protocol.Peer{Node: other, Zone: "a", Addr: other})
		}
	}
	return s
}

func (c *cluster) start(name string) {
	ctx, stop := context.WithCancel(c.ctx)
	s := settings(name)
	pol, err := policy.Load("", s)
	if err != nil {
		c.t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("TRACE_LOG") == name {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	link := standin.Link{W: c.w, Node: name, Ctx: ctx}
	led := ledger.New(link, "state", s.StateLimit, log)
	peers := make(map[string]PeerCaller)
	for _, p := range s.Peers {
		peers[p.Node] = inProcess{c, p.Node}
	}
	n := New(Options{Settings: s, Policy: pol, Ledger: led, HTTP: link, Peers: peers, Log: log, Rand: rand.New(rand.NewPCG(1, 2))})
	c.mu.Lock()
	c.nodes[name], c.stops[name] = n, stop
	c.mu.Unlock()
	go led.Run(ctx)
	go n.Run(ctx)
	c.w.SetNode(name, n.Handle)
}

func (c *cluster) kill(name string) {
	c.w.SetNode(name, nil)
	c.stops[name]()
	c.mu.Lock()
	delete(c.nodes, name)
	c.mu.Unlock()
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { play(t, string(text)) })
		})
	}
}

func play(t *testing.T, script string) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, stops: make(map[string]context.CancelFunc), nodes: make(map[string]*Node), jobs: make(map[string]*standin.Job)}
	c.w = standin.NewWorld(ctx, 1, workerTimes, settings("n0").Teams)
	defer func() {
		cancel()
		time.Sleep(time.Minute) // the bubble's goroutines see the end
	}()
	for _, name := range names {
		c.start(name)
	}
	began := time.Now()
	for num, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || len(f) < 2 {
			t.Fatalf("line %d: %q", num+1, line)
		}
		if wait := at - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		err = c.step(f[1:])
		if err == nil {
			err = c.recount()
		}
		if err != nil {
			t.Errorf("line %d: %q: %v\n%s", num+1, line, err, strings.Join(c.w.Events(), "\n"))
			return
		}
	}
	if broken := c.w.Broken(); len(broken) > 0 {
		t.Errorf("rules broken: %v\n%s", broken, strings.Join(c.w.Events(), "\n"))
	}
}

// recount compares every live controller's indexes with a count from scratch.
func (c *cluster) recount() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		n.mu.Lock()
		err := n.recountAll()
		n.mu.Unlock()
		if err != nil {
			return fmt.Errorf("indexes of %s: %w", name, err)
		}
	}
	return nil
}

func (c *cluster) step(f []string) error {
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	switch f[0] {
	case "machines": // machines COUNT ZONE
		n, _ := strconv.Atoi(arg(1))
		c.w.AddMachines(n, arg(2))
	case "spare":
		n, _ := strconv.Atoi(arg(1))
		c.w.Spare = n
	case "submit": // submit NODE REF shape tasks=N key=value
		return c.submit(f[1:])
	case "abort": // abort NODE REF
		if got := c.w.Abort(arg(1), arg(2)); got != 200 {
			return fmt.Errorf("answered %d", got)
		}
	case "kill":
		c.kill(arg(1))
	case "start":
		c.start(arg(1))
	case "outage":
		c.w.Outage(arg(1) == "on")
	case "refuse":
		c.w.Refuse(arg(1), arg(2) == "on")
	case "deafen":
		c.w.Deafen(arg(1), arg(2) == "on")
	case "vm": // vm HOST hang|resume|cut|heal|sick
		c.w.Set("vm-"+arg(1), arg(2))
	case "expect":
		return c.expect(f[1:])
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (c *cluster) submit(f []string) error {
	shapes := map[string]protocol.Shape{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	j := &standin.Job{Spec: protocol.Submission{Ref: f[1], Class: f[2], Team: "open", Shape: shapes[f[2]], Rank: "normal", Tasks: 1,
		CPUs: 2, MemGB: 2, Image: "img-1", ImageGB: 1}}
	want := 201
	for _, kv := range f[3:] {
		key, value, _ := strings.Cut(kv, "=")
		n, _ := strconv.ParseFloat(value, 64)
		switch key {
		case "tasks":
			j.Spec.Tasks = int(n)
		case "cpus":
			j.Spec.CPUs = n
		case "run":
			j.Run = protocol.Seconds(n)
			j.Spec.ExpectS = n
		case "rank":
			j.Spec.Rank = value
		case "team":
			j.Spec.Team = value
		case "spread":
			j.Spec.Spread = true
		case "samezone":
			j.Spec.SameZone = true
		case "fails":
			j.Fail = true
		case "image":
			j.Spec.Image = value
		case "fetch":
			j.Fetch = protocol.Seconds(n)
		case "answer":
			want = int(n)
		}
	}
	if got := c.w.Submit(f[0], j); got != want {
		return fmt.Errorf("answered %d, wanted %d", got, want)
	}
	return nil
}

// expect REF done|cancelled|unknown from every live node that answers (at least
// one must), REF running N, or returned N machines so far.
func (c *cluster) expect(f []string) error {
	if f[1] == "running" {
		n, _ := strconv.Atoi(f[2])
		if got := c.w.Running(f[0]); got != n {
			return fmt.Errorf("%d tasks run", got)
		}
		return nil
	}
	if f[0] == "returned" {
		n, _ := strconv.Atoi(f[1])
		got := 0
		for _, line := range c.w.Events() {
			if strings.HasSuffix(line, " returned") {
				got++
			}
		}
		if got != n {
			return fmt.Errorf("%d machines were returned", got)
		}
		return nil
	}
	answers := 0
	live := make([]string, 0, len(c.nodes))
	for name := range c.nodes {
		live = append(live, name)
	}
	slices.Sort(live)
	for _, name := range live {
		status, a := c.w.Query(name, f[0])
		switch {
		case f[1] == "unknown" && status == 404, status == 200 && a.Phase == f[1]:
			answers++
		case status == 503 || status == 0:
		default:
			return fmt.Errorf("%s answers %d %s", name, status, a.Phase)
		}
	}
	if answers == 0 && f[1] != "unanswered" {
		return fmt.Errorf("nobody answers")
	}
	return nil
}
