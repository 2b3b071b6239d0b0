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

// Link is a controller's network.
type Link struct {
	W    *World
	Node string
	Ctx  context.Context // the process's life
}

var errConnectionReset = errors.New("connection reset")

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
