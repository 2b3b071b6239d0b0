package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/admission"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	gatherNews = time.Millisecond + 29*time.Nanosecond // odd, as all pauses of loops: see loopGap
	passEvery  = 500*time.Millisecond + 31*time.Nanosecond
	resendGap  = 700 * time.Millisecond
	retryClaim = time.Second
	lookAgain  = 250 * time.Millisecond
	sweepEvery = 5 * time.Second
)

// pace leaves most of the time to answers, however long passes take.
var pace = admission.Throttle{MaxShare: 0.25, MinPause: 15 * time.Millisecond, IdlePause: 50 * time.Millisecond, MaxPause: 150 * time.Millisecond}

// workLoop compares placements with reports and the queue with the room there
// is, whenever something changed and a few times a second.
func (n *Controller) workLoop(ctx context.Context) {
	for {
		tick := time.NewTimer(passEvery)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-n.kick:
			// What came together is looked at together.
			n.pause(ctx, gatherNews)
		case <-tick.C:
			n.stand(ctx)
		}
		tick.Stop()
		n.mu.Lock()
		began := time.Now()
		n.look(began)
		urgent := n.pressing
		if n.loaded {
			n.pressing = false
			n.pass(began)
		}
		n.mu.Unlock()
		if !n.pause(ctx, pace.Pause(time.Since(began), urgent)) {
			return
		}
	}
}

func (n *Controller) pass(now time.Time) {
	n.expirePlans(now)
	n.passRanksOn(now)
	for _, name := range n.shardNames() {
		s := n.shards[name]
		if !n.active(s) {
			continue
		}
		if now.Sub(s.swept) > sweepEvery {
			n.markAll(s)
		}
		n.settle(s, now)
		n.hold(s, now)
		// Nothing has changed: the queue would only find what it found before.
		if s.stirred || now.Sub(s.passed) >= passEvery {
			s.stirred, s.passed = false, now
			n.schedule(s, now)
		}
	}
	if n.leading() {
		n.gather(now)
	}
	n.share(now)
	n.tidyBookings(now)
	if len(n.intents)+len(n.planned) > 0 {
		n.broadcast(n.ctx, protocol.PeerMessage{From: n.cfg.NodeName, StateReachable: true, ClaimIntents: n.intents, PreemptionIntents: n.planned})
		n.intents, n.planned = nil, nil
	}
	n.lookUps(now)
}

// lookUpsAtOnce bounds how many jobs are read in one go.
const lookUpsAtOnce = 32

// lookUps reads the jobs of claims whose job this node has forgotten or not
// seen: a cancelled job can be passed on ahead of its claim. One goroutine reads
// at a time. When each had its own, some seven thousand waited for the request
// budget on a bad day, until the process ended for memory, and the watch behind
// them was so late that cancelled tasks ran on.
func (n *Controller) lookUps(now time.Time) {
	if n.lookingUp || len(n.orphans) == 0 {
		return
	}
	var refs []string
	for _, ref := range slices.Sorted(maps.Keys(n.orphans)) {
		due := true
		for _, c := range n.orphans[ref] {
			due = due && c.again.Before(now)
		}
		if due && len(refs) < lookUpsAtOnce {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	n.lookingUp = true
	ctx := n.ctx
	go func() {
		for _, ref := range refs {
			ctx, cancel := context.WithTimeout(ctx, lookUpWithin)
			it, err := n.led.Get(ctx, records.JobPrefix+ref)
			cancel()
			n.mu.Lock()
			n.lookedUp(ref, it, err)
			n.mu.Unlock()
			if err != nil {
				break // the others would wait as vainly
			}
		}
		n.mu.Lock()
		n.lookingUp = false
		n.mu.Unlock()
	}()
}

const lookUpWithin = 2 * time.Second

func (n *Controller) lookedUp(ref string, it kv.Item, err error) {
	for _, c := range n.orphans[ref] {
		c.again = time.Now().Add(time.Second)
	}
	if err != nil || it.Value == nil || !n.hasClaims(ref) || n.jobs[ref] != nil {
		return
	}
	delete(n.final, ref)
	delete(n.stamps, it.Key)
	n.take(it)
}

// settle works through the claims of a shard: what has ended is booked, what
// should run is started, what should not is stopped.
func (n *Controller) settle(s *shard, now time.Time) {
	for _, c := range n.dirtyClaims(s, now) {
		j := n.jobs[c.ref]
		if c.rec == nil || c.pend != nil || j == nil || c.spec == nil {
			continue // marked again when that changes
		}
		n.settleClaim(s, j, c, now)
	}
}

// fate is what has become of a placement.
type fate int

const (
	onMachine fate = iota // it is, or may be, on its machine
	unsettled             // the same, and something is to be done about it
	completed
	gone
)

func (n *Controller) settleClaim(s *shard, j *job, c *claim, now time.Time) {
	next := c.rec.Clone()
	next.Placements = next.Placements[:0]
	changed, pressing, uneasy := false, n.limited(c.spec) && (!n.quota.IsAllotted(c.spec.Team) || n.quota.IsDemanded(c.spec.Team)), j.rec.IsFinal()
	if c.spec.Shape == protocol.ShapeGang && len(c.rec.Placements) > 0 && len(c.rec.Placements)+c.rec.CompletedCount() < c.rec.TaskCount {
		c.halt = c.rec.LastAttempt // it was placed whole, so a task has been lost
	}
	for i := range c.rec.Placements {
		p := &c.rec.Placements[i]
		if m := n.machines[p.Host]; c.rec.Shard == "" && m != nil && m.rec.Shard != s.name {
			next.Placements = append(next.Placements, *p) // its own shard's owner judges it
			continue
		}
		switch n.judge(s, j, c, p, now) {
		case completed:
			next.MarkCompleted(p.Task)
			delete(c.evict, p.Task)
			changed = true
		case gone:
			if _, moved := c.evict[p.Task]; !moved && c.spec.Shape == protocol.ShapeService && !j.rec.IsFinal() {
				n.log.Info("replica lost", "task", protocol.TaskName(c.ref, p.Task), "try", p.Attempt, "host", p.Host)
			}
			delete(c.evict, p.Task)
			changed, pressing = true, true
			if c.spec.Shape == protocol.ShapeGang && len(c.rec.Placements) > 1 {
				c.halt = c.rec.LastAttempt
			}
		case unsettled:
			uneasy = true
			next.Placements = append(next.Placements, *p)
		default:
			next.Placements = append(next.Placements, *p)
		}
	}
	n.flush(s)
	if c.spec.Shape == protocol.ShapeGang && next.CompletedCount() > 0 && !next.IsComplete() {
		// A gang completes together: if one task is done, every one is.
		for t := next.FirstTask; t < next.FirstTask+next.TaskCount; t++ {
			next.MarkCompleted(t)
		}
		changed = true
	}
	if next.IsComplete() && c.spec.Shape != protocol.ShapeService && !j.rec.IsFinal() {
		if n.finishJob(s, j, c, next) {
			return
		}
		pressing, uneasy = true, true // the job's other chunks wait for this one
	}
	if j.rec.IsFinal() && len(next.Placements) == 0 {
		n.dropClaim(s, c)
		return
	}
	if changed {
		if c.ripe.IsZero() {
			c.ripe = now
		}
		// A completion alone can wait a little for others: until it is booked
		// its worker goes on listing it, and its room counts as free already.
		// One write for each of some hundred tasks a second is beyond the
		// state service's budget.
		if (pressing || now.Sub(c.ripe) >= n.pol.CompletionBatchDelay) && n.update(s, c, next, kv.PriorityCompletion, nil) {
			return
		}
		uneasy = true
	}
	if uneasy {
		c.look = now.Add(lookAgain)
		s.dirty[c] = struct{}{}
	}
}

// judge decides a placement's fate from proof alone: the worker's own account
// under the current token with no command outstanding, or a machine that the
// cloud has taken back. Silence proves nothing.
func (n *Controller) judge(s *shard, j *job, c *claim, p *records.Placement, now time.Time) fate {
	m := n.machines[p.Host]
	if m == nil {
		return onMachine
	}
	name := c.nameOf(p)
	t := m.tasks[name]
	if t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited && t.Cause == protocol.CauseDone {
		// Done it is for ever, but an account under an earlier token does not prove
		// that it is off the machine: its worker's session may have ended since, and
		// another owner of the shard may have started it again there. Freed on such
		// an account, a limited team's use was lowered while the task ran.
		if !m.settled(s) && !m.gone && m.rec.State != records.MachineGone {
			return unsettled
		}
		n.learn(j, c.spec, m, name, now)
		return completed
	}
	if m.gone || m.rec.State == records.MachineGone {
		return gone
	}
	if m.rep == nil {
		return onMachine
	}
	grace, stop := n.wantStop(c, p, now)
	switch {
	case t != nil && t.Attempt == p.Attempt && t.Phase == protocol.TaskExited:
		if !m.settled(s) {
			return unsettled
		}
		if m.outstanding(name, p.Attempt) {
			s.wantRaise(m)
			return unsettled
		}
		if t.Cause == protocol.CauseGangTimeout && !stop {
			// It had waited too long for the others, whose images may take longer
			// still. They go on waiting for it: once reaped it starts again, in the
			// same attempt and on the same machine. To end the attempt instead threw
			// away what the others had fetched.
			return unsettled
		}
		n.blame(j, m, t, now)
		return gone
	case t != nil && t.Attempt == p.Attempt:
		if !stop {
			return onMachine
		}
		if now.Sub(m.stopped[name]) > resendGap && (t.Phase != protocol.TaskCheckpointing || grace == 0) {
			m.stopped[name] = now
			n.order(s, m, protocol.StopCommand(name, p.Attempt, grace))
		}
		return unsettled
	case t != nil: // another attempt of it is still there
		return unsettled
	case !m.settled(s):
		return unsettled
	case stop, n.overUsed(c.spec), m.hearing.CannotReceive(), n.mute(m, now) && !n.stateDown(now):
		// Also what a limit lowered since leaves no room for: what runs may go on, what is
		// not there may not begin. A machine that does not hear would not begin it, and one
		// that does not report would lose it with its lease, which is more than an outage
		// lets begin elsewhere.
		if m.outstanding(name, p.Attempt) {
			s.wantRaise(m)
			return unsettled
		}
		return gone // it never started, and now never will
	}
	// Committed but not there: started by no one, or lost with the worker's
	// session. The same attempt may start again, for nothing else can hold it, unless
	// its job may have been cancelled where this node can't hear of it.
	if !n.hearsNobody(now) && !slices.ContainsFunc(m.queue, isStart(name)) && !slices.ContainsFunc(m.inflight, isStart(name)) &&
		now.Sub(m.tried[name]) > resendGap && m.rec.State == "" {
		m.tried[name] = now
		n.order(s, m, protocol.StartCommand(name, p.Attempt))
	}
	return unsettled
}

// bookDone takes completions that are not booked yet into a version of a claim
// that is about to be committed anyway.
func (n *Controller) bookDone(c *claim, next *records.Claim) {
	next.Placements = slices.DeleteFunc(next.Placements, func(p records.Placement) bool {
		m := n.machines[p.Host]
		if m == nil || c.spec.Shape == protocol.ShapeGang || !m.settled(n.shards[m.rec.Shard]) {
			return false
		}
		t := m.tasks[c.nameOf(&p)]
		if t == nil || t.Attempt != p.Attempt || t.Phase != protocol.TaskExited || t.Cause != protocol.CauseDone {
			return false
		}
		next.MarkCompleted(p.Task)
		return true
	})
}

// nameOf is the name of a placement's task.
func (c *claim) nameOf(p *records.Placement) string {
	if pl := c.on[slot{p.Task, p.Host}]; pl != nil {
		return pl.name
	}
	return protocol.TaskName(c.ref, p.Task)
}

func isStart(name string) func(protocol.Command) bool {
	return func(c protocol.Command) bool { return c.Verb == "start" && c.Task == name }
}

// wantStop tells whether a placement should end, and with what grace.
func (n *Controller) wantStop(c *claim, p *records.Placement, now time.Time) (time.Duration, bool) {
	j := n.jobs[c.ref]
	if j == nil || j.rec == nil || c.spec == nil {
		return 0, false
	}
	if j.rec.IsFinal() {
		return 0, true
	}
	grace := time.Duration(0)
	if c.spec.CheckpointInterval() > 0 {
		grace = c.spec.CheckpointDuration() + 2*time.Second
	}
	if c.halted() {
		return grace, true
	}
	since, ok := c.evict[p.Task]
	if !ok {
		return 0, false
	}
	if now.Sub(since) > grace+10*time.Second {
		grace = 0
	}
	return grace, true
}

// estimate is a task's expected run time, the image fetch left out.
func (n *Controller) estimate(s *protocol.Submission) time.Duration {
	ratio := 1.0
	if r, ok := n.ratios[s.Class]; ok {
		ratio = r
	}
	return time.Duration(float64(s.RunEstimate()) * ratio)
}

// placed counts the placements of a claim's committed version.
func (c *claim) placed() int {
	if c.rec == nil {
		return 0
	}
	return len(c.rec.Placements)
}

// update commits a new version of a claim that this shard holds.
func (n *Controller) update(s *shard, c *claim, next *records.Claim, prio int, then func(error)) bool {
	if next.MaxEncodedSize() > n.led.MaxValueBytes() {
		// Written before the state service lowered its limits. Each task that ends makes
		// it smaller; until it fits, its workers go on listing what has ended.
		return false
	}
	conds, ops, t, ok := n.reserveTeam(s.name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.name, Version: s.token}, kv.Compare{Key: c.key, Version: c.stamp})
	if j := n.jobs[c.ref]; j != nil && len(next.Placements) > 0 && prio < kv.PriorityCompletion {
		conds = append(conds, kv.Compare{Key: records.JobPrefix + c.ref, Version: j.stamp})
	}
	ops = append(ops, kv.Op{Key: c.key, Value: next})
	n.setPend(c, next)
	if t != nil {
		t.busy = true
	}
	n.commit(prio, conds, ops, 0, func(err error) {
		if t != nil {
			t.busy = false
		}
		n.setPend(c, nil)
		if err != nil {
			c.again = time.Now().Add(150 * time.Millisecond)
			n.log.Debug("claim not updated", "claim", c.key, "err", err)
		}
		if then != nil {
			then(err)
		}
	})
	return true
}

// finishJob commits a job's end together with its last chunk's.
func (n *Controller) finishJob(s *shard, j *job, c *claim, next *records.Claim) bool {
	if len(j.claims) != j.chunks {
		return false
	}
	conds := []kv.Compare{{Key: records.JobPrefix + j.ref, Version: j.stamp}, {Key: records.ShardPrefix + s.name, Version: s.token}}
	for i := range j.chunks {
		o := j.claims[i]
		if o == nil || o.rec == nil || (o != c && !o.rec.IsComplete()) {
			return false
		}
	}
	// The other chunks are no conditions: what is recorded as done stays done, and a
	// claim goes only once its job is over, which the job's own condition excludes.
	// Two dozen of them did not fit a transaction of a state service with lower limits.
	conds = append(conds, kv.Compare{Key: c.key, Version: c.stamp})
	done := &records.Job{State: protocol.JobDone, Tasks: j.rec.Spec.Tasks}
	tconds, ops, t, ok := n.reserveTeam(s.name, c, next)
	if !ok {
		return false
	}
	conds = append(conds, tconds...)
	if len(next.Placements) > 0 || j.chunks > 1 {
		// The description is needed until the last placement is cleared.
		done.Spec = j.rec.Spec
	}
	ops = append(ops, kv.Op{Key: records.JobPrefix + j.ref, Value: done})
	if len(next.Placements) > 0 {
		ops = append(ops, kv.Op{Key: c.key, Value: next})
	} else {
		ops = append(ops, kv.Op{Key: c.key})
	}
	n.setPend(c, next)
	if t != nil {
		t.busy = true
	}
	n.commit(kv.PriorityClaim, conds, ops, 0, func(err error) {
		n.setPend(c, nil)
		if t != nil {
			t.busy = false
		}
		if err != nil {
			c.again = time.Now().Add(150 * time.Millisecond)
			return
		}
		n.announceFinal(j.ref)
		n.releaseAfter(j.ref, time.Now())
	})
	return true
}

// dropClaim removes the claim of a final job once nothing of it is left.
func (n *Controller) dropClaim(s *shard, c *claim) {
	empty := c.rec.Clone()
	empty.Placements = nil
	conds, ops, t, ok := n.reserveTeam(s.name, c, empty)
	if !ok {
		return
	}
	conds = append(conds, kv.Compare{Key: records.ShardPrefix + s.name, Version: s.token}, kv.Compare{Key: c.key, Version: c.stamp})
	ops = append(ops, kv.Op{Key: c.key})
	n.setPend(c, empty)
	if t != nil {
		t.busy = true
	}
	n.commit(kv.PriorityCompletion, conds, ops, 0, func(err error) {
		n.setPend(c, nil)
		if t != nil {
			t.busy = false
		}
		if err != nil {
			c.again = time.Now().Add(200 * time.Millisecond)
		}
	})
}

// finishClaim ends the commit of a new claim: its tasks start at once, or,
// when another shard won it, the copy is dropped.
func (n *Controller) finishClaim(s *shard, c *claim, err error) {
	n.setPend(c, nil)
	if t := n.teams[c.spec.Team]; t != nil && n.limited(c.spec) {
		t.busy = false
	}
	if err != nil {
		if c.rec == nil && n.claims[c.key] == c {
			n.unlinkClaim(c)
		}
		if j := n.jobs[c.ref]; j != nil {
			j.lost[c.chunk] = time.Now().Add(retryClaim)
		}
		if !errors.Is(err, kv.ErrCompareFailed) {
			n.log.Debug("claim not made", "claim", c.key, "err", err)
		}
		return
	}
	j := n.jobs[c.ref]
	if j == nil || c.rec == nil || !n.active(s) {
		return
	}
	if j.claims[c.chunk] == nil {
		n.attach(j, c)
	}
	n.settleClaim(s, j, c, time.Now())
}
