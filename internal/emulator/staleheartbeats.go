package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/transport"
)

// keepHeartbeat has a copy of a heartbeat wait for the next owner of a shard. The world's
// lock is held by the caller.
func (w *World) keepHeartbeat(machine *Machine, body []byte) {
	const most = 3 // of each machine, the first ones: the older the worse
	if kept := w.keptHeartbeats[machine.host]; len(kept) < most {
		w.keptHeartbeats[machine.host] = append(kept, body)
	}
}

// replayKeptHeartbeats has the heartbeats that were kept reach every controller, as a
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

// ignoreResponse takes a response that nobody waits for.
func ignoreResponse(transport.Response) {}
