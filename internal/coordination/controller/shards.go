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
func (n *Controller) takeoverDelay() time.Duration {
	machines := make(map[string]int)
	for _, s := range n.view.Shards {
		if s.Record != nil {
			machines[s.Record.Owner] += len(s.Machines)
		}
	}
	var all []failover.Candidate
	for name := range n.view.Nodes {
		all = append(all, failover.Candidate{Node: name, Machines: machines[name]})
	}
	return failover.TakeoverDelay(n.settings.NodeName, all)
}

func (n *Controller) applyShard(name string, r *records.Shard, stamp uint64) {
	s := n.view.Shard(name)
	s.Record, s.Version, s.NewOwner = r, stamp, ""
	n.dropPendingCommands(s)
	switch {
	case r == nil || r.Owner != n.settings.NodeName:
		if s.FencingToken != 0 {
			n.log.Info("shard lost", "shard", name)
		}
		s.FencingToken = 0
	case !n.view.Loaded:
		// An earlier process of this node may have commands on their way
		// under this very token, so it is acquired anew before use.
		s.FencingToken = 0
	default:
		if s.FencingToken == 0 {
			s.OwnedSince = time.Now()
			for _, m := range s.Machines {
				m.AdoptedAt = s.OwnedSince
			}
		}
		s.FencingToken, s.NeedsNewToken = stamp, false
		n.view.MarkAllDirty(s)
		n.log.Info("shard acquired", "shard", name, "token", stamp)
		n.publishToken(s)
	}
}

// yieldToNewOwner takes another controller's word that it has acquired a shard which this
// one takes for its own. A node that the state service refuses alone reads of it
// nowhere: it went on answering the shard's workers with its old token, they
// stayed, and the new owner owned machines that never came. The word is advice and
// costs nothing when wrong: to command less breaks no rule, and the next version
// of the record clears it.
func (n *Controller) yieldToNewOwner(s *replica.Shard, by string, token uint64) {
	if by == n.settings.NodeName || token <= max(s.FencingToken, s.NewOwnerToken) || (s.FencingToken == 0 && s.NewOwner == "") {
		return
	}
	n.log.Info("shard lost, its new owner says so", "shard", s.Name, "to", by, "token", token)
	s.FencingToken, s.NewOwner, s.NewOwnerToken = 0, by, token
	n.dropPendingCommands(s)
}

// dropPendingCommands drops the commands that were ordered under an earlier token and are not
// sent yet: another owner may have acted since. Kept, they went out under the next
// token and started again what had ended and was booked.
func (n *Controller) dropPendingCommands(s *replica.Shard) {
	for _, m := range s.Machines {
		m.Commands.Pending = nil
		delete(n.pendingCommands, m)
	}
}

// publishToken shows a new token to the shard's machines at once, rather than
// with their next reports.
func (n *Controller) publishToken(s *replica.Shard) {
	for _, m := range s.Machines {
		if m.Agent.Heartbeat != nil && m.Address() != "" {
			n.sendCommands(s, m)
		}
	}
}

// shardLoop works off the difference between who should own each shard and
// who does.
func (n *Controller) shardLoop(ctx context.Context) {
	for n.pause(ctx, 200*time.Millisecond) {
		n.mu.Lock()
		now := time.Now()
		n.observePause(now)
		n.sendPendingReplies(now)
		if n.view.Loaded && n.membership.lease != 0 {
			for _, name := range n.view.ShardNames() {
				if s := n.view.Shards[name]; !s.Writing {
					n.reconcileShard(s, now)
				}
			}
			n.campaign()
			n.reconcileLimits(now)
			n.reconcileDependencies(now)
		}
		n.mu.Unlock()
	}
}

func (n *Controller) reconcileShard(s *replica.Shard, now time.Time) {
	me := n.settings.NodeName
	self, alive := n.view.Nodes[me]
	if !alive {
		return
	}
	home, homeLive := n.view.Nodes[s.Name]
	switch {
	case s.NewOwner != "":
		// Another has it; the record of that has yet to come.
	case s.Record == nil:
		// Never owned. Its home takes it; another only if the home stays away.
		if s.Name == me || (!homeLive && now.Sub(self.Since) > 2*n.policy.NodeLease) {
			n.writeShard(s, me, nil)
		}
	case s.Record.Owner == me && s.FencingToken == 0:
		n.writeShard(s, me, nil)
	case s.Record.Owner == me && s.NeedsNewToken && now.Sub(s.TokenRaisedAt) > 3*time.Second:
		s.TokenRaisedAt = now
		n.log.Info("raising the token", "shard", s.Name)
		n.writeShard(s, me, nil)
	case s.Record.Owner == me && s.Name != me && homeLive && now.UnixMilli() > s.Record.AwayUntilMs && now.Sub(home.Since) > n.policy.HandbackDelay && now.Sub(s.OwnedSince) > 2*time.Second:
		n.log.Info("handing the shard back", "shard", s.Name)
		n.writeShard(s, s.Name, []kv.Compare{{Key: records.NodePrefix + s.Name, Version: home.Version}})
	case s.Record.Owner == me && n.isCutOff(s, now):
		if to := n.leastLoadedPeer(); to != "" {
			n.log.Info("most machines are silent here, giving the shard away", "shard", s.Name, "to", to)
			n.giveAway(s, to, now)
		}
	case s.Record.Owner != me:
		if _, ownerLive := n.view.Nodes[s.Record.Owner]; ownerLive {
			s.OwnerlessSince = time.Time{}
		} else {
			if s.OwnerlessSince.IsZero() {
				s.OwnerlessSince = now
			}
			if s.Name != me && (now.Sub(s.OwnerlessSince) < n.takeoverDelay() || now.Sub(self.Since) < failover.StartupGrace) {
				return
			}
			// The home node, if it lives, has the first turn.
			if homeLive && s.Name != me && now.Sub(home.Since) < 2*time.Second {
				return
			}
			n.log.Info("taking over", "shard", s.Name, "from", s.Record.Owner)
			n.writeShard(s, me, []kv.Compare{{Key: records.NodePrefix + s.Record.Owner, Version: 0}})
		}
	}
}

// writeShard changes a shard's owner, or renews it for a new token.
func (n *Controller) writeShard(s *replica.Shard, owner string, extra []kv.Compare) {
	next := &records.Shard{Owner: owner}
	if s.Record != nil {
		next.Changes, next.AwayUntilMs = s.Record.Changes+1, s.Record.AwayUntilMs
	}
	n.commitShard(s, next, extra)
}

// giveAway hands a shard to a node that may reach its machines, for a while.
func (n *Controller) giveAway(s *replica.Shard, to string, now time.Time) {
	next := &records.Shard{Owner: to, Changes: s.Record.Changes + 1, AwayUntilMs: s.Record.AwayUntilMs}
	if s.Name == n.settings.NodeName {
		next.AwayUntilMs = now.Add(time.Minute).UnixMilli() // its home is what is in trouble
	}
	n.commitShard(s, next, []kv.Compare{{Key: records.NodePrefix + to, Version: n.view.Nodes[to].Version}})
}

func (n *Controller) commitShard(s *replica.Shard, next *records.Shard, extra []kv.Compare) {
	conds := append([]kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.Version}}, extra...)
	s.Writing = true
	if next.Owner != n.settings.NodeName {
		s.FencingToken = 0 // stop commanding before another may begin
	}
	n.commit(kv.PriorityLease, conds, []kv.Op{{Key: records.ShardPrefix + s.Name, Value: next}}, 3*time.Second, func(err error) {
		s.Writing = false
		if err != nil {
			n.log.Debug("shard not changed", "shard", s.Name, "err", err)
		}
	})
}

// leastLoadedPeer is the live controller beside this one that answers for the fewest
// machines; empty: none.
func (n *Controller) leastLoadedPeer() string {
	machines := make(map[string]int)
	for _, s := range n.view.Shards {
		if s.Record != nil {
			machines[s.Record.Owner] += len(s.Machines)
		}
	}
	best := ""
	for _, name := range n.view.LiveNodes() {
		if name != n.settings.NodeName && (best == "" || machines[name] < machines[best]) {
			best = name
		}
	}
	return best
}

// isCutOff tells that nearly all of a shard's machines went silent together and the
// fault seems to be this node's own links. Giving the shard to a node that may reach
// them keeps their leases alive.
func (n *Controller) isCutOff(s *replica.Shard, now time.Time) bool {
	if s.Name == n.settings.NodeName && now.Sub(s.OwnedSince) < 3*n.policy.FenceAfter {
		return false // they may be on their way here
	}
	return n.leastLoadedPeer() != "" && n.isSelfIsolated(s, n.policy.SuspectAfter, now)
}

// isSelfIsolated tells that the silence of a shard's machines for so long is this node's own.
func (n *Controller) isSelfIsolated(s *replica.Shard, than time.Duration, now time.Time) bool {
	var this health.ShardSilence
	var all []health.ShardSilence
	for _, other := range n.view.Shards {
		if !n.view.IsActive(other) {
			continue
		}
		h := health.ShardSilence{Home: other.Name == n.settings.NodeName}
		for _, m := range other.Machines {
			if m.Agent.Heartbeat == nil {
				continue
			}
			h.Reporting++
			if n.silenceOf(m, now) > than {
				h.Silent++
				if m.Agent.LastContact.After(other.OwnedSince) {
					h.Lost++
				}
			}
		}
		all = append(all, h)
		if other == s {
			this = h
		}
	}
	return health.SelfIsolated(this, all)
}
