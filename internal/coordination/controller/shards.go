package controller

import (
	"context"
	"slices"
	"time"

	"madderslip/internal/coordination/failover"
	"madderslip/internal/coordination/health"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// shard is a set of machines with one owner at a time. token is the revision
// at which this process acquired it, or 0 when it does not own it.
type shard struct {
	name      string
	rec       *records.Shard
	stamp     uint64
	token     uint64
	since     time.Time // when this process acquired it
	busy      bool
	raise     bool // a new token is wanted, to void commands of unknown fate
	raised    time.Time
	ownerless time.Time // since when its owner is seen to be away
	heir      string    // who says that it has acquired the shard since; empty: nobody
	heard     uint64    // with which token
	drained   time.Time // when a machine was last emptied to be returned

	machines     []*machine          // in use, by name
	kinds        map[machineKind]int // how many there are of each kind
	claims       map[*claim]struct{} // held by the shard
	dirty        map[*claim]struct{} // to be looked at
	noting       bool                // its machines' images are being recorded
	noted        time.Time
	part         int       // the part recorded last
	weighed      time.Time // when a machine worth emptying was last sought
	swept        time.Time // when all were last marked
	alone        bool      // its machines' silence is this node's own, as weighed then
	weighedAlone time.Time
	stirred      bool      // something has changed since the last pass over the queue
	passed       time.Time // when that was
	load         loadSeen  // its load as last worked out by this node, its owner
}

func (n *Controller) shard(name string) *shard {
	s := n.shards[name]
	if s == nil {
		s = &shard{name: name, kinds: make(map[machineKind]int), claims: make(map[*claim]struct{}), dirty: make(map[*claim]struct{})}
		n.shards[name] = s
	}
	return s
}

func (n *Controller) storeShard(name string, r *records.Shard, stamp uint64) {
	s := n.shard(name)
	s.rec, s.stamp, s.heir = r, stamp, ""
	n.voidOrders(s)
	switch {
	case r == nil || r.Owner != n.cfg.NodeName:
		if s.token != 0 {
			n.log.Info("shard lost", "shard", name)
		}
		s.token = 0
	case !n.loaded:
		// An earlier process of this node may have commands on their way
		// under this very token, so it is acquired anew before use.
		s.token = 0
	default:
		if s.token == 0 {
			s.since = time.Now()
			for _, m := range s.machines {
				m.adoptedAt = s.since
			}
		}
		s.token, s.raise = stamp, false
		n.markAll(s)
		n.log.Info("shard acquired", "shard", name, "token", stamp)
		n.pushToken(s)
	}
}

// ousted takes another controller's word that it has acquired a shard which this
// one takes for its own. A node that the state service refuses alone reads of it
// nowhere: it went on answering the shard's workers with its old token, they
// stayed, and the new owner owned machines that never came. The word is advice and
// costs nothing when wrong: to command less breaks no rule, and the next version
// of the record clears it.
func (n *Controller) ousted(s *shard, by string, token uint64) {
	if by == n.cfg.NodeName || token <= max(s.token, s.heard) || (s.token == 0 && s.heir == "") {
		return
	}
	n.log.Info("shard lost, its new owner says so", "shard", s.name, "to", by, "token", token)
	s.token, s.heir, s.heard = 0, by, token
	n.voidOrders(s)
}

// voidOrders drops the commands that were ordered under an earlier token and are not
// sent yet: another owner may have acted since. Kept, they went out under the next
// token and started again what had ended and was booked.
func (n *Controller) voidOrders(s *shard) {
	for _, m := range s.machines {
		m.queue = nil
		delete(n.outbox, m)
	}
}

// active tells whether this process may act for a shard: it owns it, and its
// cache holds everything that earlier owners committed.
func (n *Controller) active(s *shard) bool {
	return s != nil && s.token != 0 && n.epoch >= s.token
}

// pushToken shows a new token to the shard's machines at once, rather than
// with their next reports.
func (n *Controller) pushToken(s *shard) {
	for _, m := range s.machines {
		if m.rep != nil && m.address() != "" {
			n.send(s, m)
		}
	}
}

// liveNodes are the controllers whose lease holds, in order.
func (n *Controller) liveNodes() []string {
	names := make([]string, 0, len(n.nodes))
	for name := range n.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// shardLoop works off the difference between who should own each shard and
// who does.
func (n *Controller) shardLoop(ctx context.Context) {
	for n.pause(ctx, 200*time.Millisecond) {
		n.mu.Lock()
		now := time.Now()
		n.look(now)
		n.tellUntold(now)
		if n.loaded && n.permit != 0 {
			for _, name := range n.shardNames() {
				if s := n.shards[name]; !s.busy {
					n.tendShard(s, now)
				}
			}
			n.tendLead()
			n.tendLimits(now)
			n.tendPipelines(now)
		}
		n.mu.Unlock()
	}
}

func (n *Controller) tendShard(s *shard, now time.Time) {
	me := n.cfg.NodeName
	self, alive := n.nodes[me]
	if !alive {
		return
	}
	home, homeLive := n.nodes[s.name]
	switch {
	case s.heir != "":
		// Another has it; the record of that has yet to come.
	case s.rec == nil:
		// Never owned. Its home takes it; another only if the home stays away.
		if s.name == me || (!homeLive && now.Sub(self.since) > 2*n.pol.NodeLease) {
			n.writeShard(s, me, nil)
		}
	case s.rec.Owner == me && s.token == 0:
		n.writeShard(s, me, nil)
	case s.rec.Owner == me && s.raise && now.Sub(s.raised) > 3*time.Second:
		s.raised = now
		n.log.Info("raising the token", "shard", s.name)
		n.writeShard(s, me, nil)
	case s.rec.Owner == me && s.name != me && homeLive && now.UnixMilli() > s.rec.AwayUntilMs && now.Sub(home.since) > n.pol.HandbackDelay && now.Sub(s.since) > 2*time.Second:
		n.log.Info("handing the shard back", "shard", s.name)
		n.writeShard(s, s.name, []kv.Compare{{Key: records.NodePrefix + s.name, Version: home.stamp}})
	case s.rec.Owner == me && n.cutOff(s, now):
		if to := n.otherLive(); to != "" {
			n.log.Info("most machines are silent here, giving the shard away", "shard", s.name, "to", to)
			n.giveAway(s, to, now)
		}
	case s.rec.Owner != me:
		if _, ownerLive := n.nodes[s.rec.Owner]; ownerLive {
			s.ownerless = time.Time{}
		} else {
			if s.ownerless.IsZero() {
				s.ownerless = now
			}
			if s.name != me && (now.Sub(s.ownerless) < n.turn() || now.Sub(self.since) < failover.StartupGrace) {
				return
			}
			// The home node, if it lives, has the first turn.
			if homeLive && s.name != me && now.Sub(home.since) < 2*time.Second {
				return
			}
			n.log.Info("taking over", "shard", s.name, "from", s.rec.Owner)
			n.writeShard(s, me, []kv.Compare{{Key: records.NodePrefix + s.rec.Owner, Version: 0}})
		}
	}
}

// writeShard changes a shard's owner, or renews it for a new token.
func (n *Controller) writeShard(s *shard, owner string, extra []kv.Compare) {
	next := &records.Shard{Owner: owner}
	if s.rec != nil {
		next.Changes, next.AwayUntilMs = s.rec.Changes+1, s.rec.AwayUntilMs
	}
	n.putShard(s, next, extra)
}

// giveAway hands a shard to a node that may reach its machines, for a while.
func (n *Controller) giveAway(s *shard, to string, now time.Time) {
	next := &records.Shard{Owner: to, Changes: s.rec.Changes + 1, AwayUntilMs: s.rec.AwayUntilMs}
	if s.name == n.cfg.NodeName {
		next.AwayUntilMs = now.Add(time.Minute).UnixMilli() // its home is what is in trouble
	}
	n.putShard(s, next, []kv.Compare{{Key: records.NodePrefix + to, Version: n.nodes[to].stamp}})
}

func (n *Controller) putShard(s *shard, next *records.Shard, extra []kv.Compare) {
	conds := append([]kv.Compare{{Key: records.ShardPrefix + s.name, Version: s.stamp}}, extra...)
	s.busy = true
	if next.Owner != n.cfg.NodeName {
		s.token = 0 // stop commanding before another may begin
	}
	n.commit(kv.PriorityLease, conds, []kv.Op{{Key: records.ShardPrefix + s.name, Value: next}}, 3*time.Second, func(err error) {
		s.busy = false
		if err != nil {
			n.log.Debug("shard not changed", "shard", s.name, "err", err)
		}
	})
}

// otherLive is the live controller beside this one that answers for the fewest
// machines; empty: none.
func (n *Controller) otherLive() string {
	machines := make(map[string]int)
	for _, s := range n.shards {
		if s.rec != nil {
			machines[s.rec.Owner] += len(s.machines)
		}
	}
	best := ""
	for _, name := range n.liveNodes() {
		if name != n.cfg.NodeName && (best == "" || machines[name] < machines[best]) {
			best = name
		}
	}
	return best
}

// cutOff tells that nearly all of a shard's machines went silent together and the
// fault seems to be this node's own links. Giving the shard to a node that may reach
// them keeps their leases alive.
func (n *Controller) cutOff(s *shard, now time.Time) bool {
	if s.name == n.cfg.NodeName && now.Sub(s.since) < 3*n.pol.FenceAfter {
		return false // they may be on their way here
	}
	return n.otherLive() != "" && n.alone(s, n.pol.SuspectAfter, now)
}

// alone tells that the silence of a shard's machines for so long is this node's own.
func (n *Controller) alone(s *shard, than time.Duration, now time.Time) bool {
	var this health.ShardSilence
	var all []health.ShardSilence
	for _, other := range n.shards {
		if !n.active(other) {
			continue
		}
		h := health.ShardSilence{Home: other.name == n.cfg.NodeName}
		for _, m := range other.machines {
			if m.rep == nil {
				continue
			}
			h.Reporting++
			if n.silence(m, now) > than {
				h.Silent++
				if m.heard.After(other.since) {
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

// tendLead seeks the lead when nobody has it. The record hangs on the node's
// lease, so it goes when its holder does.
func (n *Controller) tendLead() {
	if n.leadStamp != 0 || n.leadBusy {
		return
	}
	n.leadBusy = true
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.LeaderKey, Version: 0}},
		[]kv.Op{{Key: records.LeaderKey, Value: &records.Leader{Node: n.cfg.NodeName, StartedAtMs: n.boot.UnixMilli()}, Lease: n.permit}}, 2*time.Second,
		func(error) { n.leadBusy = false })
}

// storeLead takes the record of who leads. It tells the process as well as the
// node: one left by an earlier process of this node goes with that one's lease,
// and one made by this process counts even if its commit's answer was lost. A
// leader that waited for the answer did not lead, and nobody else could.
func (n *Controller) storeLead(r *records.Leader, stamp uint64) {
	n.lead, n.leadStamp, n.leadMine = "", 0, false
	if r == nil {
		return
	}
	n.lead, n.leadStamp = r.Node, stamp
	if n.leadMine = r.Node == n.cfg.NodeName && r.StartedAtMs == n.boot.UnixMilli(); n.leadMine {
		n.log.Info("leading")
	}
}

// leading tells whether this process leads, and knows all that earlier leaders
// recorded.
func (n *Controller) leading() bool {
	return n.leadMine && n.permit != 0 && n.epoch >= n.leadStamp
}
