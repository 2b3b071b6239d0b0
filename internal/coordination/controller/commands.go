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
func (n *Controller) queueCommands(s *replica.Shard, m *replica.Machine, cmds ...protocol.Command) {
	if m.Record.State != "" || s.FencingToken == 0 || m.Address() == "" {
		return
	}
	m.Commands.Pending = append(m.Commands.Pending, cmds...)
	n.pendingCommands[m] = struct{}{}
}

// sendPendingCommands sends what has been ordered: the commands for one machine go together.
func (n *Controller) sendPendingCommands(s *replica.Shard) {
	machines := slices.SortedFunc(maps.Keys(n.pendingCommands), func(a, b *replica.Machine) int { return strings.Compare(a.Host, b.Host) })
	clear(n.pendingCommands)
	for _, m := range machines {
		n.sendCommands(s, m)
	}
}

const commandTimeout = 3 * time.Second

// sendCommands delivers the queued commands, one call at a time for each machine.
func (n *Controller) sendCommands(s *replica.Shard, m *replica.Machine) {
	if m.Commands.Sending || m.Agent.Heartbeat == nil {
		return
	}
	m.Commands.Sending = true
	m.Commands.InFlight, m.Commands.Pending = m.Commands.Pending, nil
	body := protocol.CommandRequest{FencingToken: s.FencingToken, AgentEpoch: m.Agent.Heartbeat.AgentEpoch, Commands: m.Commands.InFlight}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	addr, ctx := m.Address(), n.ctx
	n.log.Debug("commands", "host", m.Host, "token", body.FencingToken, "orders", body.Commands)
	go func() {
		var r protocol.Heartbeat
		status, err := n.callJSON(ctx, addr, "POST", protocol.PathCommands, body, &r, commandTimeout)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.commandsSent(m, body, &r, status, err)
	}()
}

func (n *Controller) commandsSent(m *replica.Machine, body protocol.CommandRequest, r *protocol.Heartbeat, status int, err error) {
	m.Commands.Sending = false
	m.Commands.InFlight = nil
	switch {
	case err != nil && !errors.Is(err, transport.ErrNotSent), err == nil && status != 200 && status != 409:
		n.log.Debug("commands of unknown fate", "host", m.Host, "status", status, "err", err)
		m.Detector.Reachability.RecordFailure(time.Now(), m.Agent.LastContact)
		for _, c := range body.Commands {
			if c.Verb == "start" {
				m.Commands.Unknown = append(m.Commands.Unknown, replica.UnknownStart{Task: c.Task, Attempt: c.Attempt, FencingToken: body.FencingToken, AgentEpoch: body.AgentEpoch, SentAt: time.Now()})
			}
		}
	case err == nil && r.Host == m.Host:
		m.Detector.Reachability.RecordAnswer(time.Now())
		n.observeHeartbeat(m, r)
	}
	if s := n.view.Shards[m.Record.Shard]; len(m.Commands.Pending) > 0 && s != nil && s.FencingToken != 0 && m.Record.State == "" {
		n.sendCommands(s, m)
	}
	n.wake()
}
