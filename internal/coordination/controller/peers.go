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

const (
	// peerInterval is the time between two periodic messages. The extra 59 ns keep the
	// iterations of this loop from coinciding with those of the other loops.
	peerInterval = time.Second + 59*time.Nanosecond
	// peerCallTimeout bounds one call to another controller.
	peerCallTimeout = 900 * time.Millisecond
	// loadCacheTTL is how long the owner of a shard reuses a computed load of the shard.
	loadCacheTTL = 200 * time.Millisecond
	// maxRepeatedCancellations bounds the cancellations that are repeated in one message.
	maxRepeatedCancellations = 100
	// notifiedTTL is how long a controller counts as notified of a cancellation after it has
	// confirmed the cancellation. The time is bounded because the controller may restart
	// after the confirmation and lose its cache.
	notifiedTTL = 10 * time.Second
)

// peerLoop sends this controller's status to the other controllers every second.
func (c *Controller) peerLoop(ctx context.Context) {
	for c.pause(ctx, peerInterval) {
		c.mu.Lock()
		c.shareStateBudget(time.Now())
		message := c.statusMessage()
		c.mu.Unlock()
		c.broadcast(ctx, message)
	}
}

// newPeerMessage returns a message with key updates. Every message is built here, so that each
// reports the state service as reachable only if this controller has observed it
// (TestMessagesReportObservedStateAccess).
func (c *Controller) newPeerMessage(updates ...protocol.KeyUpdate) protocol.PeerMessage {
	servedAt := c.store.LastSuccess()
	return protocol.PeerMessage{
		From:            c.settings.NodeName,
		StateReachable:  time.Since(servedAt) < stateReachableTTL,
		StateServedAtMs: max(0, servedAt.UnixMilli()),
		Updates:         updates,
	}
}

// newKeyUpdate returns a record in the form in which controllers exchange it, and reports
// whether the record could be encoded.
func newKeyUpdate(key string, record any, version uint64) (protocol.KeyUpdate, bool) {
	raw, err := protocol.Encode(record)
	return protocol.KeyUpdate{Key: key, Value: raw, Version: version}, err == nil
}

// statusMessage returns the periodic message: this controller's backlog, the cancellations to
// be repeated, its demands for allotments, and the loads of its shards.
func (c *Controller) statusMessage() protocol.PeerMessage {
	message := c.newPeerMessage()
	message.Periodic = true
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

// repeatedCancellations returns the cancellations to send again. The watch delivers a
// cancellation to every controller that the state service serves. It does not reach an owner
// that the state service refuses, or one that was partitioned when the job was cancelled and
// whose zone has rejoined during an outage of the state service. Repeating the cancellation
// keeps such an owner from running the job's tasks beyond the deadline although other
// controllers have received the cancellation. The cancellations are sent in rotation, so that
// each one is repeated even if more are due than fit into one message
// (TestAllCancellationsAreRepeated).
func (c *Controller) repeatedCancellations(now time.Time) (updates []protocol.KeyUpdate) {
	var jobIDs []string
	isDown := c.isStateDown(now)
	for jobID, job := range c.view.CancelledJobs {
		if isDown || c.ownerMayMissCancellation(job, now) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	at, _ := slices.BinarySearch(jobIDs, c.nextRepeated)
	for _, jobID := range slices.Concat(jobIDs[at:], jobIDs[:at]) {
		if len(updates) == maxRepeatedCancellations {
			c.nextRepeated = jobID
			break
		}
		job := c.view.CancelledJobs[jobID]
		if update, ok := newKeyUpdate(records.JobPrefix+jobID, job.Record, job.Version); ok {
			updates = append(updates, update)
		}
	}
	return updates
}

// ownerMayMissCancellation reports whether a machine that may run tasks of a cancelled job is
// owned by another controller that has not reported recently that it reaches the state
// service. The watch may not deliver the cancellation to such an owner.
func (c *Controller) ownerMayMissCancellation(job *replica.Job, now time.Time) bool {
	for _, claim := range job.Claims {
		for _, slot := range claim.Slots {
			if slot.Host.Machine == nil {
				continue
			}
			shard := c.view.Shards[slot.Host.Machine.Record.Shard]
			if shard == nil || shard.Record == nil || shard.Record.Owner == c.settings.NodeName {
				continue
			}
			if !c.stateReports.isServed(shard.Record.Owner, now) {
				return true
			}
		}
	}
	return false
}

// broadcast sends a message to every other controller and does not wait for their answers.
func (c *Controller) broadcast(ctx context.Context, message protocol.PeerMessage) {
	for _, name := range slices.Sorted(maps.Keys(c.peerClients)) {
		peer := c.peerClients[name]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			var answer protocol.PeerMessage
			if err := peer.Call(ctx, message, &answer); err != nil {
				c.log.Debug("peer unreachable", "node", name, "err", err)
			} else if answer.Accepted {
				c.recordNotified(name, message.Updates)
			}
		}()
	}
}

// recordNotified records which cancellations another controller has confirmed. It takes the
// lock itself.
func (c *Controller) recordNotified(peer string, updates []protocol.KeyUpdate) {
	if len(updates) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, update := range updates {
		if job := c.view.CancelledJobs[strings.TrimPrefix(update.Key, records.JobPrefix)]; job != nil {
			if job.NotifiedAt == nil {
				job.NotifiedAt = make(map[string]time.Time)
			}
			job.NotifiedAt[peer] = time.Now()
		}
	}
}

// broadcastJob sends a cached job's record to the other controllers. If the job has exactly
// one claim, the message includes the claim's record, so that the other controllers do not
// try to claim the job as well.
func (c *Controller) broadcastJob(key string) {
	jobID := strings.TrimPrefix(key, records.JobPrefix)
	job := c.view.Jobs[jobID]
	if job == nil {
		return
	}
	update, ok := newKeyUpdate(key, job.Record, job.Version)
	if !ok {
		return
	}
	message := c.newPeerMessage(update)
	for _, claim := range job.Claims {
		if claim.Record == nil || len(job.Claims) != 1 {
			continue
		}
		if update, ok := newKeyUpdate(claim.Key, claim.Record, claim.Version); ok {
			message.Updates = append(message.Updates, update)
		}
	}
	c.broadcast(c.ctx, message)
}

// broadcastAccepted sends the record of a job that was just accepted by the commit of a revision.
// The record of a blocked job is sent as given, since the view's Jobs do not contain blocked jobs.
func (c *Controller) broadcastAccepted(key string, record *records.Job, revision uint64) {
	if record.State == records.JobBlocked {
		c.broadcastRecord(key, record, revision)
		return
	}
	c.broadcastJob(key)
}

// broadcastRecord sends a record that was just committed, with the revision of its commit. The
// view may already hold a newer version: the answer to a commit can arrive after the watch has
// delivered later changes of the key. A receiver would take the record for that version and ignore
// the true one (pipeline-late-answers.trace).
func (c *Controller) broadcastRecord(key string, record any, revision uint64) {
	if update, ok := newKeyUpdate(key, record, revision); ok {
		c.broadcast(c.ctx, c.newPeerMessage(update))
	}
}

// broadcastFinal sends the record of a finished job, since users may query any controller.
func (c *Controller) broadcastFinal(jobID string) {
	final, ok := c.view.FinalJobs[jobID]
	if !ok {
		c.broadcastJob(records.JobPrefix + jobID)
		return
	}
	record := &records.Job{State: final.State, Tasks: final.Tasks}
	if update, ok := newKeyUpdate(records.JobPrefix+jobID, record, final.Version); ok {
		c.broadcast(c.ctx, c.newPeerMessage(update))
	}
}

// HandlePeerMessage applies another controller's message. The answer reports whether its
// updates were applied.
func (c *Controller) HandlePeerMessage(_ context.Context, in json.RawMessage) (json.RawMessage, error) {
	var message protocol.PeerMessage
	if err := protocol.Decode(in, &message); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observePeer(&message, now)
	c.observeLoads(&message, now)
	c.leaveToPeer(message.ClaimIntents, now.Add(2*claimRetryPause))
	c.leaveToPeer(message.PreemptionIntents, now.Add(preemptionHold))
	if c.view.Loaded {
		c.applyUpdates(message.Updates)
	}
	return protocol.Encode(&protocol.PeerMessage{From: c.settings.NodeName, Accepted: c.view.Loaded})
}

// observePeer records what a message reports about its sender.
func (c *Controller) observePeer(message *protocol.PeerMessage, now time.Time) {
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
	c.stateReports.observe(message, now)
}

// observeLoads records the loads of the sender's shards, and gives up shards that the sender
// has acquired from this controller.
func (c *Controller) observeLoads(message *protocol.PeerMessage, now time.Time) {
	for _, load := range message.Loads {
		if shard := c.view.Shards[load.Shard]; shard != nil {
			c.yieldToNewOwner(shard, message.From, load.FencingToken)
		}
		c.shardLoads.reported[load.Shard] = replica.ReportedLoad{Load: load, At: now}
		c.shardLoads.queuedSince[load.Shard] = 0
	}
}

// applyUpdates applies records received from another controller. The view ignores those that
// are older than its own.
func (c *Controller) applyUpdates(updates []protocol.KeyUpdate) {
	for _, update := range updates {
		if len(update.Value) > 0 && isBroadcastKey(update.Key) {
			c.view.ApplyItem(kv.Item{Key: update.Key, Value: update.Value, Version: update.Version})
		}
	}
}

// isBroadcastKey reports whether controllers send each other the records of a key ahead of the
// watch, as they do for jobs, claims and allotments.
func isBroadcastKey(key string) bool {
	return strings.HasPrefix(key, records.JobPrefix) || strings.HasPrefix(key, records.ClaimPrefix) ||
		strings.HasPrefix(key, records.AllotmentPrefix)
}

// leaveToPeer keeps this controller from claiming chunks until the time given, since the owner
// of another shard is about to claim them: a second claim would only use up request budget and
// fail. This is advisory; the condition of the claim's commit decides.
func (c *Controller) leaveToPeer(keys []string, until time.Time) {
	for _, key := range keys {
		if jobID, chunk, err := records.ParseClaimKey(key); err == nil && c.view.Jobs[jobID] != nil && c.view.Claims[key] == nil {
			c.view.Jobs[jobID].DeferredUntil[chunk] = until
		}
	}
}

// shardLoad returns the load of a shard that this controller owns, at most loadCacheTTL old.
func (c *Controller) shardLoad(shard *replica.Shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(shard.Load.At) < loadCacheTTL && shard.Load.Load.FencingToken == shard.FencingToken {
		return shard.Load.Load
	}
	load := protocol.ShardLoad{Shard: shard.Name, FencingToken: shard.FencingToken, FreeCPUsByImage: make(protocol.Amounts)}
	c.addCapacities(&load, shard, now)
	load.ExcludedHosts = append(load.ExcludedHosts, c.overdueMachines(shard, now)...)
	for kind, factor := range c.provisioner.bootStats.UnreliableKinds(now) {
		if load.Unreliability == nil {
			load.Unreliability = make(protocol.Amounts)
		}
		load.Unreliability[kind.Type+"/"+kind.Zone] = factor
	}
	for _, entry := range c.queue(shard, now) {
		load.QueuedCPUs += entry.Spec.CPUs * float64(entry.UnplacedTasks())
	}
	shard.Load = replica.ReportedLoad{Load: load, At: now}
	c.shardLoads.reported[shard.Name] = shard.Load
	c.shardLoads.queuedSince[shard.Name] = 0
	return load
}

// addCapacities adds to a shard's load the CPUs of its machines, the CPUs in use, for each
// cached image the most CPUs that are free on one machine with the image, and the quarantined
// machines.
func (c *Controller) addCapacities(load *protocol.ShardLoad, shard *replica.Shard, now time.Time) {
	for _, capacity := range c.capacities(shard, now) {
		load.CPUs += capacity.Type.CPUs
		load.UsedCPUs += capacity.Type.CPUs - capacity.Free.CPUs
		if capacity.Machine.Quarantine.Active {
			load.ExcludedHosts = append(load.ExcludedHosts, capacity.Host)
		}
		if !capacity.Usable {
			continue
		}
		for _, cached := range capacity.Machine.Images {
			if capacity.Free.CPUs > load.FreeCPUsByImage[cached.Name] {
				load.FreeCPUsByImage[cached.Name] = capacity.Free.CPUs
			}
		}
	}
}
