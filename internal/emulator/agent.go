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

// heartbeatPath is where controllers take heartbeats.
const heartbeatPath = "/v1/report"

// Waits of a worker's agent, by its own clock.
const (
	wakeDelay        = 500 * time.Millisecond // from a change to the heartbeat that tells it
	retryInterval    = time.Second            // after a heartbeat that came to nothing
	heartbeatTimeout = 4 * time.Second        // for a response
	zoneTimeout      = 5 * time.Second        // for one from a zone that is cut off
	rebootPoll       = 50 * time.Millisecond
)

// runAgent sends heartbeats to the controllers for as long as the machine exists.
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

// wakeAgent has the agent send its next heartbeat soon. It never blocks.
func (m *Machine) wakeAgent() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// expireLease has the worker give up its tasks and begin a new agent epoch if no
// controller has answered for as long as its lease lasts. The world's lock is held by the
// caller.
func (m *Machine) expireLease() {
	if !m.leaseRenewedAt.IsZero() && time.Since(m.leaseRenewedAt) > m.byWorkerClock(m.world.Workers.LeaseDuration) {
		m.world.recordEvent("%s lease over, agent epoch %d", m.host, m.agentEpoch+1)
		m.dropTasks()
		m.agentEpoch++
		m.sequence, m.leaseRenewedAt = 0, time.Now()
	}
}

// heartbeat is the worker's next heartbeat, with the status of every task. The world's
// lock is held by the caller.
func (m *Machine) heartbeat() protocol.Heartbeat {
	m.sequence++
	h := protocol.Heartbeat{Host: m.host, Address: m.world.Address(m.host), Type: m.machineType, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.agentEpoch, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		h.PreemptionNoticeS = &left
	}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Task: name, Attempt: task.attempt, Phase: task.phase, Cause: task.cause, Checkpointed: task.checkpointed})
	}
	return h
}

// outgoingHeartbeat is a heartbeat on its way, and what the worker was as it sent it.
type outgoingHeartbeat struct {
	controller        string
	handler           ControllerHandler
	body              []byte
	sentAt            time.Time
	agentEpoch        uint64
	boots             int
	sequence          string // part of the random draws
	request, response time.Duration
}

// post hands the heartbeat to the controller, on a goroutine of its own.
func (h *outgoingHeartbeat) post(reply func(transport.Response)) {
	go h.handler("POST", heartbeatPath, h.body, reply)
}

// resend hands the heartbeat to the controller when nobody waits for the response.
func (h *outgoingHeartbeat) resend() { h.post(ignoreResponse) }

// exchangeHeartbeat sends one heartbeat, obeys the response and returns how long to wait
// until the next one.
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
	if !wait(ctx, h.response) {
		return retryInterval
	}
	return m.applyResponse(h, response)
}

// nextHeartbeat makes the next heartbeat and draws how long it takes. It returns nil, and
// how long to wait until the next one, if the worker sends none or it does not arrive.
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
		// The packets are held and may arrive once the partition is over, though nobody
		// waits for a response any more.
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

// drawHeartbeat makes a heartbeat to the controller whose turn it is, without a handler if
// that does not run, and draws the copies of it that arrive later and its delays. The
// order of the draws decides what each yields. The world's lock is held by the caller.
func (m *Machine) drawHeartbeat() *outgoingHeartbeat {
	w := m.world
	controller := w.controllers[m.controllerIndex%len(w.controllers)]
	h := &outgoingHeartbeat{controller: controller, handler: w.handlers[controller]}
	if w.hasFaultOn(faultControllerDeaf, controller) {
		h.handler = nil
	}
	h.body, _ = json.Marshal(m.heartbeat())
	h.sentAt, h.agentEpoch, h.boots, h.sequence = time.Now(), m.agentEpoch, m.boots, strconv.FormatUint(m.sequence, 10)
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
	return h
}

// receives reports whether a response to a heartbeat reaches the worker that sent it, and
// not one that has begun again since. The world's lock is held by the caller.
func (m *Machine) receives(h *outgoingHeartbeat) bool {
	return m.responsive() && !m.cannotReceive && m.agentEpoch == h.agentEpoch && m.boots == h.boots &&
		!m.world.hasFaultOn(faultControllerDeaf, h.controller) && m.reachable(h.controller)
}

// applyResponse obeys a response to a heartbeat and returns how long to wait until the
// next one. A response that did not come has no status.
func (m *Machine) applyResponse(h *outgoingHeartbeat, response transport.Response) time.Duration {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if !m.receives(h) {
		if m.cannotReceive {
			m.controllerIndex++ // no response in time: the next controller
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
		// Give or take a quarter, as workers do.
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

// raiseToken has the worker obey a fencing token, and say so soon if it is a new one. The
// world's lock is held by the caller.
func (m *Machine) raiseToken(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		m.wakeAgent()
	}
}
