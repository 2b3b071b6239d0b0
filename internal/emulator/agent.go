package emulator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// heartbeatPath is the path of the controllers' API that receives heartbeats.
const heartbeatPath = "/v1/report"

// Delays and timeouts of a worker's agent. The pauses between heartbeats are measured by the
// worker's clock.
const (
	wakeDelay        = 500 * time.Millisecond // time from a change of state to the heartbeat that reports the change
	retryInterval    = time.Second            // time until the next heartbeat after one without a valid response
	heartbeatTimeout = 4 * time.Second        // time limit for a controller's response to a heartbeat
	maxResponseDelay = 5 * time.Second        // longest delay of a late response
	zoneTimeout      = 5 * time.Second        // time limit for the response of a controller beyond a zone partition
	rebootPoll       = 50 * time.Millisecond  // time between checks whether a reboot has finished
)

// runAgent sends heartbeats to the controllers for as long as the machine exists.
func (m *Machine) runAgent(after time.Duration) {
	w := m.world
	// In a testing/synctest bubble under the race detector, the Go runtime may crash in a
	// select on a timer that is already due, so a delay of zero skips the wait.
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
			if !wait(w.ctx, m.byWorkerClock(wakeDelay)) {
				return
			}
		case <-time.After(pause):
		}
		w.mu.Lock()
		removed := m.removed
		if !m.hung && !m.crashed {
			m.expireLease()
		}
		w.mu.Unlock()
		if removed {
			return
		}
	}
}

// wakeAgent makes the agent send its next heartbeat soon, without blocking the caller.
func (m *Machine) wakeAgent() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// expireLease drops the worker's tasks and begins a new agent epoch if the worker's lease
// has expired because no controller has renewed it. The world's lock is held by the caller.
func (m *Machine) expireLease() {
	if !m.leaseRenewedAt.IsZero() && time.Since(m.leaseRenewedAt) > m.byWorkerClock(m.world.Workers.LeaseDuration) {
		m.world.recordEvent("%s lease over, agent epoch %d", m.host, m.agentEpoch+1)
		m.dropTasks()
		m.agentEpoch++
		m.sequence, m.leaseRenewedAt = 0, time.Now()
	}
}

// heartbeat returns the worker's next heartbeat, with a new sequence number and the status
// of every task. The world's lock is held by the caller.
func (m *Machine) heartbeat() protocol.Heartbeat {
	m.sequence++
	h := protocol.Heartbeat{Host: m.host, Address: m.world.Address(m.host), Type: m.machineType, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.agentEpoch, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		h.PreemptionNoticeS = &left
	}
	unknown := 0
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		if task.cause == protocol.CauseUnknownJob {
			unknown++
		}
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Task: name, Attempt: task.attempt, Phase: task.phase, Cause: task.cause, Checkpointed: task.checkpointed})
	}
	m.world.longestHeartbeat = max(m.world.longestHeartbeat, len(h.Tasks)-unknown)
	m.world.mostUnknownListed = max(m.world.mostUnknownListed, unknown)
	return h
}

// outgoingHeartbeat is a heartbeat in transit, with the state of the worker that sent it.
type outgoingHeartbeat struct {
	controller        string
	handler           ControllerHandler
	body              []byte
	sentAt            time.Time
	agentEpoch        uint64
	reboots           int
	sequence          string        // sequence number of the heartbeat; part of the names of its random draws
	request, response time.Duration // delays of the heartbeat and its response
}

// post delivers the heartbeat to the controller on a goroutine of its own.
func (h *outgoingHeartbeat) post(reply func(transport.Response)) {
	go h.handler("POST", heartbeatPath, h.body, reply)
}

// resend delivers the heartbeat to the controller late or once more, and ignores the response.
func (h *outgoingHeartbeat) resend() { h.post(ignoreResponse) }

// exchangeHeartbeat sends one heartbeat, applies the response and returns the pause before
// the next heartbeat.
func (m *Machine) exchangeHeartbeat() time.Duration {
	ctx := m.world.ctx
	h, retryAfter := m.nextHeartbeat()
	if h == nil {
		return retryAfter
	}
	if !wait(ctx, h.request) {
		return retryInterval
	}
	received := make(chan transport.Response, 1)
	h.post(func(response transport.Response) { received <- response })
	var response transport.Response
	select {
	case response = <-received:
	case <-time.After(heartbeatTimeout):
	case <-ctx.Done():
	}
	if h.response > heartbeatTimeout {
		wait(ctx, heartbeatTimeout)
		return retryInterval
	}
	if !wait(ctx, h.response) {
		return retryInterval
	}
	return m.applyResponse(h, response)
}

// nextHeartbeat builds the next heartbeat and draws its delays. If the worker sends no
// heartbeat or the heartbeat does not arrive, it returns nil and the pause before the next
// attempt.
func (m *Machine) nextHeartbeat() (*outgoingHeartbeat, time.Duration) {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case m.rebooting:
		return nil, rebootPoll
	case m.removed || m.hung || m.crashed || len(w.controllers) == 0:
		return nil, retryInterval
	case m.cannotSend:
		m.controllerIndex++
		return nil, retryInterval
	}
	h := m.drawHeartbeat()
	switch {
	case m.partitioned:
		// The network may hold the packets and deliver them after the partition, when the
		// worker no longer waits for the response.
		if h.handler != nil && w.chance(50, m.host, h.sequence) {
			w.heldDeliveries[m.host] = append(w.heldDeliveries[m.host], h.resend)
		}
		return nil, heartbeatTimeout
	case h.handler == nil:
		m.controllerIndex++
		return nil, retryInterval
	case !m.reachable(h.controller):
		if w.chance(50, m.host, h.sequence) {
			w.holdUntilHealed(m.zone, w.controllerZones[h.controller], h.resend)
		}
		m.controllerIndex++
		return nil, zoneTimeout
	}
	return h, 0
}

// drawHeartbeat builds a heartbeat to the current controller of the rotation and draws its
// delays and the copies of it that arrive later. The handler is nil if the controller is
// not running or receives no heartbeats. The order of the draws determines their results.
// The world's lock is held by the caller.
func (m *Machine) drawHeartbeat() *outgoingHeartbeat {
	w := m.world
	controller := w.controllers[m.controllerIndex%len(w.controllers)]
	h := &outgoingHeartbeat{controller: controller, handler: w.handlers[controller]}
	if w.hasFaultOn(faultWorkersLost, controller) {
		h.handler = nil
	}
	h.body, _ = json.Marshal(m.heartbeat())
	h.sentAt, h.agentEpoch, h.reboots, h.sequence = time.Now(), m.agentEpoch, m.reboots, strconv.FormatUint(m.sequence, 10)
	if h.handler != nil {
		m.resendHeartbeat = h.resend
	}
	if w.hasFault(faultStaleHeartbeats) && w.chance(40, "keep", m.host, h.sequence) {
		w.keepHeartbeat(m, h.body)
	}
	if h.handler != nil && !m.partitioned && w.hasFault(faultLateHeartbeats) && w.chance(40, "copy", m.host, h.sequence) {
		m.afterDelay(w.between(2*time.Second, w.Workers.LeaseDuration*3/2, "copy", m.host, h.sequence), h.resend)
	}
	h.request = w.between(minDelay, maxDelay, m.host, h.sequence)
	h.response = w.between(minDelay, maxDelay, m.host, h.sequence)
	if w.hasFault(faultLateResponses) && w.chance(40, "late response", m.host, h.sequence) {
		h.response = w.between(maxDelay, maxResponseDelay, "late response", m.host, h.sequence)
	}
	return h
}

// receives reports whether the response to a heartbeat reaches the worker, and the worker
// has neither rebooted nor begun a new agent epoch since it sent the heartbeat. The world's
// lock is held by the caller.
func (m *Machine) receives(h *outgoingHeartbeat) bool {
	return m.responsive() && !m.cannotReceive && m.agentEpoch == h.agentEpoch && m.reboots == h.reboots &&
		!m.world.hasFaultOn(faultWorkersLost, h.controller) && m.reachable(h.controller)
}

// applyResponse applies the response to a heartbeat and returns the pause before the next
// heartbeat. A status of 0 means that no response arrived.
func (m *Machine) applyResponse(h *outgoingHeartbeat, response transport.Response) time.Duration {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if !m.receives(h) {
		if m.cannotReceive {
			m.controllerIndex++ // no response arrives in time: try the next controller
		}
		return retryInterval
	}
	switch response.Status {
	case 200:
		var body protocol.HeartbeatResponse
		if json.Unmarshal(response.Body, &body) == nil && body.FencingToken >= m.fencingToken && body.FencingToken > 0 {
			m.raiseToken(body.FencingToken)
			m.leaseRenewedAt = h.sentAt
			m.runCommands(body.Commands)
		}
		// Workers vary the heartbeat interval by up to a quarter either way.
		return w.between(w.Workers.HeartbeatInterval*3/4, w.Workers.HeartbeatInterval*5/4, m.host, h.sequence)
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		_ = json.Unmarshal(response.Body, &redirect)
		if i := slices.Index(w.controllers, redirect.Node); i >= 0 && redirect.Node != h.controller {
			m.controllerIndex = i
			return w.between(0, 500*time.Millisecond, m.host, h.sequence)
		}
	}
	m.controllerIndex++
	return retryInterval
}

// raiseToken raises the worker's fencing token if the given one is higher, and then makes
// the agent report it soon, at most once in half of its lease. The world's lock is held by the
// caller.
func (m *Machine) raiseToken(token uint64) {
	if token <= m.fencingToken {
		return
	}
	m.fencingToken = token
	if time.Since(m.tokenWokeAt) >= m.byWorkerClock(m.world.Workers.LeaseDuration/2) {
		m.tokenWokeAt = time.Now()
		m.wakeAgent()
	}
}
