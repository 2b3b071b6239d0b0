package controller

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// queueCommands queues commands for a machine until the next flush.
func (c *Controller) queueCommands(shard *replica.Shard, machine *replica.Machine, commands ...protocol.Command) {
	if machine.Record.State != "" || shard.FencingToken == 0 || machine.Address() == "" {
		return
	}
	machine.Commands.Pending = append(machine.Commands.Pending, commands...)
	c.pendingCommands[machine] = struct{}{}
}

// sendPendingCommands sends what has been ordered: the commands for one machine go together.
func (c *Controller) sendPendingCommands(shard *replica.Shard) {
	machines := slices.SortedFunc(maps.Keys(c.pendingCommands), func(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) })
	clear(c.pendingCommands)
	for _, machine := range machines {
		c.sendCommands(shard, machine)
	}
}

const commandTimeout = 3 * time.Second

// sendCommands delivers the queued commands, one call at a time for each machine.
func (c *Controller) sendCommands(shard *replica.Shard, machine *replica.Machine) {
	if machine.Commands.Sending || machine.Agent.Heartbeat == nil {
		return
	}
	machine.Commands.Sending = true
	machine.Commands.InFlight, machine.Commands.Pending = machine.Commands.Pending, nil
	body := protocol.CommandRequest{FencingToken: shard.FencingToken, AgentEpoch: machine.Agent.Heartbeat.AgentEpoch, Commands: machine.Commands.InFlight}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	addr, ctx := machine.Address(), c.ctx
	c.log.Debug("commands sent", "host", machine.Host, "token", body.FencingToken, "commands", body.Commands)
	go func() {
		var heartbeat protocol.Heartbeat
		status, err := c.callJSON(ctx, addr, "POST", protocol.PathCommands, body, &heartbeat, commandTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.commandsSent(machine, body, &heartbeat, status, err)
	}()
}

func (c *Controller) commandsSent(machine *replica.Machine, body protocol.CommandRequest, heartbeat *protocol.Heartbeat, status int, err error) {
	machine.Commands.Sending = false
	machine.Commands.InFlight = nil
	switch {
	case err != nil && !errors.Is(err, transport.ErrNotSent), err == nil && status != 200 && status != 409:
		c.log.Debug("command outcome unknown", "host", machine.Host, "status", status, "err", err)
		machine.Detector.Reachability.RecordFailure(time.Now(), machine.Agent.LastContact)
		for _, command := range body.Commands {
			if command.Verb == "start" {
				machine.Commands.Unknown = append(machine.Commands.Unknown, replica.UnknownStart{Task: command.Task, Attempt: command.Attempt, FencingToken: body.FencingToken, AgentEpoch: body.AgentEpoch, SentAt: time.Now()})
			}
		}
	case err == nil && heartbeat.Host == machine.Host:
		machine.Detector.Reachability.RecordAnswer(time.Now())
		c.observeHeartbeat(machine, heartbeat)
	}
	if shard := c.view.Shards[machine.Record.Shard]; len(machine.Commands.Pending) > 0 && shard != nil && shard.FencingToken != 0 && machine.Record.State == "" {
		c.sendCommands(shard, machine)
	}
	c.wake()
}
