package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
)

// callJSON makes an HTTP call with a JSON answer.
func (c *Controller) callJSON(ctx context.Context, addr, method, target string, in, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = protocol.Encode(in); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, resp, err := c.httpClient.Do(ctx, addr, method, target, body)
	if err != nil {
		return 0, err
	}
	if out != nil && len(resp) > 0 && (status == 200 || status == 409) {
		if err := protocol.Decode(resp, out); err != nil {
			return status, err
		}
	}
	return status, nil
}

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

// Controller is one controller. Its fields are guarded by mu, but for the collaborators and
// what is set once; methods that do not take the lock themselves expect it to be held by
// the caller.
type Controller struct {
	settings        protocol.Settings
	policy          policy.Policy
	store           StateStore
	httpClient      HTTPClient
	peerClients     map[string]PeerClient
	log             *slog.Logger
	random          *rand.Rand
	startedAt       time.Time
	wakeUp          chan struct{}
	cloudLimiter    *rate.Limiter
	waitWhilePaused func(context.Context)

	mu              sync.Mutex
	ctx             context.Context // of Run
	view            *replica.View
	membership      membership
	leadership      leadership
	shardLoads      shardLoads
	preemptions     preemptions
	provisioner     provisioner
	dependencies    dependencies
	quotaSync       quotaSync
	pauses          health.PauseDetector
	partitionSeenAt map[string]time.Time // by zone: when it last seemed partitioned
	runtimeRatios   map[string]float64   // by job class: observed run time over the estimate
	pendingReplies  []pendingReply
	pendingCommands map[*replica.Machine]struct{} // machines with commands to be sent
	claimIntents    []string                      // claims under way that the other controllers were not told of
	nextRepeated    string                        // the cancelled job to be repeated to the others next
	readingOrphans  bool                          // the jobs of claims without a job are being read
	refreshCount    int                           // reads of keys after failed transactions, so far
	gangsSearchedAt time.Time
	scratch         capacityScratch
}

// membership is what the controllers know of one another beside the records.
type membership struct {
	lease            uint64                 // of this process; 0: none
	lastContact      map[string]time.Time   // when each other controller last spoke
	stateReachableAt map[string]time.Time   // when each last said that the state service serves it
	backlogs         map[string]peerBacklog // changes that wait at each, as it last said
}

func newMembership() membership {
	return membership{
		lastContact:      make(map[string]time.Time),
		stateReachableAt: make(map[string]time.Time),
		backlogs:         make(map[string]peerBacklog),
	}
}

// shardLoads is how loaded each shard is, to choose where a job queues.
type shardLoads struct {
	reported    map[string]replica.ReportedLoad // by shard
	queuedSince map[string]float64              // CPUs this node queued at a shard since its last report
}

func newShardLoads() shardLoads {
	return shardLoads{reported: make(map[string]replica.ReportedLoad), queuedSince: make(map[string]float64)}
}

// capacityScratch is memory reused by each pass over a queue.
type capacityScratch struct {
	capacities []placement.Capacity
	list       []*placement.Capacity
}

type peerBacklog struct {
	changes int
	at      time.Time
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

// Until it is known who leads, the controllers share this part of the cloud's request rate
// evenly.
const initialCloudShare = 0.8

const cloudBurst = 3

// New makes a controller; Run starts its loops.
func New(o Options) *Controller {
	controller := &Controller{
		settings: o.Settings, policy: o.Policy, store: o.Store, httpClient: o.HTTP, peerClients: o.Peers, log: o.Log, random: o.Rand,
		startedAt: time.Now(), wakeUp: make(chan struct{}, 1), ctx: context.Background(),
		cloudLimiter:    rate.NewLimiter(rate.Limit(o.Settings.CloudLimits.RequestRate*initialCloudShare/float64(max(1, o.Settings.NodeCount))), cloudBurst),
		membership:      newMembership(),
		shardLoads:      newShardLoads(),
		preemptions:     newPreemptions(),
		provisioner:     newProvisioner(),
		dependencies:    newDependencies(),
		runtimeRatios:   make(map[string]float64),
		partitionSeenAt: make(map[string]time.Time),
		pendingCommands: make(map[*replica.Machine]struct{}),
	}
	controller.view = replica.New(o.Settings.Teams, o.Policy.Allotments, o.Log, viewEvents{controller})
	for name := range o.Settings.Teams {
		controller.preemptions.hasGuarantees = controller.preemptions.hasGuarantees || controller.view.Quota.HasGuarantee(name)
	}
	if controller.waitWhilePaused = o.WaitWhilePaused; controller.waitWhilePaused == nil {
		controller.waitWhilePaused = func(context.Context) {}
	}
	controller.view.Shard(controller.settings.NodeName)
	for _, peer := range controller.settings.Peers {
		controller.view.Shard(peer.Node)
	}
	return controller
}

// loopStagger is how far apart the loops start: their periods are multiples of one
// another, and started together they would wait for the lock together for ever.
const loopStagger = 1370 * time.Microsecond

// Run starts the loops and returns when the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	loops := []func(context.Context){c.watchLoop, c.membershipLoop, c.shardLoop, c.workLoop, c.probeLoop, c.cloudLoop, c.fleetLoop, c.peerLoop}
	var wg sync.WaitGroup
	for i, loop := range loops {
		wg.Go(func() {
			if pause(ctx, time.Duration(i)*loopStagger) {
				loop(ctx)
			}
		})
	}
	wg.Wait()
}

// wake asks for a pass over the work soon.
func (c *Controller) wake() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

// pause waits between two turns of a loop.
func (c *Controller) pause(ctx context.Context, d time.Duration) bool {
	if !pause(ctx, d) {
		return false
	}
	c.waitWhilePaused(ctx)
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
