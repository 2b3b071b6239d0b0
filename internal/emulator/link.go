package emulator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Addresses that a controller calls, beside those of workers.
const (
	stateAddr  = "state"
	cloudAddr  = "cloud"
	workerPort = ":9000"
)

// Bounds of the time that a message takes within the region.
const (
	minDelay = 300 * time.Microsecond
	maxDelay = 3 * time.Millisecond
)

// errConnectionReset is what a caller gets whose call or response was lost.
var errConnectionReset = errors.New("connection reset")

// Link is a controller's network to the state service, the cloud and workers.
type Link struct {
	W    *World
	Node string
	Ctx  context.Context // the process's life
}

// call is a call of a controller, with all that is drawn for it before it is sent.
type call struct {
	addr, method, target string
	body                 []byte
	drawKey              []string // of the call's random draws
	request, response    time.Duration
	outcome              callOutcome
	lateBy               time.Duration // of a call that is carried out late
	refused              bool          // the state service refuses the controller
	severed              bool          // the controller has lost the state service
	workersLost          bool          // the controller reaches no worker
}

// Do makes a call from the controller. What comes back is heard only when the process
// runs: a paused controller gets the response when it goes on.
func (l Link) Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(l.Ctx, cancel)()
	defer cancel()
	l.W.WaitWhilePaused(l.Ctx, l.Node)
	defer l.W.WaitWhilePaused(l.Ctx, l.Node)
	c := l.drawCall(addr, method, target, body)
	if !wait(ctx, c.request) {
		return 0, nil, errConnectionReset
	}
	if c.severed || (c.isServiceCall() && l.holdIfPartitioned(c)) {
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	if c.isServiceCall() {
		return l.callService(ctx, c)
	}
	if c.workersLost {
		<-ctx.Done()
		return 0, nil, fmt.Errorf("%w: no route", transport.ErrNotSent)
	}
	return l.W.callWorker(ctx, l.Node, strings.TrimSuffix(addr, workerPort), target, body, c.response)
}

// drawCall draws what becomes of a call. The order of the draws decides what each yields.
func (l Link) drawCall(addr, method, target string, body []byte) call {
	w := l.W
	key := []string{l.Node, addr, target, string(body)}
	w.mu.Lock()
	defer w.mu.Unlock()
	c := call{addr: addr, method: method, target: target, body: body, drawKey: key}
	c.request = w.between(minDelay, maxDelay, key...)
	c.response = w.between(minDelay, maxDelay, key...)
	if addr == stateAddr && w.hasFault(faultStateSlow) {
		c.request += w.between(0, 2500*time.Millisecond, key...)
	}
	c.outcome = w.drawOutcome(addr, target, key)
	c.lateBy = w.between(time.Second, 40*time.Second, key...)
	if w.hasFault(faultLateWrites) {
		c.lateBy = w.between(2*time.Second, 12*time.Second, key...)
	}
	c.refused = w.hasFaultOn(faultStateRefuses, l.Node)
	c.severed = addr == stateAddr && w.hasFaultOn(faultSevered, l.Node)
	c.workersLost = w.hasFaultOn(faultControllerDeaf, l.Node)
	return c
}

// isServiceCall reports whether a call goes to the region, in which the state service and
// the cloud are, and not to a worker.
func (c *call) isServiceCall() bool { return c.addr == stateAddr || c.addr == cloudAddr }

// holdIfPartitioned reports whether the controller's zone is cut off from the region. Half
// of the calls that this stops are carried out once the partition ends; of the state
// service's these are the transactions.
func (l Link) holdIfPartitioned(c call) bool {
	w := l.W
	w.mu.Lock()
	defer w.mu.Unlock()
	zone := w.controllerZones[l.Node]
	if !w.zonesPartitioned(zone, "") {
		return false
	}
	if w.chance(50, c.drawKey...) {
		w.holdUntilHealed(zone, "", func() {
			go func() {
				if c.addr == cloudAddr {
					w.handleCloud(c.method, c.target, c.body)
				} else if c.target == protocol.PathTransactions {
					w.State.handle(w.ctx, c.method, c.target, c.body)
				}
			}()
		})
	}
	return true
}

// callService carries a call to the state service or the cloud and brings back the
// response, unless one of the two gets lost.
func (l Link) callService(ctx context.Context, c call) (int, []byte, error) {
	w := l.W
	if c.outcome == outcomeExecutedLate || c.outcome == outcomeExecutedTwice {
		go func() {
			if wait(w.ctx, c.lateBy) {
				_, _ = w.serve(w.ctx, c)
			}
		}()
	}
	var status int
	var body []byte
	if c.outcome != outcomeExecutedLate {
		status, body = w.serve(ctx, c)
	}
	lost := c.outcome == outcomeExecutedLate || c.outcome == outcomeResponseLost
	if lost || !w.waitForZoneLink(ctx, l.Node, "") || (c.addr == stateAddr && !w.waitWhileWatchRefused(ctx, l.Node, c.target)) {
		<-ctx.Done()
	}
	if status == 0 || !wait(ctx, c.response) {
		return 0, nil, errConnectionReset
	}
	return status, body, nil
}

// serve has the state service or the cloud answer a call.
func (w *World) serve(ctx context.Context, c call) (int, []byte) {
	switch {
	case c.addr == cloudAddr:
		return w.handleCloud(c.method, c.target, c.body)
	case c.refused:
		return 503, nil
	}
	return w.State.handle(ctx, c.method, c.target, c.body)
}

// waitWhileWatchRefused waits with the updates of an open watch for as long as the state service
// refuses the controller alone, as it would in an outage. It returns false if the context
// ends first or the controller is severed: whatever that is answered is lost.
func (w *World) waitWhileWatchRefused(ctx context.Context, node, target string) bool {
	watch := strings.HasPrefix(target, protocol.PathWatch)
	for {
		w.mu.Lock()
		severed, refused := w.hasFaultOn(faultSevered, node), watch && w.hasFaultOn(faultStateRefuses, node)
		w.mu.Unlock()
		if severed || !refused {
			return !severed
		}
		if !wait(ctx, 100*time.Millisecond+59*time.Nanosecond) {
			return false
		}
	}
}

// callOutcome is what becomes of a call of the state service or the cloud under loss.
type callOutcome int

const (
	outcomeDelivered     callOutcome = iota
	outcomeResponseLost              // carried out, but the response is lost
	outcomeExecutedLate              // carried out long after the caller has given up
	outcomeExecutedTwice             // carried out at once and once more later
)

// drawOutcome draws what becomes of a call. Reads of the state service and the cloud's
// list are always delivered. The world's lock is held by the caller.
func (w *World) drawOutcome(addr, target string, key []string) callOutcome {
	isTransaction := addr == stateAddr && target == protocol.PathTransactions
	switch {
	case isTransaction && w.hasFault(faultNoWriteAnswered):
		return outcomeResponseLost
	case isTransaction && w.hasFault(faultLateWrites) && w.chance(40, key...):
		return outcomeExecutedLate
	case isTransaction && w.hasFault(faultUnansweredWrites) && w.chance(40, key...):
		return outcomeResponseLost
	}
	lossyState := isTransaction && w.hasFault(faultStateLossy)
	lossyCloud := addr == cloudAddr && w.hasFault(faultCloudLossy) && !strings.HasPrefix(target, protocol.PathMachines+"?")
	if !lossyState && !lossyCloud {
		return outcomeDelivered
	}
	switch percent := w.roll(key...) % 100; {
	case percent < 12:
		return outcomeResponseLost
	case percent < 22:
		return outcomeExecutedLate
	case percent < 30:
		return outcomeExecutedTwice
	}
	return outcomeDelivered
}

// SendToPeer carries a message between controllers, if their links are up. A message to a
// controller that is severed or beyond a partition gets lost: the call ends with its
// context.
func (w *World) SendToPeer(ctx context.Context, from, to string, raw []byte, deliver func(context.Context, []byte) error) error {
	w.mu.Lock()
	refused := w.hasFaultOn(faultPeersRefuse, from) || w.hasFaultOn(faultPeersRefuse, to)
	lost := w.zonesPartitioned(w.controllerZones[from], w.controllerZones[to]) || w.hasFaultOn(faultSevered, from) || w.hasFaultOn(faultSevered, to)
	delay := w.between(minDelay, maxDelay, from, to, string(raw))
	w.mu.Unlock()
	if refused {
		return fmt.Errorf("%s refuses", to)
	}
	if lost {
		<-ctx.Done()
	}
	if !wait(ctx, delay) {
		return ctx.Err()
	}
	w.WaitWhilePaused(ctx, to)
	return deliver(ctx, raw)
}
