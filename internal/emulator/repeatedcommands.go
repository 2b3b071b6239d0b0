package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// copyDelays are the bounds of the time between the execution of a direct call and the arrival
// of a copy. The shortest ones end before the worker's next heartbeat, the longest ones after
// its lease and after the cancel deadline.
var copyDelays = []struct{ shortest, longest time.Duration }{
	{100 * time.Millisecond, 8 * time.Second},
	{time.Second, time.Minute},
	{time.Minute, 4 * time.Minute},
}

// maxCopies is the largest number of copies of one call that arrive.
const maxCopies = 3

// repeatCommands makes copies of two in five of the direct calls that a worker has executed
// arrive again later, and keeps each call for RepeatCommands if calls are to be kept. The
// world's lock is held by the caller.
func (m *Machine) repeatCommands(node string, body []byte) {
	w := m.world
	if w.hasFault(faultKeptCommands) {
		m.keptCommands = append(m.keptCommands, func() { m.deliverCopy(node, body) })
	}
	if !w.hasFault(faultRepeatedCommands) || !w.chance(40, "again", m.host, string(body)) {
		return
	}
	for range 1 + w.drawNumber("copies", m.host, string(body))%maxCopies {
		bounds := copyDelays[w.drawNumber("how late", m.host, string(body))%uint64(len(copyDelays))]
		m.afterDelay(w.between(bounds.shortest, bounds.longest, "copy", m.host, string(body)), func() { m.deliverCopy(node, body) })
	}
}

// deliverCopy delivers a copy of a controller's call to a worker. As other packets do, it
// waits while the machine is hung or beyond a partition, and it is lost while nothing listens on
// the machine. The world's lock is held by the caller.
func (m *Machine) deliverCopy(node string, body []byte) {
	switch {
	case m.removed || m.crashed || m.cannotReceive || m.booting():
	case !m.responsive():
		m.world.heldDeliveries[m.host] = append(m.world.heldDeliveries[m.host], func() { m.executeCopy(body) })
	case !m.reachable(node):
		m.holdAcrossZones(node, body)
	default:
		m.executeCopy(body)
	}
}

// executeCopy executes a copy of a call, whose answer no controller receives, and counts the
// tasks that the copy starts. A start that is refused since no such job exists is none. The
// world's lock is held by the caller.
func (m *Machine) executeCopy(body []byte) {
	before := maps.Clone(m.tasks)
	status, _ := m.handleCommands(body)
	m.world.recordEvent("%s gets a late copy of commands: %d %s", m.host, status, body)
	for name, task := range m.tasks {
		if before[name] != task && task.cause != protocol.CauseUnknownJob {
			m.world.startsByCopies++
		}
	}
}

// StartsByCopies returns how many tasks late copies of direct calls have started.
func (w *World) StartsByCopies() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startsByCopies
}

// RepeatCommands delivers a copy of each kept call to its worker, or only of those to one host
// if the host is not empty, and returns how many copies it delivers. The copies to a worker
// arrive in the order in which the calls were executed.
func (w *World) RepeatCommands(host string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var copies []func()
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		if host == "" || name == host {
			copies = append(copies, w.machines[name].keptCommands...)
		}
	}
	w.deliverHeld(copies)
	return len(copies)
}
