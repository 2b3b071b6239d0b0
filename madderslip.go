// Package madderslip is a cluster scheduler: controllers own shards of rented
// machines, queue each job at the K least-loaded shards, and start it where it
// can start first. It can be embedded: New, then Run.
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

// Version is the version of this release.
const Version = "0.1.0"

// Config is a controller's checked configuration.
type Config struct {
	Settings protocol.Settings
	Policy   policy.Policy
	Log      *slog.Logger
}

// LoadConfig reads and checks the platform's settings file and the operators'
// policy. policyFile may be empty; then the settings' own entry, or the
// defaults, hold.
func LoadConfig(file, policyFile string) (Config, error) {
	s, err := protocol.LoadSettings(file)
	if err != nil {
		return Config{}, err
	}
	if policyFile == "" {
		policyFile = s.PolicyFile
	}
	p, err := policy.Load(policyFile, s)
	if err != nil {
		return Config{}, err
	}
	return Config{Settings: s, Policy: p}, nil
}

// Controller is one controller.
type Controller struct {
	cfg   Config
	led   *kv.Client
	node  *controller.Controller
	pub   *transport.Server
	peers []*transport.PeerClient
}

// New prepares a controller; nothing is opened before Run.
func New(cfg Config) (*Controller, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := cfg.Settings
	sockets := admission.DivideSockets(s.ProcessLimits.MaxConns, len(s.Peers))
	worker := transport.NewClient(sockets.WorkerCalls, 1, time.Second)
	state := transport.NewClient(sockets.State, 8, time.Second)
	led := kv.New(state, s.StateAddr, s.StateLimits, cfg.Log)
	led.AnnounceLimits(s.AnnouncedStateLimits)
	c := &Controller{cfg: cfg, led: led}
	callers := make(map[string]controller.PeerClient)
	for _, p := range s.Peers {
		pc, err := transport.DialPeer(p.Addr)
		if err != nil {
			return nil, err
		}
		c.peers = append(c.peers, pc)
		callers[p.Node] = pc
	}
	seed := uint64(time.Now().UnixNano())
	c.node = controller.New(controller.Options{Settings: s, Policy: cfg.Policy, Store: led, HTTP: worker,
		Peers: callers, Log: cfg.Log, Rand: rand.New(rand.NewPCG(seed, 1))})
	c.pub = transport.NewServer(transport.ServerConfig{
		Addr: s.PublicAddr, MaxConns: sockets.Public, MaxUsers: sockets.Users, Keep: sockets.KeepAlive, IsUser: protocol.IsUserRequest,
		Limits: transport.Limits{Head: 8 << 10, Body: 64 << 10},
		// Whoever has nothing to say for several beats has gone, or its machine has.
		Idle: max(30*time.Second, 5*s.Workers.HeartbeatInterval), Stall: 10 * time.Second,
	}, c.node.Handle, cfg.Log)
	return c, nil
}

// Run serves until the context ends or an address can't be opened.
func (c *Controller) Run(ctx context.Context) error {
	ram := c.cfg.Settings.ProcessLimits.MemoryBytes
	// Processor time is scarcer than memory: collect less often than usual, and
	// more often only when memory runs short.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(ram * 6 / 10)
	ps, err := transport.ListenPeers(c.cfg.Settings.PeerAddr, c.node.HandlePeerMessage)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// An embedding program may open the same addresses again once Run returns,
	// so that waits for all that it started.
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := ps.Run(ctx); err != nil && ctx.Err() == nil {
			cancel(fmt.Errorf("peer server: %w", err))
		}
	})
	wg.Go(func() { c.led.Run(ctx) })
	wg.Go(func() {
		if err := c.pub.Run(ctx, nil); err != nil {
			cancel(fmt.Errorf("public server: %w", err))
		}
	})
	c.node.Run(ctx)
	wg.Wait()
	for _, p := range c.peers {
		_ = p.Close()
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}
