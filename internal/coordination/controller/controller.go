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
	"madderslip/internal/timing"
)

// tolerance bounds the rounding error between sums of resources that should be equal.
const tolerance = protocol.ResourceTolerance

// Controller is one controller. mu guards its fields, except for the collaborators and the
// fields that are set once. Methods that do not take the lock themselves must be called with
// it held.
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

	mu               sync.Mutex
	ctx              context.Context // passed to Run; ends with the process
	view             *replica.View
	membership       membership
	stateReports     stateReports
	leadership       leadership
	shardLoads       shardLoads
	preemptions      preemptions
	provisioner      provisioner
	dependencies     dependencies
	demandBroadcast  demandBroadcast
	pauses           health.PauseDetector
	partitionSeenAt  map[string]time.Time // by zone: when the zone last seemed partitioned
	runtimeRatios    map[string]float64   // by job class: observed run time over the estimate
	pendingReplies   []pendingReply
	pendingCommands  map[*replica.Machine]struct{} // machines with commands to send
	commandsLoggedAt time.Time                     // when the commands of the shards were last logged
	claimIntents     []string                      // keys of new claims not yet announced to the other controllers
	nextRepeated     string                        // the cancelled job with which the next message's repeated cancellations begin
	readingOrphans   bool                          // a goroutine is reading the jobs of orphaned claims
	refreshCount     int                           // refreshes of keys started so far; the count numbers each new refresh
	gangsSearchedAt  time.Time                     // when capacity for gangs was last searched for
	scratch          capacityScratch
}

// membership holds this process's lease and what the other controllers report in messages,
// by the sender's name.
type membership struct {
	lease       kv.LeaseID             // lease of this process; 0: none
	lastContact map[string]time.Time   // by controller: when its last message arrived
	backlogs    map[string]peerBacklog // by controller: the number of changes queued there, as it last reported
}

func newMembership() membership {
	return membership{
		lastContact: make(map[string]time.Time),
		backlogs:    make(map[string]peerBacklog),
	}
}

// capacityScratch holds buffers that are reused each time a shard's capacities are computed.
type capacityScratch struct {
	capacities []placement.Capacity
	list       []*placement.Capacity
}

// peerBacklog is the number of changes queued at another controller, and when its report
// arrived.
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
	// WaitWhilePaused, if set, is called before each iteration of a loop and blocks while the
	// controller is paused. Tests set it.
	WaitWhilePaused func(context.Context)
}

const (
	// initialCloudShare is the part of the cloud's request rate that the controllers share
	// evenly until the leader is known.
	initialCloudShare = 0.8
	// cloudBurst is how many requests to the cloud the rate limiter allows at once.
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
		stateReports:    newStateReports(),
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

// loopStagger is the time between the starts of successive loops. The periods of the loops are
// multiples of one another, so loops that start together would compete for the lock in every
// iteration.
const loopStagger = 1370 * time.Microsecond

// Run starts the loops and returns once the context has ended and all loops have returned.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	loops := []func(context.Context){c.watchLoop, c.membershipLoop, c.shardLoop, c.workLoop, c.probeLoop, c.cloudLoop, c.fleetLoop, c.peerLoop}
	var wg sync.WaitGroup
	for i, loop := range loops {
		wg.Go(func() {
			if timing.Sleep(ctx, time.Duration(i)*loopStagger) {
				loop(ctx)
			}
		})
	}
	wg.Wait()
}

// wake requests a pass of the work loop without waiting for it.
func (c *Controller) wake() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

// pause waits between two iterations of a loop, also for as long as the controller is paused,
// and reports whether the loop should continue.
func (c *Controller) pause(ctx context.Context, d time.Duration) bool {
	if !timing.Sleep(ctx, d) {
		return false
	}
	c.waitWhilePaused(ctx)
	return ctx.Err() == nil
}
