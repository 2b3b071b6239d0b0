package emulator

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Faults of whole processes and zones: a controller that stands still while
// clocks run on, a zone that is cut off from everything, a machine that dies and
// stays listed for a while.

// faults is what the world knows of them, guarded by its lock.
type faults struct {
	zoneOf map[string]string        // of each controller
	lives  map[string]int           // which process of a controller runs
	frozen map[string]chan struct{} // closed when the controller goes on
	behind map[string][]func()      // what a cut zone holds back, by zone
	healed chan struct{}            // closed when a zone's cut ends
}

func newFaults() faults {
	return faults{zoneOf: make(map[string]string), lives: make(map[string]int), frozen: make(map[string]chan struct{}),
		behind: make(map[string][]func()), healed: make(chan struct{})}
}

// SetZone says in which zone a controller stands.
func (w *World) SetZone(node, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zoneOf[node] = zone
}

// freeze has a controller stand still, or go on.
func (w *World) freeze(node string, on bool) {
	switch held := w.frozen[node]; {
	case on && held == nil:
		w.frozen[node] = make(chan struct{})
	case !on && held != nil:
		close(held)
		delete(w.frozen, node)
	}
}

// WaitWhilePaused waits for as long as a controller stands still. What waits goes on one after
// the other, by what was drawn when each began to wait: all at the same instant they
// would be in an order that nobody could repeat.
func (w *World) WaitWhilePaused(ctx context.Context, node string) {
	late := time.Duration(0)
	for {
		w.mu.Lock()
		held := w.frozen[node]
		if held != nil && late == 0 {
			late = w.between(time.Microsecond, 3*time.Millisecond, "stand", node)
		}
		w.mu.Unlock()
		if held == nil {
			return
		}
		select {
		case <-held:
		case <-ctx.Done():
			return
		}
		if !wait(ctx, late) {
			return
		}
	}
}

// alive wraps what a controller is asked: it hears nothing while it stands still,
// and a process that has ended meanwhile hears nothing any more.
func (w *World) alive(name string, life int, h func()) {
	w.WaitWhilePaused(w.ctx, name)
	w.mu.Lock()
	same := w.lives[name] == life
	w.mu.Unlock()
	if same {
		h()
	}
}

// apart tells whether a cut lies between two zones; the empty one is the region,
// in which users, cloud and state service are.
func (w *World) apart(a, b string) bool {
	return a != b && ((a != "" && w.trouble["zone "+a]) || (b != "" && w.trouble["zone "+b]))
}

// heldGap is how far apart the messages arrive that a cut held back.
const heldGap = 67 * time.Nanosecond

// arrive has messages that were held back arrive one after the other: all at the same
// instant they would be in an order that nobody could repeat. Each is called with the
// world's lock held.
func (w *World) arrive(held []func()) {
	for i, late := range held {
		go func() {
			if wait(w.ctx, time.Duration(i+1)*heldGap) {
				w.mu.Lock()
				defer w.mu.Unlock()
				late()
			}
		}()
	}
}

// heal ends the cut of a zone: what was held back arrives, in order.
func (w *World) heal(zone string) {
	held := w.behind[zone]
	delete(w.behind, zone)
	w.arrive(held)
	close(w.healed)
	w.healed = make(chan struct{})
}

// hold keeps a message until the cut of a zone is over.
func (w *World) hold(a, b string, late func()) {
	zone := a
	if zone == "" || !w.trouble["zone "+zone] {
		zone = b
	}
	w.behind[zone] = append(w.behind[zone], late)
}

// across waits for as long as a cut lies between a controller and a zone. It
// returns false if the context ends first.
func (w *World) across(ctx context.Context, node, zone string) bool {
	for {
		w.mu.Lock()
		apart, healed := w.apart(w.zoneOf[node], zone), w.healed
		w.mu.Unlock()
		if !apart {
			return true
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}

// deadListed is how long a machine that died is listed as running.
const deadListed = 30 * time.Second

// die ends a machine at once. The cloud goes on listing it until it is returned.
func (m *Machine) die() {
	m.dead, m.goneAt = true, time.Now()
	m.kill()
	delete(m.w.held, m.host)
	m.w.note("%s dies", m.host)
}

// reboot has a machine begin again within a moment, under its name: its tasks are
// gone, and its worker counts from the start. Late copies of what it said last come
// after that and look newer than all that it says now.
func (m *Machine) reboot() {
	w := m.w
	w.note("%s begins again", m.host)
	m.kill()
	m.life++
	m.session, m.seq, m.token, m.away = 1, 0, 0, true
	if late := m.said; late != nil {
		for range w.between(0, 3, "copies", m.host) {
			m.later(w.between(10*time.Millisecond, 9*time.Second, "copy", m.host), late)
		}
	}
	m.later(w.between(20*time.Millisecond, time.Second, "reboot", m.host), func() {
		m.away, m.lease = false, time.Now()
		m.poke()
	})
}

// listedAs is the phase that the cloud's list shows.
func (m *Machine) listedAs(asOf time.Time) string {
	switch {
	case m.dead && asOf.Sub(m.goneAt) > deadListed:
		return "failed"
	case m.up.After(asOf):
		return "booting"
	}
	return "running"
}

// zoneTrouble takes the troubles of this file.
func (w *World) zoneTrouble(name string, on bool) {
	what, which, _ := strings.Cut(name, " ")
	switch what {
	case "freeze":
		w.freeze(which, on)
	case "zone":
		if !on {
			w.heal(which)
		}
	}
}

// reached tells whether a worker and a controller reach one another.
func (m *Machine) reached(node string) bool { return !m.w.apart(m.zone, m.w.zoneOf[node]) }

// InZone lists the machines of a zone that are rented and alive.
func (w *World) InZone(zone string) []string {
	return slices.DeleteFunc(w.Hosts(false), func(host string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		m := w.machines[host]
		return m.zone != zone || m.dead
	})
}
