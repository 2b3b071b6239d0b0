package emulator

import (
	"context"
	"time"
)

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
	cutOff := func(zone string) bool { return zone != "" && w.hasFaultOn(faultZonePartition, zone) }
	return a != b && (cutOff(a) || cutOff(b))
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
	if zone == "" || !w.hasFaultOn(faultZonePartition, zone) {
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

// reachable tells whether a worker and a controller reach one another.
func (m *Machine) reachable(node string) bool {
	return !m.world.zonesPartitioned(m.zone, m.world.controllerZones[node])
}
