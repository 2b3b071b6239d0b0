package emulator

import (
	"context"
	"time"
)

// partitions holds the paused controllers and the partitioned zones. It is guarded by the
// world's lock.
type partitions struct {
	controllerZones map[string]string
	incarnations    map[string]int           // by controller, incremented when a process of the controller starts or ends
	paused          map[string]chan struct{} // by controller; closed when the controller resumes
	heldAcrossZones map[string][]func()      // by zone, messages held until the zone's partition ends
	zoneHealed      chan struct{}            // closed and replaced when a zone's partition ends
}

// newPartitions returns a region without partitions and paused controllers.
func newPartitions() partitions {
	return partitions{
		controllerZones: make(map[string]string),
		incarnations:    make(map[string]int),
		paused:          make(map[string]chan struct{}),
		heldAcrossZones: make(map[string][]func()),
		zoneHealed:      make(chan struct{}),
	}
}

// SetZone sets the zone of a controller. A controller for which no zone is set is outside all
// zones, like the users, the cloud and the state service.
func (w *World) SetZone(node, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.controllerZones[node] = zone
}

// setPaused pauses a controller or resumes it. The world's lock is held by the caller.
func (w *World) setPaused(node string, on bool) {
	switch resumed := w.paused[node]; {
	case on && resumed == nil:
		w.paused[node] = make(chan struct{})
	case !on && resumed != nil:
		close(resumed)
		delete(w.paused, node)
	}
}

// isPaused reports whether a controller is paused.
func (w *World) isPaused(node string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused[node] != nil
}

// WaitWhilePaused blocks while a controller is paused, or until the context ends. After the
// pause, each waiting goroutine continues after a delay drawn when it began to wait: if all
// continued at the same instant, their order could not be reproduced.
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

// deliverIfAlive passes a request to a controller's process, after its pause if the
// controller is paused. The request is dropped if the process has ended by then.
func (w *World) deliverIfAlive(node string, incarnation int, deliver func()) {
	w.WaitWhilePaused(w.ctx, node)
	w.mu.Lock()
	alive := w.incarnations[node] == incarnation
	w.mu.Unlock()
	if alive {
		deliver()
	}
}

// zonesPartitioned reports whether a partition lies between two zones. The empty zone
// stands for the region, in which the users, the cloud and the state service are. The
// world's lock is held by the caller.
func (w *World) zonesPartitioned(a, b string) bool {
	return a != b && (w.isPartitioned(a) || w.isPartitioned(b))
}

// isPartitioned reports whether a zone is cut off from everything outside it; the region
// never is. The world's lock is held by the caller.
func (w *World) isPartitioned(zone string) bool {
	return zone != "" && w.hasFaultOn(faultZonePartition, zone)
}

// reachable reports whether no partition lies between the machine's zone and a
// controller's. The world's lock is held by the caller.
func (m *Machine) reachable(node string) bool {
	return !m.world.zonesPartitioned(m.zone, m.world.controllerZones[node])
}

// holdUntilHealed holds a message between two zones until the partition that separates them
// ends; if both zones are partitioned, until that of the first ends. The world's lock is
// held by the caller, and also while deliver is called.
func (w *World) holdUntilHealed(a, b string, deliver func()) {
	zone := a
	if !w.isPartitioned(a) {
		zone = b
	}
	w.heldAcrossZones[zone] = append(w.heldAcrossZones[zone], deliver)
}

// healZone ends the partition of a zone and delivers the messages held for it, in order.
// The world's lock is held by the caller.
func (w *World) healZone(zone string) {
	held := w.heldAcrossZones[zone]
	delete(w.heldAcrossZones, zone)
	w.deliverHeld(held)
	close(w.zoneHealed)
	w.zoneHealed = make(chan struct{})
}

// heldDeliveryGap is the time between the deliveries of two held messages.
const heldDeliveryGap = 67 * time.Nanosecond

// deliverHeld delivers held messages one after the other, at different instants: if all
// arrived at the same instant, their order could not be reproduced. The world's lock is
// held during each delivery.
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

// waitForZoneLink blocks while a partition lies between a controller and a zone. It returns
// false if the context ends first.
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
