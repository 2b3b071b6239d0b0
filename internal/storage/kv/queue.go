package kv

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// queue holds the transactions that wait to be sent. Each that is added is either handed
// out once, by update, or answered once: when its deadline passes, when a version seen
// elsewhere has failed it, or when the queue closes. Results are delivered on goroutines of
// the queue, for which wait waits, and not on the caller's, since the caller may hold a lock
// that OnResult takes.
type queue struct {
	wakeup     chan struct{}  // tells the sender that something was added, or an answer came
	deliveries sync.WaitGroup // deliveries of results; none begins once the queue is closed

	mu       sync.Mutex
	pending  []*Txn // guarded by mu
	sequence uint64 // of the latest transaction, guarded by mu
	closed   bool   // guarded by mu
}

func newQueue() *queue { return &queue{wakeup: make(chan struct{}, 1)} }

// add has transactions sent. Once the queue is closed nothing is sent any more: it reports
// false, and the caller answers them.
func (q *queue) add(transactions ...*Txn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	for _, t := range transactions {
		if t.sequence == 0 {
			q.sequence++
			t.sequence = q.sequence
		}
	}
	q.pending = append(q.pending, transactions...)
	return true
}

// wake has the sender look at the queue.
func (q *queue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// close has all that still waits answered: whoever waits for a result would wait for ever,
// and with it a controller that is told to stop.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverResults(q.pending, (*Txn).abandon)
	q.pending, q.closed = nil, true
}

// waitForDeliveries returns once the results that the queue delivers are delivered. It is called after
// close.
func (q *queue) waitForDeliveries() { q.deliveries.Wait() }

// deliverResults delivers results on a goroutine of its own. The mutex is held by the caller, so
// that close comes before or after and wait misses none.
func (q *queue) deliverResults(transactions []*Txn, deliver func(*Txn)) {
	if len(transactions) == 0 {
		return
	}
	q.deliveries.Go(func() {
		for _, t := range transactions {
			deliver(t)
		}
	})
}

// update replaces the pending transactions by those that f leaves of them. f is called
// with the lock held.
func (q *queue) update(f func(pending []*Txn) (rest []*Txn)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = f(q.pending)
}

// remove takes out the transactions for which match returns true and has each answered by
// deliver, in their order.
func (q *queue) remove(match func(*Txn) bool, deliver func(*Txn)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var removed []*Txn
	q.pending = slices.DeleteFunc(q.pending, func(t *Txn) bool {
		if !match(t) {
			return false
		}
		removed = append(removed, t)
		return true
	})
	q.deliverResults(removed, deliver)
}

// expire ends transactions whose caller no longer waits.
func (q *queue) expire(now time.Time) {
	isExpired := func(t *Txn) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) }
	q.remove(isExpired, (*Txn).abandon)
}

// observeVersion ends the transactions that a version of a key seen elsewhere has failed.
func (q *queue) observeVersion(key string, version uint64, exists bool) {
	hasFailed := func(t *Txn) bool {
		// One whose outcome is unknown may itself have made that version.
		return !t.outcomeUnknown && t.dependsOnOlder(key, version, exists)
	}
	q.remove(hasFailed, func(t *Txn) {
		t.fail(Result{Err: ErrCompareFailed, Revision: version, FailedKeys: []string{key}})
	})
}

// countByPriority counts the transactions of each priority that wait.
func (q *queue) countByPriority() (waiting [priorityCount]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.pending {
		waiting[t.Priority]++
	}
	return waiting
}

// count counts the transactions that wait for which match returns true.
func (q *queue) count(match func(*Txn) bool) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.pending {
		if match(t) {
			waiting++
		}
	}
	return waiting
}

// countAhead counts the changes, and the transactions that only compare, that go before a new
// transaction of a priority.
func (q *queue) countAhead(priority Priority) (changes, reads int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.pending {
		switch {
		case t.Priority > priority:
		case t.isRead():
			reads++
		default:
			changes += len(t.Ops)
		}
	}
	return changes, reads
}

// sortByUrgency puts the most urgent first, and of those the oldest: one that is sent
// again keeps its place.
func sortByUrgency(pending []*Txn, now time.Time) {
	slices.SortStableFunc(pending, func(a, b *Txn) int {
		return cmp.Or(
			cmp.Compare(a.effectivePriority(now), b.effectivePriority(now)),
			a.queuedAt.Compare(b.queuedAt),
			cmp.Compare(a.sequence, b.sequence))
	})
}
