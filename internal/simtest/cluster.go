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

// cluster is a set of controllers in an emulated world that one script is played against.
type cluster struct {
	ctx   context.Context
	seed  uint64
	began time.Time
	names []string // names of all controllers, also of those that are not running
	verbs map[string]verbHandler
	world *emulator.World

	users      sync.WaitGroup // goroutines beside the script: user requests, ends of timed steps, waits for Run
	timedSteps int            // number of steps with a duration ("for 5s") so far

	quiescence quiescence

	checkerMu sync.Mutex                        // guards the next two fields; is acquired while the world's lock is held
	checked   map[string]*controller.Controller // the running controllers, for checkPreemption
	teams     map[string]protocol.Team          // the teams in the settings of controllers that start

	mu                sync.Mutex // guards the fields below
	processes         map[string]*process
	older             map[string]bool      // controllers that return no response body to peers, as older versions do
	asserting         map[string]bool      // controllers whose messages are those of version 6672a9c; see asVersion6672a9c
	withoutAllotments bool                 // controllers that start do not allot team limits to shards
	announced         protocol.StateLimits // limits of the state service in the settings of controllers that start
	failure           error                // the first failure other than a broken rule of the emulator
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
		quiescence: quiescence{lastAnswered: make(map[string]time.Time)},
		checked:    make(map[string]*controller.Controller),
		teams:      maps.Clone(s.Teams),
		processes:  make(map[string]*process),
		older:      make(map[string]bool),
		asserting:  make(map[string]bool),
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

// fail records a failure other than a broken rule of the emulator. The script ends at the
// line that is being executed.
func (c *cluster) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
	c.world.Note("FAULT %v", err)
}

// firstFailure returns the first failure that was passed to fail, or nil.
func (c *cluster) firstFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// live lists the names of the running controllers, sorted.
func (c *cluster) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.processes))
}

// process returns the process of a controller, or nil if the controller is not running.
func (c *cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// recount compares the indexes of every running controller with indexes that are recomputed
// from its view.
func (c *cluster) recount() error {
	for _, name := range c.live() {
		if err := c.process(name).controller.Recount(); err != nil {
			return checkErrorf("recount", "indexes of %s: %w", name, err)
		}
	}
	return nil
}

// recordSet holds the records of the state service by key. The keys lack the prefix that all
// keys share.
type recordSet map[string]json.RawMessage

func (c *cluster) records() recordSet {
	stored := make(recordSet)
	for key, value := range c.world.State.Keys() {
		stored[withoutPrefix(key)] = value
	}
	return stored
}

// withoutPrefix removes the prefix that all keys share.
func withoutPrefix(key string) string {
	_, key, _ = strings.Cut(key, "/")
	return key
}

// peerLink carries the messages of one controller to another.
type peerLink struct {
	c        *cluster
	from, to string
}

// Call sends a message and decodes the response into out. It fails if the receiver is not
// running or the network between the two controllers is down. A receiver of an older version
// returns no response, and out stays as it is.
func (l peerLink) Call(ctx context.Context, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	l.c.mu.Lock()
	asserting, other := l.c.asserting[l.from], l.c.processes[l.to]
	l.c.mu.Unlock()
	if message, isMessage := in.(protocol.PeerMessage); isMessage {
		if err := l.c.checkUpdates(l.from, &message); err != nil {
			l.c.fail(err)
		}
	}
	if asserting {
		if raw, err = asVersion6672a9c(raw); err != nil {
			return err
		}
	}
	return l.c.world.SendToPeer(ctx, l.from, l.to, raw, func(ctx context.Context, raw []byte) error {
		l.c.mu.Lock()
		isRunning, older := other != nil && l.c.processes[l.to] == other, l.c.older[l.to]
		l.c.mu.Unlock()
		if !isRunning {
			return fmt.Errorf("%s is down", l.to)
		}
		answer, err := other.controller.HandlePeerMessage(ctx, raw)
		if err != nil || older {
			return err
		}
		return protocol.Decode(answer, out)
	})
}

// asVersion6672a9c returns a message as the version 6672a9c sends it. Each message that is not
// periodic then reports the state service as reachable, whether or not the sender reaches it, and
// no message says when the sender was served.
func asVersion6672a9c(raw []byte) ([]byte, error) {
	var message protocol.PeerMessage
	if err := protocol.Decode(raw, &message); err != nil {
		return nil, err
	}
	message.StateReachable, message.StateServedAtMs = message.StateReachable || !message.Periodic, 0
	return protocol.Encode(&message)
}
