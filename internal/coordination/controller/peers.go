package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

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
