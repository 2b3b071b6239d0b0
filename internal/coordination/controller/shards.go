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

// takeoverDelay is how long this node lets others take a shard first whose owner's lease
// has ended.
func (c *Controller) takeoverDelay() time.Duration {
	machines := make(map[string]int)
	for _, shard := range c.view.Shards {
		if shard.Record != nil {
			machines[shard.Record.Owner] += len(shard.Machines)
		}
	}
	var all []failover.Candidate
	for name := range c.view.Nodes {
		all = append(all, failover.Candidate{Node: name, Machines: machines[name]})
	}
	return failover.TakeoverDelay(c.settings.NodeName, all)
}

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
		// An earlier process of this node may have commands on their way
		// under this very token, so it is acquired anew before use.
		shard.FencingToken = 0
	default:
		if shard.FencingToken == 0 {
			shard.OwnedSince = time.Now()
			for _, machine := range shard.Machines {
				machine.AdoptedAt = shard.OwnedSince
			}
		}
		shard.FencingToken, shard.NeedsNewToken = version, false
		c.view.MarkAllDirty(shard)
		c.log.Info("shard acquired", "shard", name, "token", version)
		c.publishToken(shard)
	}
}

// yieldToNewOwner takes another controller's word that it has acquired a shard which this
// one takes for its own. A node that the state service refuses alone reads of it
// nowhere: it went on answering the shard's workers with its old token, they
// stayed, and the new owner owned machines that never came. The word is advice and
// costs nothing when wrong: to command less breaks no rule, and the next version
// of the record clears it.
func (c *Controller) yieldToNewOwner(shard *replica.Shard, by string, token uint64) {
	if by == c.settings.NodeName || token <= max(shard.FencingToken, shard.NewOwnerToken) || (shard.FencingToken == 0 && shard.NewOwner == "") {
		return
	}
	c.log.Info("shard lost to its new owner", "shard", shard.Name, "node", by, "token", token)
	shard.FencingToken, shard.NewOwner, shard.NewOwnerToken = 0, by, token
	c.dropPendingCommands(shard)
}

// dropPendingCommands drops the commands that were ordered under an earlier token and are not
// sent yet: another owner may have acted since. Kept, they went out under the next
// token and started again what had ended and was booked.
func (c *Controller) dropPendingCommands(shard *replica.Shard) {
	for _, machine := range shard.Machines {
		machine.Commands.Pending = nil
		delete(c.pendingCommands, machine)
	}
}

// publishToken shows a new token to the shard's machines at once, rather than
// with their next reports.
func (c *Controller) publishToken(shard *replica.Shard) {
	for _, machine := range shard.Machines {
		if machine.Agent.Heartbeat != nil && machine.Address() != "" {
			c.sendCommands(shard, machine)
		}
	}
}

// shardLoop works off the difference between who should own each shard and
// who does.
func (c *Controller) shardLoop(ctx context.Context) {
	for c.pause(ctx, 200*time.Millisecond) {
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
			c.reconcileLimits(now)
			c.reconcileDependencies(now)
		}
		c.mu.Unlock()
	}
}

func (c *Controller) reconcileShard(shard *replica.Shard, now time.Time) {
	me := c.settings.NodeName
	self, alive := c.view.Nodes[me]
	if !alive {
		return
	}
	home, homeLive := c.view.Nodes[shard.Name]
	switch {
	case shard.NewOwner != "":
		// Another has it; the record of that has yet to come.
	case shard.Record == nil:
		// Never owned. Its home takes it; another only if the home stays away.
		if shard.Name == me || (!homeLive && now.Sub(self.Since) > 2*c.policy.NodeLease) {
			c.writeShard(shard, me, nil)
		}
	case shard.Record.Owner == me && shard.FencingToken == 0:
		c.writeShard(shard, me, nil)
	case shard.Record.Owner == me && shard.NeedsNewToken && now.Sub(shard.TokenRaisedAt) > 3*time.Second:
		shard.TokenRaisedAt = now
		c.log.Info("fencing token renewal requested", "shard", shard.Name)
		c.writeShard(shard, me, nil)
	case shard.Record.Owner == me && shard.Name != me && homeLive && now.UnixMilli() > shard.Record.AwayUntilMs && now.Sub(home.Since) > c.policy.HandbackDelay && now.Sub(shard.OwnedSince) > 2*time.Second:
		c.log.Info("shard handed back", "shard", shard.Name)
		c.writeShard(shard, shard.Name, []kv.Compare{{Key: records.NodePrefix + shard.Name, Version: home.Version}})
	case shard.Record.Owner == me && c.isCutOff(shard, now):
		if to := c.leastLoadedPeer(); to != "" {
			c.log.Info("shard given away, most machines are silent", "shard", shard.Name, "node", to)
			c.giveAway(shard, to, now)
		}
	case shard.Record.Owner != me:
		if _, ownerLive := c.view.Nodes[shard.Record.Owner]; ownerLive {
			shard.OwnerlessSince = time.Time{}
		} else {
			if shard.OwnerlessSince.IsZero() {
				shard.OwnerlessSince = now
			}
			if shard.Name != me && (now.Sub(shard.OwnerlessSince) < c.takeoverDelay() || now.Sub(self.Since) < failover.StartupGrace) {
				return
			}
			// The home node, if it lives, has the first turn.
			if homeLive && shard.Name != me && now.Sub(home.Since) < 2*time.Second {
				return
			}
			c.log.Info("shard takeover started", "shard", shard.Name, "node", shard.Record.Owner)
			c.writeShard(shard, me, []kv.Compare{{Key: records.NodePrefix + shard.Record.Owner, Version: 0}})
		}
	}
}

// writeShard changes a shard's owner, or renews it for a new token.
func (c *Controller) writeShard(shard *replica.Shard, owner string, extra []kv.Compare) {
	next := &records.Shard{Owner: owner}
	if shard.Record != nil {
		next.Changes, next.AwayUntilMs = shard.Record.Changes+1, shard.Record.AwayUntilMs
	}
	c.commitShard(shard, next, extra)
}

// giveAway hands a shard to a node that may reach its machines, for a while.
func (c *Controller) giveAway(shard *replica.Shard, to string, now time.Time) {
	next := &records.Shard{Owner: to, Changes: shard.Record.Changes + 1, AwayUntilMs: shard.Record.AwayUntilMs}
	if shard.Name == c.settings.NodeName {
		next.AwayUntilMs = now.Add(time.Minute).UnixMilli() // its home is what is in trouble
	}
	c.commitShard(shard, next, []kv.Compare{{Key: records.NodePrefix + to, Version: c.view.Nodes[to].Version}})
}

func (c *Controller) commitShard(shard *replica.Shard, next *records.Shard, extra []kv.Compare) {
	compares := append([]kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.Version}}, extra...)
	shard.Writing = true
	if next.Owner != c.settings.NodeName {
		shard.FencingToken = 0 // stop commanding before another may begin
	}
	c.commit(kv.PriorityLease, compares, []kv.Op{{Key: records.ShardPrefix + shard.Name, Value: next}}, 3*time.Second, func(err error) {
		shard.Writing = false
		if err != nil {
			c.log.Debug("shard record change failed", "shard", shard.Name, "err", err)
		}
	})
}

// leastLoadedPeer is the live controller beside this one that answers for the fewest
// machines; empty: none.
func (c *Controller) leastLoadedPeer() string {
	machines := make(map[string]int)
	for _, shard := range c.view.Shards {
		if shard.Record != nil {
			machines[shard.Record.Owner] += len(shard.Machines)
		}
	}
	best := ""
	for _, name := range c.view.LiveNodes() {
		if name != c.settings.NodeName && (best == "" || machines[name] < machines[best]) {
			best = name
		}
	}
	return best
}

// isCutOff tells that nearly all of a shard's machines went silent together and the
// fault seems to be this node's own links. Giving the shard to a node that may reach
// them keeps their leases alive.
func (c *Controller) isCutOff(shard *replica.Shard, now time.Time) bool {
	if shard.Name == c.settings.NodeName && now.Sub(shard.OwnedSince) < 3*c.policy.FenceAfter {
		return false // they may be on their way here
	}
	return c.leastLoadedPeer() != "" && c.isSelfIsolated(shard, c.policy.SuspectAfter, now)
}

// isSelfIsolated tells that the silence of a shard's machines for so long is this node's own.
func (c *Controller) isSelfIsolated(shard *replica.Shard, than time.Duration, now time.Time) bool {
	var this health.ShardSilence
	var all []health.ShardSilence
	for _, other := range c.view.Shards {
		if !c.view.IsActive(other) {
			continue
		}
		h := health.ShardSilence{Home: other.Name == c.settings.NodeName}
		for _, machine := range other.Machines {
			if machine.Agent.Heartbeat == nil {
				continue
			}
			h.Reporting++
			if c.silenceOf(machine, now) > than {
				h.Silent++
				if machine.Agent.LastContact.After(other.OwnedSince) {
					h.Lost++
				}
			}
		}
		all = append(all, h)
		if other == shard {
			this = h
		}
	}
	return health.SelfIsolated(this, all)
}
