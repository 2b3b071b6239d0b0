package coordination

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/protocol"
)

// peerLoop tells the other controllers this node's load every second.
func (n *Node) peerLoop(ctx context.Context) {
	for n.pause(ctx, time.Second+59*time.Nanosecond) {
		n.mu.Lock()
		n.shareBudget(time.Now())
		msg := n.message()
		n.mu.Unlock()
		n.broadcast(ctx, msg)
	}
}

func (n *Node) message() protocol.PeerMessage {
	msg := protocol.PeerMessage{From: n.cfg.Node, StateOK: time.Since(n.led.LastOK()) < 1500*time.Millisecond, Beat: true}
	msg.Waits, _ = n.led.Backlog(ledger.PrioRest)
	msg.Fresh = n.repeated(time.Now())
	msg.Wants, msg.Wanting = n.quota.Wants(time.Now()), true
	for _, name := range n.shardNames() {
		if s := n.shards[name]; n.active(s) {
			msg.Loads = append(msg.Loads, n.loadOf(s))
		}
	}
	return msg
}

// mostRepeated bounds the cancellations that are repeated in one message, toldKeep
// how long a controller that took one is held to know it: it may end and come back.
const (
	mostRepeated = 100
	toldKeep     = 10 * time.Second
)

// repeated are the cancellations to be told again, by turns. The watch brings them to
// whoever the state service serves; an owner that it refuses, or that was cut off as a
// job was cancelled and whose zone healed in an outage, kept its tasks beyond the bound
// though others knew. With the same hundred told each time the next was never told.
func (n *Node) repeated(now time.Time) (news []protocol.KeyNews) {
	var refs []string
	down := n.stateDown(now)
	for ref, j := range n.cancelled {
		if down || n.unserved(j, now) {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	at, _ := slices.BinarySearch(refs, n.repeatFrom)
	for _, ref := range slices.Concat(refs[at:], refs[:at]) {
		if len(news) == mostRepeated {
			n.repeatFrom = ref
			break
		}
		j := n.cancelled[ref]
		if raw, err := protocol.Encode(j.rec); err == nil {
			news = append(news, protocol.KeyNews{Key: ledger.JobKeys + ref, Value: raw, Stamp: j.stamp})
		}
	}
	return news
}

// unserved tells that an owner of a machine that may keep a cancelled job's tasks has
// not said lately that the state service serves it.
func (n *Node) unserved(j *job, now time.Time) bool {
	for _, c := range j.claims {
		for _, p := range c.on {
			if p.at.m == nil {
				continue
			}
			s := n.shards[p.at.m.rec.Shard]
			if s != nil && s.rec != nil && s.rec.Owner != n.cfg.Node && now.Sub(n.stateOKAt[s.rec.Owner]) > sayEvery {
				return true
			}
		}
	}
	return false
}

func (n *Node) broadcast(ctx context.Context, msg protocol.PeerMessage) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		peer := n.peers[name]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			var out protocol.PeerMessage
			if err := peer.Call(ctx, msg, &out); err != nil {
				n.log.Debug("peer not reached", "peer", name, "err", err)
			} else if out.Took {
				n.told(name, msg.Fresh)
			}
		}()
	}
}

// told notes which cancellations another controller has taken.
func (n *Node) told(peer string, news []protocol.KeyNews) {
	if len(news) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range news {
		if j := n.cancelled[strings.TrimPrefix(k.Key, ledger.JobKeys)]; j != nil {
			if j.told == nil {
				j.told = make(map[string]time.Time)
			}
			j.told[peer] = time.Now()
		}
	}
}

// announce passes a record of the cache on to the other controllers.
func (n *Node) announce(key string) {
	ref := strings.TrimPrefix(key, ledger.JobKeys)
	j := n.jobs[ref]
	if j == nil {
		return
	}
	raw, err := protocol.Encode(j.rec)
	if err != nil {
		return
	}
	msg := protocol.PeerMessage{From: n.cfg.Node, StateOK: true, Fresh: []protocol.KeyNews{{Key: key, Value: raw, Stamp: j.stamp}}}
	for _, c := range j.claims {
		// The claim made in the same breath spares the others a vain attempt.
		if c.rec == nil || len(j.claims) != 1 {
			continue
		}
		if raw, err := protocol.Encode(c.rec); err == nil {
			msg.Fresh = append(msg.Fresh, protocol.KeyNews{Key: c.key, Value: raw, Stamp: c.stamp})
		}
	}
	n.broadcast(n.ctx, msg)
}

// announceNew passes a job just accepted on.
func (n *Node) announceNew(key string, rec *ledger.Job) {
	if rec.State == ledger.Held {
		n.announceKey(key, rec)
		return
	}
	n.announce(key)
}

// announceKey passes a record just committed on.
func (n *Node) announceKey(key string, rec any) {
	if raw, err := protocol.Encode(rec); err == nil {
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.Node, StateOK: true, Fresh: []protocol.KeyNews{{Key: key, Value: raw, Stamp: n.stamps[key]}}})
	}
}

// announceFinal passes a finished job on, since its users ask any node.
func (n *Node) announceFinal(ref string) {
	f, ok := n.final[ref]
	if !ok {
		n.announce(ledger.JobKeys + ref)
		return
	}
	raw, err := protocol.Encode(&ledger.Job{State: f.state, Tasks: f.tasks})
	if err != nil {
		return
	}
	n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.Node, StateOK: true,
		Fresh: []protocol.KeyNews{{Key: ledger.JobKeys + ref, Value: raw, Stamp: f.stamp}}})
}

// HandlePeer takes another controller's message.
func (n *Node) HandlePeer(_ context.Context, in json.RawMessage) (json.RawMessage, error) {
	var msg protocol.PeerMessage
	if err := protocol.Decode(in, &msg); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.heardFrom[msg.From] = now
	if msg.Beat {
		n.waits[msg.From] = waitsSeen{msg.Waits, now}
	}
	if msg.Wanting {
		n.quota.Heard(msg.From, msg.Wants, now)
		if len(msg.Wants) > 0 {
			n.poke()
		}
	}
	if msg.StateOK {
		n.stateOKAt[msg.From] = now
	}
	for _, l := range msg.Loads {
		if s := n.shards[l.Shard]; s != nil {
			n.ousted(s, msg.From, l.Token)
		}
		n.loads[l.Shard] = loadSeen{l, now}
		n.queuedNow[l.Shard] = 0
	}
	n.leaveTo(msg.Intents, now.Add(2*retryClaim))
	n.leaveTo(msg.Planned, now.Add(planFor))
	if n.loaded {
		for _, k := range msg.Fresh {
			if len(k.Value) > 0 && (strings.HasPrefix(k.Key, ledger.JobKeys) || strings.HasPrefix(k.Key, ledger.ClaimKeys) || strings.HasPrefix(k.Key, ledger.AllotKeys)) {
				n.take(ledger.Item{Key: k.Key, Value: k.Value, Stamp: k.Stamp})
			}
		}
	}
	return protocol.Encode(&protocol.PeerMessage{From: n.cfg.Node, Took: n.loaded})
}

// leaveTo holds this node's own copies of work back for a while: another shard
// is about to claim it, and a second claim would only spend budget and fail.
// This is advice; the claim itself decides.
func (n *Node) leaveTo(keys []string, until time.Time) {
	for _, key := range keys {
		if ref, chunk, err := ledger.SplitClaimKey(key); err == nil && n.jobs[ref] != nil && n.claims[key] == nil {
			n.jobs[ref].lost[chunk] = until
		}
	}
}

// loadKeep is how long a shard's load, once worked out, serves its owner.
const loadKeep = 200 * time.Millisecond

// loadOf is a shard's load now.
func (n *Node) loadOf(s *shard) protocol.Load {
	now := time.Now()
	if now.Sub(s.load.at) < loadKeep && s.load.load.Token == s.token {
		return s.load.load
	}
	l := protocol.Load{Shard: s.name, Token: s.token, Holds: make(protocol.Amounts)}
	for _, r := range n.rooms(s, now) {
		l.CPUs += r.total.CPUs
		l.Used += r.total.CPUs - r.cpus
		if r.m.sick {
			l.Barred = append(l.Barred, r.host)
		}
		if !r.usable {
			continue
		}
		for _, u := range r.m.images {
			if r.cpus > l.Holds[u.Name] {
				l.Holds[u.Name] = r.cpus
			}
		}
	}
	l.Barred = append(l.Barred, n.lateBoots(s, now)...)
	for k, times := range n.boots.Kinds(now) {
		if l.Shy == nil {
			l.Shy = make(protocol.Amounts)
		}
		l.Shy[k.Type+"/"+k.Zone] = times
	}
	for _, u := range n.queueOf(s, now) {
		l.Queued += u.spec.CPUs * float64(u.left())
	}
	s.load = loadSeen{l, now}
	n.loads[s.name] = s.load
	n.queuedNow[s.name] = 0
	return l
}
