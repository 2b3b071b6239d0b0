package controller

import (
	"context"
	"time"

	"madderslip/internal/coordination/failover"
	"madderslip/internal/coordination/health"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	shardLoopInterval  = 200 * time.Millisecond
	shardCommitTimeout = 3 * time.Second
	// tokenRaiseInterval is the shortest time between two renewals of a fencing token.
	tokenRaiseInterval = 3 * time.Second
	// unownedGraceLeases is for how many node leases a shard that nobody ever owned is left
	// to its home node.
	unownedGraceLeases = 2
	// minOwnership is how long a shard is owned at least before it is handed back.
	minOwnership = 2 * time.Second
	// homeTakeoverGrace is how long the home node may have been alive for others to leave an
	// ownerless shard to it.
	homeTakeoverGrace = 2 * time.Second
	// awayTime is for how long a shard that was given away is not handed back to its home
	// node, whose links are in trouble.
	awayTime = time.Minute
	// arrivalFenceDelays is for how many fence delays the machines of the home shard may be
	// on their way to this node.
	arrivalFenceDelays = 3
)

// ownedCompare is the condition that this process still owns a shard.
func ownedCompare(shard *replica.Shard) kv.Compare {
	return kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}
}

// machinesByOwner counts the machines of the shards that each node owns.
func (c *Controller) machinesByOwner() map[string]int {
	machines := make(map[string]int)
	for _, shard := range c.view.Shards {
		if shard.Record != nil {
			machines[shard.Record.Owner] += len(shard.Machines)
		}
	}
	return machines
}

// takeoverDelay returns for how long this node leaves a shard whose owner's lease has
// expired to the others.
func (c *Controller) takeoverDelay() time.Duration {
	machines := c.machinesByOwner()
	var candidates []failover.Candidate
	for name := range c.view.Nodes {
		candidates = append(candidates, failover.Candidate{Node: name, Machines: machines[name]})
	}
	return failover.TakeoverDelay(c.settings.NodeName, candidates)
}

// applyShard applies a shard's record, and with it the shard's fencing token.
func (c *Controller) applyShard(name string, record *records.Shard, version uint64) {
	shard := c.view.Shard(name)
	shard.Record, shard.Version, shard.NewOwner = record, version, ""
	c.dropPendingCommands(shard)
	switch {
	case record == nil || record.Owner != c.settings.NodeName:
		if shard.FencingToken != 0 {
			c.log.Info("shard lost", "shard", name)
		}
		shard.FencingToken = 0
	case !c.view.Loaded:
		// An earlier process of this node may have commands in transit under this very
		// token, so the shard is acquired anew before use.
		shard.FencingToken = 0
	default:
		c.holdToken(shard, version)
	}
}

// holdToken makes a version of a shard's record this process's fencing token, and publishes
// it.
func (c *Controller) holdToken(shard *replica.Shard, token uint64) {
	if shard.FencingToken == 0 {
		shard.OwnedSince = time.Now()
		for _, machine := range shard.Machines {
			machine.AdoptedAt = shard.OwnedSince
		}
	}
	shard.FencingToken, shard.NeedsNewToken = token, false
	c.view.MarkAllDirty(shard)
	c.log.Info("shard acquired", "shard", shard.Name, "token", token)
	c.publishToken(shard)
}

// yieldToNewOwner gives up a shard that another controller says it has acquired since. A
// node that the state service alone refuses reads of it nowhere: it would go on answering
// the shard's agents with its old token, they would stay, and the new owner would own
// machines that never come. The notice is advice and costs nothing when wrong: to command
// less breaks no rule, and the next version of the record clears it.
func (c *Controller) yieldToNewOwner(shard *replica.Shard, by string, token uint64) {
	notOwned := shard.FencingToken == 0 && shard.NewOwner == ""
	if by == c.settings.NodeName || token <= max(shard.FencingToken, shard.NewOwnerToken) || notOwned {
		return
	}
	c.log.Info("shard lost to its new owner", "shard", shard.Name, "node", by, "token", token)
	shard.FencingToken, shard.NewOwner, shard.NewOwnerToken = 0, by, token
	c.dropPendingCommands(shard)
}

// dropPendingCommands drops the commands that were queued under an earlier token and are
// not sent yet: another owner may have acted since. Sent under the next token, they would
// start again what has ended and is recorded.
func (c *Controller) dropPendingCommands(shard *replica.Shard) {
	for _, machine := range shard.Machines {
		machine.Commands.Pending = nil
		delete(c.pendingCommands, machine)
	}
}

// publishToken sends a new token to the shard's machines at once, rather than with the
// answers to their next heartbeats.
func (c *Controller) publishToken(shard *replica.Shard) {
	for _, machine := range shard.Machines {
		if machine.Agent.Heartbeat != nil && machine.Address() != "" {
			c.sendCommands(shard, machine)
		}
	}
}

// shardLoop works off the difference between who should own each shard and who does, and
// what else is due a few times a second.
func (c *Controller) shardLoop(ctx context.Context) {
	for c.pause(ctx, shardLoopInterval) {
		c.mu.Lock()
		now := time.Now()
		c.observePause(now)
		c.sendPendingReplies(now)
		if c.view.Loaded && c.membership.lease != 0 {
			for _, name := range c.view.ShardNames() {
				if shard := c.view.Shards[name]; !shard.Writing {
					c.reconcileShard(shard, now)
				}
			}
			c.campaign()
			c.reconcileLimits()
			c.reconcileDependencies(now)
		}
		c.mu.Unlock()
	}
}

// reconcileShard acquires a shard, renews its token, or gives it to another node, each if
// it is time.
func (c *Controller) reconcileShard(shard *replica.Shard, now time.Time) {
	self, alive := c.view.Nodes[c.settings.NodeName]
	switch {
	case !alive:
	case shard.NewOwner != "":
		// Another node owns it; the record of that has yet to arrive.
	case shard.Record == nil:
		c.acquireUnowned(shard, self, now)
	case shard.Record.Owner == c.settings.NodeName:
		c.reconcileOwnShard(shard, now)
	default:
		c.reconcileForeignShard(shard, self, now)
	}
}

// acquireUnowned acquires a shard that nobody ever owned: at once on its home node, on
// another only if the home node does not come up.
func (c *Controller) acquireUnowned(shard *replica.Shard, self replica.NodeInfo, now time.Time) {
	_, homeLive := c.view.Nodes[shard.Name]
	homeOverdue := !homeLive && now.Sub(self.Since) > unownedGraceLeases*c.policy.NodeLease
	if shard.Name == c.settings.NodeName || homeOverdue {
		c.writeShard(shard, c.settings.NodeName, nil)
	}
}

// reconcileOwnShard acquires this node's shard anew if it has no token or needs a new one,
// hands it back to its home node, or gives it away while its machines can't be reached.
func (c *Controller) reconcileOwnShard(shard *replica.Shard, now time.Time) {
	switch {
	case shard.FencingToken == 0:
		c.writeShard(shard, c.settings.NodeName, nil)
	case shard.NeedsNewToken && now.Sub(shard.TokenRaisedAt) > tokenRaiseInterval:
		shard.TokenRaisedAt = now
		c.log.Info("fencing token renewal requested", "shard", shard.Name)
		c.writeShard(shard, c.settings.NodeName, nil)
	case c.shouldHandBack(shard, now):
		c.log.Info("shard handed back", "shard", shard.Name)
		c.writeShard(shard, shard.Name, []kv.Compare{{Key: records.NodePrefix + shard.Name, Version: c.view.Nodes[shard.Name].Version}})
	case c.isCutOff(shard, now):
		if peer := c.leastLoadedPeer(); peer != "" {
			c.log.Info("shard given away, most machines are silent", "shard", shard.Name, "node", peer)
			c.giveAway(shard, peer, now)
		}
	}
}

// shouldHandBack reports whether to hand a shard back to its home node, which has been alive
// for long enough again.
func (c *Controller) shouldHandBack(shard *replica.Shard, now time.Time) bool {
	home, homeLive := c.view.Nodes[shard.Name]
	if shard.Name == c.settings.NodeName || !homeLive {
		return false
	}
	homeStable := now.UnixMilli() > shard.Record.NoHandbackUntilMs && now.Sub(home.Since) > c.policy.HandbackDelay
	return homeStable && now.Sub(shard.OwnedSince) > minOwnership
}

// reconcileForeignShard takes over another node's shard once that node's lease has expired
// and it is this node's turn.
func (c *Controller) reconcileForeignShard(shard *replica.Shard, self replica.NodeInfo, now time.Time) {
	if _, ownerLive := c.view.Nodes[shard.Record.Owner]; ownerLive {
		shard.OwnerlessSince = time.Time{}
		return
	}
	if shard.OwnerlessSince.IsZero() {
		shard.OwnerlessSince = now
	}
	if shard.Name != c.settings.NodeName {
		if now.Sub(shard.OwnerlessSince) < c.takeoverDelay() || now.Sub(self.Since) < failover.StartupGrace {
			return
		}
		// The home node, if it is alive, has precedence.
		if home, homeLive := c.view.Nodes[shard.Name]; homeLive && now.Sub(home.Since) < homeTakeoverGrace {
			return
		}
	}
	c.log.Info("shard takeover started", "shard", shard.Name, "node", shard.Record.Owner)
	c.writeShard(shard, c.settings.NodeName, []kv.Compare{{Key: records.NodePrefix + shard.Record.Owner, Version: 0}})
}

// writeShard commits a shard's owner; the same owner again raises the fencing token.
func (c *Controller) writeShard(shard *replica.Shard, owner string, conditions []kv.Compare) {
	next := &records.Shard{Owner: owner}
	if shard.Record != nil {
		next.Changes, next.NoHandbackUntilMs = shard.Record.Changes+1, shard.Record.NoHandbackUntilMs
	}
	c.commitShard(shard, next, conditions)
}

// giveAway gives a shard to a node that may reach its machines, the home shard for a while
// only.
func (c *Controller) giveAway(shard *replica.Shard, to string, now time.Time) {
	next := &records.Shard{Owner: to, Changes: shard.Record.Changes + 1, NoHandbackUntilMs: shard.Record.NoHandbackUntilMs}
	if shard.Name == c.settings.NodeName {
		next.NoHandbackUntilMs = now.Add(awayTime).UnixMilli()
	}
	c.commitShard(shard, next, []kv.Compare{{Key: records.NodePrefix + to, Version: c.view.Nodes[to].Version}})
}

// commitShard commits a shard's record, on its present version and the conditions given.
func (c *Controller) commitShard(shard *replica.Shard, next *records.Shard, conditions []kv.Compare) {
	compares := append([]kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.Version}}, conditions...)
	shard.Writing = true
	if next.Owner != c.settings.NodeName {
		shard.FencingToken = 0 // no command may be sent once another may send some
	}
	c.commit(kv.PriorityLease, compares, []kv.Op{{Key: records.ShardPrefix + shard.Name, Value: next}}, shardCommitTimeout, func(err error) {
		shard.Writing = false
		if err != nil {
			c.log.Debug("shard record change failed", "shard", shard.Name, "err", err)
		}
	})
}

// leastLoadedPeer returns the live controller beside this one that answers for the fewest
// machines, or "" if there is none.
func (c *Controller) leastLoadedPeer() string {
	machines := c.machinesByOwner()
	best := ""
	for _, name := range c.view.LiveNodes() {
		if name != c.settings.NodeName && (best == "" || machines[name] < machines[best]) {
			best = name
		}
	}
	return best
}

// isCutOff reports whether nearly all of a shard's machines became silent together, by a
// fault of this node's own links as it seems. Giving the shard to a node that may reach
// them keeps their leases alive.
func (c *Controller) isCutOff(shard *replica.Shard, now time.Time) bool {
	if shard.Name == c.settings.NodeName && now.Sub(shard.OwnedSince) < arrivalFenceDelays*c.policy.FenceAfter {
		return false // the machines may be on their way here
	}
	return c.leastLoadedPeer() != "" && c.isSelfIsolated(shard, c.policy.SuspectAfter, now)
}

// isSelfIsolated reports whether it is this node's own fault that a shard's machines are
// silent for longer than a timeout.
func (c *Controller) isSelfIsolated(shard *replica.Shard, timeout time.Duration, now time.Time) bool {
	var silence health.ShardSilence
	var all []health.ShardSilence
	for _, other := range c.view.Shards {
		if !c.view.IsActive(other) {
			continue
		}
		counts := c.countSilent(other, timeout, now)
		all = append(all, counts)
		if other == shard {
			silence = counts
		}
	}
	return health.SelfIsolated(silence, all)
}

// countSilent counts the machines of a shard that are silent for longer than a timeout.
func (c *Controller) countSilent(shard *replica.Shard, timeout time.Duration, now time.Time) health.ShardSilence {
	counts := health.ShardSilence{Home: shard.Name == c.settings.NodeName}
	for _, machine := range shard.Machines {
		if machine.Agent.Heartbeat == nil {
			continue
		}
		counts.Reporting++
		if c.silenceOf(machine, now) > timeout {
			counts.Silent++
			if machine.Agent.LastContact.After(shard.OwnedSince) {
				counts.Lost++
			}
		}
	}
	return counts
}
