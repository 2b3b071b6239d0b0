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

// partitions is what the world knows of them, guarded by its lock.
type partitions struct {
	controllerZones map[string]string        // of each controller
	incarnations    map[string]int           // which process of a controller runs
	paused          map[string]chan struct{} // closed when the controller goes on
	heldAcrossZones map[string][]func()      // what a cut zone holds back, by zone
	zoneHealed      chan struct{}            // closed when a zone's cut ends
}

func newPartitions() partitions {
	return partitions{controllerZones: make(map[string]string), incarnations: make(map[string]int), paused: make(map[string]chan struct{}),
		heldAcrossZones: make(map[string][]func()), zoneHealed: make(chan struct{})}
}

// SetZone says in which zone a controller stands.
func (w *World) SetZone(node, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.controllerZones[node] = zone
}

// setPaused has a controller stand still, or go on.
func (w *World) setPaused(node string, on bool) {
	switch held := w.paused[node]; {
	case on && held == nil:
		w.paused[node] = make(chan struct{})
	case !on && held != nil:
		close(held)
		delete(w.paused, node)
	}
}

// WaitWhilePaused waits for as long as a controller stands still. What waits goes on one after
// the other, by what was drawn when each began to wait: all at the same instant they
// would be in an order that nobody could repeat.
func (w *World) WaitWhilePaused(ctx context.Context, node string) {
	late := time.Duration(0)
	for {
		w.mu.Lock()
		held := w.paused[node]
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

// deliverIfAlive wraps what a controller is asked: it hears nothing while it stands still,
// and a process that has ended meanwhile hears nothing any more.
func (w *World) deliverIfAlive(name string, life int, h func()) {
	w.WaitWhilePaused(w.ctx, name)
	w.mu.Lock()
	same := w.incarnations[name] == life
	w.mu.Unlock()
	if same {
		h()
	}
}

// zonesPartitioned tells whether a cut lies between two zones; the empty one is the region,
// in which users, cloud and state service are.
func (w *World) zonesPartitioned(a, b string) bool {
	return a != b && ((a != "" && w.activeFaults["zone "+a]) || (b != "" && w.activeFaults["zone "+b]))
}

// heldDeliveryGap is how far apart the messages arrive that a cut held back.
const heldDeliveryGap = 67 * time.Nanosecond

// deliverHeld has messages that were held back arrive one after the other: all at the same
// instant they would be in an order that nobody could repeat. Each is called with the
// world's lock held.
func (w *World) deliverHeld(held []func()) {
	for i, late := range held {
		go func() {
			if wait(w.ctx, time.Duration(i+1)*heldDeliveryGap) {
				w.mu.Lock()
				defer w.mu.Unlock()
				late()
			}
		}()
	}
}

// healZone ends the cut of a zone: what was held back arrives, in order.
func (w *World) healZone(zone string) {
	held := w.heldAcrossZones[zone]
	delete(w.heldAcrossZones, zone)
	w.deliverHeld(held)
	close(w.zoneHealed)
	w.zoneHealed = make(chan struct{})
}

// holdUntilHealed keeps a message until the cut of a zone is over.
func (w *World) holdUntilHealed(a, b string, late func()) {
	zone := a
	if zone == "" || !w.activeFaults["zone "+zone] {
		zone = b
	}
	w.heldAcrossZones[zone] = append(w.heldAcrossZones[zone], late)
}

// waitForZoneLink waits for as long as a cut lies between a controller and a zone. It
// returns false if the context ends first.
func (w *World) waitForZoneLink(ctx context.Context, node, zone string) bool {
	for {
		w.mu.Lock()
		apart, healed := w.zonesPartitioned(w.controllerZones[node], zone), w.zoneHealed
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

// crashedListedAsRunning is how long a machine that died is listed as running.
const crashedListedAsRunning = 30 * time.Second

// crash ends a machine at once. The cloud goes on listing it until it is returned.
func (m *Machine) crash() {
	m.crashed, m.stoppedAt = true, time.Now()
	m.dropTasks()
	delete(m.world.heldDeliveries, m.host)
	m.world.recordEvent("%s dies", m.host)
}

// reboot has a machine begin again within a moment, under its name: its tasks are
// gone, and its worker counts from the start. Late copies of what it said last come
// after that and look newer than all that it says now.
func (m *Machine) reboot() {
	w := m.world
	w.recordEvent("%s begins again", m.host)
	m.dropTasks()
	m.boots++
	m.agentEpoch, m.sequence, m.fencingToken, m.rebooting = 1, 0, 0, true
	if late := m.resendHeartbeat; late != nil {
		for range w.between(0, 3, "copies", m.host) {
			m.afterDelay(w.between(10*time.Millisecond, 9*time.Second, "copy", m.host), late)
		}
	}
	m.afterDelay(w.between(20*time.Millisecond, time.Second, "reboot", m.host), func() {
		m.rebooting, m.leaseRenewedAt = false, time.Now()
		m.wakeAgent()
	})
}

// listedPhase is the phase that the cloud's list shows.
func (m *Machine) listedPhase(asOf time.Time) string {
	switch {
	case m.crashed && asOf.Sub(m.stoppedAt) > crashedListedAsRunning:
		return "failed"
	case m.upAt.After(asOf):
		return "booting"
	}
	return "running"
}

// applyFault takes the troubles of this file.
func (w *World) applyFault(name string, on bool) {
	what, which, _ := strings.Cut(name, " ")
	switch what {
	case "freeze":
		w.setPaused(which, on)
	case "zone":
		if !on {
			w.healZone(which)
		}
	}
}

// reachable tells whether a worker and a controller reach one another.
func (m *Machine) reachable(node string) bool {
	return !m.world.zonesPartitioned(m.zone, m.world.controllerZones[node])
}

// InZone lists the machines of a zone that are rented and alive.
func (w *World) InZone(zone string) []string {
	return slices.DeleteFunc(w.Hosts(false), func(host string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		m := w.machines[host]
		return m.zone != zone || m.crashed
	})
}
