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
func (n *Controller) workLoop(ctx context.Context) {
	for {
		tick := time.NewTimer(passInterval)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-n.wakeUp:
			// What came together is looked at together.
			n.pause(ctx, batchDelay)
		case <-tick.C:
			n.waitWhilePaused(ctx)
		}
		tick.Stop()
		n.mu.Lock()
		began := time.Now()
		n.observePause(began)
		urgent := n.view.Urgent
		if n.view.Loaded {
			n.view.Urgent = false
			n.pass(began)
		}
		n.mu.Unlock()
		if !n.pause(ctx, throttle.Pause(time.Since(began), urgent)) {
			return
		}
	}
}

func (n *Controller) pass(now time.Time) {
	n.expirePreemptions(now)
	n.propagateUrgency(now)
	for _, name := range n.view.ShardNames() {
		s := n.view.Shards[name]
		if !n.view.IsActive(s) {
			continue
		}
		if now.Sub(s.SweptAt) > sweepInterval {
			n.view.MarkAllDirty(s)
		}
		n.reconcileClaims(s, now)
		n.holdForGangs(s, now)
		// Nothing has changed: the queue would only find what it found before.
		if s.Changed || now.Sub(s.ScheduledAt) >= passInterval {
			s.Changed, s.ScheduledAt = false, now
			n.scheduleShard(s, now)
		}
	}
	if n.isLeader() {
		n.reserveForGangs(now)
	}
	n.transferAllotments(now)
	n.releaseReservations(now)
	if len(n.claimIntents)+len(n.preemptions.intents) > 0 {
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.settings.NodeName, StateReachable: true, ClaimIntents: n.claimIntents, PreemptionIntents: n.preemptions.intents})
		n.claimIntents, n.preemptions.intents = nil, nil
	}
	n.readOrphanJobs(now)
}

// maxJobReads bounds how many jobs are read in one go.
const maxJobReads = 32

// readOrphanJobs reads the jobs of claims whose job this node has forgotten or not
// seen: a cancelled job can be passed on ahead of its claim. One goroutine reads
// at a time. When each had its own, some seven thousand waited for the request
// budget on a bad day, until the process ended for memory, and the watch behind
// them was so late that cancelled tasks ran on.
func (n *Controller) readOrphanJobs(now time.Time) {
	if n.readingOrphans || len(n.view.OrphanClaims) == 0 {
		return
	}
	var refs []string
	for _, ref := range slices.Sorted(maps.Keys(n.view.OrphanClaims)) {
		due := true
		for _, c := range n.view.OrphanClaims[ref] {
			due = due && c.RetryAt.Before(now)
		}
		if due && len(refs) < maxJobReads {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	n.readingOrphans = true
	ctx := n.ctx
	go func() {
		for _, ref := range refs {
			ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
			it, err := n.store.Get(ctx, records.JobPrefix+ref)
			cancel()
			n.mu.Lock()
			n.applyOrphanJob(ref, it, err)
			n.mu.Unlock()
			if err != nil {
				break // the others would wait as vainly
			}
		}
		n.mu.Lock()
		n.readingOrphans = false
		n.mu.Unlock()
	}()
}

const jobReadTimeout = 2 * time.Second

func (n *Controller) applyOrphanJob(ref string, it kv.Item, err error) {
	for _, c := range n.view.OrphanClaims[ref] {
		c.RetryAt = time.Now().Add(time.Second)
	}
	if err != nil || it.Value == nil || !n.view.HasClaims(ref) || n.view.Jobs[ref] != nil {
		return
	}
	delete(n.view.FinalJobs, ref)
	delete(n.view.Versions, it.Key)
	n.view.ApplyItem(it)
}
