package emulator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// NodeHandler is a controller's public API.
type NodeHandler func(method, target string, body []byte, reply func(transport.Response))

// World is everything outside the controllers. What it does depends on its
// seed and on what it is told alone: every delay is drawn from the seed and the
// message it delays, never from the order in which goroutines happen to run.
type World struct {
	State   *StateService
	Workers protocol.WorkerSettings
	Teams   map[string]protocol.Team // replaced by SetTeam, under the lock
	Types   []protocol.MachineType   // that the cloud rents; set before machines are added
	ListLag time.Duration            // of the cloud's list
	// Address is where a machine's worker takes commands; set before machines are added.
	Address func(host string) string
	// RecordStartsOnly has the world keep no events, check no rule that needs a walk over
	// all machines, and count starts instead: for measurements at sizes where its own work
	// would be what is measured.
	RecordStartsOnly bool
	// OnStop, if set, is told of every running task that a command stops, with what
	// the teams use, and returns what rule that breaks. The world's lock is held as it is
	// called.
	OnStop func(task, host string, use map[string]protocol.Resources) (violation string)

	ctx  context.Context // the world's life
	seed uint64
	// mu guards all that follows.
	mu        sync.Mutex
	startedAt time.Time
	draws     map[uint64]uint64 // how often each random draw was made
	events    []string

	handlers     map[string]NodeHandler // of the controllers that run
	controllers  []string               // all that were ever connected, in that order
	activeFaults map[string]bool        // by SetFault's name
	partitions

	machines       map[string]*Machine // by host, also those that are removed
	machineCount   int
	spareMachines  int                 // that the cloud has left to rent
	provisioned    map[string][]string // hosts, by the name of the request
	heldDeliveries map[string][]func() // by host, what a hung or cut-off machine is sent
	keptHeartbeats map[string][][]byte // by host, heartbeats that wait for the next owner of a shard

	jobs            map[string]*Job
	cancelRequested map[string]bool          // jobs that their users asked to cancel
	onStart         func(job *Job)           // see OnStart
	formerLimits    map[string]protocol.Team // what teams may use still whose limits were lowered
	violations      []string
	wastedStarts    int       // starts after a confirmed cancellation
	faultsEndedAt   time.Time // when EndFaults was called; zero before
}

// NewWorld makes an empty world. Its goroutines end with the context.
func NewWorld(ctx context.Context, seed uint64, workers protocol.WorkerSettings, teams map[string]protocol.Team) *World {
	w := &World{
		State:   newStateService(),
		Workers: workers,
		Teams:   teams,
		Types: []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, ImageCacheGB: 50, ImagePullGBps: 1, Price: 1, SpotPrice: 0.4,
			BootS: 10, Zones: []string{"a", "b"}}},
		Address:         func(host string) string { return host + workerPort },
		ctx:             ctx,
		seed:            seed,
		startedAt:       time.Now(),
		draws:           make(map[uint64]uint64),
		handlers:        make(map[string]NodeHandler),
		activeFaults:    make(map[string]bool),
		partitions:      newPartitions(),
		machines:        make(map[string]*Machine),
		provisioned:     make(map[string][]string),
		heldDeliveries:  make(map[string][]func()),
		keptHeartbeats:  make(map[string][][]byte),
		jobs:            make(map[string]*Job),
		cancelRequested: make(map[string]bool),
		formerLimits:    make(map[string]protocol.Team),
	}
	go w.State.expireLeases(ctx)
	w.State.onShardOwnerChange = w.replayKeptHeartbeats
	go w.checkRulesPeriodically()
	go w.sendInvalidRequests()
	return w
}

// recordEvent writes a line among the events. The world's lock is held by the caller.
func (w *World) recordEvent(format string, details ...any) {
	if w.RecordStartsOnly {
		return
	}
	w.events = append(w.events, fmt.Sprintf("%8.3f %s", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, details...)))
}

// Note writes a line among the events.
func (w *World) Note(format string, details ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEvent(format, details...)
}

// Events is what happened, a line each, with the seconds since the world began.
func (w *World) Events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// SetNode connects a process of a controller, or with nil ends it.
func (w *World) SetNode(name string, handler NodeHandler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.controllers, name) {
		w.controllers = append(w.controllers, name)
	}
	w.incarnations[name]++
	if handler == nil {
		delete(w.handlers, name)
		return
	}
	incarnation := w.incarnations[name]
	w.handlers[name] = func(method, target string, body []byte, reply func(transport.Response)) {
		w.deliverIfAlive(name, incarnation, func() { handler(method, target, body, reply) })
	}
}
