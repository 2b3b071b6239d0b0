package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// keepHeartbeat has a copy of a report wait for the next leader. The world's lock is held.
func (w *World) keepHeartbeat(machine *Machine, body []byte) {
	const most = 3 // of each machine, the first ones: the older the worse
	if kept := w.keptHeartbeats[machine.host]; len(kept) < most {
		w.keptHeartbeats[machine.host] = append(kept, body)
	}
}

// replayKeptHeartbeats tells of a shard's new token: reports kept for that reach every controller.
func (w *World) replayKeptHeartbeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.activeFaults["reports for next"] {
		return
	}
	if len(w.keptHeartbeats) > 0 {
		w.recordEvent("old reports of %d machines reach every controller", len(w.keptHeartbeats))
	}
	for _, host := range slices.Sorted(maps.Keys(w.keptHeartbeats)) {
		for i, body := range w.keptHeartbeats[host] {
			for _, node := range w.controllers {
				if handler := w.handlers[node]; handler != nil {
					after := w.between(time.Microsecond, 150*time.Millisecond, "for next", host, node, fmt.Sprint(i))
					w.machines[host].afterDelay(after, func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
				}
			}
		}
		delete(w.keptHeartbeats, host)
	}
}
