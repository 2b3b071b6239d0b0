package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"madderslip/internal/coordination/controller"
	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// cluster is some controllers in an emulated world, played by one script.
type cluster struct {
	ctx   context.Context
	seed  uint64
	began time.Time
	names []string // of all controllers, whether they run or not
	verbs map[string]verbHandler
	world *emulator.World

	users   sync.WaitGroup // what goes on beside the script: users, steps that end by themselves
	endings int            // steps so far that end by themselves

	quiescence quiescence

	checkerMu sync.Mutex                        // taken under the world's lock, and guards the next two
	checked   map[string]*controller.Controller // those that run, for checkPreemption
	teams     map[string]protocol.Team          // as controllers that start are told

	mu                sync.Mutex // guards what follows
	processes         map[string]*process
	older             map[string]bool      // answer others as older versions do, without a reply
	withoutAllotments bool                 // team limits are not allotted to shards
	announced         protocol.StateLimits // the state service's coming limits, as controllers are told
	failure           error                // the first thing that went wrong outside the rules
}

func newCluster(ctx context.Context, seed uint64, count int) *cluster {
	names := controllerNames(count)
	s := settings(names, names[0])
	c := &cluster{
		ctx:        ctx,
		seed:       seed,
		began:      time.Now(),
		names:      names,
		verbs:      allVerbs(),
		quiescence: quiescence{answered: make(map[string]time.Time)},
		checked:    make(map[string]*controller.Controller),
		teams:      maps.Clone(s.Teams),
		processes:  make(map[string]*process),
		older:      make(map[string]bool),
	}
	c.world = emulator.NewWorld(ctx, seed, s.Workers, maps.Clone(s.Teams))
	c.world.OnStop = c.checkPreemption
	c.world.State.SetRateLimits(s.StateLimits.RequestRate, s.StateLimits.WriteRate)
	c.world.State.SetSizeLimits(emulator.SizeLimits{ValueBytes: s.StateLimits.MaxValueBytes, Changes: s.StateLimits.MaxTxnOps})
	c.world.ListLag = s.CloudLimits.ListLag
	for _, name := range names {
		c.world.SetZone(name, zoneOf(names, name))
	}
	c.world.Types = append(c.world.Types, gpuMachine())
	return c
}

// fail records what went wrong outside the rules; the script ends at its present line.
func (c *cluster) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
	c.world.Note("FAULT %v", err)
}

// firstFailure returns the first thing that went wrong outside the rules.
func (c *cluster) firstFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// live lists the controllers that run, in order.
func (c *cluster) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.processes))
}

// process returns a controller that runs, or nil.
func (c *cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// recount compares every live controller's indexes with a count from scratch.
func (c *cluster) recount() error {
	for _, name := range c.live() {
		if err := c.process(name).controller.Recount(); err != nil {
			return checkErrorf("recount", "indexes of %s: %w", name, err)
		}
	}
	return nil
}

// recordSet is what the state service holds, without the prefix of all keys.
type recordSet map[string]json.RawMessage

func (c *cluster) records() recordSet {
	stored := make(recordSet)
	for key, value := range c.world.State.Keys() {
		stored[withoutPrefix(key)] = value
	}
	return stored
}

// withoutPrefix cuts off the prefix of all keys.
func withoutPrefix(key string) string {
	_, key, _ = strings.Cut(key, "/")
	return key
}

// peerLink carries a controller's messages to another.
type peerLink struct {
	c        *cluster
	from, to string
}

// Call delivers a message if the other controller runs and their links are up.
func (l peerLink) Call(ctx context.Context, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return l.c.world.SendToPeer(ctx, l.from, l.to, raw, func(ctx context.Context, raw []byte) error {
		l.c.mu.Lock()
		other, older := l.c.processes[l.to], l.c.older[l.to]
		l.c.mu.Unlock()
		if other == nil {
			return fmt.Errorf("%s is down", l.to)
		}
		answer, err := other.controller.HandlePeerMessage(ctx, raw)
		if err != nil || older {
			return err
		}
		return protocol.Decode(answer, out)
	})
}
