package kv

import (
	"sync"
	"time"
)

// Limits on what is sent together and at once. The odd nanoseconds keep apart what would
// else come at the same instant: nobody could repeat in a test what is first then.
const (
	batchDelay       = 4*time.Millisecond + 53*time.Nanosecond
	readBatchDelay   = 60*time.Millisecond + 67*time.Nanosecond
	idleInterval     = 250*time.Millisecond + 61*time.Nanosecond // between looks at the queue
	maxInflight      = 6
	maxReadsInflight = maxInflight / 2 // requests that only compare
	maxBatchBytes    = 60 << 10
)

// comparesPerOp is how many conditions a transaction may have for each change that it may.
const comparesPerOp = 4

// batcher decides what is sent next, and together. A batch keeps the limits of the state
// service and the budgets; it holds no two changes of a key, no two versions of a
// condition, and either changes or comparisons alone, which fail often. While a
// transaction lacks budget no less urgent one is sent. Requests under way never exceed
// maxInflight, those of comparisons maxReadsInflight.
//
// Its lock is taken before the queue's.
type batcher struct {
	queue   *queue
	limiter *limiter

	mu            sync.Mutex
	inflight      int  // requests under way, guarded by mu
	readsInflight int  // of those, comparisons alone, guarded by mu
	lastWasRead   bool // the latest request was such a one, guarded by mu
}

// next is the batch to be sent now, or how long to wait for one. Whoever gets a batch calls
// done once it is answered. Changes are picked only as far as the budget reaches: a batch
// of the less urgent that waits for its budget would hold up an acceptance that comes
// meanwhile.
func (b *batcher) next(now time.Time) (batch []*Txn, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.update(func(pending []*Txn) []*Txn {
		var chosen *selection
		if chosen, wait = b.chooseBatch(pending, now); chosen == nil {
			return pending
		}
		b.inflight++
		batch = chosen.batch
		return chosen.rest
	})
	return batch, wait
}

// done notes that a batch is answered.
func (b *batcher) done(batch []*Txn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inflight--
	if batch[0].isRead() {
		b.readsInflight--
	}
}

// requestsInflight is how many requests are under way.
func (b *batcher) requestsInflight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inflight
}

// chooseBatch selects a batch and takes it from the budgets; if there is none it returns nil and
// how long to wait. The locks of batcher and queue are held by the caller.
func (b *batcher) chooseBatch(pending []*Txn, now time.Time) (*selection, time.Duration) {
	if len(pending) == 0 || b.inflight >= maxInflight {
		return nil, idleInterval
	}
	if wait := b.limiter.requestDelay(now); wait > 0 {
		return nil, wait
	}
	sortByUrgency(pending, now)
	budget := b.limiter.writes.TokensAt(now)
	wait := b.budgetDelay(pending, budget, now)
	reads, age := pendingReads(pending, now)
	readsDue := reads > 0 && b.areReadsDue(reads, age)
	// By turns with changes: users who ask many times as often as usual would take
	// every request, and acceptance and claims would wait behind their questions.
	if readsDue && !b.lastWasRead {
		return b.chooseReads(pending, now), 0
	}
	if chosen := b.chooseWrites(pending, budget, now); chosen != nil {
		return chosen, 0
	}
	if readsDue {
		return b.chooseReads(pending, now), 0
	}
	if reads > 0 && b.readsInflight < maxReadsInflight {
		wait = min(wait, readBatchDelay-age)
	}
	return nil, wait
}

// budgetDelay is how long the first of the changes that lack budget has to wait for it,
// idleInterval at most.
func (b *batcher) budgetDelay(pending []*Txn, budget float64, now time.Time) time.Duration {
	wait := idleInterval
	for _, t := range pending {
		if t.isRead() {
			continue
		}
		if need := float64(len(t.Ops)) + b.limiter.urgentReserve(t, now); budget < need {
			wait = min(wait, tokenDelay(need-budget, b.limiter.writes.Limit()))
		}
	}
	return wait
}

// pendingReads counts the transactions that only compare and tells how long the oldest
// waits.
func pendingReads(pending []*Txn, now time.Time) (reads int, age time.Duration) {
	oldest := now
	for _, t := range pending {
		if !t.isRead() {
			continue
		}
		reads++
		if t.queuedAt.Before(oldest) {
			oldest = t.queuedAt
		}
	}
	return reads, now.Sub(oldest)
}

// areReadsDue reports whether comparisons are to be sent. Alone, for users' polls, they cost a
// request each time and no change: many go together, even if they wait a moment for that.
func (b *batcher) areReadsDue(reads int, age time.Duration) bool {
	isDue := age >= readBatchDelay || reads >= 2*b.limiter.limits.effective().MaxTxnOps
	return isDue && b.readsInflight < maxReadsInflight
}

// chooseReads takes a request of comparisons from its budget.
func (b *batcher) chooseReads(pending []*Txn, now time.Time) *selection {
	chosen := b.selectTxns(pending, true, 0, now)
	b.limiter.requests.AllowN(now, 1)
	b.readsInflight++
	b.lastWasRead = true
	return chosen
}

// chooseWrites takes a request of changes from the budgets; nil if they do not reach for
// one.
func (b *batcher) chooseWrites(pending []*Txn, budget float64, now time.Time) *selection {
	chosen := b.selectTxns(pending, false, budget, now)
	if len(chosen.batch) == 0 {
		return nil
	}
	b.limiter.requests.AllowN(now, 1)
	b.limiter.writes.AllowN(now, chosen.ops)
	b.lastWasRead = false
	return chosen
}

// selectTxns selects the most urgent transactions that fit one request and the budget
// together: comparisons alone, or changes.
func (b *batcher) selectTxns(pending []*Txn, reads bool, budget float64, now time.Time) *selection {
	chosen := newSelection(b.limiter.limits.effective().MaxTxnOps)
	exhausted := false
	for _, t := range pending {
		// What lacks budget holds the less urgent up: small ones that slipped
		// past would eat the budget for ever before it suffices for a large one.
		exhausted = exhausted || (!reads && !t.isRead() && float64(chosen.ops+len(t.Ops))+b.limiter.urgentReserve(t, now) > budget)
		if t.isRead() != reads || exhausted || !chosen.accepts(t) {
			chosen.rest = append(chosen.rest, t)
			continue
		}
		chosen.add(t)
	}
	return chosen
}

// selection is a batch while it is put together. It has no lock: it belongs to the one
// call of next that makes it.
type selection struct {
	maxOps   int
	batch    []*Txn
	rest     []*Txn            // the pending transactions that are not in the batch
	ops      int               // changes of the batch
	bytes    int               // about how large the request is
	versions map[string]uint64 // that conditions require, by key
	written  map[string]bool   // keys that are changed
}

func newSelection(maxOps int) *selection {
	return &selection{maxOps: maxOps, versions: make(map[string]uint64), written: make(map[string]bool)}
}

// add puts a transaction into the batch.
func (s *selection) add(t *Txn) {
	s.batch = append(s.batch, t)
	s.ops += len(t.Ops)
	s.bytes += t.bytes
	for _, compare := range t.Compares {
		s.versions[compare.Key] = compare.Version
	}
	for _, op := range t.Ops {
		s.written[op.Key] = true
	}
}

// accepts reports whether a transaction may go with those of the batch. The first may
// always: Submit has refused what is too large alone.
func (s *selection) accepts(t *Txn) bool {
	if len(s.batch) == 0 {
		return true
	}
	if t.sendAlone || s.batch[0].sendAlone {
		return false
	}
	if s.ops+len(t.Ops) > s.maxOps || s.bytes+t.bytes > maxBatchBytes {
		return false
	}
	return s.agreesWith(t.Compares) && !s.writesAny(t.Ops)
}

// agreesWith reports whether conditions require the same versions as those of the batch
// and are not too many beside them.
func (s *selection) agreesWith(compares []Compare) bool {
	added := 0
	for _, compare := range compares {
		version, ok := s.versions[compare.Key]
		if !ok {
			added++
		} else if version != compare.Version {
			return false
		}
	}
	return len(s.versions)+added <= comparesPerOp*s.maxOps
}

// writesAny reports whether the batch changes a key that one of ops changes too.
func (s *selection) writesAny(ops []Op) bool {
	for _, op := range ops {
		if s.written[op.Key] {
			return true
		}
	}
	return false
}

// encodeBatch is the request that carries out a batch.
func encodeBatch(batch []*Txn) *wireTxn {
	request := &wireTxn{Compares: []wireCompare{}, Ops: []wireOp{}}
	seen := make(map[string]bool)
	for _, t := range batch {
		for _, compare := range t.Compares {
			if !seen[compare.Key] {
				seen[compare.Key] = true
				request.Compares = append(request.Compares, wireCompare{keyPrefix + compare.Key, compare.Version})
			}
		}
		request.Ops = append(request.Ops, t.encodedOps...)
	}
	return request
}
