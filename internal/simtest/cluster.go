package simtest

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"madderslip/internal/coordination/controller"
	"madderslip/internal/emulator"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// usual is how many controllers a cluster has, unless its script says otherwise.
const usual = 3

// controllers names so many controllers.
func controllers(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	return names
}

// zoneOf is the zone of a controller: they take turns.
func zoneOf(names []string, name string) string {
	return []string{"a", "b"}[slices.Index(names, name)%2]
}

// cluster is some controllers in a stand-in world.
type cluster struct {
	names   []string
	began   time.Time
	ctx     context.Context
	seed    uint64
	w       *emulator.World
	plain   bool                 // limits are not allotted
	next    protocol.StateLimits // what controllers are told of the state service's coming limits
	older   map[string]bool      // do not say what they took; guarded by mu
	users   sync.WaitGroup
	endings int // steps so far that end by themselves

	judge  sync.Mutex // taken under the world's lock, and guards the next two
	judged map[string]*controller.Controller
	teams  map[string]protocol.Team

	calmSince time.Time
	asked     int                  // rounds of questions since
	answered  map[string]time.Time // by job, when one was last answered

	mu    sync.Mutex
	nodes map[string]*process
	fault error // the first thing that went wrong outside the rules
}

// process is a controller that runs.
type process struct {
	node  *controller.Controller
	stop  context.CancelFunc
	ended chan struct{}
}

// settings are what the platform hands to a controller.
func settings(names []string, name string) protocol.Settings {
	s := protocol.Settings{NodeName: name, Zone: zoneOf(names, name), CloudAddr: "cloud", StateAddr: "state", NodeCount: len(names), Zones: []string{"a", "b"},
		Teams: map[string]protocol.Team{"open": {Name: "open"}, "tight": {Name: "tight", MaxCPUs: 4}, "cards": {Name: "cards", GuaranteedGPUs: 2, MaxGPUs: 4},
			"lent": {Name: "lent", GuaranteedCPUs: 8, MaxCPUs: 16}, "guest": {Name: "guest"}},
		Workers: protocol.WorkerSettings{HeartbeatInterval: 2 * time.Second, LeaseDuration: 12 * time.Second, GangStartTimeout: 30 * time.Second,
			GangPeerTimeout: 6 * time.Second, CancelDeadline: 30 * time.Second},
		StateLimits:   protocol.StateLimits{RequestRate: 200, WriteRate: 80, MaxValueBytes: 8192, MaxTxnOps: 12},
		CloudLimits:   protocol.CloudLimits{RequestRate: 8, ListLag: 2 * time.Second},
		ProcessLimits: protocol.ProcessLimits{CPUShare: 0.3, MemoryBytes: 128 << 20, MaxConns: 1000}}
	for _, other := range names {
		if other != name {
			s.Peers = append(s.Peers, protocol.Peer{Node: other, Zone: zoneOf(names, other), Addr: other})
		}
	}
	return s
}

func newCluster(ctx context.Context, seed uint64, count int) *cluster {
	names := controllers(count)
	s := settings(names, names[0])
	c := &cluster{names: names, began: time.Now(), ctx: ctx, seed: seed, teams: maps.Clone(s.Teams), nodes: make(map[string]*process), judged: make(map[string]*controller.Controller), answered: make(map[string]time.Time), older: make(map[string]bool)}
	c.w = emulator.NewWorld(ctx, seed, s.Workers, maps.Clone(s.Teams))
	c.w.OnStop = c.judgeStop
	c.w.State.SetRateLimits(s.StateLimits.RequestRate, s.StateLimits.WriteRate)
	c.w.State.SetSizeLimits(emulator.SizeLimits{ValueBytes: s.StateLimits.MaxValueBytes, Changes: s.StateLimits.MaxTxnOps})
	c.w.ListLag = s.CloudLimits.ListLag
	for _, name := range names {
		c.w.SetZone(name, zoneOf(names, name))
	}
	c.w.Types = append(c.w.Types, protocol.MachineType{Name: "g2", CPUs: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 50, ImagePullGBps: 1, Price: 6, SpotPrice: 2, BootS: 12, Zones: []string{"a", "b"}})
	return c
}

// peer carries a controller's messages to another.
type peer struct {
	c        *cluster
	from, to string
}

// Call delivers a message if the other controller runs and their links are up.
func (p peer) Call(ctx context.Context, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return p.c.w.SendToPeer(ctx, p.from, p.to, raw, func(ctx context.Context, raw []byte) error {
		p.c.mu.Lock()
		other, older := p.c.nodes[p.to], p.c.older[p.to]
		p.c.mu.Unlock()
		if other == nil {
			return fmt.Errorf("%s is down", p.to)
		}
		answer, err := other.node.HandlePeerMessage(ctx, raw)
		if err != nil || older {
			return err
		}
		return protocol.Decode(answer, out)
	})
}

// announce has controllers that start from now on told of the state service's coming
// limits: "announce VALUE-BYTES CHANGES RATE".
func (c *cluster) announce(f []string) error {
	var next protocol.StateLimits
	if _, err := fmt.Sscan(strings.Join(f, " "), &next.MaxValueBytes, &next.MaxTxnOps, &next.WriteRate); err != nil || len(f) != 3 {
		return fmt.Errorf("script: announce VALUE-BYTES CHANGES RATE, not %q", strings.Join(f, " "))
	}
	c.mu.Lock()
	c.next = next
	c.mu.Unlock()
	return nil
}

// lower has the state service lower its limits to those announced.
func (c *cluster) lower() error {
	c.mu.Lock()
	next := c.next
	c.mu.Unlock()
	if next == (protocol.StateLimits{}) {
		return errors.New("script: no limits are announced")
	}
	rps := settings(c.names, c.names[0]).StateLimits.RequestRate
	c.w.State.SetRateLimits(rps, next.WriteRate)
	c.w.State.SetSizeLimits(emulator.SizeLimits{ValueBytes: next.MaxValueBytes, Changes: next.MaxTxnOps})
	c.w.Note("the state service lowers its limits")
	return nil
}

// given takes a step about what controllers are given that start from now on; those
// that run keep theirs: "team NAME cpus=.. most=.. cards=.. mostcards=.." or
// "allot on|off".
func (c *cluster) given(f []string) error {
	if f[0] == "announce" {
		return c.announce(f[1:])
	}
	if f[0] == "allot" {
		c.mu.Lock()
		c.plain = f[1] == "off"
		c.mu.Unlock()
		return nil
	}
	t := protocol.Team{Name: f[1]}
	for _, kv := range f[2:] {
		key, value, _ := strings.Cut(kv, "=")
		n, err := strconv.ParseFloat(value, 64)
		part := map[string]*float64{"cpus": &t.GuaranteedCPUs, "most": &t.MaxCPUs, "cards": &t.GuaranteedGPUs, "mostcards": &t.MaxGPUs}[key]
		if err != nil || part == nil {
			return fmt.Errorf("script: a team has cpus, most, cards or mostcards, not %q", kv)
		}
		*part = n
	}
	c.judge.Lock()
	was := c.teams[t.Name]
	c.teams[t.Name] = t
	c.judge.Unlock()
	if time.Since(c.began) > 0 {
		// Until all controllers have been given it the higher one may be used.
		t.MaxCPUs, t.MaxGPUs = higher(t.MaxCPUs, was.MaxCPUs), higher(t.MaxGPUs, was.MaxGPUs)
	}
	c.w.SetTeam(t)
	return nil
}

// higher is the higher of two limits; 0 is none.
func higher(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// judgeStop tells what is wrong with a task's stop: nothing may be stopped for a team
// that has its guarantee. What of the team's other jobs runs, and what is booked for
// the one that it is stopped for, must fit it together.
func (c *cluster) judgeStop(task, host string, use map[string]protocol.Resources) string {
	ref, num, _ := protocol.ParseTaskName(task)
	claimant := ""
	c.judge.Lock()
	for _, name := range slices.Sorted(maps.Keys(c.judged)) {
		claimant = cmp.Or(claimant, c.judged[name].PreemptedFor(ref, num, host))
	}
	teams := maps.Clone(c.teams)
	c.judge.Unlock()
	if claimant == "" {
		return ""
	}
	stored := c.records()
	ref, _, _ = records.ParseClaimKey(claimant)
	var chunk records.Claim
	_ = json.Unmarshal(stored[claimant], &chunk)
	own := c.w.JobUse(ref, chunk.FirstTask, chunk.FirstTask+chunk.TaskCount)
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		raw := stored[key]
		team, is := strings.CutPrefix(key, records.ReservationPrefix)
		var b records.Reservations
		if !is || json.Unmarshal(raw, &b) != nil {
			continue
		}
		claim := b.ByClaim[claimant]
		for _, part := range [...]struct{ guarantee, claimed, used, own float64 }{
			{teams[team].GuaranteedCPUs, claim.Use.CPUs, use[team].CPUs, own.CPUs},
			{teams[team].GuaranteedGPUs, claim.Use.GPUs, use[team].GPUs, own.GPUs},
		} {
			if part.guarantee > 0 && part.claimed > 0 && part.used-part.own+max(part.claimed, part.own) > part.guarantee+1e-6 {
				return fmt.Sprintf("%s is stopped for %s of %s, which has %v of %v and books %v", task, claimant, team, part.used, part.guarantee, part.claimed)
			}
		}
	}
	return ""
}

// start runs a controller, unless it runs already.
func (c *cluster) start(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[name] != nil {
		return nil
	}
	s := settings(c.names, name)
	c.judge.Lock()
	s.Teams = maps.Clone(c.teams)
	c.judge.Unlock()
	s.AnnouncedStateLimits = c.next
	pol, err := policy.Load("", s)
	if err != nil {
		return err
	}
	pol.Allotments = !c.plain
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("TRACE_LOG") == name {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	ctx, stop := context.WithCancel(c.ctx)
	link := emulator.Link{W: c.w, Node: name, Ctx: ctx}
	led := kv.New(link, "state", s.StateLimits, log)
	led.AnnounceLimits(s.AnnouncedStateLimits)
	peers := make(map[string]controller.PeerClient)
	for _, p := range s.Peers {
		peers[p.Node] = peer{c, name, p.Node}
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	n := controller.New(controller.Options{Settings: s, Policy: pol, Store: led, HTTP: link, Peers: peers, Log: log, Rand: rand.New(rand.NewPCG(c.seed, h.Sum64())),
		WaitWhilePaused: func(ctx context.Context) { c.w.WaitWhilePaused(ctx, name) }})
	p := &process{node: n, stop: stop, ended: make(chan struct{})}
	c.nodes[name] = p
	c.judge.Lock()
	c.judged[name] = n
	c.judge.Unlock()
	c.w.Note("%s starts", name)
	go led.Run(ctx)
	go func() {
		n.Run(ctx)
		close(p.ended)
	}()
	c.w.SetNode(name, n.Handle)
	return nil
}

// runEnds is how long a controller may take to return from Run.
const runEnds = 10 * time.Second

// kill ends a controller. Its Run must return soon: an embedding program would
// hang in its own shutdown otherwise.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	p := c.nodes[name]
	delete(c.nodes, name)
	c.judge.Lock()
	delete(c.judged, name)
	c.judge.Unlock()
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.w.Note("%s ends", name)
	c.w.SetNode(name, nil)
	p.stop()
	c.users.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(runEnds):
			c.fail(fmt.Errorf("run_ends: %s does not return from Run within %v of its end", name, runEnds))
		}
	})
}

func (c *cluster) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == nil {
		c.fault = err
	}
	c.w.Note("FAULT %v", err)
}

// live lists the controllers that run, in order.
func (c *cluster) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.nodes))
}

// recount compares every live controller's indexes with a count from scratch.
func (c *cluster) recount() error {
	for _, name := range c.live() {
		c.mu.Lock()
		p := c.nodes[name]
		c.mu.Unlock()
		if err := p.node.Recount(); err != nil {
			return fmt.Errorf("recount: indexes of %s: %w", name, err)
		}
	}
	return nil
}
