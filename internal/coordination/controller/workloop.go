package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	batchDelay      = time.Millisecond + 29*time.Nanosecond // odd, as all pauses of loops: see loopStagger
	passInterval    = 500*time.Millisecond + 31*time.Nanosecond
	resendInterval  = 700 * time.Millisecond
	claimRetryPause = time.Second
	recheckDelay    = 250 * time.Millisecond
	sweepInterval   = 5 * time.Second
)

// throttle leaves most of the time to answers, however long passes take.
var throttle = admission.Throttle{MaxShare: 0.25, MinPause: 15 * time.Millisecond, IdlePause: 50 * time.Millisecond, MaxPause: 150 * time.Millisecond}

// workLoop compares placements with reports and the queue with the room there
// is, whenever something changed and a few times a second.
func (c *Controller) workLoop(ctx context.Context) {
	for {
		tick := time.NewTimer(passInterval)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-c.wakeUp:
			// What came together is looked at together.
			c.pause(ctx, batchDelay)
		case <-tick.C:
			c.waitWhilePaused(ctx)
		}
		tick.Stop()
		c.mu.Lock()
		began := time.Now()
		c.observePause(began)
		urgent := c.view.Urgent
		if c.view.Loaded {
			c.view.Urgent = false
			c.pass(began)
		}
		c.mu.Unlock()
		if !c.pause(ctx, throttle.Pause(time.Since(began), urgent)) {
			return
		}
	}
}

func (c *Controller) pass(now time.Time) {
	c.expirePreemptions(now)
	c.propagateUrgency(now)
	for _, name := range c.view.ShardNames() {
		shard := c.view.Shards[name]
		if !c.view.IsActive(shard) {
			continue
		}
		if now.Sub(shard.SweptAt) > sweepInterval {
			c.view.MarkAllDirty(shard)
		}
		c.reconcileClaims(shard, now)
		c.holdForGangs(shard, now)
		// Nothing has changed: the queue would only find what it found before.
		if shard.Changed || now.Sub(shard.ScheduledAt) >= passInterval {
			shard.Changed, shard.ScheduledAt = false, now
			c.scheduleShard(shard, now)
		}
	}
	if c.isLeader() {
		c.reserveForGangs(now)
	}
	c.transferAllotments(now)
	c.releaseReservations(now)
	if len(c.claimIntents)+len(c.preemptions.intents) > 0 {
		c.broadcast(c.ctx, protocol.PeerMessage{From: c.settings.NodeName, StateReachable: true, ClaimIntents: c.claimIntents, PreemptionIntents: c.preemptions.intents})
		c.claimIntents, c.preemptions.intents = nil, nil
	}
	c.readOrphanJobs(now)
}

// maxJobReads bounds how many jobs are read in one go.
const maxJobReads = 32

// readOrphanJobs reads the jobs of claims whose job this node has forgotten or not
// seen: a cancelled job can be passed on ahead of its claim. One goroutine reads
// at a time. When each had its own, some seven thousand waited for the request
// budget on a bad day, until the process ended for memory, and the watch behind
// them was so late that cancelled tasks ran on.
func (c *Controller) readOrphanJobs(now time.Time) {
	if c.readingOrphans || len(c.view.OrphanClaims) == 0 {
		return
	}
	var jobIDs []string
	for _, jobID := range slices.Sorted(maps.Keys(c.view.OrphanClaims)) {
		due := true
		for _, claim := range c.view.OrphanClaims[jobID] {
			due = due && claim.RetryAt.Before(now)
		}
		if due && len(jobIDs) < maxJobReads {
			jobIDs = append(jobIDs, jobID)
		}
	}
	if len(jobIDs) == 0 {
		return
	}
	c.readingOrphans = true
	ctx := c.ctx
	go func() {
		for _, jobID := range jobIDs {
			ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
			item, err := c.store.Get(ctx, records.JobPrefix+jobID)
			cancel()
			c.mu.Lock()
			c.applyOrphanJob(jobID, item, err)
			c.mu.Unlock()
			if err != nil {
				break // the others would wait as vainly
			}
		}
		c.mu.Lock()
		c.readingOrphans = false
		c.mu.Unlock()
	}()
}

const jobReadTimeout = 2 * time.Second

func (c *Controller) applyOrphanJob(jobID string, item kv.Item, err error) {
	for _, claim := range c.view.OrphanClaims[jobID] {
		claim.RetryAt = time.Now().Add(time.Second)
	}
	if err != nil || item.Value == nil || !c.view.HasClaims(jobID) || c.view.Jobs[jobID] != nil {
		return
	}
	delete(c.view.FinalJobs, jobID)
	delete(c.view.Versions, item.Key)
	c.view.ApplyItem(item)
}
