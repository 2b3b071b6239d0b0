package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// StateStore is the state service as this package uses it.
type StateStore interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	List(ctx context.Context) ([]kv.Item, uint64, error)
	Watch(ctx context.Context, from uint64, block time.Duration) ([]kv.Item, uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, permit uint64) error
	Submit(t *kv.Txn)
	HasPending(prio int) int
	SetBudgetShare(part float64)
	MaxValueBytes() int
	ObserveVersion(key string, stamp uint64, exists bool)
	LastSuccess() time.Time
	Backlog(prio int) (changes int, rate float64)
	ReadBacklog() (waiting int, rate float64)
}

// HTTPClient makes HTTP calls to workers and the cloud.
type HTTPClient interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error)
}

// PeerClient calls one other controller.
type PeerClient interface {
	Call(ctx context.Context, in, out any) error
}

// Controller is one controller. Its fields are guarded by mu; methods that do not
// take the lock themselves expect it to be held by the caller.
type Controller struct {
	cfg   protocol.Settings
	pol   policy.Policy
	led   StateStore
	http  HTTPClient
	peers map[string]PeerClient
	log   *slog.Logger
	rng   *rand.Rand
	boot  time.Time
	kick  chan struct{}
	cloud *rate.Limiter

	mu         sync.Mutex
	view       *replica.View
	lookingUp  bool                // the jobs of some of them are being read
	guarantees bool                // some team has one
	bookings   map[string]*booking // by job
	unbooking  bool
	wanted     bool // the others were last told of wants
	wantedAt   time.Time
	leadership leadership
	untold     []untold // answers that wait for the watch
	unknown    map[string]unknownHost
	repeatFrom string                        // of these, the one to be repeated next
	plans      map[string]*plan              // by job: the room for which it has displaced others
	planned    []string                      // claims for which room is being made, likewise
	intents    []string                      // claims under way that the other controllers were not told of
	outbox     map[*replica.Machine]struct{} // machines with commands to be sent
	refreshes  int                           // of keys after a transaction failed, so far

	permit    uint64
	loads     map[string]replica.ReportedLoad // by shard
	queuedNow map[string]float64              // CPUs this node queued at a shard since its last figure
	stateOKAt map[string]time.Time
	ratios    map[string]float64   // class: observed run time over the estimate
	refused   map[string]time.Time // type/zone/kind: not to be asked for before
	beat      health.PauseDetector
	boots     provisioning.BootStats
	scratch   struct { // of roomsBut
		rooms []room
		list  []*room
	}
	heardFrom  map[string]time.Time // when the other controllers last spoke
	waits      map[string]waitsSeen // changes that wait there, as they last said
	cutSeen    map[string]time.Time // zones that seemed cut off, and when last
	fleet      fleetState
	pipelines  pipelines // jobs that wait for others
	soughtWide time.Time // when jobs wider than any shard were last sought
	ctx        context.Context
	stand      func(context.Context)
}

type waitsSeen struct {
	changes int
	at      time.Time
}

type unknownHost struct {
	first time.Time
	busy  bool // being recorded, in this shard
	shard string
	kind  replica.MachineKind
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Options are a node's collaborators.
type Options struct {
	Settings protocol.Settings
	Policy   policy.Policy
	Store    StateStore
	HTTP     HTTPClient
	Peers    map[string]PeerClient
	Log      *slog.Logger
	Rand     *rand.Rand
	// Stand, if set, is called before each turn of a loop and waits for as long as
	// the process is to stand still: tests freeze a controller with it.
	WaitWhilePaused func(context.Context)
}

// New makes a controller; Run starts its loops.
func New(o Options) *Controller {
	n := &Controller{
		cfg: o.Settings, pol: o.Policy, led: o.Store, http: o.HTTP, peers: o.Peers, log: o.Log, rng: o.Rand,
		boot: time.Now(), kick: make(chan struct{}, 1),
		cloud:     rate.NewLimiter(rate.Limit(o.Settings.CloudLimits.RequestRate*0.8/float64(max(1, o.Settings.NodeCount))), 3),
		unknown:   make(map[string]unknownHost),
		loads:     make(map[string]replica.ReportedLoad),
		queuedNow: make(map[string]float64), stateOKAt: make(map[string]time.Time),
		ratios: make(map[string]float64), refused: make(map[string]time.Time),
		heardFrom: make(map[string]time.Time), waits: make(map[string]waitsSeen), cutSeen: make(map[string]time.Time),
		outbox: make(map[*replica.Machine]struct{}), plans: make(map[string]*plan), bookings: make(map[string]*booking),
		pipelines: newPipelines(), ctx: context.Background(),
	}
	n.view = replica.New(o.Settings.Teams, o.Policy.Allotments, o.Log, viewEvents{n})
	for name := range o.Settings.Teams {
		n.guarantees = n.guarantees || n.view.Quota.HasGuarantee(name)
	}
	if n.stand = o.WaitWhilePaused; n.stand == nil {
		n.stand = func(context.Context) {}
	}
	n.view.Shard(n.cfg.NodeName)
	for _, p := range n.cfg.Peers {
		n.view.Shard(p.Node)
	}
	return n
}

// loopGap is how far apart the loops start: their periods are multiples of one
// another, and started together they would wait for the lock together for ever.
const loopGap = 1370 * time.Microsecond

// Run starts the loops and returns when the context ends.
func (n *Controller) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	loops := []func(context.Context){n.watchLoop, n.sessionLoop, n.shardLoop, n.workLoop, n.probeLoop, n.cloudLoop, n.fleetLoop, n.peerLoop}
	var wg sync.WaitGroup
	for i, loop := range loops {
		wg.Go(func() {
			if pause(ctx, time.Duration(i)*loopGap) {
				loop(ctx)
			}
		})
	}
	wg.Wait()
}

// poke asks for a pass over the work soon.
func (n *Controller) poke() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// pause waits between two turns of a loop.
func (n *Controller) pause(ctx context.Context, d time.Duration) bool {
	if !pause(ctx, d) {
		return false
	}
	n.stand(ctx)
	return ctx.Err() == nil
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// watchPause spaces watches out: each costs a request of the budget, and
// urgent news travels between the controllers anyway.
const watchPause = 90 * time.Millisecond

// watchLoop keeps the cache up to date.
func (n *Controller) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		items, epoch, err := n.led.List(ctx)
		if err != nil {
			n.log.Info("cannot read the state service", "err", err)
			n.pause(ctx, 500*time.Millisecond)
			continue
		}
		n.mu.Lock()
		n.view.Relist(items, epoch)
		n.mu.Unlock()
		n.log.Info("records read", "records", len(items), "epoch", epoch)
		for ctx.Err() == nil {
			items, upTo, err := n.led.Watch(ctx, epoch, 10*time.Second)
			if errors.Is(err, kv.ErrCompacted) {
				n.log.Info("watch fell behind, reading anew")
				break
			}
			if err != nil {
				n.log.Debug("watch", "err", err)
				n.pause(ctx, 300*time.Millisecond)
				continue
			}
			n.mu.Lock()
			for _, it := range items {
				n.view.ApplyItem(it)
			}
			epoch = upTo
			n.view.ReachRevision(epoch)
			n.mu.Unlock()
			n.poke()
			n.pause(ctx, watchPause)
		}
	}
}

// sessionLoop keeps this node's lease and the record that shows it is alive.
func (n *Controller) sessionLoop(ctx context.Context) {
	ttl := n.pol.NodeLease
	key := records.NodePrefix + n.cfg.NodeName
	var permit uint64
	rec := &records.Node{StartedAtMs: n.boot.UnixMilli(), DependencyVersion: understandsPipelines}
	rec.QuotaVersion, rec.TeamsHash = n.view.Quota.Advertised()
	for ctx.Err() == nil {
		n.mu.Lock()
		loaded, live := n.view.Loaded, n.view.Nodes[n.cfg.NodeName]
		mine := permit != 0 && live.Version != 0 && n.permit == permit
		n.mu.Unlock()
		if !loaded {
			n.pause(ctx, 50*time.Millisecond)
			continue
		}
		if permit == 0 {
			p, err := n.led.GrantLease(ctx, ttl)
			if err != nil {
				n.log.Info("no lease", "err", err)
				n.pause(ctx, 300*time.Millisecond)
				continue
			}
			permit = p
		}
		if !mine {
			wait := make(chan error, 1)
			n.mu.Lock()
			// Conditional, like all else: a copy that an earlier process of this node had
			// sent hung the record on that one's lease again, and this node seemed to have
			// ended when that lease did.
			n.commit(kv.PriorityLease, []kv.Compare{{Key: key, Version: n.view.Nodes[n.cfg.NodeName].Version}}, []kv.Op{{Key: key, Value: rec, Lease: permit}}, 2*time.Second,
				func(err error) {
					if err == nil {
						n.permit = permit
					}
					wait <- err
				})
			n.mu.Unlock()
			var err error
			select {
			case err = <-wait:
			case <-ctx.Done():
				return // the ledger may have ended first
			}
			if err != nil {
				n.log.Info("cannot register", "err", err)
				if errors.Is(err, kv.ErrLeaseExpired) {
					permit = 0 // the lease ended before it was used
				}
				n.pause(ctx, 200*time.Millisecond)
				continue
			}
		}
		n.pause(ctx, ttl/3)
		if err := n.led.KeepAlive(ctx, permit); errors.Is(err, kv.ErrLeaseExpired) {
			n.log.Info("lease ended")
			permit = 0
		} else if err != nil {
			n.log.Debug("lease not extended", "err", err)
		}
	}
}
