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

// Addresses of the services that controllers call, and the port of workers.
const (
	stateAddr  = "state"
	cloudAddr  = "cloud"
	workerPort = ":9000"
)

// Bounds of the one-way delay of a message within the region.
const (
	minDelay = 300 * time.Microsecond
	maxDelay = 3 * time.Millisecond
)

// errConnectionReset is returned to a caller whose request or response was lost.
var errConnectionReset = errors.New("connection reset")

// Link is a controller's network connection to the state service, the cloud and the
// workers.
type Link struct {
	W    *World
	Node string
	Ctx  context.Context // ends with the controller's process
}

// call is a request from a controller, with everything that is drawn for it before it is
// sent.
type call struct {
	addr, method, target string
	body                 []byte
	drawKey              []string      // key of the call's random draws
	request, response    time.Duration // delays of the request and the response
	outcome              callOutcome
	lateBy               time.Duration // delay of the late execution, if the outcome has one
	refused              bool          // the state service answers the controller with 503
	severed              bool          // the controller cannot reach the state service
	workersLost          bool          // the controller cannot reach any worker
}

// Do sends a request from the controller and returns the response. While the controller is
// paused, neither the request is sent nor the response returned.
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

// drawCall draws the delays and the outcome of a call. The result of each draw depends on
// the order of the draws.
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
	if addr == stateAddr && w.hasFault(faultLateAnswers) && w.chance(40, key...) {
		c.response += w.between(0, 1200*time.Millisecond, key...)
	}
	c.outcome = w.drawOutcome(addr, target, key)
	c.lateBy = w.between(time.Second, 40*time.Second, key...)
	if w.hasFault(faultLateWrites) {
		c.lateBy = w.between(2*time.Second, 12*time.Second, key...)
	}
	c.refused = w.hasFaultOn(faultStateRefuses, l.Node)
	c.severed = addr == stateAddr && w.hasFaultOn(faultSevered, l.Node)
	c.workersLost = w.hasFaultOn(faultWorkersLost, l.Node)
	return c
}

// isServiceCall reports whether a call goes to the state service or the cloud, which are in
// the region, and not to a worker.
func (c *call) isServiceCall() bool { return c.addr == stateAddr || c.addr == cloudAddr }

// holdIfPartitioned reports whether the controller's zone is cut off from the region. If it
// is, half of the calls are held until the partition ends, and the others are lost. When it
// ends, held calls to the cloud and held transactions are carried out; other held calls to
// the state service are dropped.
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

// callService sends a call to the state service or the cloud and returns the response,
// unless the request or the response is lost.
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

// serve executes a call in the state service or the cloud.
func (w *World) serve(ctx context.Context, c call) (int, []byte) {
	switch {
	case c.addr == cloudAddr:
		return w.handleCloud(c.method, c.target, c.body)
	case c.refused:
		return 503, nil
	}
	return w.State.handle(ctx, c.method, c.target, c.body)
}

// waitWhileWatchRefused delays the response to a watch for as long as the state service
// refuses only this controller's requests, since an open watch reports no changes during an
// outage either. It returns false if the response is lost: the controller is severed from the
// state service, or the context ends during the wait.
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

// callOutcome is the outcome of a call to the state service or the cloud under message
// loss.
type callOutcome int

const (
	outcomeDelivered     callOutcome = iota
	outcomeResponseLost              // the call is carried out, but the response is lost
	outcomeExecutedLate              // the call is carried out long after the caller has given up
	outcomeExecutedTwice             // the call is carried out at once and once more later
)

// drawOutcome draws the outcome of a call. Calls to the state service other than
// transactions, and requests for the cloud's list, are always delivered. The world's lock
// is held by the caller.
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
	switch percent := w.drawNumber(key...) % 100; {
	case percent < 12:
		return outcomeResponseLost
	case percent < 22:
		return outcomeExecutedLate
	case percent < 30:
		return outcomeExecutedTwice
	}
	return outcomeDelivered
}

// SendToPeer carries a message from one controller to another. A message from or to a
// controller that is severed, or across a partition, is lost: the call ends with its
// context. The fault "alone" of either controller makes the call fail at once. A message to a
// paused controller is delivered when the controller resumes, even if the call has ended by then.
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
	if !w.isPaused(to) {
		return deliver(ctx, raw)
	}
	delivered := make(chan error, 1)
	go func() {
		w.WaitWhilePaused(w.ctx, to)
		delivered <- deliver(w.ctx, raw)
	}()
	select {
	case err := <-delivered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
