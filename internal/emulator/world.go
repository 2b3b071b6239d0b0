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

// ControllerHandler passes a request to a controller's public API, which calls reply with
// the response.
type ControllerHandler func(method, target string, body []byte, reply func(transport.Response))

// World simulates everything outside the controllers. Its behaviour depends only on its
// seed and on the calls that it receives: every delay is drawn from the seed and the
// message that it delays, never from the order in which goroutines run.
type World struct {
	State   *StateService
	Workers protocol.WorkerSettings
	Teams   map[string]protocol.Team // entries are replaced by SetTeam, under mu
	Types   []protocol.MachineType   // offered by the cloud; set before machines are added
	ListLag time.Duration            // age of the state that the cloud's list shows
	// Address returns the address at which a machine's worker accepts commands; it is set
	// before machines are added.
	Address func(host string) string
	// RecordStartsOnly turns off the recording of events, the periodic checks of rules and the
	// checks of each start, which iterate over all machines; the function set by OnStart is
	// called for each start instead. Load tests set it, because at their sizes the world's own
	// work would distort the measurement.
	RecordStartsOnly bool
	// OnStop, if set, is called for every running task that a command stops, with each team's
	// current use. It returns a description of the rule violation that the stop causes, or an
	// empty string. The world's lock is held during the call.
	OnStop func(task, host string, use map[string]protocol.Resources) (violation string)

	ctx  context.Context // ends the goroutines of the world
	seed uint64
	// mu guards all fields below.
	mu        sync.Mutex
	startedAt time.Time
	draws     map[uint64]uint64 // number of draws made so far, by the hash of their key
	events    []string

	handlers     map[string]ControllerHandler // of the running controllers, by name
	controllers  []string                     // all controllers that were ever connected, in the order of their first connection
	activeFaults map[string]bool              // by the name passed to SetFault
	partitions

	machines          map[string]*Machine // by host, including removed ones
	machineCount      int
	spareMachines     int                 // number of machines that the cloud can still rent out
	provisioned       map[string][]string // hosts, by the name of the provision request
	longestHeartbeat  int                 // largest number of tasks of known jobs in a heartbeat
	mostUnknownListed int                 // largest number of tasks in a heartbeat whose jobs were never submitted
	startsByCopies    int                 // tasks that late copies of direct calls have started
	heldDeliveries    map[string][]func() // by host, messages to or from a hung or partitioned machine, delivered when the machine recovers
	keptHeartbeats    map[string][][]byte // by host, copies of heartbeats, replayed when a shard gets a new fencing token

	jobs            map[string]*Job
	cancelRequested map[string]bool          // jobs whose cancellation a user has requested
	onStart         func(job *Job)           // see OnStart
	formerLimits    map[string]protocol.Team // limits from before SetTeam, lowered as the use falls; see allowance
	violations      []string
	wastedStarts    int       // starts after a confirmed cancellation
	faultsEndedAt   time.Time // when EndFaults was called; zero before that
}

// NewWorld returns a world without machines, jobs and controllers. Its goroutines end with
// the context.
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
		handlers:        make(map[string]ControllerHandler),
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

// recordEvent appends a line to the events, preceded by the seconds since the world was
// created. The world's lock is held by the caller.
func (w *World) recordEvent(format string, details ...any) {
	if w.RecordStartsOnly {
		return
	}
	w.events = append(w.events, fmt.Sprintf("%8.3f %s", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, details...)))
}

// Note appends a line to the events, like recordEvent.
func (w *World) Note(format string, details ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEvent(format, details...)
}

// MostUnknownListed returns the largest number of tasks that a heartbeat has listed of jobs that
// were never submitted.
func (w *World) MostUnknownListed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mostUnknownListed
}

// LongestHeartbeat returns the largest number of tasks of submitted jobs that a heartbeat has listed.
func (w *World) LongestHeartbeat() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longestHeartbeat
}

// Events returns the recorded events, one line each, with the seconds since the world was
// created.
func (w *World) Events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// SetController connects a new process of a controller, or, if handler is nil, disconnects
// the present one. Requests under way to an earlier process are dropped.
func (w *World) SetController(name string, handler ControllerHandler) {
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
