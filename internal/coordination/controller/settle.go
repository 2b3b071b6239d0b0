package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/coordination/replica"
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

// reconcileClaims works through the claims of a shard: what has ended is booked, what
// should run is started, what should not is stopped.
func (n *Controller) reconcileClaims(s *replica.Shard, now time.Time) {
	for _, c := range n.view.TakeDirtyClaims(s, now) {
		j := n.view.Jobs[c.JobID]
		if c.Record == nil || c.Pending != nil || j == nil || c.Spec == nil {
			continue // marked again when that changes
		}
		n.reconcileClaim(s, j, c, now)
	}
}

// outcome is what has become of a placement.
type outcome int

const (
	outcomeRunning outcome = iota // it is, or may be, on its machine
	outcomePending                // the same, and something is to be done about it
	outcomeCompleted
	outcomeGone
)

func (n *Controller) reconcileClaim(s *replica.Shard, j *replica.Job, c *replica.Claim, now time.Time) {
	next := c.Record.Clone()
	next.Placements = next.Placements[:0]
	changed, pressing, uneasy := false, n.isLimited(c.Spec) && (!n.view.Quota.IsAllotted(c.Spec.Team) || n.view.Quota.IsDemanded(c.Spec.Team)), j.Record.IsFinal()
	if c.Spec.Shape == protocol.ShapeGang && len(c.Record.Placements) > 0 && len(c.Record.Placements)+c.Record.CompletedCount() < c.Record.TaskCount {
		c.HaltedAttempt = c.Record.LastAttempt // it was placed whole, so a task has been lost
	}
	for i := range c.Record.Placements {
		p := &c.Record.Placements[i]
		if m := n.view.Machines[p.Host]; c.Record.Shard == "" && m != nil && m.Record.Shard != s.Name {
			next.Placements = append(next.Placements, *p) // its own shard's owner judges it
			continue
		}
		switch n.classifyPlacement(s, j, c, p, now) {
		case outcomeCompleted:
			next.MarkCompleted(p.Task)
			delete(c.Evictions, p.Task)
			changed = true
		case outcomeGone:
			if _, moved := c.Evictions[p.Task]; !moved && c.Spec.Shape == protocol.ShapeService && !j.Record.IsFinal() {
				n.log.Info("replica lost", "task", protocol.TaskName(c.JobID, p.Task), "try", p.Attempt, "host", p.Host)
			}
			delete(c.Evictions, p.Task)
			changed, pressing = true, true
			if c.Spec.Shape == protocol.ShapeGang && len(c.Record.Placements) > 1 {
				c.HaltedAttempt = c.Record.LastAttempt
			}
		case outcomePending:
			uneasy = true
			next.Placements = append(next.Placements, *p)
		default:
			next.Placements = append(next.Placements, *p)
		}
	}
	n.sendPendingCommands(s)
	if c.Spec.Shape == protocol.ShapeGang && next.CompletedCount() > 0 && !next.IsComplete() {
		// A gang completes together: if one task is done, every one is.
		for t := next.FirstTask; t < next.FirstTask+next.TaskCount; t++ {
			next.MarkCompleted(t)
		}
		changed = true
	}
	if next.IsComplete() && c.Spec.Shape != protocol.ShapeService && !j.Record.IsFinal() {
		if n.finishJob(s, j, c, next) {
			return
		}
		pressing, uneasy = true, true // the job's other chunks wait for this one
	}
	if j.Record.IsFinal() && len(next.Placements) == 0 {
		n.dropClaim(s, c)
		return
	}
	if changed {
		if c.CompletionSeenAt.IsZero() {
			c.CompletionSeenAt = now
		}
		// A completion alone can wait a little for others: until it is booked
		// its worker goes on listing it, and its room counts as free already.
		// One write for each of some hundred tasks a second is beyond the
		// state service's budget.
		if (pressing || now.Sub(c.CompletionSeenAt) >= n.policy.CompletionBatchDelay) && n.updateClaim(s, c, next, kv.PriorityCompletion, nil) {
			return
		}
		uneasy = true
	}
	if uneasy {
		c.CheckAt = now.Add(recheckDelay)
		s.Dirty[c] = struct{}{}
	}
}

// classifyPlacement decides a placement's fate from proof alone: the worker's own account
// under the current token with no command outstanding, or a machine that the
// cloud has taken back. Silence proves nothing.
func (n *Controller) classifyPlacement(s *replica.Shard, j *replica.Job, c *replica.Claim, p *records.Placement, now time.Time) outcome {
	m := n.view.Machines[p.Host]
	if m == nil {
		return outcomeRunning
	}
	name := c.TaskName(p)
	t := m.Agent.Tasks[name]
	if t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited && t.Cause == protocol.CauseDone {
		// Done it is for ever, but an account under an earlier token does not prove
		// that it is off the machine: its worker's session may have ended since, and
		// another owner of the shard may have started it again there. Freed on such
		// an account, a limited team's use was lowered while the task ran.
		if !m.ShowsToken(s) && !m.Lifecycle.Gone && m.Record.State != records.MachineGone {
			return outcomePending
		}
		n.recordCompletion(j, c.Spec, m, name, now)
		return outcomeCompleted
	}
	if m.Lifecycle.Gone || m.Record.State == records.MachineGone {
		return outcomeGone
	}
	if m.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace, stop := n.shouldStop(c, p, now)
	switch {
	case t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited:
		if !m.ShowsToken(s) {
			return outcomePending
		}
		if m.HasUnconfirmedStart(name, p.Attempt) {
			s.RequestNewToken(m)
			return outcomePending
		}
		if t.Cause == protocol.CauseGangTimeout && !stop {
			// It had waited too long for the others, whose images may take longer
			// still. They go on waiting for it: once reaped it starts again, in the
			// same attempt and on the same machine. To end the attempt instead threw
			// away what the others had fetched.
			return outcomePending
		}
		n.recordTaskEnd(j, m, t, now)
		return outcomeGone
	case t != nil && t.Attempt == p.Attempt:
		if !stop {
			return outcomeRunning
		}
		if now.Sub(m.Commands.StopSentAt[name]) > resendInterval && (t.Phase != protocol.TaskCheckpointing || grace == 0) {
			m.Commands.StopSentAt[name] = now
			n.queueCommands(s, m, protocol.StopCommand(name, p.Attempt, grace))
		}
		return outcomePending
	case t != nil: // another attempt of it is still there
		return outcomePending
	case !m.ShowsToken(s):
		return outcomePending
	case stop, n.isOverLimit(c.Spec), m.Detector.Reachability.CannotReceive(), n.cannotReport(m, now) && !n.isStateDown(now):
		// Also what a limit lowered since leaves no room for: what runs may go on, what is
		// not there may not begin. A machine that does not hear would not begin it, and one
		// that does not report would lose it with its lease, which is more than an outage
		// lets begin elsewhere.
		if m.HasUnconfirmedStart(name, p.Attempt) {
			s.RequestNewToken(m)
			return outcomePending
		}
		return outcomeGone // it never started, and now never will
	}
	// Committed but not there: started by no one, or lost with the worker's
	// session. The same attempt may start again, for nothing else can hold it, unless
	// its job may have been cancelled where this node can't hear of it.
	if !n.hearsNobody(now) && !slices.ContainsFunc(m.Commands.Pending, isStartOf(name)) && !slices.ContainsFunc(m.Commands.InFlight, isStartOf(name)) &&
		now.Sub(m.Commands.StartSentAt[name]) > resendInterval && m.Record.State == "" {
		m.Commands.StartSentAt[name] = now
		n.queueCommands(s, m, protocol.StartCommand(name, p.Attempt))
	}
	return outcomePending
}

// recordCompletions takes completions that are not booked yet into a version of a claim
// that is about to be committed anyway.
func (n *Controller) recordCompletions(c *replica.Claim, next *records.Claim) {
	next.Placements = slices.DeleteFunc(next.Placements, func(p records.Placement) bool {
		m := n.view.Machines[p.Host]
		if m == nil || c.Spec.Shape == protocol.ShapeGang || !m.ShowsToken(n.view.Shards[m.Record.Shard]) {
			return false
		}
		t := m.Agent.Tasks[c.TaskName(&p)]
		if t == nil || t.Attempt != p.Attempt || t.Phase != protocol.TaskExited || t.Cause != protocol.CauseDone {
			return false
		}
		next.MarkCompleted(p.Task)
		return true
	})
}

func isStartOf(name string) func(protocol.Command) bool {
	return func(c protocol.Command) bool { return c.Verb == "start" && c.Task == name }
}

// shouldStop tells whether a placement should end, and with what grace.
func (n *Controller) shouldStop(c *replica.Claim, p *records.Placement, now time.Time) (time.Duration, bool) {
	j := n.view.Jobs[c.JobID]
	if j == nil || j.Record == nil || c.Spec == nil {
		return 0, false
	}
	if j.Record.IsFinal() {
		return 0, true
	}
	grace := time.Duration(0)
	if c.Spec.CheckpointInterval() > 0 {
		grace = c.Spec.CheckpointDuration() + 2*time.Second
	}
	if c.Halted() {
		return grace, true
	}
	since, ok := c.Evictions[p.Task]
	if !ok {
		return 0, false
	}
	if now.Sub(since) > grace+10*time.Second {
		grace = 0
	}
	return grace, true
}

// estimateRuntime is a task's expected run time, the image fetch left out.
func (n *Controller) estimateRuntime(s *protocol.Submission) time.Duration {
	ratio := 1.0
	if r, ok := n.runtimeRatios[s.Class]; ok {
		ratio = r
	}
	return time.Duration(float64(s.RunEstimate()) * ratio)
}

// updateClaim commits a new version of a claim that this shard holds.
func (n *Controller) updateClaim(s *replica.Shard, c *replica.Claim, next *records.Claim, prio int, then func(error)) bool {
	if next.MaxEncodedSize() > n.store.MaxValueBytes() {
		// Written before the state service lowered its limits. Each task that ends makes
		// it smaller; until it fits, its workers go on listing what has ended.
		return false
	}
	conds, ops, t, ok := n.reserveTeamUse(s.Name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: c.Version})
	if j := n.view.Jobs[c.JobID]; j != nil && len(next.Placements) > 0 && prio < kv.PriorityCompletion {
		conds = append(conds, kv.Compare{Key: records.JobPrefix + c.JobID, Version: j.Version})
	}
	ops = append(ops, kv.Op{Key: c.Key, Value: next})
	n.view.SetPending(c, next)
	if t != nil {
		t.Writing = true
	}
	n.commit(prio, conds, ops, 0, func(err error) {
		if t != nil {
			t.Writing = false
		}
		n.view.SetPending(c, nil)
		if err != nil {
			c.RetryAt = time.Now().Add(150 * time.Millisecond)
			n.log.Debug("claim not updated", "claim", c.Key, "err", err)
		}
		if then != nil {
			then(err)
		}
	})
	return true
}

// finishJob commits a job's end together with its last chunk's.
func (n *Controller) finishJob(s *replica.Shard, j *replica.Job, c *replica.Claim, next *records.Claim) bool {
	if len(j.Claims) != j.Chunks {
		return false
	}
	conds := []kv.Compare{{Key: records.JobPrefix + j.ID, Version: j.Version}, {Key: records.ShardPrefix + s.Name, Version: s.FencingToken}}
	for i := range j.Chunks {
		o := j.Claims[i]
		if o == nil || o.Record == nil || (o != c && !o.Record.IsComplete()) {
			return false
		}
	}
	// The other chunks are no conditions: what is recorded as done stays done, and a
	// claim goes only once its job is over, which the job's own condition excludes.
	// Two dozen of them did not fit a transaction of a state service with lower limits.
	conds = append(conds, kv.Compare{Key: c.Key, Version: c.Version})
	done := &records.Job{State: protocol.JobDone, Tasks: j.Record.Spec.Tasks}
	tconds, ops, t, ok := n.reserveTeamUse(s.Name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, tconds...)
	if len(next.Placements) > 0 || j.Chunks > 1 {
		// The description is needed until the last placement is cleared.
		done.Spec = j.Record.Spec
	}
	ops = append(ops, kv.Op{Key: records.JobPrefix + j.ID, Value: done})
	if len(next.Placements) > 0 {
		ops = append(ops, kv.Op{Key: c.Key, Value: next})
	} else {
		ops = append(ops, kv.Op{Key: c.Key})
	}
	n.view.SetPending(c, next)
	if t != nil {
		t.Writing = true
	}
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		n.view.SetPending(c, nil)
		if t != nil {
			t.Writing = false
		}
		if err != nil {
			c.RetryAt = time.Now().Add(150 * time.Millisecond)
			return
		}
		n.broadcastFinal(j.ID)
		n.releaseDependents(j.ID, time.Now())
	})
	return true
}

// dropClaim removes the claim of a final job once nothing of it is left.
func (n *Controller) dropClaim(s *replica.Shard, c *replica.Claim) {
	empty := c.Record.Clone()
	empty.Placements = nil
	conds, ops, t, ok := n.reserveTeamUse(s.Name, c, empty)
	if !ok {
		return
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, kv.Compare{Key: c.Key, Version: c.Version})
	ops = append(ops, kv.Op{Key: c.Key})
	n.view.SetPending(c, empty)
	if t != nil {
		t.Writing = true
	}
	n.commit(kv.PriorityCompletion, conds, ops, 0, func(err error) {
		n.view.SetPending(c, nil)
		if t != nil {
			t.Writing = false
		}
		if err != nil {
			c.RetryAt = time.Now().Add(200 * time.Millisecond)
		}
	})
}

// finishClaim ends the commit of a new claim: its tasks start at once, or,
// when another shard won it, the copy is dropped.
func (n *Controller) finishClaim(s *replica.Shard, c *replica.Claim, err error) {
	n.view.SetPending(c, nil)
	if t := n.view.Teams[c.Spec.Team]; t != nil && n.isLimited(c.Spec) {
		t.Writing = false
	}
	if err != nil {
		if c.Record == nil && n.view.Claims[c.Key] == c {
			n.view.DropClaim(c)
		}
		if j := n.view.Jobs[c.JobID]; j != nil {
			j.LeftUntil[c.Chunk] = time.Now().Add(claimRetryPause)
		}
		if !errors.Is(err, kv.ErrCompareFailed) {
			n.log.Debug("claim not made", "claim", c.Key, "err", err)
		}
		return
	}
	j := n.view.Jobs[c.JobID]
	if j == nil || c.Record == nil || !n.view.IsActive(s) {
		return
	}
	if j.Claims[c.Chunk] == nil {
		n.view.Attach(j, c)
	}
	n.reconcileClaim(s, j, c, time.Now())
}
