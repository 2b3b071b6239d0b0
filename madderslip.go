// Package madderslip is a cluster scheduler: controllers own shards of rented
// machines, queue each job at the K least-loaded shards, and start it where it
// can start first. To embed a controller, call LoadConfig, New and Run.
//
// The package assembles the components of one controller and owns their lifetime. All
// scheduling decisions are made below internal/coordination.
package madderslip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/coordination/controller"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/transport"
)

// Version is the release number that the command prints and logs at its start.
const Version = "0.1.0"

// Config is a controller's checked configuration.
type Config struct {
	Settings protocol.Settings
	Policy   policy.Policy
	Log      *slog.Logger // nil: nothing is logged
}

// LoadConfig reads and validates the platform's settings file and the operators' policy. If
// policyFile is empty, the policy file that the settings name is used; if the settings name
// none, the defaults apply. The text of an error is one line with the file and the reason.
func LoadConfig(file, policyFile string) (Config, error) {
	settings, err := protocol.LoadSettings(file)
	if err != nil {
		return Config{}, err
	}
	if policyFile == "" {
		policyFile = settings.PolicyFile
	}
	checked, err := policy.Load(policyFile, settings)
	if err != nil {
		return Config{}, err
	}
	return Config{Settings: settings, Policy: checked}, nil
}

// Controller holds the components of one controller, which New creates and Run starts: the
// network endpoints, the client of the state service, and the scheduler.
type Controller struct {
	cfg          Config
	store        *kv.Client
	node         *controller.Controller
	publicServer *transport.Server
	peerClients  []*transport.PeerClient
}

// dialTimeout is the time limit for opening a connection to a worker, the cloud or the state
// service.
const dialTimeout = time.Second

// Numbers of idle connections that are kept for further calls, per address.
const (
	idlePerWorker = 1
	idlePerState  = 8
)

// New returns a controller. It opens no address and no connection before Run.
func New(cfg Config) (*Controller, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	settings := cfg.Settings
	sockets := admission.DivideSockets(settings.ProcessLimits.MaxConns, len(settings.Peers))
	c := &Controller{cfg: cfg}
	c.store = newStore(cfg, sockets)
	peers, err := c.dialPeers()
	if err != nil {
		return nil, err
	}
	c.node = controller.New(controller.Options{
		Settings: settings,
		Policy:   cfg.Policy,
		Store:    c.store,
		HTTP:     transport.NewClient(sockets.WorkerCalls, idlePerWorker, dialTimeout),
		Peers:    peers,
		Log:      cfg.Log,
		Rand:     rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	})
	c.publicServer = transport.NewServer(publicServerConfig(settings, sockets), c.node.Handle, cfg.Log)
	return c, nil
}

// newStore returns a client of the state service.
func newStore(cfg Config, sockets admission.SocketBudget) *kv.Client {
	settings := cfg.Settings
	caller := transport.NewClient(sockets.State, idlePerState, dialTimeout)
	store := kv.New(caller, settings.StateAddr, settings.StateLimits, cfg.Log)
	store.AnnounceLimits(settings.AnnouncedStateLimits)
	return store
}

// dialPeers creates a client for each of the other controllers, and returns the clients by the
// controllers' names.
func (c *Controller) dialPeers() (map[string]controller.PeerClient, error) {
	byName := make(map[string]controller.PeerClient)
	for _, peer := range c.cfg.Settings.Peers {
		client, err := transport.DialPeer(peer.Addr)
		if err != nil {
			return nil, err
		}
		c.peerClients = append(c.peerClients, client)
		byName[peer.Node] = client
	}
	return byName, nil
}

// Bounds of a request on the public address, in bytes.
const (
	maxRequestHead = 8 << 10
	maxRequestBody = 64 << 10
)

// Times after which the public server closes an idle connection, or one with a partly
// received request.
const (
	minIdleTime    = 30 * time.Second // lower limit of the time after which an idle connection is closed
	idleHeartbeats = 5                // number of heartbeat intervals after which an idle connection is closed, unless minIdleTime is longer
	stallTime      = 10 * time.Second // time after which a connection with a partly received request is closed
)

// publicServerConfig returns the configuration of the public server, with limits that follow
// from those of the process.
func publicServerConfig(settings protocol.Settings, sockets admission.SocketBudget) transport.ServerConfig {
	return transport.ServerConfig{
		Addr:         settings.PublicAddr,
		MaxConns:     sockets.Public,
		MaxUsers:     sockets.Users,
		MaxKeepAlive: sockets.KeepAlive,
		IsUser:       protocol.IsUserRequest,
		Limits:       transport.Limits{Head: maxRequestHead, Body: maxRequestBody},
		// A client that sends nothing for several heartbeat intervals has terminated, or its
		// machine has failed.
		IdleTimeout:  max(minIdleTime, idleHeartbeats*settings.Workers.HeartbeatInterval),
		StallTimeout: stallTime,
	}
}

// Run serves until the context ends or the peer server fails, for example because the peer
// address cannot be opened; the public server opens its address again after a failure. Run
// returns the cause, or nil if the context was cancelled. Everything that Run started has
// ended when it returns, so that an embedding program can open the same addresses again. Run
// may be called only once.
func (c *Controller) Run(ctx context.Context) error {
	tuneMemory(c.cfg.Settings.ProcessLimits.MemoryBytes)
	peerServer, err := transport.ListenPeers(c.cfg.Settings.PeerAddr, c.node.HandlePeerMessage)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var background sync.WaitGroup
	background.Go(func() {
		if err := peerServer.Run(ctx); err != nil && ctx.Err() == nil {
			cancel(fmt.Errorf("peer server: %w", err))
		}
	})
	background.Go(func() { c.store.Run(ctx) })
	background.Go(func() {
		if err := c.publicServer.Run(ctx, nil); err != nil {
			cancel(fmt.Errorf("public server: %w", err))
		}
	})
	c.node.Run(ctx)
	background.Wait()
	for _, client := range c.peerClients {
		_ = client.Close()
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// gcPercent is by how much the heap grows between garbage collections, in percent. It is
// higher than Go's default, for fewer collections: processor time is scarcer than memory.
const gcPercent = 400

// tuneMemory configures the garbage collector: collections are more frequent only when memory
// use approaches 60 % of the process's limit, which is given in bytes.
func tuneMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(limit * 6 / 10)
}
