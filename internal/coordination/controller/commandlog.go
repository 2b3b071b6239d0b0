package controller

import (
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// commandLogInterval is how often the commands of a shard are logged.
const commandLogInterval = 10 * time.Second

// logShardCommands logs how many commands were sent to the machines of each owned shard since the
// last call that logged, and under which tokens.
func (c *Controller) logShardCommands(now time.Time) {
	if now.Sub(c.commandsLoggedAt) < commandLogInterval {
		return
	}
	c.commandsLoggedAt = now
	for _, name := range c.view.ShardNames() {
		shard := c.view.Shards[name]
		if shard.FencingToken == 0 || len(shard.Machines) == 0 {
			continue
		}
		highest := shard.FencingToken
		for _, machine := range shard.Machines {
			highest = max(highest, machine.CommandToken(shard))
		}
		counts := shard.Counts
		c.log.Info("shard commands", "shard", name, "token", shard.FencingToken, "revision", c.view.Revision, "highest_token", highest,
			"raised", counts.TokenRaises, "starts", counts.Starts, "stops", counts.Stops, "reaps", counts.Reaps, "heartbeat_requests", counts.HeartbeatRequests)
		shard.Counts = replica.CommandCounts{}
	}
}

// logDecision logs why a command is allowed, before it is sent.
func (c *Controller) logDecision(machine *replica.Machine, command protocol.Command, reason string) {
	c.log.Debug("command decided", "verb", command.Verb, "task", command.Task, "attempt", command.Attempt, "host", machine.Host, "revision", c.view.Revision, "reason", reason)
}
