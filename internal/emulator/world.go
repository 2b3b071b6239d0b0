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

// NodeHandler is a controller's public face.
type NodeHandler func(method, target string, body []byte, reply func(transport.Response))

// World is everything outside the controllers. What it does depends on its
// seed and on what it is told alone: every delay is drawn from the seed and the
// message it delays, never from the order in which goroutines happen to run.
type World struct {
	State        *StateService
	Workers      protocol.WorkerSettings
	Teams        map[string]protocol.Team
	formerLimits map[string]protocol.Team // what teams may use still, whose limit was changed
	ListLag      time.Duration            // of the cloud's list

	mu              sync.Mutex
	ctx             context.Context
	seed            uint64
	draws           map[uint64]uint64
	handlers        map[string]NodeHandler
	controllers     []string
	activeFaults    map[string]bool // by name, see Trouble
	machines        map[string]*Machine
	machineCount    int
	provisioned     map[string][]string
	jobs            map[string]*Job
	cancelRequested map[string]bool // jobs that their users asked to cancel
	violations      []string
	heldDeliveries  map[string][]func() // late messages, by host
	events          []string
	startedAt       time.Time
	Types           []protocol.MachineType
	spareMachines   int // machines that the cloud has left to rent
	// Address is where a machine's worker takes commands; set before machines are added.
	Address func(host string) string
	// Hollow has the world keep no events, look at no rule that needs a walk over all
	// machines, and count starts instead: for measurements at sizes where its own work
	// would be what is measured.
	RecordStartsOnly bool
	onStart          func(j *Job)
	// OnStop, if set, is told of every running task that a command stops, with what
	// the teams use, and says what rule that breaks. The world's lock is held.
	OnStop         func(task, host string, use map[string][2]float64) (rule string)
	keptHeartbeats map[string][][]byte // reports that wait for the next leader, by host
	wastedStarts   int                 // starts after a confirmed cancellation
	faultsEndedAt  time.Time           // when all troubles were ended
	partitions
}

// NewWorld makes an empty world.
func NewWorld(ctx context.Context, seed uint64, w protocol.WorkerSettings, teams map[string]protocol.Team) *World {
	world := &World{State: newStateService(), Address: func(host string) string { return host + ":9000" }, Workers: w, Teams: teams, ctx: ctx, seed: seed, draws: make(map[uint64]uint64),
		handlers: make(map[string]NodeHandler), activeFaults: make(map[string]bool),
		machines: make(map[string]*Machine), provisioned: make(map[string][]string), jobs: make(map[string]*Job), cancelRequested: make(map[string]bool),
		heldDeliveries: make(map[string][]func()), startedAt: time.Now(), partitions: newPartitions(), formerLimits: make(map[string]protocol.Team), keptHeartbeats: make(map[string][][]byte),
		Types: []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, ImageCacheGB: 50, ImagePullGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"}}}}
	go world.State.expireLeases(ctx)
	world.State.onShardOwnerChange = world.replayKeptHeartbeats
	go world.checkRulesPeriodically()
	go world.sendInvalidRequests()
	return world
}

func (w *World) recordEvent(format string, a ...any) {
	if w.RecordStartsOnly {
		return
	}
	w.events = append(w.events, fmt.Sprintf("%8.3f %s", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, a...)))
}

// Note writes a line among the events.
func (w *World) Note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEvent(format, a...)
}

// Events is what happened, a line each.
func (w *World) Events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// SetNode connects a controller, or with nil ends it.
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
	life := w.incarnations[name]
	w.handlers[name] = func(method, target string, body []byte, reply func(transport.Response)) {
		w.deliverIfAlive(name, life, func() { handler(method, target, body, reply) })
	}
}
