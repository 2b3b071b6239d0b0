package kv

import (
	"sync"
	"time"
)

// Limits on batches and on concurrent requests. The odd nanoseconds keep timers from firing
// at the same instant, in which case their order would not be reproducible in tests.
const (
	batchDelay       = 4*time.Millisecond + 53*time.Nanosecond
	readBatchDelay   = 60*time.Millisecond + 67*time.Nanosecond
	idleInterval     = 250*time.Millisecond + 61*time.Nanosecond // longest time between two passes over the queue
	maxInflight      = 6
	maxReadsInflight = maxInflight / 2 // limit on the concurrent requests that hold reads
	maxBatchBytes    = 60 << 10
)

// comparesPerOp is the ratio of the limit on conditions to the limit on changes of a
// transaction or batch.
const comparesPerOp = 4

// batcher selects the batch that is sent next. A batch keeps the limits of the state service
// and the budgets. It holds no two changes of one key and no conditions on different
// versions of one key. Reads are never batched with transactions that make changes, since
// their conditions often fail and a failed condition fails the whole request. While a
// transaction that makes changes lacks budget, no less urgent changes are sent. Concurrent
// requests never exceed maxInflight, those of reads maxReadsInflight.
//
// The batcher's lock is acquired before the queue's lock.
type batcher struct {
	queue   *queue
	limiter *limiter

	mu            sync.Mutex
	inflight      int  // requests in flight, guarded by mu
	readsInflight int  // requests in flight that hold reads, guarded by mu
	lastWasRead   bool // whether the latest request held reads, guarded by mu
}

// next returns the batch to be sent now, or nil and how long to wait for one. The caller calls
// done once the batch is answered. Changes are selected only as far as the budget allows: a
// batch of less urgent changes that waited for its budget would delay more urgent ones that
// are submitted meanwhile, such as the acceptance of a job.
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

// done records that a batch is answered.
func (b *batcher) done(batch []*Txn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inflight--
	if batch[0].isRead() {
		b.readsInflight--
	}
}

// requestsInflight returns the number of requests in flight.
func (b *batcher) requestsInflight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inflight
}

// chooseBatch selects a batch and takes its cost from the budgets; if there is none it returns
// nil and how long to wait. The caller holds the locks of batcher and queue.
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
	areReadsDue := reads > 0 && b.areReadsDue(reads, age)
	// Reads alternate with changes: when users poll many times as often as usual, their
	// reads would otherwise use every request and delay acceptances and claims.
	if areReadsDue && !b.lastWasRead {
		return b.chooseReads(pending, now), 0
	}
	if chosen := b.chooseWrites(pending, budget, now); chosen != nil {
		return chosen, 0
	}
	if areReadsDue {
		return b.chooseReads(pending, now), 0
	}
	if reads > 0 && b.readsInflight < maxReadsInflight {
		wait = min(wait, readBatchDelay-age)
	}
	return nil, wait
}

// budgetDelay returns the time until the budget suffices for the first of the transactions
// that lack budget now, idleInterval at most.
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

// pendingReads returns the number of pending reads and the age of the oldest.
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

// areReadsDue reports whether reads are to be sent now. A request of reads, which serve
// users' polls, costs request budget but no write budget. Reads therefore wait until they are
// many or the oldest has waited for readBatchDelay, so that many share a request.
func (b *batcher) areReadsDue(reads int, age time.Duration) bool {
	isDue := age >= readBatchDelay || reads >= 2*b.limiter.limits.effective().MaxTxnOps
	return isDue && b.readsInflight < maxReadsInflight
}

// chooseReads selects a batch of reads and takes its request from the budget.
func (b *batcher) chooseReads(pending []*Txn, now time.Time) *selection {
	chosen := b.selectTxns(pending, true, 0, now)
	b.limiter.requests.AllowN(now, 1)
	b.readsInflight++
	b.lastWasRead = true
	return chosen
}

// chooseWrites selects a batch of changes and takes its cost from the budgets; nil if there is
// none or the budget does not suffice.
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
// together: reads or transactions that make changes, never both.
func (b *batcher) selectTxns(pending []*Txn, reads bool, budget float64, now time.Time) *selection {
	chosen := newSelection(b.limiter.limits.effective().MaxTxnOps)
	exhausted := false
	for _, t := range pending {
		// A transaction that lacks budget blocks less urgent ones: otherwise small ones
		// could use up the budget again and again before it suffices for a large one.
		exhausted = exhausted || (!reads && !t.isRead() && float64(chosen.ops+len(t.Ops))+b.limiter.urgentReserve(t, now) > budget)
		if t.isRead() != reads || exhausted || !chosen.accepts(t) {
			chosen.rest = append(chosen.rest, t)
			continue
		}
		chosen.add(t)
	}
	return chosen
}

// selection is a batch that is being built. It has no lock: it belongs to the one call of
// next that creates it.
type selection struct {
	maxOps   int
	batch    []*Txn
	rest     []*Txn            // the pending transactions that are not in the batch
	ops      int               // number of changes in the batch
	bytes    int               // approximate size of the request
	versions map[string]uint64 // versions that the conditions require, by key
	written  map[string]bool   // keys that the batch changes
}

func newSelection(maxOps int) *selection {
	return &selection{maxOps: maxOps, versions: make(map[string]uint64), written: make(map[string]bool)}
}

// add adds a transaction to the batch.
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

// accepts reports whether a transaction may be added to the batch. An empty batch accepts any,
// since Submit rejects transactions that exceed the limits on their own.
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

// agreesWith reports whether conditions require the same versions as those of the batch and
// whether the batch with them keeps the limit on conditions.
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

// encodeBatch returns the request that executes a batch, with each condition once.
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
