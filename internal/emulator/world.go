package emulator

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// roll draws a number for something that happens, told by its parts: the same
// for the same seed, the next one for each repetition.
func (w *World) roll(parts ...string) uint64 {
	d := xxhash.NewWithSeed(w.seed)
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	key := d.Sum64()
	w.draws[key]++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), w.draws[key]))
}

// between draws a duration. Down to the nanosecond, so that hardly two things
// happen at the same instant, whose order nobody could repeat.
func (w *World) between(low, high time.Duration, parts ...string) time.Duration {
	return low + time.Duration(w.roll(parts...)%uint64(high-low))
}

// chance draws a yes with so many percent.
func (w *World) chance(percent uint64, parts ...string) bool { return w.roll(parts...)%100 < percent }

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

func (w *World) recordViolation(rule, format string, a ...any) {
	text := rule + ": " + fmt.Sprintf(format, a...)
	if !slices.Contains(w.violations, text) {
		w.recordEvent("BROKEN %s", text)
		w.violations = append(w.violations, text)
	}
}

// Broken lists the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
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

// SetFault begins or ends a trouble that has no host:
//
//	outage         the state service is down
//	slow           the state service takes up to 2.5 s for an answer
//	lossy          its answers get lost, and transactions are applied late or twice
//	late writes    two in five transactions get no answer and are carried out 2 to 12 s
//	               later, after newer ones
//	unanswered writes  two in five transactions are carried out at once, and only their
//	               answer is lost
//	reports for next   copies of two in five of the workers' reports are kept, and reach
//	               every controller as a shard gets a new token
//	close looks    users ask at all nodes within milliseconds, and repeat the submission,
//	               when a job was accepted, has ended or was cancelled
//	hasty users    of those that look closely at an acceptance some cancel at once
//	cancel at end  two in five of the jobs that end are cancelled at that moment
//	odd requests   users repeat submissions, cancel what is done, send what can't run
//	late reports   of two in five of the workers' reports a copy arrives again, from 2 s
//	               to well over a lease later
//	swallow        every transaction is carried out and no answer arrives
//	refuse NODE    the state service refuses one node alone
//	severed NODE   a node loses the state service and the other controllers, not its
//	               workers and users
//	deaf NODE      a node reaches no worker and hears none
//	freeze NODE    a node stands still while clocks run on
//	zone ZONE      a zone is cut off from everything; what is sent across is held and
//	               arrives afterwards
//	alone NODE     the other controllers reach a node as little as it reaches them
//	cloud          the cloud is in trouble and answers 503
//	stingy         the cloud has no machines
//	half           the cloud gives half of the machines asked for
//	slow boots     most of the machines rented take five times as long to come up
//	no boots       none of the machines rented ever comes up
//	fast boots     all are up within a second
//	lost           answers of the cloud get lost, and some requests are carried out late
func (w *World) SetFault(name string, on bool) {
	w.mu.Lock()
	was := w.activeFaults[name]
	w.activeFaults[name] = on
	w.recordEvent("%s %v", name, on)
	if was != on {
		w.applyFault(name, on)
	}
	w.mu.Unlock()
	if name == "outage" {
		w.State.setOutage(on)
	}
}

// faultNames are the names that Trouble knows; those that end in a space want one more
// word, a controller's or a zone's name.
var faultNames = []string{"outage", "slow", "lossy", "late writes", "unanswered writes", "late reports", "reports for next",
	"close looks", "hasty users", "cancel at end", "odd requests", "swallow", "refuse ", "severed ", "deaf ", "freeze ", "zone ", "alone ",
	"cloud", "stingy", "half", "slow boots", "no boots", "fast boots", "lost"}

// IsFault tells whether Trouble knows a name, and what it may have for its second word.
func IsFault(name string, second []string) bool {
	return slices.ContainsFunc(faultNames, func(known string) bool {
		rest, found := strings.CutPrefix(name, known)
		return found && (rest == "" && !strings.HasSuffix(known, " ") || strings.HasSuffix(known, " ") && slices.Contains(second, rest))
	})
}

// machineFaults are what Set knows.
var machineFaults = []string{"hang", "resume", "cut", "heal", "sick", "slow", "well", "deaf", "hears", "mute", "speaks", "notice", "take", "die", "reboot"}

// IsMachineFault tells whether Set knows it.
func IsMachineFault(what string) bool { return slices.Contains(machineFaults, what) }

// WastedStarts counts the starts after a confirmed cancellation.
func (w *World) WastedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wastedStarts
}

// SetSpare sets how many machines the cloud has left to rent.
func (w *World) SetSpare(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spareMachines = count
}

// EndFaults ends all troubles and leaves the cloud at least so many machines to rent.
func (w *World) EndFaults(spare int) {
	w.mu.Lock()
	w.spareMachines, w.faultsEndedAt = max(w.spareMachines, spare), time.Now()
	troubles := slices.Sorted(maps.Keys(w.activeFaults))
	hosts := slices.Sorted(maps.Keys(w.machines))
	w.mu.Unlock()
	for _, name := range troubles {
		w.SetFault(name, false)
	}
	for _, host := range hosts {
		for _, what := range []string{"resume", "heal", "well", "hears", "speaks"} {
			w.Set(host, what)
		}
	}
}

// Link is a controller's network.
type Link struct {
	W    *World
	Node string
	Ctx  context.Context // the process's life
}

var errConnectionReset = errors.New("connection reset")

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Do makes a call from the controller.
func (l Link) Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error) {
	w := l.W
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(l.Ctx, cancel)()
	defer cancel()
	w.WaitWhilePaused(l.Ctx, l.Node)
	defer w.WaitWhilePaused(l.Ctx, l.Node) // whatever comes back is heard when the process goes on
	what := []string{l.Node, addr, target, string(body)}
	w.mu.Lock()
	there, back := w.between(300*time.Microsecond, 3*time.Millisecond, what...), w.between(300*time.Microsecond, 3*time.Millisecond, what...)
	refused, deaf := w.activeFaults["refuse "+l.Node], w.activeFaults["deaf "+l.Node]
	if addr == "state" && w.activeFaults["slow"] {
		there += w.between(0, 2500*time.Millisecond, what...)
	}
	fate := w.drawOutcome(addr, target, what)
	later := w.between(time.Second, 40*time.Second, what...)
	if w.activeFaults["late writes"] {
		later = w.between(2*time.Second, 12*time.Second, what...)
	}
	severed := addr == "state" && w.activeFaults["severed "+l.Node]
	w.mu.Unlock()
	if !wait(ctx, there) {
		return 0, nil, errConnectionReset
	}
	if severed {
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	if addr == "state" || addr == "cloud" {
		w.mu.Lock()
		if zone := w.controllerZones[l.Node]; w.zonesPartitioned(zone, "") {
			if w.chance(50, what...) {
				w.holdUntilHealed(zone, "", func() {
					go func() {
						if addr == "cloud" {
							w.handleCloud(method, target, body)
						} else if target == protocol.PathTransactions {
							w.State.handle(w.ctx, method, target, body)
						}
					}()
				})
			}
			w.mu.Unlock()
			<-ctx.Done()
			return 0, nil, errConnectionReset
		}
		w.mu.Unlock()
	}
	var do func(context.Context) (int, []byte)
	switch {
	case addr == "state" && refused:
		do = func(context.Context) (int, []byte) { return 503, nil }
	case addr == "state":
		do = func(ctx context.Context) (int, []byte) { return w.State.handle(ctx, method, target, body) }
	case addr == "cloud":
		do = func(context.Context) (int, []byte) { return w.handleCloud(method, target, body) }
	case deaf:
		<-ctx.Done()
		return 0, nil, fmt.Errorf("%w: no route", transport.ErrNotSent)
	default:
		return w.callWorker(ctx, l.Node, strings.TrimSuffix(addr, ":9000"), target, body, back)
	}
	if fate == outcomeExecutedLate || fate == outcomeExecutedTwice {
		go func() {
			if wait(w.ctx, later) {
				_, _ = do(w.ctx)
			}
		}()
	}
	var status int
	var out []byte
	if fate != outcomeExecutedLate {
		status, out = do(ctx)
	}
	if fate == outcomeExecutedLate || fate == outcomeResponseLost || !w.waitForZoneLink(ctx, l.Node, "") || (addr == "state" && !w.waitUntilServed(ctx, l.Node, target)) {
		<-ctx.Done()
	}
	if status == 0 || !wait(ctx, back) {
		return 0, nil, errConnectionReset
	}
	return status, out, nil
}

// waitUntilServed waits with the news of an open watch for as long as the state service refuses
// the node alone, as it would in an outage; whatever a severed node is answered is lost.
func (w *World) waitUntilServed(ctx context.Context, node, target string) bool {
	watch := strings.HasPrefix(target, protocol.PathWatch)
	for {
		w.mu.Lock()
		severed, barred := w.activeFaults["severed "+node], watch && w.activeFaults["refuse "+node]
		w.mu.Unlock()
		if severed || !barred {
			return !severed
		}
		if !wait(ctx, 100*time.Millisecond+59*time.Nanosecond) {
			return false
		}
	}
}

// fates of a call under loss.
const (
	outcomeDelivered    = iota
	outcomeResponseLost // carried out, but the answer is lost
	outcomeExecutedLate // carried out long after the caller has given up
	outcomeExecutedTwice
)

func (w *World) drawOutcome(addr, target string, what []string) int {
	if addr == "state" && target == protocol.PathTransactions && w.activeFaults["swallow"] {
		return outcomeResponseLost
	}
	if addr == "state" && target == protocol.PathTransactions && w.activeFaults["late writes"] && w.chance(40, what...) {
		return outcomeExecutedLate
	}
	if addr == "state" && target == protocol.PathTransactions && w.activeFaults["unanswered writes"] && w.chance(40, what...) {
		return outcomeResponseLost
	}
	lossy := addr == "state" && target == protocol.PathTransactions && w.activeFaults["lossy"]
	if !lossy && (addr != "cloud" || !w.activeFaults["lost"] || strings.HasPrefix(target, protocol.PathMachines+"?")) {
		return outcomeDelivered
	}
	switch p := w.roll(what...) % 100; {
	case p < 12:
		return outcomeResponseLost
	case p < 22:
		return outcomeExecutedLate
	case p < 30:
		return outcomeExecutedTwice
	}
	return outcomeDelivered
}

// Peer carries a message between controllers, if their links are up.
func (w *World) Peer(ctx context.Context, from, to string, raw []byte, deliver func(context.Context, []byte) error) error {
	w.mu.Lock()
	refused := w.activeFaults["alone "+from] || w.activeFaults["alone "+to]
	apart := w.zonesPartitioned(w.controllerZones[from], w.controllerZones[to]) || w.activeFaults["severed "+from] || w.activeFaults["severed "+to]
	delay := w.between(300*time.Microsecond, 3*time.Millisecond, from, to, string(raw))
	w.mu.Unlock()
	if refused {
		return fmt.Errorf("%s refuses", to)
	}
	if apart {
		<-ctx.Done()
	}
	if !wait(ctx, delay) {
		return ctx.Err()
	}
	w.WaitWhilePaused(ctx, to)
	return deliver(ctx, raw)
}
