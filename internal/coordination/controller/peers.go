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
func (c *Controller) peerLoop(ctx context.Context) {
	for c.pause(ctx, time.Second+59*time.Nanosecond) {
		c.mu.Lock()
		c.shareStateBudget(time.Now())
		message := c.statusMessage()
		c.mu.Unlock()
		c.broadcast(ctx, message)
	}
}

func (c *Controller) statusMessage() protocol.PeerMessage {
	message := protocol.PeerMessage{From: c.settings.NodeName, StateReachable: time.Since(c.store.LastSuccess()) < 1500*time.Millisecond, Periodic: true}
	message.PendingChanges, _ = c.store.Backlog(kv.PriorityBackground)
	message.Updates = c.repeatedCancellations(time.Now())
	message.Demands, message.DemandsComplete = c.view.Quota.Demands(time.Now()), true
	for _, name := range c.view.ShardNames() {
		if shard := c.view.Shards[name]; c.view.IsActive(shard) {
			message.Loads = append(message.Loads, c.shardLoad(shard))
		}
	}
	return message
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
func (c *Controller) repeatedCancellations(now time.Time) (news []protocol.KeyUpdate) {
	var jobIDs []string
	down := c.isStateDown(now)
	for jobID, job := range c.view.CancelledJobs {
		if down || c.ownerMayMiss(job, now) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	at, _ := slices.BinarySearch(jobIDs, c.nextRepeated)
	for _, jobID := range slices.Concat(jobIDs[at:], jobIDs[:at]) {
		if len(news) == maxRepeatedCancellations {
			c.nextRepeated = jobID
			break
		}
		job := c.view.CancelledJobs[jobID]
		if raw, err := protocol.Encode(job.Record); err == nil {
			news = append(news, protocol.KeyUpdate{Key: records.JobPrefix + jobID, Value: raw, Version: job.Version})
		}
	}
	return news
}

// ownerMayMiss tells that an owner of a machine that may keep a cancelled job's tasks has
// not said lately that the state service serves it.
func (c *Controller) ownerMayMiss(job *replica.Job, now time.Time) bool {
	for _, claim := range job.Claims {
		for _, slot := range claim.Slots {
			if slot.Host.Machine == nil {
				continue
			}
			shard := c.view.Shards[slot.Host.Machine.Record.Shard]
			if shard != nil && shard.Record != nil && shard.Record.Owner != c.settings.NodeName && now.Sub(c.membership.stateReachableAt[shard.Record.Owner]) > peerStatusTTL {
				return true
			}
		}
	}
	return false
}

func (c *Controller) broadcast(ctx context.Context, message protocol.PeerMessage) {
	for _, name := range slices.Sorted(maps.Keys(c.peerClients)) {
		peer := c.peerClients[name]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			var out protocol.PeerMessage
			if err := peer.Call(ctx, message, &out); err != nil {
				c.log.Debug("peer unreachable", "node", name, "err", err)
			} else if out.Accepted {
				c.recordNotified(name, message.Updates)
			}
		}()
	}
}

// recordNotified notes which cancellations another controller has taken.
func (c *Controller) recordNotified(peer string, news []protocol.KeyUpdate) {
	if len(news) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range news {
		if job := c.view.CancelledJobs[strings.TrimPrefix(k.Key, records.JobPrefix)]; job != nil {
			if job.NotifiedAt == nil {
				job.NotifiedAt = make(map[string]time.Time)
			}
			job.NotifiedAt[peer] = time.Now()
		}
	}
}

// broadcastJob passes a record of the cache on to the other controllers.
func (c *Controller) broadcastJob(key string) {
	jobID := strings.TrimPrefix(key, records.JobPrefix)
	job := c.view.Jobs[jobID]
	if job == nil {
		return
	}
	raw, err := protocol.Encode(job.Record)
	if err != nil {
		return
	}
	message := protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: job.Version}}}
	for _, claim := range job.Claims {
		// The claim made in the same breath spares the others a vain attempt.
		if claim.Record == nil || len(job.Claims) != 1 {
			continue
		}
		if raw, err := protocol.Encode(claim.Record); err == nil {
			message.Updates = append(message.Updates, protocol.KeyUpdate{Key: claim.Key, Value: raw, Version: claim.Version})
		}
	}
	c.broadcast(c.ctx, message)
}

// broadcastAccepted passes a job just accepted on.
func (c *Controller) broadcastAccepted(key string, record *records.Job) {
	if record.State == records.JobBlocked {
		c.broadcastRecord(key, record)
		return
	}
	c.broadcastJob(key)
}

// broadcastRecord passes a record just committed on.
func (c *Controller) broadcastRecord(key string, record any) {
	if raw, err := protocol.Encode(record); err == nil {
		c.broadcast(c.ctx, protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true, Updates: []protocol.KeyUpdate{{Key: key, Value: raw, Version: c.view.Versions[key]}}})
	}
}

// broadcastFinal passes a finished job on, since its users ask any node.
func (c *Controller) broadcastFinal(jobID string) {
	f, ok := c.view.FinalJobs[jobID]
	if !ok {
		c.broadcastJob(records.JobPrefix + jobID)
		return
	}
	raw, err := protocol.Encode(&records.Job{State: f.State, Tasks: f.Tasks})
	if err != nil {
		return
	}
	c.broadcast(c.ctx, protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true,
		Updates: []protocol.KeyUpdate{{Key: records.JobPrefix + jobID, Value: raw, Version: f.Version}}})
}

// HandlePeerMessage takes another controller's message.
func (c *Controller) HandlePeerMessage(_ context.Context, in json.RawMessage) (json.RawMessage, error) {
	var message protocol.PeerMessage
	if err := protocol.Decode(in, &message); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.membership.lastContact[message.From] = now
	if message.Periodic {
		c.membership.backlogs[message.From] = peerBacklog{message.PendingChanges, now}
	}
	if message.DemandsComplete {
		c.view.Quota.ObserveDemands(message.From, message.Demands, now)
		if len(message.Demands) > 0 {
			c.wake()
		}
	}
	if message.StateReachable {
		c.membership.stateReachableAt[message.From] = now
	}
	for _, load := range message.Loads {
		if shard := c.view.Shards[load.Shard]; shard != nil {
			c.yieldToNewOwner(shard, message.From, load.FencingToken)
		}
		c.shardLoads.reported[load.Shard] = replica.ReportedLoad{Load: load, At: now}
		c.shardLoads.queuedSince[load.Shard] = 0
	}
	c.leaveToPeer(message.ClaimIntents, now.Add(2*claimRetryPause))
	c.leaveToPeer(message.PreemptionIntents, now.Add(preemptionHold))
	if c.view.Loaded {
		for _, k := range message.Updates {
			if len(k.Value) > 0 && (strings.HasPrefix(k.Key, records.JobPrefix) || strings.HasPrefix(k.Key, records.ClaimPrefix) || strings.HasPrefix(k.Key, records.AllotmentPrefix)) {
				c.view.ApplyItem(kv.Item{Key: k.Key, Value: k.Value, Version: k.Version})
			}
		}
	}
	return protocol.Encode(&protocol.PeerMessage{From: c.settings.NodeName, Accepted: c.view.Loaded})
}

// leaveToPeer holds this node's own copies of work back for a while: another shard
// is about to claim it, and a second claim would only spend budget and fail.
// This is advice; the claim itself decides.
func (c *Controller) leaveToPeer(keys []string, until time.Time) {
	for _, key := range keys {
		if jobID, chunk, err := records.ParseClaimKey(key); err == nil && c.view.Jobs[jobID] != nil && c.view.Claims[key] == nil {
			c.view.Jobs[jobID].LeftUntil[chunk] = until
		}
	}
}

// loadCacheTTL is how long a shard's load, once worked out, serves its owner.
const loadCacheTTL = 200 * time.Millisecond

// shardLoad is a shard's load now.
func (c *Controller) shardLoad(shard *replica.Shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(shard.Load.At) < loadCacheTTL && shard.Load.Load.FencingToken == shard.FencingToken {
		return shard.Load.Load
	}
	load := protocol.ShardLoad{Shard: shard.Name, FencingToken: shard.FencingToken, FreeCPUsByImage: make(protocol.Amounts)}
	for _, capacity := range c.capacities(shard, now) {
		load.CPUs += capacity.Type.CPUs
		load.UsedCPUs += capacity.Type.CPUs - capacity.Free.CPUs
		if capacity.Machine.Quarantine.Active {
			load.ExcludedHosts = append(load.ExcludedHosts, capacity.Host)
		}
		if !capacity.Usable {
			continue
		}
		for _, u := range capacity.Machine.Images {
			if capacity.Free.CPUs > load.FreeCPUsByImage[u.Name] {
				load.FreeCPUsByImage[u.Name] = capacity.Free.CPUs
			}
		}
	}
	load.ExcludedHosts = append(load.ExcludedHosts, c.overdueMachines(shard, now)...)
	for k, times := range c.provisioner.bootStats.UnreliableKinds(now) {
		if load.Unreliability == nil {
			load.Unreliability = make(protocol.Amounts)
		}
		load.Unreliability[k.Type+"/"+k.Zone] = times
	}
	for _, entry := range c.queue(shard, now) {
		load.QueuedCPUs += entry.Spec.CPUs * float64(entry.UnplacedTasks())
	}
	shard.Load = replica.ReportedLoad{Load: load, At: now}
	c.shardLoads.reported[shard.Name] = shard.Load
	c.shardLoads.queuedSince[shard.Name] = 0
	return load
}
