package emulator

import (
	"context"
	"time"
)

// partitions is what the world knows of paused controllers and of zones that are cut off,
// guarded by its lock.
type partitions struct {
	controllerZones map[string]string
	incarnations    map[string]int           // by controller, which of its processes runs
	paused          map[string]chan struct{} // by controller, closed when it resumes
	heldAcrossZones map[string][]func()      // by zone, what its partition holds back
	zoneHealed      chan struct{}            // closed when a zone's partition ends
}

// newPartitions is a region without partitions.
func newPartitions() partitions {
	return partitions{
		controllerZones: make(map[string]string),
		incarnations:    make(map[string]int),
		paused:          make(map[string]chan struct{}),
		heldAcrossZones: make(map[string][]func()),
		zoneHealed:      make(chan struct{}),
	}
}

// SetZone sets in which zone a controller is; without one it is in the region.
func (w *World) SetZone(node, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.controllerZones[node] = zone
}

// setPaused pauses a controller, or has it resume. The world's lock is held by the caller.
func (w *World) setPaused(node string, on bool) {
	switch resumed := w.paused[node]; {
	case on && resumed == nil:
		w.paused[node] = make(chan struct{})
	case !on && resumed != nil:
		close(resumed)
		delete(w.paused, node)
	}
}

// WaitWhilePaused waits for as long as a controller is paused, or until the context ends.
// What waits goes on one after the other, by what was drawn when each began to wait: all
// at the same instant they would be in an order that nobody could repeat.
func (w *World) WaitWhilePaused(ctx context.Context, node string) {
	delay := time.Duration(0)
	for {
		w.mu.Lock()
		resumed := w.paused[node]
		if resumed != nil && delay == 0 {
			delay = w.between(time.Microsecond, 3*time.Millisecond, "stand", node)
		}
		w.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return
		}
		if !wait(ctx, delay) {
			return
		}
	}
}

// deliverIfAlive hands a request to a controller: once it resumes if it is paused, and not
// at all if the process has ended by then.
func (w *World) deliverIfAlive(node string, incarnation int, deliver func()) {
	w.WaitWhilePaused(w.ctx, node)
	w.mu.Lock()
	alive := w.incarnations[node] == incarnation
	w.mu.Unlock()
	if alive {
		deliver()
	}
}

// zonesPartitioned reports whether a partition lies between two zones; the empty one is
// the region, in which users, cloud and state service are. The world's lock is held by the
// caller.
func (w *World) zonesPartitioned(a, b string) bool { return a != b && (w.isPartitioned(a) || w.isPartitioned(b)) }

// isPartitioned reports whether a zone is cut off from everything; the region never is. The
// world's lock is held by the caller.
func (w *World) isPartitioned(zone string) bool {
	return zone != "" && w.hasFaultOn(faultZonePartition, zone)
}

// reachable reports whether no partition lies between a worker and a controller. The
// world's lock is held by the caller.
func (m *Machine) reachable(node string) bool {
	return !m.world.zonesPartitioned(m.zone, m.world.controllerZones[node])
}

// holdUntilHealed keeps a message between two zones until the partition of one that is cut
// off ends. The world's lock is held by the caller, and as deliver is called.
func (w *World) holdUntilHealed(a, b string, deliver func()) {
	zone := a
	if !w.isPartitioned(a) {
		zone = b
	}
	w.heldAcrossZones[zone] = append(w.heldAcrossZones[zone], deliver)
}

// healZone ends the partition of a zone: what was held back arrives, in order. The world's
// lock is held by the caller.
func (w *World) healZone(zone string) {
	held := w.heldAcrossZones[zone]
	delete(w.heldAcrossZones, zone)
	w.deliverHeld(held)
	close(w.zoneHealed)
	w.zoneHealed = make(chan struct{})
}

// heldDeliveryGap is how far apart the messages arrive that were held back.
const heldDeliveryGap = 67 * time.Nanosecond

// deliverHeld has messages that were held back arrive one after the other: all at the same
// instant they would be in an order that nobody could repeat. The world's lock is held as
// each is called.
func (w *World) deliverHeld(held []func()) {
	for i, deliver := range held {
		go func() {
			if wait(w.ctx, time.Duration(i+1)*heldDeliveryGap) {
				w.mu.Lock()
				defer w.mu.Unlock()
				deliver()
			}
		}()
	}
}

// waitForZoneLink waits for as long as a partition lies between a controller and a zone.
// It returns false if the context ends first.
func (w *World) waitForZoneLink(ctx context.Context, node, zone string) bool {
	for {
		w.mu.Lock()
		partitioned, healed := w.zonesPartitioned(w.controllerZones[node], zone), w.zoneHealed
		w.mu.Unlock()
		if !partitioned {
			return true
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}
