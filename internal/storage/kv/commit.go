package kv

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/protocol"
)

// Compare requires a key to have a version; 0: that it does not exist.
type Compare struct {
	Key     string
	Version uint64
}

// Op sets a key, or drops it when Value is nil.
type Op struct {
	Key   string
	Value any
	Lease uint64
}

// Priorities of transactions under scarcity, the first most urgent.
const (
	PriorityLease = iota
	PriorityUser
	PriorityClaim
	PriorityArrayClaim // claims of arrays, which may wait a little where others may not
	PriorityCompletion
	PriorityBackground
	priorityCount // how many there are
)

// spent is what one priority has used of the budgets since it was last logged.
type spent struct{ changes, failed int }

const tellEvery = 10 * time.Second

// tell logs what the budgets went to and what waits. On-call people see here
// that the state service's budget is what holds the cluster up.
func (c *Client) tell(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.told) < tellEvery {
		return
	}
	var waiting [priorityCount]int
	for _, t := range c.pending {
		waiting[t.Priority]++
	}
	of := func(k int) slog.Attr {
		return slog.Group([]string{"lease", "user", "claim", "array", "done", "rest"}[k], "changes", c.spent[k].changes, "failed", c.spent[k].failed, "waiting", waiting[k])
	}
	if !c.told.IsZero() {
		c.log.Info("state service budget", "seconds", int(now.Sub(c.told).Seconds()), of(PriorityLease), of(PriorityUser), of(PriorityClaim), of(PriorityArrayClaim), of(PriorityCompletion), of(PriorityBackground),
			"inflight", c.inflight)
	}
	c.told, c.spent = now, [priorityCount]spent{}
}

// Txn is one small transaction. Several are sent together; a failed condition
// of one does not sink its neighbours. Each must be conditional on versions
// that make it harmless when it is applied late or twice.
type Txn struct {
	Compares []Compare
	Ops      []Op
	Priority int
	Deadline time.Time
	OnResult func(Result)

	raw     []wireOp
	since   time.Time
	number  uint64 // of submission, which orders those of an instant
	size    int
	largest int  // bytes of its largest value
	alone   bool // was part of a batch refused as malformed
	unsure  bool // an earlier sending got no answer
}

// Result tells what became of a transaction. After ErrCompareFailed or ErrOutcomeUnknown
// the caller reads the keys again and decides anew.
type Result struct {
	Err        error
	Revision   uint64
	FailedKeys []string
}

// The odd nanoseconds keep apart what would else come at the same instant: nobody could
// repeat in a test what is first then.
const (
	gatherFor   = 4*time.Millisecond + 53*time.Nanosecond
	idle        = 250*time.Millisecond + 61*time.Nanosecond // between looks at the queue
	txnTimeout  = 2*time.Second + 47*time.Nanosecond
	maxInflight = 6
	maxReading  = maxInflight / 2 // comparisons alone
	pollGather  = 60*time.Millisecond + 67*time.Nanosecond
	patience    = 3 * time.Second
	batchBytes  = 60 << 10
)

// Submit queues a transaction. Done is called once, from another goroutine; it
// must not wait, since others are told after it.
func (c *Client) Submit(t *Txn) {
	for _, op := range t.Ops {
		w := wireOp{}
		if op.Value == nil {
			w.Drop = keyRoot + op.Key
		} else {
			raw, err := protocol.Encode(op.Value)
			if err != nil {
				c.log.Error("record cannot be written", "key", op.Key, "err", err)
				go t.OnResult(Result{Err: ErrInvalid})
				return
			}
			t.largest = max(t.largest, len(raw))
			w.Set, w.Value, w.Permit = keyRoot+op.Key, raw, op.Lease
		}
		t.size += len(w.Value) + len(op.Key) + 48
		t.raw = append(t.raw, w)
	}
	for _, cond := range t.Compares {
		t.size += len(cond.Key) + 48
	}
	if !t.fitsIn(c.lim.sizes()) {
		c.log.Info("transaction is larger than the state service takes", "keys", keysOf(t), "changes", len(t.Ops), "bytes", t.largest)
		go t.OnResult(Result{Err: ErrTooLarge})
		return
	}
	t.since = time.Now()
	c.queue(t)
	c.poke()
}

// queue has transactions sent. Once the client has ended nothing is sent any
// more, and each gets its result at once: whoever waits for it would wait for
// ever, and with it a controller that is told to stop.
func (c *Client) queue(list ...*Txn) {
	c.mu.Lock()
	ended := c.ended
	if !ended {
		for _, t := range list {
			if t.number == 0 {
				c.submitted++
				t.number = c.submitted
			}
		}
		c.pending = append(c.pending, list...)
	}
	c.mu.Unlock()
	if ended {
		abandon(list)
	}
}

// abandon ends transactions that are not sent, or not sent again.
func abandon(list []*Txn) {
	if len(list) == 0 {
		return
	}
	go func() {
		for _, t := range list {
			err := ErrNotExecuted
			if t.unsure {
				err = ErrOutcomeUnknown
			}
			t.OnResult(Result{Err: err})
		}
	}()
}

// end answers all that still waits.
func (c *Client) end() {
	c.mu.Lock()
	left := c.pending
	c.pending, c.ended = nil, true
	c.mu.Unlock()
	abandon(left)
}

func (c *Client) poke() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run sends queued transactions until the context ends. Those that still wait
// then get their result, as do all that are submitted later.
func (c *Client) Run(ctx context.Context) {
	defer c.end()
	wait := idle
	for {
		tick := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-c.kick:
			tick.Stop()
			if !sleep(ctx, gatherFor) {
				return
			}
		case <-tick.C:
		}
		c.expire(time.Now())
		c.tell(time.Now())
		for {
			var batch []*Txn
			if batch, wait = c.next(time.Now()); batch == nil {
				break
			}
			go c.send(ctx, batch)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// next is the batch to be sent now, or how long to wait for one. Writes are
// picked only as far as the budget reaches: a batch of the less urgent that
// waits for its budget would hold up an acceptance that comes meanwhile.
func (c *Client) next(now time.Time) ([]*Txn, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.inflight >= maxInflight {
		return nil, idle
	}
	if left := c.reqs.TokensAt(now); left < 1 {
		return nil, waitFor(1-left, c.reqs.Limit())
	}
	// The most urgent first, and of those the oldest: one that is sent again keeps
	// its place.
	slices.SortStableFunc(c.pending, func(a, b *Txn) int {
		return cmp.Or(a.rank(now)-b.rank(now), a.since.Compare(b.since), cmp.Compare(a.number, b.number))
	})
	pause := idle
	budget := c.writes.TokensAt(now)
	reads, oldest := 0, now
	for _, t := range c.pending {
		if len(t.Ops) == 0 {
			reads++
			if t.since.Before(oldest) {
				oldest = t.since
			}
			continue
		}
		if need := float64(len(t.Ops)) + c.reserve(t, now); budget < need {
			pause = min(pause, waitFor(need-budget, c.writes.Limit()))
		}
	}
	if reads > 0 {
		// Comparisons alone, for users' polls, cost a request each time and
		// no change: many go together, even if they wait a moment for that.
		age := now.Sub(oldest)
		due := (age >= pollGather || reads >= 2*c.lim.sizes().MaxTxnOps) && c.reading < maxReading
		// By turns with changes: users who ask many times as often as usual would take
		// every request, and acceptance and claims would wait behind their questions.
		if due && !c.readLast {
			return c.pickReads(now), 0
		}
		if batch := c.pickWrites(budget, now); batch != nil {
			return batch, 0
		}
		if due {
			return c.pickReads(now), 0
		}
		if c.reading < maxReading {
			pause = min(pause, pollGather-age)
		}
		return nil, pause
	}
	if batch := c.pickWrites(budget, now); batch != nil {
		return batch, 0
	}
	return nil, pause
}

// pickReads takes a request of comparisons from its budget.
func (c *Client) pickReads(now time.Time) []*Txn {
	batch, _ := c.pick(true, 0, now)
	c.reqs.AllowN(now, 1)
	c.reading++
	c.readLast = true
	return batch
}

// pickWrites takes a request of changes from the budgets, if they reach for one.
func (c *Client) pickWrites(budget float64, now time.Time) []*Txn {
	batch, ops := c.pick(false, budget, now)
	if len(batch) == 0 {
		return nil
	}
	c.reqs.AllowN(now, 1)
	c.writes.AllowN(now, ops)
	c.readLast = false
	return batch
}

// ReadBacklog is how many questions wait and how many a second are answered at least:
// half of the requests carry as many as fit one.
func (c *Client) ReadBacklog() (waiting int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pending {
		if len(t.Ops) == 0 {
			waiting++
		}
	}
	return waiting, float64(c.reqs.Limit()) / 2 * float64(condsPerOp*c.lim.sizes().MaxTxnOps)
}

func waitFor(missing float64, limit rate.Limit) time.Duration {
	return time.Duration(missing/max(float64(limit), 0.1)*float64(time.Second)) + time.Millisecond
}

// reserve is the budget that a transaction leaves to more urgent ones. None
// waits for that for ever.
func (c *Client) reserve(t *Txn, now time.Time) float64 {
	switch t.rank(now) {
	case PriorityBackground:
		return float64(c.writes.Burst()) * 0.5
	case PriorityCompletion:
		return float64(c.writes.Burst()) * 0.25
	}
	return 0
}

// rank is a transaction's priority, raised by waiting as far as a claim's.
func (t *Txn) rank(now time.Time) int {
	if t.Priority <= PriorityClaim {
		return t.Priority
	}
	return max(PriorityClaim, t.Priority-int(now.Sub(t.since)/patience))
}

// HasPending counts the transactions of a priority that wait for the budget.
func (c *Client) HasPending(prio int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := 0
	for _, t := range c.pending {
		if t.Priority == prio {
			k++
		}
	}
	return k
}

// Backlog is how many changes wait that go before a new transaction of a
// priority, and how many a second the budget allows. Comparisons count as a
// change for as many as go together in a request.
func (c *Client) Backlog(prio int) (changes int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads := 0
	for _, t := range c.pending {
		switch {
		case t.Priority > prio:
		case len(t.Ops) == 0:
			reads++
		default:
			changes += len(t.Ops)
		}
	}
	return changes + reads/max(1, c.lim.sizes().MaxTxnOps), float64(c.writes.Limit())
}

// ObserveVersion tells of a version of a key seen elsewhere. Transactions that wait and
// depend on an older one have failed already; sending them would only spend
// the budget, which failing changes take from as much as others.
func (c *Client) ObserveVersion(key string, stamp uint64, exists bool) {
	c.mu.Lock()
	var doomed []*Txn
	c.pending = slices.DeleteFunc(c.pending, func(t *Txn) bool {
		// One whose fate is unknown may itself have made that version.
		// A key that has gone suits those that want it absent.
		if t.unsure || !slices.ContainsFunc(t.Compares, func(d Compare) bool { return d.Version < stamp && d.Key == key && (exists || d.Version != 0) }) {
			return false
		}
		doomed = append(doomed, t)
		return true
	})
	c.mu.Unlock()
	if len(doomed) == 0 {
		return
	}
	go func() { // the caller may hold a lock that Done takes
		for _, t := range doomed {
			t.OnResult(Result{Err: ErrCompareFailed, Revision: stamp, FailedKeys: []string{key}})
		}
	}()
}

// expire ends transactions whose caller no longer waits.
func (c *Client) expire(now time.Time) {
	c.mu.Lock()
	var late []*Txn
	c.pending = slices.DeleteFunc(c.pending, func(t *Txn) bool {
		if !t.Deadline.IsZero() && now.After(t.Deadline) {
			late = append(late, t)
			return true
		}
		return false
	})
	c.mu.Unlock()
	abandon(late)
}

// pick takes the most urgent transactions that fit one request and the budget
// together. Comparisons alone travel apart from writes: they fail often.
func (c *Client) pick(reads bool, budget float64, now time.Time) ([]*Txn, int) {
	var batch, rest []*Txn
	ops, size := 0, 0
	most := c.lim.sizes().MaxTxnOps
	conds := make(map[string]uint64)
	written := make(map[string]bool)
	spent := false
	for _, t := range c.pending {
		// What lacks budget holds the less urgent up: small ones that slipped
		// past would eat the budget for ever before it suffices for a large one.
		spent = spent || (!reads && len(t.Ops) > 0 && float64(ops+len(t.Ops))+c.reserve(t, now) > budget)
		if (len(t.Ops) == 0) != reads || spent || !fits(t, batch, most, ops, size, conds, written) {
			rest = append(rest, t)
			continue
		}
		batch = append(batch, t)
		ops += len(t.Ops)
		size += t.size
		for _, cond := range t.Compares {
			conds[cond.Key] = cond.Version
		}
		for _, op := range t.Ops {
			written[op.Key] = true
		}
	}
	if len(batch) > 0 {
		c.pending = rest
		c.inflight++
		for _, t := range batch {
			c.spent[t.Priority].changes += len(t.Ops)
		}
	}
	return batch, ops
}

func fits(t *Txn, batch []*Txn, most, ops, size int, conds map[string]uint64, written map[string]bool) bool {
	if len(batch) == 0 {
		return true
	}
	if t.alone || batch[0].alone {
		return false
	}
	if ops+len(t.Ops) > most || size+t.size > batchBytes {
		return false
	}
	extra := 0
	for _, cond := range t.Compares {
		if stamp, ok := conds[cond.Key]; !ok {
			extra++
		} else if stamp != cond.Version {
			return false
		}
	}
	if len(conds)+extra > condsPerOp*most {
		return false
	}
	for _, op := range t.Ops {
		if written[op.Key] {
			return false
		}
	}
	return true
}

func (c *Client) send(ctx context.Context, batch []*Txn) {
	body := &wireMulti{If: []wireCond{}, Writes: []wireOp{}}
	seen := make(map[string]bool)
	for _, t := range batch {
		for _, cond := range t.Compares {
			if !seen[cond.Key] {
				seen[cond.Key] = true
				body.If = append(body.If, wireCond{keyRoot + cond.Key, cond.Version})
			}
		}
		body.Writes = append(body.Writes, t.raw...)
	}
	var out wireResult
	status, err := c.call(ctx, "POST", protocol.PathTransactions, body, &out, txnTimeout)
	c.settle(ctx, batch, status, out, err)
	c.mu.Lock()
	c.inflight--
	if len(batch[0].Ops) == 0 {
		c.reading--
	}
	c.mu.Unlock()
	c.poke()
}
