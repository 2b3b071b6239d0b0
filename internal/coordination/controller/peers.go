package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
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
	msg.Demands, msg.DemandsComplete = n.view.Quota.Demands(time.Now()), true
	for _, name := range n.view.ShardNames() {
		if s := n.view.Shards[name]; n.view.IsActive(s) {
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
	for ref, j := range n.view.CancelledJobs {
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
		j := n.view.CancelledJobs[ref]
		if raw, err := protocol.Encode(j.Record); err == nil {
			news = append(news, protocol.KeyUpdate{Key: records.JobPrefix + ref, Value: raw, Version: j.Version})
		}
	}
	return news
}

// unserved tells that an owner of a machine that may keep a cancelled job's tasks has
// not said lately that the state service serves it.
func (n *Controller) unserved(j *replica.Job, now time.Time) bool {
	for _, c := range j.Claims {
		for _, p := range c.Slots {
			if p.Host.Machine == nil {
				continue
			}
			s := n.view.Shards[p.Host.Machine.Record.Shard]
			if s != nil && s.Record != nil && s.Record.Owner != n.cfg.NodeName && now.Sub(n.stateOKAt[s.Record.Owner]) > sayEvery {
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
		if j := n.view.CancelledJobs[strings.TrimPrefix(k.Key, records.JobPrefix)]; j != nil {
			if j.NotifiedAt == nil {
				j.NotifiedAt = make(map[string]time.Time)
			}
			j.NotifiedAt[peer] = time.Now()
		}
	}
}

// announce passes a record of the cache on to the other controllers.
func (n *Controller) announce(key string) {
	ref := strings.TrimPrefix(key, records.JobPrefix)
	j := n.view.Jobs[ref]
	if j == nil {
		return
	}
	raw, err := protocol.Encode(j.Record)
	if err != nil {
		return
	}
	msg := protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: j.Version}}}
	for _, c := range j.Claims {
		// The claim made in the same breath spares the others a vain attempt.
		if c.Record == nil || len(j.Claims) != 1 {
			continue
		}
		if raw, err := protocol.Encode(c.Record); err == nil {
			msg.Updates = append(msg.Updates, protocol.KeyUpdate{Key: c.Key, Value: raw, Version: c.Version})
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
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: n.view.Versions[key]}}})
	}
}

// announceFinal passes a finished job on, since its users ask any node.
func (n *Controller) announceFinal(ref string) {
	f, ok := n.view.FinalJobs[ref]
	if !ok {
		n.announce(records.JobPrefix + ref)
		return
	}
	raw, err := protocol.Encode(&records.Job{State: f.State, Tasks: f.Tasks})
	if err != nil {
		return
	}
	n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true,
		Updates: []protocol.KeyUpdate{{Key: records.JobPrefix + ref, Value: raw, Version: f.Version}}})
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
		n.view.Quota.ObserveDemands(msg.From, msg.Demands, now)
		if len(msg.Demands) > 0 {
			n.poke()
		}
	}
	if msg.StateReachable {
		n.stateOKAt[msg.From] = now
	}
	for _, l := range msg.Loads {
		if s := n.view.Shards[l.Shard]; s != nil {
			n.ousted(s, msg.From, l.FencingToken)
		}
		n.loads[l.Shard] = replica.ReportedLoad{Load: l, At: now}
		n.queuedNow[l.Shard] = 0
	}
	n.leaveTo(msg.ClaimIntents, now.Add(2*retryClaim))
	n.leaveTo(msg.PreemptionIntents, now.Add(planFor))
	if n.view.Loaded {
		for _, k := range msg.Updates {
			if len(k.Value) > 0 && (strings.HasPrefix(k.Key, records.JobPrefix) || strings.HasPrefix(k.Key, records.ClaimPrefix) || strings.HasPrefix(k.Key, records.AllotmentPrefix)) {
				n.view.ApplyItem(kv.Item{Key: k.Key, Value: k.Value, Version: k.Version})
			}
		}
	}
	return protocol.Encode(&protocol.PeerMessage{From: n.cfg.NodeName, Accepted: n.view.Loaded})
}

// leaveTo holds this node's own copies of work back for a while: another shard
// is about to claim it, and a second claim would only spend budget and fail.
// This is advice; the claim itself decides.
func (n *Controller) leaveTo(keys []string, until time.Time) {
	for _, key := range keys {
		if ref, chunk, err := records.ParseClaimKey(key); err == nil && n.view.Jobs[ref] != nil && n.view.Claims[key] == nil {
			n.view.Jobs[ref].LeftUntil[chunk] = until
		}
	}
}

// loadKeep is how long a shard's load, once worked out, serves its owner.
const loadKeep = 200 * time.Millisecond

// loadOf is a shard's load now.
func (n *Controller) loadOf(s *replica.Shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(s.Load.At) < loadKeep && s.Load.Load.FencingToken == s.FencingToken {
		return s.Load.Load
	}
	l := protocol.ShardLoad{Shard: s.Name, FencingToken: s.FencingToken, FreeCPUsByImage: make(protocol.Amounts)}
	for _, r := range n.rooms(s, now) {
		l.CPUs += r.total.CPUs
		l.UsedCPUs += r.total.CPUs - r.cpus
		if r.m.Quarantine.Active {
			l.ExcludedHosts = append(l.ExcludedHosts, r.host)
		}
		if !r.usable {
			continue
		}
		for _, u := range r.m.Images {
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
	s.Load = replica.ReportedLoad{Load: l, At: now}
	n.loads[s.Name] = s.Load
	n.queuedNow[s.Name] = 0
	return l
}
