package controller

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// mayCommand reports whether this process may send commands to a machine of a shard.
func mayCommand(shard *replica.Shard, machine *replica.Machine) bool {
	return shard != nil && shard.FencingToken != 0 && machine.Record.State == records.MachineInUse
}

// queueCommands queues commands that begin no task for a machine until the next sendPendingCommands
// or sendCommands.
func (c *Controller) queueCommands(shard *replica.Shard, machine *replica.Machine, commands ...protocol.Command) {
	if !mayCommand(shard, machine) || machine.Address() == "" {
		return
	}
	machine.Commands.Pending = append(machine.Commands.Pending, commands...)
	c.pendingCommands[machine] = struct{}{}
}

// sendPendingCommands sends the queued commands, with one call for each machine.
func (c *Controller) sendPendingCommands(shard *replica.Shard) {
	machines := slices.SortedFunc(maps.Keys(c.pendingCommands), compareHosts)
	clear(c.pendingCommands)
	for _, machine := range machines {
		c.sendCommands(shard, machine)
	}
}

// compareHosts orders machines by host.
func compareHosts(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) }

// commandTimeout bounds a call that sends commands.
const commandTimeout = 3 * time.Second

// sendCommands sends the fencing token and a machine's queued commands, if there are any. At most
// one call to a machine is in progress at a time; commands queued meanwhile are sent after it.
func (c *Controller) sendCommands(shard *replica.Shard, machine *replica.Machine) {
	if machine.Commands.Sending || machine.Agent.Heartbeat == nil {
		return
	}
	machine.Commands.Sending = true
	machine.Commands.InFlight, machine.Commands.Pending = machine.Commands.Pending, nil
	request := protocol.CommandRequest{FencingToken: machine.CommandToken(shard), AgentEpoch: machine.Agent.Heartbeat.AgentEpoch, Commands: machine.Commands.InFlight}
	if request.Commands == nil {
		request.Commands = []protocol.Command{}
	}
	address, ctx := machine.Address(), c.ctx
	shard.Counts.Add(request.Commands)
	c.log.Debug("commands sent", "host", machine.Host, "token", request.FencingToken, "agent_epoch", request.AgentEpoch, "revision", c.view.Revision, "commands", request.Commands)
	go func() {
		var heartbeat protocol.Heartbeat
		status, err := c.callCommands(ctx, address, request, &heartbeat)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordCommandOutcome(machine, &heartbeat, status, err)
	}()
}

// callCommands sends commands to a machine and decodes the heartbeat in the answer.
func (c *Controller) callCommands(ctx context.Context, address string, request protocol.CommandRequest, heartbeat *protocol.Heartbeat) (int, error) {
	return c.callJSON(ctx, address, http.MethodPost, protocol.PathCommands, request, heartbeat, commandTimeout)
}

// recordCommandOutcome records the outcome of a call that sent commands, and sends the commands
// queued meanwhile.
func (c *Controller) recordCommandOutcome(machine *replica.Machine, heartbeat *protocol.Heartbeat, status int, err error) {
	machine.Commands.Sending = false
	machine.Commands.InFlight = nil
	switch {
	case isCommandOutcomeUnknown(status, err):
		c.log.Debug("command outcome unknown", "host", machine.Host, "status", status, "err", err)
		machine.Detector.Reachability.RecordFailure(time.Now(), machine.Agent.LastContact)
	case err == nil && heartbeat.Host == machine.Host:
		machine.Detector.Reachability.RecordAnswer(time.Now())
		c.observeHeartbeat(machine, heartbeat)
	}
	if shard := c.view.Shards[machine.Record.Shard]; len(machine.Commands.Pending) > 0 && mayCommand(shard, machine) {
		c.sendCommands(shard, machine)
	}
	c.wake()
}

// isCommandOutcomeUnknown reports whether the commands of a call may have been executed, or may
// still be, although the call did not succeed. An agent that answers 409, to an outdated fencing
// token or to an agent epoch other than its own, executes nothing.
func isCommandOutcomeUnknown(status int, err error) bool {
	if err != nil {
		return !errors.Is(err, transport.ErrNotSent)
	}
	return status != http.StatusOK && status != http.StatusConflict
}

// voidUnknownStarts raises the token of a machine that has starts of unknown outcome for longer than
// its agent waits for an answer, if the machine is likely to receive calls, and sends the token
// at once, and again while the machine has not shown it.
func (c *Controller) voidUnknownStarts(shard *replica.Shard, machine *replica.Machine) {
	if machine.Commands.HasOverdueStart(time.Now()) && c.view.VoidUnknownStarts(shard, machine, time.Now()) && machine.Address() != "" {
		c.sendCommands(shard, machine)
	}
}
