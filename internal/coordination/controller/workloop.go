package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	// batchDelay lets changes that arrive together be handled by one pass. Its odd number of
	// nanoseconds keeps it from ending at the same instant as the pause of another loop; see
	// loopStagger.
	batchDelay = time.Millisecond + 29*time.Nanosecond
	// passInterval is the time between passes when nothing changes.
	passInterval = 500*time.Millisecond + 31*time.Nanosecond
	// resendInterval is the time after which a start or stop command without effect is sent
	// again.
	resendInterval = 700 * time.Millisecond
	// claimRetryPause is how long a chunk is left to other shards after a failed claim.
	claimRetryPause = time.Second
	// recheckDelay is the time after which a claim with changes still outstanding is
	// reconciled again.
	recheckDelay = 250 * time.Millisecond
	// sweepInterval is how often all claims of a shard are reconciled.
	sweepInterval = 5 * time.Second
	// maxJobReads bounds how many jobs are read in one batch.
	maxJobReads = 32
	// jobReadTimeout bounds the read of one job.
	jobReadTimeout = 2 * time.Second
	// orphanRetryPause is the time between two reads of the same claim's job.
	orphanRetryPause = time.Second
)

// throttle limits the fraction of time that passes of the work loop take, so that requests are
// answered even if passes take long.
var throttle = admission.Throttle{MaxShare: 0.25, MinPause: 15 * time.Millisecond, IdlePause: 50 * time.Millisecond, MaxPause: 150 * time.Millisecond}

// workLoop reconciles placements with heartbeats and schedules the queues, whenever
// something has changed and otherwise about every passInterval.
func (c *Controller) workLoop(ctx context.Context) {
	for {
		tick := time.NewTimer(passInterval)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-c.wakeUp:
			c.pause(ctx, batchDelay)
		case <-tick.C:
			c.waitWhilePaused(ctx)
		}
		tick.Stop()
		c.mu.Lock()
		startedAt := time.Now()
		c.observePause(startedAt)
		urgent := c.view.Urgent
		if c.view.Loaded {
			c.view.Urgent = false
			c.runPass(startedAt)
		}
		c.mu.Unlock()
		if !c.pause(ctx, throttle.Pause(time.Since(startedAt), urgent)) {
			return
		}
	}
}

// runPass does all work that is due now. Shards are processed in the order of their names.
func (c *Controller) runPass(now time.Time) {
	c.expirePreemptions(now)
	c.propagateUrgency(now)
	for _, name := range c.view.ShardNames() {
		if shard := c.view.Shards[name]; c.view.IsActive(shard) {
			c.runShardPass(shard, now)
		}
	}
	if c.isLeader() {
		c.reserveForGangs(now)
	}
	c.transferAllotments(now)
	c.releaseReservations(now)
	c.broadcastIntents()
	c.readOrphanJobs(now)
}

// runShardPass does the work of one owned shard that is due now.
func (c *Controller) runShardPass(shard *replica.Shard, now time.Time) {
	if now.Sub(shard.SweptAt) > sweepInterval {
		c.view.MarkAllDirty(shard)
	}
	c.reconcileClaims(shard, now)
	c.holdForGangs(shard, now)
	// Unless something has changed, another pass over the queue has the same result.
	if shard.Changed || now.Sub(shard.ScheduledAt) >= passInterval {
		shard.Changed, shard.ScheduledAt = false, now
		c.scheduleShard(shard, now)
	}
}

// broadcastIntents sends the other controllers the keys of the claims that this pass has
// begun to commit, and of those that it preempts tasks for.
func (c *Controller) broadcastIntents() {
	if len(c.claimIntents)+len(c.preemptions.intents) == 0 {
		return
	}
	message := c.newPeerMessage()
	message.ClaimIntents, message.PreemptionIntents = c.claimIntents, c.preemptions.intents
	c.broadcast(c.ctx, message)
	c.claimIntents, c.preemptions.intents = nil, nil
}

// readOrphanJobs reads the jobs of claims whose job is not in the view, because the job was
// dropped or has not been received: a cancelled job can be forwarded ahead of its claim. Only
// one goroutine reads at a time, which prevents thousands of reads from waiting for the
// request budget until the process runs out of memory and its watch falls so far behind that
// cancelled tasks continue to run.
func (c *Controller) readOrphanJobs(now time.Time) {
	if c.readingOrphans || len(c.view.OrphanClaims) == 0 {
		return
	}
	jobIDs := c.orphanJobsDue(now)
	if len(jobIDs) == 0 {
		return
	}
	c.readingOrphans = true
	ctx := c.ctx
	go func() {
		for _, jobID := range jobIDs {
			if err := c.readOrphanJob(ctx, jobID); err != nil {
				break // this read from the state service failed, so the reads of the remaining jobs would fail as well
			}
		}
		c.mu.Lock()
		c.readingOrphans = false
		c.mu.Unlock()
	}()
}

// orphanJobsDue lists jobs of orphaned claims whose next read is due, at most
// maxJobReads.
func (c *Controller) orphanJobsDue(now time.Time) []string {
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
	return jobIDs
}

// readOrphanJob reads one job and applies it. It takes the lock itself.
func (c *Controller) readOrphanJob(ctx context.Context, jobID string) error {
	ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
	item, err := c.store.Get(ctx, records.JobPrefix+jobID)
	cancel()
	c.mu.Lock()
	c.applyOrphanJob(jobID, item, err)
	c.mu.Unlock()
	return err
}

// applyOrphanJob applies a job that was read for its orphaned claims, unless the view has
// received the job meanwhile.
func (c *Controller) applyOrphanJob(jobID string, item kv.Item, err error) {
	for _, claim := range c.view.OrphanClaims[jobID] {
		claim.RetryAt = time.Now().Add(orphanRetryPause)
	}
	found := err == nil && item.Value != nil
	if !found || !c.view.HasOrphanClaims(jobID) || c.view.Jobs[jobID] != nil {
		return
	}
	delete(c.view.FinalJobs, jobID)
	delete(c.view.Versions, item.Key)
	c.view.ApplyItem(item)
}
