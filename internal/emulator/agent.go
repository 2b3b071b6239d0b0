package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

func (m *Machine) expireLease() {
	if !m.leaseRenewedAt.IsZero() && time.Since(m.leaseRenewedAt) > m.byWorkerClock(m.world.Workers.LeaseDuration) {
		m.world.recordEvent("%s lease over, session %d", m.host, m.agentEpoch+1)
		m.dropTasks()
		m.agentEpoch++
		m.sequence, m.leaseRenewedAt = 0, time.Now()
	}
}

// runAgent reports to the controllers for as long as the machine exists.
func (m *Machine) runAgent(after time.Duration) {
	w := m.world
	// The runtime may crash on a select over a timer that is due already, in a
	// test bubble under the race detector; so no such timer is waited on here.
	if after >= neverBoots || (after > 0 && !wait(w.ctx, after)) {
		return
	}
	w.mu.Lock()
	m.leaseRenewedAt, m.upAt = time.Now(), time.Now()
	w.mu.Unlock()
	for {
		pause := m.byWorkerClock(m.exchangeHeartbeat())
		select {
		case <-w.ctx.Done():
			return
		case <-m.wakeup:
			if !wait(w.ctx, m.byWorkerClock(500*time.Millisecond)) {
				return
			}
		case <-time.After(pause):
		}
		w.mu.Lock()
		gone := m.removed
		if !m.hung && !m.crashed {
			m.expireLease()
		}
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

func (m *Machine) heartbeat() protocol.Heartbeat {
	m.sequence++
	r := protocol.Heartbeat{Host: m.host, Address: m.world.Address(m.host), Type: m.machineType, Zone: m.zone, Spot: m.spot, AgentEpoch: m.agentEpoch, Sequence: m.sequence,
		FencingToken: m.fencingToken, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: name, Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return r
}

// ignoreResponse is what nobody waits for any more.
func ignoreResponse(transport.Response) {}

// exchangeHeartbeat makes one report and returns when to make the next.
func (m *Machine) exchangeHeartbeat() time.Duration {
	w := m.world
	w.mu.Lock()
	if m.rebooting {
		w.mu.Unlock()
		return 50 * time.Millisecond
	}
	if m.removed || m.hung || m.crashed || len(w.controllers) == 0 {
		w.mu.Unlock()
		return time.Second
	}
	if m.cannotSend {
		m.controllerIndex++
		w.mu.Unlock()
		return time.Second
	}
	name := w.controllers[m.controllerIndex%len(w.controllers)]
	handler := w.handlers[name]
	if w.activeFaults["deaf "+name] {
		handler = nil
	}
	body, _ := json.Marshal(m.heartbeat())
	sent, session, tick := time.Now(), m.agentEpoch, strconv.FormatUint(m.sequence, 10)
	if handler != nil {
		m.resendHeartbeat = func() { go handler("POST", heartbeatPath, body, ignoreResponse) }
	}
	if w.activeFaults["reports for next"] && w.chance(40, "keep", m.host, tick) {
		w.keepHeartbeat(m, body)
	}
	if handler != nil && !m.partitioned && w.activeFaults["late reports"] && w.chance(40, "copy", m.host, tick) {
		m.afterDelay(w.between(2*time.Second, w.Workers.LeaseDuration*3/2, "copy", m.host, tick), m.resendHeartbeat)
	}
	life := m.boots
	there, back := w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick), w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick)
	if m.partitioned {
		// The packets are held and may arrive once the cut is over, though nobody
		// waits for an answer any more.
		if handler != nil && w.chance(50, m.host, tick) {
			w.heldDeliveries[m.host] = append(w.heldDeliveries[m.host], func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
		}
		w.mu.Unlock()
		return 4 * time.Second
	}
	if handler != nil && !m.reachable(name) {
		if w.chance(50, m.host, tick) {
			w.holdUntilHealed(m.zone, w.controllerZones[name], func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
		}
		m.controllerIndex++
		w.mu.Unlock()
		return 5 * time.Second
	}
	if handler == nil {
		m.controllerIndex++
		w.mu.Unlock()
		return time.Second
	}
	w.mu.Unlock()
	if !wait(w.ctx, there) {
		return time.Second
	}
	got := make(chan transport.Response, 1)
	go handler("POST", heartbeatPath, body, func(r transport.Response) { got <- r })
	var r transport.Response
	select {
	case r = <-got:
	case <-time.After(4 * time.Second):
	case <-w.ctx.Done():
	}
	if !wait(w.ctx, back) {
		return time.Second
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.removed || m.hung || m.crashed || m.partitioned || m.cannotReceive || m.agentEpoch != session || m.boots != life || w.activeFaults["deaf "+name] || !m.reachable(name) {
		if m.cannotReceive {
			m.controllerIndex++ // no answer in time: the next node
		}
		return time.Second
	}
	switch r.Status {
	case 200:
		var a protocol.HeartbeatResponse
		if json.Unmarshal(r.Body, &a) == nil && a.FencingToken >= m.fencingToken && a.FencingToken > 0 {
			if a.FencingToken > m.fencingToken {
				m.wakeAgent()
			}
			m.fencingToken, m.leaseRenewedAt = a.FencingToken, sent
			m.runCommands(a.Commands)
		}
		// Give or take a quarter, as workers do.
		return w.between(w.Workers.HeartbeatInterval*3/4, w.Workers.HeartbeatInterval*5/4, m.host, tick)
	case 421:
		var s protocol.Redirect
		_ = json.Unmarshal(r.Body, &s)
		for i, n := range w.controllers {
			if n == s.Node && n != name {
				m.controllerIndex = i
				return w.between(0, 500*time.Millisecond, m.host, tick)
			}
		}
	}
	m.controllerIndex++
	return time.Second
}

// callWorker carries a controller's call. Across a cut, or to a hung machine,
// it is held and executed late, though the caller has long given up.
func (w *World) callWorker(ctx context.Context, node, host, target string, body []byte, back time.Duration) (int, []byte, error) {
	w.mu.Lock()
	machine := w.machines[host]
	if machine != nil && !machine.removed && !machine.crashed && !machine.hung && !machine.partitioned && !machine.reachable(node) {
		if target == protocol.PathCommands {
			w.holdUntilHealed(machine.zone, w.controllerZones[node], func() {
				if !machine.removed && !machine.crashed && !machine.hung && !machine.partitioned {
					machine.expireLease()
					machine.handleCommands(body)
				}
			})
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	if machine != nil && (machine.rebooting || time.Now().Before(machine.upAt)) { // it boots
		w.mu.Unlock()
		return 0, nil, errConnectionReset
	}
	if machine == nil || machine.removed || machine.crashed || machine.partitioned || machine.hung || machine.cannotReceive {
		if machine != nil && !machine.removed && !machine.crashed && !machine.cannotReceive && target == protocol.PathCommands {
			w.heldDeliveries[host] = append(w.heldDeliveries[host], func() { machine.handleCommands(body) })
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	var status int
	var out []byte
	if target == protocol.PathStatus {
		status, out = jsonResponse(200, machine.heartbeat())
	} else {
		status, out = machine.handleCommands(body)
	}
	w.mu.Unlock()
	if !wait(ctx, back) {
		return 0, nil, errConnectionReset
	}
	return status, out, nil
}

func (m *Machine) handleCommands(body []byte) (int, []byte) {
	var in protocol.CommandRequest
	if json.Unmarshal(body, &in) != nil || in.FencingToken == 0 || in.AgentEpoch == 0 {
		return 400, nil
	}
	if in.FencingToken < m.fencingToken || in.AgentEpoch != m.agentEpoch {
		return jsonResponse(409, m.heartbeat())
	}
	if in.FencingToken > m.fencingToken {
		m.fencingToken = in.FencingToken
		m.wakeAgent()
	}
	m.runCommands(in.Commands)
	return jsonResponse(200, m.heartbeat())
}

func (m *Machine) runCommands(cmds []protocol.Command) {
	for _, c := range cmds {
		task := m.tasks[c.Task]
		switch c.Verb {
		case "start":
			switch {
			case task == nil || (task.attempt != c.Attempt && task.phase == protocol.TaskExited):
				m.startTask(c.Task, c.Attempt)
			case task.attempt != c.Attempt:
				m.world.recordEvent("%s %s/%d refused: busy with attempt %d", m.host, c.Task, c.Attempt, task.attempt)
			}
		case "stop":
			if task != nil && task.attempt == c.Attempt && task.phase != protocol.TaskExited {
				m.stopTask(c.Task, task, c.GraceS)
			}
		case "reap":
			if task != nil && task.attempt == c.Attempt && task.phase == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}

const (
	causeGangPeerLost = "peers"
	heartbeatPath     = "/v1/report"
)
