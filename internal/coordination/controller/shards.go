package controller

import (
	"cmp"
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
	// tokenRaiseInterval is the minimum time between two renewals of a shard's fencing token.
	tokenRaiseInterval = 3 * time.Second
	// unownedGraceLeases is how long a node waits, in node leases from its registration,
	// before it acquires a shard that never had an owner and whose home node is not live.
	unownedGraceLeases = 2
	// minOwnership is the minimum time for which a shard is owned before it is handed back.
	minOwnership = 2 * time.Second
	// homeTakeoverGrace is the time after a home node's registration for which other nodes
	// do not take over the home shard of that node while the shard has no live owner.
	homeTakeoverGrace = 2 * time.Second
	// noHandbackTime is the time for which a shard that was given away is not handed back to its
	// home node, since that node's network links appear to be faulty.
	noHandbackTime = time.Minute
	// arrivalFenceDelays is the time, in fence delays since this node acquired its home shard,
	// for which agents of the shard may still be switching to this node.
	arrivalFenceDelays = 3
)

// Reasons of an acquisition other than the renewal of a token, as the log spells them.
const (
	acquiredAnew       = "process started"
	acquiredUnowned    = "no owner recorded"
	acquiredInTakeover = "takeover"
	acquiredFromPeer   = "handed over"
)

// ownedCompare returns the condition that this process still owns a shard.
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

// takeoverDelay returns how long this controller waits, so that others can act first, before
// it takes over a shard whose owner's lease has expired.
func (c *Controller) takeoverDelay() time.Duration {
	machines := c.machinesByOwner()
	var candidates []failover.Candidate
	for name := range c.view.Nodes {
		candidates = append(candidates, failover.Candidate{Node: name, Machines: machines[name]})
	}
	return failover.TakeoverDelay(c.settings.NodeName, candidates)
}

// applyShard applies a shard's record, and sets or clears the shard's fencing token
// accordingly.
func (c *Controller) applyShard(name string, record *records.Shard, version uint64) {
	shard := c.view.Shard(name)
	shard.Record, shard.Version, shard.NewOwner = record, version, ""
	c.dropPendingCommands(shard)
	switch {
	case record == nil || record.Owner != c.settings.NodeName:
		if shard.FencingToken != 0 {
			c.log.Info("shard lost", "shard", name)
		}
		shard.FencingToken, shard.AcquiredFor = 0, ""
	case !c.view.Loaded:
		// Commands that an earlier process of this node sent under this token may still be
		// in transit, so this process first acquires the shard under a new token.
		shard.FencingToken = 0
	default:
		c.setFencingToken(shard, version)
	}
}

// setFencingToken makes a version of a shard's record the fencing token under which this
// process owns the shard, and publishes the token.
func (c *Controller) setFencingToken(shard *replica.Shard, token uint64) {
	if shard.FencingToken == 0 {
		shard.OwnedSince = time.Now()
		for _, machine := range shard.Machines {
			machine.AdoptedAt = shard.OwnedSince
		}
	}
	shard.FencingToken, shard.Renewal = token, ""
	c.view.MarkAllDirty(shard)
	c.log.Info("shard acquired", "shard", shard.Name, "token", token, "revision", c.view.Revision, "reason", cmp.Or(shard.AcquiredFor, acquiredFromPeer))
	shard.AcquiredFor = ""
	c.publishToken(shard)
}

// yieldToNewOwner gives up a shard that another controller reports to have acquired under a
// newer token. If the state service refuses this controller but not the others, the watch does
// not deliver the new record here. This controller would then continue to answer the shard's
// agents under its old token, so the agents would never switch to the new owner. A wrong report
// does no harm: sending fewer commands breaks no rule, and the next version of the record
// clears NewOwner.
func (c *Controller) yieldToNewOwner(shard *replica.Shard, newOwner string, token uint64) {
	notOwned := shard.FencingToken == 0 && shard.NewOwner == ""
	if newOwner == c.settings.NodeName || token <= max(shard.FencingToken, shard.NewOwnerToken) || notOwned {
		return
	}
	c.log.Info("shard lost to its new owner", "shard", shard.Name, "node", newOwner, "token", token)
	shard.FencingToken, shard.NewOwner, shard.NewOwnerToken = 0, newOwner, token
	c.dropPendingCommands(shard)
}

// dropPendingCommands drops the commands that were queued under an earlier token and have not
// been sent, since another owner may have acted meanwhile. Sent under the next token, they
// could start tasks again whose end is already recorded.
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

// shardLoop reconciles the ownership of the shards, the leadership, the team limits and the
// job dependencies, and sends the pending replies that are due.
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
			c.logShardCommands(now)
			c.campaign()
			c.reconcileLimits()
			c.reconcileDependencies(now)
		}
		c.mu.Unlock()
	}
}

// reconcileShard acquires a shard, renews its fencing token, or makes another node its owner,
// if one of these is due.
func (c *Controller) reconcileShard(shard *replica.Shard, now time.Time) {
	self, alive := c.view.Nodes[c.settings.NodeName]
	switch {
	case !alive:
	case shard.NewOwner != "":
		// Another node reports that it owns the shard; its record has not arrived here yet.
	case shard.Record == nil:
		c.acquireUnowned(shard, self, now)
	case shard.Record.Owner == c.settings.NodeName:
		c.reconcileOwnedShard(shard, now)
	default:
		c.reconcileForeignShard(shard, self, now)
	}
}

// acquireUnowned acquires a shard that never had an owner. The home node does so at once,
// any other node only if the home node does not register in time.
func (c *Controller) acquireUnowned(shard *replica.Shard, self replica.NodeInfo, now time.Time) {
	_, homeLive := c.view.Nodes[shard.Name]
	homeOverdue := !homeLive && now.Sub(self.Since) > unownedGraceLeases*c.policy.NodeLease
	if shard.Name == c.settings.NodeName || homeOverdue {
		shard.AcquiredFor = acquiredUnowned
		c.writeShard(shard, c.settings.NodeName, nil)
	}
}

// reconcileOwnedShard acts on a shard that is recorded as this node's. It acquires the shard
// anew if its fencing token is missing or has to be renewed, hands the shard back to its home
// node, or gives the shard away if this controller cannot reach its machines.
func (c *Controller) reconcileOwnedShard(shard *replica.Shard, now time.Time) {
	switch {
	case shard.FencingToken == 0:
		shard.AcquiredFor = acquiredAnew
		c.writeShard(shard, c.settings.NodeName, nil)
	case shard.Renewal != "" && now.Sub(shard.TokenRaisedAt) > tokenRaiseInterval:
		shard.TokenRaisedAt = now
		c.log.Info("fencing token renewal requested", "shard", shard.Name, "token", shard.FencingToken, "revision", c.view.Revision, "reason", shard.Renewal)
		shard.AcquiredFor = string(shard.Renewal)
		c.writeShard(shard, c.settings.NodeName, nil)
	case c.shouldHandBack(shard, now):
		c.log.Info("shard handed back", "shard", shard.Name)
		c.writeShard(shard, shard.Name, []kv.Compare{{Key: records.NodePrefix + shard.Name, Version: c.view.Nodes[shard.Name].Version}})
	case c.shouldGiveAway(shard, now):
		if peer := c.leastLoadedPeer(); peer != "" {
			c.log.Info("shard given away, most machines are silent", "shard", shard.Name, "node", peer)
			c.giveAway(shard, peer, now)
		}
	}
}

// shouldHandBack reports whether to hand a shard back to its home node. The home node must
// have been live for the policy's HandbackDelay, noHandbackTime must have passed since it gave
// the shard away, and this node must have owned the shard for minOwnership.
func (c *Controller) shouldHandBack(shard *replica.Shard, now time.Time) bool {
	home, homeLive := c.view.Nodes[shard.Name]
	if shard.Name == c.settings.NodeName || !homeLive {
		return false
	}
	homeStable := now.UnixMilli() > shard.Record.NoHandbackUntilMs && now.Sub(home.Since) > c.policy.HandbackDelay
	return homeStable && now.Sub(shard.OwnedSince) > minOwnership
}

// reconcileForeignShard takes over another node's shard once that node's lease has expired
// and this node's takeover delay has passed.
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
		// A home node that has registered recently has precedence.
		if home, homeLive := c.view.Nodes[shard.Name]; homeLive && now.Sub(home.Since) < homeTakeoverGrace {
			return
		}
	}
	c.log.Info("shard takeover started", "shard", shard.Name, "node", shard.Record.Owner)
	shard.AcquiredFor = acquiredInTakeover
	c.writeShard(shard, c.settings.NodeName, []kv.Compare{{Key: records.NodePrefix + shard.Record.Owner, Version: 0}})
}

// writeShard commits a shard's owner. Committing the present owner again raises the fencing
// token.
func (c *Controller) writeShard(shard *replica.Shard, owner string, conditions []kv.Compare) {
	next := &records.Shard{Owner: owner}
	if shard.Record != nil {
		next.Changes, next.NoHandbackUntilMs = shard.Record.Changes+1, shard.Record.NoHandbackUntilMs
	}
	c.commitShard(shard, next, conditions)
}

// giveAway makes a node that may reach a shard's machines the owner of the shard. A node that
// gives its home shard away gets it back after noHandbackTime at the earliest.
func (c *Controller) giveAway(shard *replica.Shard, to string, now time.Time) {
	next := &records.Shard{Owner: to, Changes: shard.Record.Changes + 1, NoHandbackUntilMs: shard.Record.NoHandbackUntilMs}
	if shard.Name == c.settings.NodeName {
		next.NoHandbackUntilMs = now.Add(noHandbackTime).UnixMilli()
	}
	c.commitShard(shard, next, []kv.Compare{{Key: records.NodePrefix + to, Version: c.view.Nodes[to].Version}})
}

// commitShard commits a shard's record, provided that the cached version is still current
// and the given conditions hold.
func (c *Controller) commitShard(shard *replica.Shard, next *records.Shard, conditions []kv.Compare) {
	compares := append([]kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.Version}}, conditions...)
	shard.Writing = true
	if next.Owner != c.settings.NodeName {
		shard.FencingToken = 0 // this node must send no commands once the new owner may send its own
	}
	c.commit(kv.PriorityLease, compares, []kv.Op{{Key: records.ShardPrefix + shard.Name, Value: next}}, shardCommitTimeout, func(err error) {
		shard.Writing = false
		if err != nil {
			c.log.Debug("shard record change failed", "shard", shard.Name, "err", err)
		}
	})
}

// leastLoadedPeer returns the live controller, other than this one, whose shards have the
// fewest machines, or "" if there is none.
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

// shouldGiveAway reports whether to make another controller the owner of a shard: another
// controller is live, and nearly all of the shard's machines are silent, apparently because of a
// fault in this controller's own network links. A new owner that reaches the machines keeps their
// leases alive. The timeout is the policy's SuspectAfter; that of isSelfIsolated is
// maxHeartbeatGap.
func (c *Controller) shouldGiveAway(shard *replica.Shard, now time.Time) bool {
	if shard.Name == c.settings.NodeName && now.Sub(shard.OwnedSince) < arrivalFenceDelays*c.policy.FenceAfter {
		return false // agents may still be switching to this node
	}
	return c.leastLoadedPeer() != "" && c.detectSelfIsolation(shard, c.policy.SuspectAfter, now)
}

// detectSelfIsolation reports whether a fault in this controller's own network links explains that
// a shard's machines have been silent for longer than a timeout.
func (c *Controller) detectSelfIsolation(shard *replica.Shard, timeout time.Duration, now time.Time) bool {
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

// countSilent counts the machines of a shard that have sent a heartbeat, and those among them
// that have been silent for longer than a timeout.
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
