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
		n.shareStateBudget(time.Now())
		msg := n.statusMessage()
		n.mu.Unlock()
		n.broadcast(ctx, msg)
	}
}

func (n *Controller) statusMessage() protocol.PeerMessage {
	msg := protocol.PeerMessage{From: n.settings.NodeName, StateReachable: time.Since(n.store.LastSuccess()) < 1500*time.Millisecond, Periodic: true}
	msg.PendingChanges, _ = n.store.Backlog(kv.PriorityBackground)
	msg.Updates = n.repeatedCancellations(time.Now())
	msg.Demands, msg.DemandsComplete = n.view.Quota.Demands(time.Now()), true
	for _, name := range n.view.ShardNames() {
		if s := n.view.Shards[name]; n.view.IsActive(s) {
			msg.Loads = append(msg.Loads, n.shardLoad(s))
		}
	}
	return msg
}

// maxRepeatedCancellations bounds the cancellations that are repeated in one message, notifiedTTL
// how long a controller that took one is held to know it: it may end and come back.
const (
	maxRepeatedCancellations = 100
	notifiedTTL              = 10 * time.Second
)

// repeatedCancellations are the cancellations to be told again, by turns. The watch brings them to
// whoever the state service serves; an owner that it refuses, or that was cut off as a
// job was cancelled and whose zone healed in an outage, kept its tasks beyond the bound
// though others knew. With the same hundred told each time the next was never told.
func (n *Controller) repeatedCancellations(now time.Time) (news []protocol.KeyUpdate) {
	var refs []string
	down := n.isStateDown(now)
	for ref, j := range n.view.CancelledJobs {
		if down || n.ownerMayMiss(j, now) {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	at, _ := slices.BinarySearch(refs, n.nextRepeated)
	for _, ref := range slices.Concat(refs[at:], refs[:at]) {
		if len(news) == maxRepeatedCancellations {
			n.nextRepeated = ref
			break
		}
		j := n.view.CancelledJobs[ref]
		if raw, err := protocol.Encode(j.Record); err == nil {
			news = append(news, protocol.KeyUpdate{Key: records.JobPrefix + ref, Value: raw, Version: j.Version})
		}
	}
	return news
}

// ownerMayMiss tells that an owner of a machine that may keep a cancelled job's tasks has
// not said lately that the state service serves it.
func (n *Controller) ownerMayMiss(j *replica.Job, now time.Time) bool {
	for _, c := range j.Claims {
		for _, p := range c.Slots {
			if p.Host.Machine == nil {
				continue
			}
			s := n.view.Shards[p.Host.Machine.Record.Shard]
			if s != nil && s.Record != nil && s.Record.Owner != n.settings.NodeName && now.Sub(n.membership.stateReachableAt[s.Record.Owner]) > peerStatusTTL {
				return true
			}
		}
	}
	return false
}

func (n *Controller) broadcast(ctx context.Context, msg protocol.PeerMessage) {
	for _, name := range slices.Sorted(maps.Keys(n.peerClients)) {
		peer := n.peerClients[name]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			var out protocol.PeerMessage
			if err := peer.Call(ctx, msg, &out); err != nil {
				n.log.Debug("peer not reached", "peer", name, "err", err)
			} else if out.Accepted {
				n.recordNotified(name, msg.Updates)
			}
		}()
	}
}

// recordNotified notes which cancellations another controller has taken.
func (n *Controller) recordNotified(peer string, news []protocol.KeyUpdate) {
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

// broadcastJob passes a record of the cache on to the other controllers.
func (n *Controller) broadcastJob(key string) {
	ref := strings.TrimPrefix(key, records.JobPrefix)
	j := n.view.Jobs[ref]
	if j == nil {
		return
	}
	raw, err := protocol.Encode(j.Record)
	if err != nil {
		return
	}
	msg := protocol.PeerMessage{From: n.settings.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: j.Version}}}
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

// broadcastAccepted passes a job just accepted on.
func (n *Controller) broadcastAccepted(key string, rec *records.Job) {
	if rec.State == records.JobBlocked {
		n.broadcastRecord(key, rec)
		return
	}
	n.broadcastJob(key)
}

// broadcastRecord passes a record just committed on.
func (n *Controller) broadcastRecord(key string, rec any) {
	if raw, err := protocol.Encode(rec); err == nil {
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.settings.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: n.view.Versions[key]}}})
	}
}

// broadcastFinal passes a finished job on, since its users ask any node.
func (n *Controller) broadcastFinal(ref string) {
	f, ok := n.view.FinalJobs[ref]
	if !ok {
		n.broadcastJob(records.JobPrefix + ref)
		return
	}
	raw, err := protocol.Encode(&records.Job{State: f.State, Tasks: f.Tasks})
	if err != nil {
		return
	}
	n.broadcast(n.ctx, protocol.PeerMessage{From: n.settings.NodeName, StateReachable: true,
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
	n.membership.lastContact[msg.From] = now
	if msg.Periodic {
		n.membership.backlogs[msg.From] = peerBacklog{msg.PendingChanges, now}
	}
	if msg.DemandsComplete {
		n.view.Quota.ObserveDemands(msg.From, msg.Demands, now)
		if len(msg.Demands) > 0 {
			n.wake()
		}
	}
	if msg.StateReachable {
		n.membership.stateReachableAt[msg.From] = now
	}
	for _, l := range msg.Loads {
		if s := n.view.Shards[l.Shard]; s != nil {
			n.yieldToNewOwner(s, msg.From, l.FencingToken)
		}
		n.shardLoads.reported[l.Shard] = replica.ReportedLoad{Load: l, At: now}
		n.shardLoads.queuedSince[l.Shard] = 0
	}
	n.leaveToPeer(msg.ClaimIntents, now.Add(2*claimRetryPause))
	n.leaveToPeer(msg.PreemptionIntents, now.Add(preemptionHold))
	if n.view.Loaded {
		for _, k := range msg.Updates {
			if len(k.Value) > 0 && (strings.HasPrefix(k.Key, records.JobPrefix) || strings.HasPrefix(k.Key, records.ClaimPrefix) || strings.HasPrefix(k.Key, records.AllotmentPrefix)) {
				n.view.ApplyItem(kv.Item{Key: k.Key, Value: k.Value, Version: k.Version})
			}
		}
	}
	return protocol.Encode(&protocol.PeerMessage{From: n.settings.NodeName, Accepted: n.view.Loaded})
}

// leaveToPeer holds this node's own copies of work back for a while: another shard
// is about to claim it, and a second claim would only spend budget and fail.
// This is advice; the claim itself decides.
func (n *Controller) leaveToPeer(keys []string, until time.Time) {
	for _, key := range keys {
		if ref, chunk, err := records.ParseClaimKey(key); err == nil && n.view.Jobs[ref] != nil && n.view.Claims[key] == nil {
			n.view.Jobs[ref].LeftUntil[chunk] = until
		}
	}
}

// loadCacheTTL is how long a shard's load, once worked out, serves its owner.
const loadCacheTTL = 200 * time.Millisecond

// shardLoad is a shard's load now.
func (n *Controller) shardLoad(s *replica.Shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(s.Load.At) < loadCacheTTL && s.Load.Load.FencingToken == s.FencingToken {
		return s.Load.Load
	}
	l := protocol.ShardLoad{Shard: s.Name, FencingToken: s.FencingToken, FreeCPUsByImage: make(protocol.Amounts)}
	for _, r := range n.capacities(s, now) {
		l.CPUs += r.Type.CPUs
		l.UsedCPUs += r.Type.CPUs - r.Free.CPUs
		if r.Machine.Quarantine.Active {
			l.ExcludedHosts = append(l.ExcludedHosts, r.Host)
		}
		if !r.Usable {
			continue
		}
		for _, u := range r.Machine.Images {
			if r.Free.CPUs > l.FreeCPUsByImage[u.Name] {
				l.FreeCPUsByImage[u.Name] = r.Free.CPUs
			}
		}
	}
	l.ExcludedHosts = append(l.ExcludedHosts, n.overdueMachines(s, now)...)
	for k, times := range n.provisioner.bootStats.UnreliableKinds(now) {
		if l.Unreliability == nil {
			l.Unreliability = make(protocol.Amounts)
		}
		l.Unreliability[k.Type+"/"+k.Zone] = times
	}
	for _, u := range n.queue(s, now) {
		l.QueuedCPUs += u.Spec.CPUs * float64(u.UnplacedTasks())
	}
	s.Load = replica.ReportedLoad{Load: l, At: now}
	n.shardLoads.reported[s.Name] = s.Load
	n.shardLoads.queuedSince[s.Name] = 0
	return l
}
