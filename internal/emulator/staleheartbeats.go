package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/transport"
)

// keepHeartbeat keeps a copy of a heartbeat until a shard gets a new fencing token. The
// world's lock is held by the caller.
func (w *World) keepHeartbeat(machine *Machine, body []byte) {
	const maxKept = 3 // heartbeats per machine; the earliest are kept, because older ones are more likely to do harm
	if kept := w.keptHeartbeats[machine.host]; len(kept) < maxKept {
		w.keptHeartbeats[machine.host] = append(kept, body)
	}
}

// replayKeptHeartbeats delivers the kept heartbeats to every controller. It is called when a
// shard gets a new fencing token.
func (w *World) replayKeptHeartbeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasFault(faultStaleHeartbeats) {
		return
	}
	if len(w.keptHeartbeats) > 0 {
		w.recordEvent("old reports of %d machines reach every controller", len(w.keptHeartbeats))
	}
	for _, host := range slices.Sorted(maps.Keys(w.keptHeartbeats)) {
		for i, body := range w.keptHeartbeats[host] {
			for _, node := range w.controllers {
				if handler := w.handlers[node]; handler != nil {
					delay := w.between(time.Microsecond, 150*time.Millisecond, "for next", host, node, fmt.Sprint(i))
					w.machines[host].afterDelay(delay, func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
				}
			}
		}
		delete(w.keptHeartbeats, host)
	}
}

// ignoreResponse discards a response that no caller waits for.
func ignoreResponse(transport.Response) {}
