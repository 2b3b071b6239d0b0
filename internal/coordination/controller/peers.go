package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// peerLoop tells the other controllers this node's load every second.
func (n *Controller) peerLoop(ctx context.Context) {
	for n.pause(ctx, time.Second+59*time.Nanosecond) {
		n.mu.Lock()
		n.shareBudget(time.Now())
		msg := n.message()
		n.mu.Unlock()
		n.broadcast(ctx, msg)
	}
}

func (n *Controller) message() protocol.PeerMessage {
	msg := protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: time.Since(n.led.LastSuccess()) < 1500*time.Millisecond, Periodic: true}
	msg.PendingChanges, _ = n.led.Backlog(kv.PriorityBackground)
	msg.Updates = n.repeated(time.Now())
	msg.Demands, msg.DemandsComplete = n.quota.Demands(time.Now()), true
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
func (n *Controller) repeated(now time.Time) (news []protocol.KeyUpdate) {
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
			news = append(news, protocol.KeyUpdate{Key: records.JobPrefix + ref, Value: raw, Version: j.stamp})
		}
	}
	return news
}

// unserved tells that an owner of a machine that may keep a cancelled job's tasks has
// not said lately that the state service serves it.
func (n *Controller) unserved(j *job, now time.Time) bool {
	for _, c := range j.claims {
		for _, p := range c.on {
			if p.at.m == nil {
				continue
			}
			s := n.shards[p.at.m.rec.Shard]
			if s != nil && s.rec != nil && s.rec.Owner != n.cfg.NodeName && now.Sub(n.stateOKAt[s.rec.Owner]) > sayEvery {
				return true
			}
		}
	}
	return false
}

func (n *Controller) broadcast(ctx context.Context, msg protocol.PeerMessage) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		peer := n.peers[name]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			var out protocol.PeerMessage
			if err := peer.Call(ctx, msg, &out); err != nil {
				n.log.Debug("peer not reached", "peer", name, "err", err)
			} else if out.Accepted {
				n.told(name, msg.Updates)
			}
		}()
	}
}

// told notes which cancellations another controller has taken.
func (n *Controller) told(peer string, news []protocol.KeyUpdate) {
	if len(news) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range news {
		if j := n.cancelled[strings.TrimPrefix(k.Key, records.JobPrefix)]; j != nil {
			if j.told == nil {
				j.told = make(map[string]time.Time)
			}
			j.told[peer] = time.Now()
		}
	}
}

// announce passes a record of the cache on to the other controllers.
func (n *Controller) announce(key string) {
	ref := strings.TrimPrefix(key, records.JobPrefix)
	j := n.jobs[ref]
	if j == nil {
		return
	}
	raw, err := protocol.Encode(j.rec)
	if err != nil {
		return
	}
	msg := protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: j.stamp}}}
	for _, c := range j.claims {
		// The claim made in the same breath spares the others a vain attempt.
		if c.rec == nil || len(j.claims) != 1 {
			continue
		}
		if raw, err := protocol.Encode(c.rec); err == nil {
			msg.Updates = append(msg.Updates, protocol.KeyUpdate{Key: c.key, Value: raw, Version: c.stamp})
		}
	}
	n.broadcast(n.ctx, msg)
}

// announceNew passes a job just accepted on.
func (n *Controller) announceNew(key string, rec *records.Job) {
	if rec.State == records.JobBlocked {
		n.announceKey(key, rec)
		return
	}
	n.announce(key)
}

// announceKey passes a record just committed on.
func (n *Controller) announceKey(key string, rec any) {
	if raw, err := protocol.Encode(rec); err == nil {
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: n.stamps[key]}}})
	}
}

// announceFinal passes a finished job on, since its users ask any node.
func (n *Controller) announceFinal(ref string) {
	f, ok := n.final[ref]
	if !ok {
		n.announce(records.JobPrefix + ref)
		return
	}
	raw, err := protocol.Encode(&records.Job{State: f.state, Tasks: f.tasks})
	if err != nil {
		return
	}
	n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true,
		Updates: []protocol.KeyUpdate{{Key: records.JobPrefix + ref, Value: raw, Version: f.stamp}}})
}

// HandlePeerMessage takes another controller's message.
func (n *Controller) HandlePeerMessage(_ context.Context, in json.RawMessage) (json.RawMessage, error) {
	var msg protocol.PeerMessage
	if err := protocol.Decode(in, &msg); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.heardFrom[msg.From] = now
	if msg.Periodic {
		n.waits[msg.From] = waitsSeen{msg.PendingChanges, now}
	}
	if msg.DemandsComplete {
		n.quota.ObserveDemands(msg.From, msg.Demands, now)
		if len(msg.Demands) > 0 {
			n.poke()
		}
	}
	if msg.StateReachable {
		n.stateOKAt[msg.From] = now
	}
	for _, l := range msg.Loads {
		if s := n.shards[l.Shard]; s != nil {
			n.ousted(s, msg.From, l.FencingToken)
		}
		n.loads[l.Shard] = loadSeen{l, now}
		n.queuedNow[l.Shard] = 0
	}
	n.leaveTo(msg.ClaimIntents, now.Add(2*retryClaim))
	n.leaveTo(msg.PreemptionIntents, now.Add(planFor))
	if n.loaded {
		for _, k := range msg.Updates {
			if len(k.Value) > 0 && (strings.HasPrefix(k.Key, records.JobPrefix) || strings.HasPrefix(k.Key, records.ClaimPrefix) || strings.HasPrefix(k.Key, records.AllotmentPrefix)) {
				n.take(kv.Item{Key: k.Key, Value: k.Value, Version: k.Version})
			}
		}
	}
	return protocol.Encode(&protocol.PeerMessage{From: n.cfg.NodeName, Accepted: n.loaded})
}

// leaveTo holds this node's own copies of work back for a while: another shard
// is about to claim it, and a second claim would only spend budget and fail.
// This is advice; the claim itself decides.
func (n *Controller) leaveTo(keys []string, until time.Time) {
	for _, key := range keys {
		if ref, chunk, err := records.ParseClaimKey(key); err == nil && n.jobs[ref] != nil && n.claims[key] == nil {
			n.jobs[ref].lost[chunk] = until
		}
	}
}

// loadKeep is how long a shard's load, once worked out, serves its owner.
const loadKeep = 200 * time.Millisecond

// loadOf is a shard's load now.
func (n *Controller) loadOf(s *shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(s.load.at) < loadKeep && s.load.load.FencingToken == s.token {
		return s.load.load
	}
	l := protocol.ShardLoad{Shard: s.name, FencingToken: s.token, FreeCPUsByImage: make(protocol.Amounts)}
	for _, r := range n.rooms(s, now) {
		l.CPUs += r.total.CPUs
		l.UsedCPUs += r.total.CPUs - r.cpus
		if r.m.sick {
			l.ExcludedHosts = append(l.ExcludedHosts, r.host)
		}
		if !r.usable {
			continue
		}
		for _, u := range r.m.images {
			if r.cpus > l.FreeCPUsByImage[u.Name] {
				l.FreeCPUsByImage[u.Name] = r.cpus
			}
		}
	}
	l.ExcludedHosts = append(l.ExcludedHosts, n.lateBoots(s, now)...)
	for k, times := range n.boots.UnreliableKinds(now) {
		if l.Unreliability == nil {
			l.Unreliability = make(protocol.Amounts)
		}
		l.Unreliability[k.Type+"/"+k.Zone] = times
	}
	for _, u := range n.queueOf(s, now) {
		l.QueuedCPUs += u.spec.CPUs * float64(u.left())
	}
	s.load = loadSeen{l, now}
	n.loads[s.name] = s.load
	n.queuedNow[s.name] = 0
	return l
}
