package simtest

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"time"

	"madderslip/internal/coordination/controller"
	"madderslip/internal/emulator"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
)

// process is a running controller.
type process struct {
	controller *controller.Controller
	stop       context.CancelFunc
	ended      chan struct{} // closed when Run has returned
}

// start starts a controller unless it is already running.
func (c *cluster) start(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[name] != nil {
		return nil
	}
	s := c.settingsOf(name)
	loaded, err := policy.Load("", s)
	if err != nil {
		return err
	}
	loaded.Allotments = !c.withoutAllotments
	log := loggerOf(name)
	ctx, stop := context.WithCancel(c.ctx)
	link := emulator.Link{W: c.world, Node: name, Ctx: ctx}
	store := kv.New(link, "state", s.StateLimits, log)
	store.AnnounceLimits(s.AnnouncedStateLimits)
	peers := make(map[string]controller.PeerClient)
	for _, peer := range s.Peers {
		peers[peer.Node] = peerLink{c, name, peer.Node}
	}
	p := &process{stop: stop, ended: make(chan struct{}), controller: controller.New(controller.Options{
		Settings:        s,
		Policy:          loaded,
		Store:           store,
		HTTP:            link,
		Peers:           peers,
		Log:             log,
		Rand:            randOf(c.seed, name),
		WaitWhilePaused: func(ctx context.Context) { c.world.WaitWhilePaused(ctx, name) },
	})}
	c.processes[name] = p
	c.checkerMu.Lock()
	c.checked[name] = p.controller
	c.checkerMu.Unlock()
	c.world.Note("%s starts", name)
	go store.Run(ctx)
	go func() {
		p.controller.Run(ctx)
		close(p.ended)
	}()
	c.world.SetController(name, p.controller.Handle)
	return nil
}

// settingsOf returns the settings of a controller that starts now. c.mu is held by the caller.
func (c *cluster) settingsOf(name string) protocol.Settings {
	s := settings(c.names, name)
	c.checkerMu.Lock()
	s.Teams = maps.Clone(c.teams)
	c.checkerMu.Unlock()
	s.AnnouncedStateLimits = c.announced
	return s
}

// loggerOf returns the logger of a controller. It writes to stderr if the environment variable
// TRACE_LOG is the controller's name, and discards everything otherwise.
func loggerOf(name string) *slog.Logger {
	if os.Getenv("TRACE_LOG") == name {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// randOf returns a controller's source of random numbers. It depends on the seed and the
// controller's name alone, so each start of the controller draws the same numbers.
func randOf(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// runEndsWithin is the time within which a stopped controller must return from Run.
const runEndsWithin = 10 * time.Second

// kill stops a controller, if it is running. The script fails if the controller does not
// return from Run within runEndsWithin: the shutdown of a program that embeds it would hang.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	p := c.processes[name]
	delete(c.processes, name)
	c.checkerMu.Lock()
	delete(c.checked, name)
	c.checkerMu.Unlock()
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.world.Note("%s ends", name)
	c.world.SetController(name, nil)
	p.stop()
	c.users.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(runEndsWithin):
			c.fail(checkErrorf("run_ends", "%s does not return from Run within %v of its end", name, runEndsWithin))
		}
	})
}
