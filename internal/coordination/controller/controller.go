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
)

// tolerance is what rounding may leave of sums that should be equal.
const tolerance = protocol.ResourceTolerance

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
	ctx             context.Context // of Run: the process's life
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
	pendingCommands map[*replica.Machine]struct{} // machines with commands to send
	claimIntents    []string                      // keys of new claims of which the other controllers are not notified yet
	nextRepeated    string                        // the cancelled job whose turn to be repeated is next
	readingOrphans  bool                          // the jobs of orphaned claims are being read
	refreshCount    int                           // reads of keys after failed transactions, so far; it numbers them
	gangsSearchedAt time.Time                     // when capacity for gangs was last sought
	scratch         capacityScratch
}

// membership is what the controllers know of one another beside the records, each by the
// other's name.
type membership struct {
	lease            uint64                 // of this process; 0: none
	lastContact      map[string]time.Time   // when each was last in contact
	stateReachableAt map[string]time.Time   // when each last reported that it reaches the state service
	backlogs         map[string]peerBacklog // changes queued at each, as it last reported
}

// newMembership returns an empty membership.
func newMembership() membership {
	return membership{
		lastContact:      make(map[string]time.Time),
		stateReachableAt: make(map[string]time.Time),
		backlogs:         make(map[string]peerBacklog),
	}
}

// shardLoads is how loaded each shard is, from which the shards of a new job are chosen.
type shardLoads struct {
	reported    map[string]replica.ReportedLoad // by shard
	queuedSince map[string]float64              // by shard: CPUs that this controller queued there since its last report
}

// newShardLoads returns empty loads.
func newShardLoads() shardLoads {
	return shardLoads{reported: make(map[string]replica.ReportedLoad), queuedSince: make(map[string]float64)}
}

// capacityScratch is memory reused by each pass over a queue.
type capacityScratch struct {
	capacities []placement.Capacity
	list       []*placement.Capacity
}

// peerBacklog is how many changes were queued at another controller at a time.
type peerBacklog struct {
	changes int
	at      time.Time
}

// Options are a controller's settings and collaborators.
type Options struct {
	Settings protocol.Settings
	Policy   policy.Policy
	Store    StateStore
	HTTP     HTTPClient
	Peers    map[string]PeerClient
	Log      *slog.Logger
	Rand     *rand.Rand
	// WaitWhilePaused, if set, is called before each turn of a loop and returns once the
	// process is to go on: tests pause a controller with it.
	WaitWhilePaused func(context.Context)
}

const (
	// initialCloudShare is the part of the cloud's request rate that the controllers share
	// evenly until the leader is known.
	initialCloudShare = 0.8
	// cloudBurst is how many requests to the cloud may follow one another at once.
	cloudBurst = 3
)

// New returns a controller; Run starts its loops.
func New(o Options) *Controller {
	cloudRate := o.Settings.CloudLimits.RequestRate * initialCloudShare / float64(max(1, o.Settings.NodeCount))
	controller := &Controller{
		settings:        o.Settings,
		policy:          o.Policy,
		store:           o.Store,
		httpClient:      o.HTTP,
		peerClients:     o.Peers,
		log:             o.Log,
		random:          o.Rand,
		startedAt:       time.Now(),
		wakeUp:          make(chan struct{}, 1),
		ctx:             context.Background(),
		cloudLimiter:    rate.NewLimiter(rate.Limit(cloudRate), cloudBurst),
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

// loopStagger is how far apart the loops start. Their periods are multiples of one another, so
// loops that start together would compete for the lock in every turn.
const loopStagger = 1370 * time.Microsecond

// Run starts the loops and returns when the context has ended and the loops with it.
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

// wake asks for a pass of the work loop soon.
func (c *Controller) wake() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

// pause waits between two turns of a loop, and reports whether the loop should go on.
func (c *Controller) pause(ctx context.Context, d time.Duration) bool {
	if !pause(ctx, d) {
		return false
	}
	c.waitWhilePaused(ctx)
	return ctx.Err() == nil
}

// pause waits for a time, and reports whether the context is still alive then.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
