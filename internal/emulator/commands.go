package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"madderslip/internal/protocol"
)

// Verbs of commands.
const (
	verbStart = "start"
	verbStop  = "stop"
	verbReap  = "reap"
)

// callWorker delivers a controller's call to a worker. Commands to a machine that is hung
// or beyond a partition are held and executed later, long after the call has timed out.
func (w *World) callWorker(ctx context.Context, node, host, target string, body []byte, delay time.Duration) (int, []byte, error) {
	w.mu.Lock()
	machine := w.machines[host]
	if machine != nil && machine.responsive() && !machine.reachable(node) {
		if target == protocol.PathCommands {
			machine.holdAcrossZones(node, body)
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	if machine != nil && machine.booting() {
		w.mu.Unlock()
		return 0, nil, errConnectionReset
	}
	if machine == nil || !machine.responsive() || machine.cannotReceive {
		if machine != nil && machine.holdsPackets() && target == protocol.PathCommands {
			w.heldDeliveries[host] = append(w.heldDeliveries[host], func() { machine.handleCommands(body) })
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	var status int
	var response []byte
	if target == protocol.PathStatus {
		status, response = jsonResponse(200, machine.heartbeat())
	} else {
		status, response = machine.handleCommands(body)
		if status == http.StatusOK {
			machine.repeatCommands(node, body)
		}
	}
	w.mu.Unlock()
	if !wait(ctx, delay) {
		return 0, nil, errConnectionReset
	}
	return status, response, nil
}

// holdAcrossZones holds commands until the partition between the zones of the machine and
// of a controller ends, and delivers them then. The world's lock is held by the caller.
func (m *Machine) holdAcrossZones(node string, body []byte) {
	m.world.holdUntilHealed(m.zone, m.world.controllerZones[node], func() {
		if m.responsive() {
			m.expireLease()
			m.handleCommands(body)
		}
	})
}

// handleCommands executes the commands of a request, unless the fencing token is lower than
// the worker's or the agent epoch is another one. The world's lock is held by the caller.
func (m *Machine) handleCommands(body []byte) (int, []byte) {
	var request protocol.CommandRequest
	if json.Unmarshal(body, &request) != nil || request.FencingToken == 0 || request.AgentEpoch == 0 {
		return 400, nil
	}
	if request.FencingToken < m.fencingToken || request.AgentEpoch != m.agentEpoch {
		return jsonResponse(409, m.heartbeat())
	}
	m.raiseToken(request.FencingToken)
	m.runCommands(request.Commands)
	return jsonResponse(200, m.heartbeat())
}

// runCommands executes commands in order. A command may arrive more than once: starting an
// attempt that the worker already has, stopping one that has exited and reaping one that is
// gone have no effect. The world's lock is held by the caller.
func (m *Machine) runCommands(commands []protocol.Command) {
	for _, command := range commands {
		task := m.tasks[command.Task]
		exited := task != nil && task.phase == protocol.TaskExited
		sameAttempt := task != nil && task.attempt == command.Attempt
		switch command.Verb {
		case verbStart:
			switch {
			case task == nil || (!sameAttempt && exited):
				m.startTask(command.Task, command.Attempt)
			case !sameAttempt:
				m.world.recordEvent("%s %s/%d refused: busy with attempt %d", m.host, command.Task, command.Attempt, task.attempt)
			}
		case verbStop:
			if sameAttempt && !exited {
				m.stopTask(command.Task, task, command.GraceS)
			}
		case verbReap:
			if sameAttempt && exited {
				delete(m.tasks, command.Task)
			}
		}
	}
}
