package kv

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// queue holds the transactions that wait to be sent. Each added transaction leaves the queue
// once: update moves it into a batch, or it gets a result because its deadline has passed, an
// observed version fails one of its conditions, or the queue closes. Results are delivered
// on goroutines of the queue, for which wait waits, and not on the caller's, since the
// caller may hold a lock that OnResult acquires.
type queue struct {
	wakeup     chan struct{}  // wakes Run when a transaction was added or a batch was answered
	deliveries sync.WaitGroup // deliveries of results in progress; none begins once the queue is closed

	mu       sync.Mutex
	pending  []*Txn // guarded by mu
	sequence uint64 // sequence number of the transaction added last, guarded by mu
	closed   bool   // guarded by mu
}

func newQueue() *queue { return &queue{wakeup: make(chan struct{}, 1)} }

// add queues transactions and reports whether the queue is open. If the queue is closed, no
// transaction is queued, and the caller has to deliver their results.
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

// wake makes Run process the queue.
func (q *queue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// close ends all pending transactions. Without a result their submitters would wait forever,
// and a controller that is shutting down would wait for the submitters.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverResults(q.pending, (*Txn).abandon)
	q.pending, q.closed = nil, true
}

// wait waits until the queue has delivered all its results. It is called after close.
func (q *queue) wait() { q.deliveries.Wait() }

// deliverResults delivers results on a goroutine of its own. The caller holds the mutex, so
// no delivery begins after close, and wait misses none.
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

// update replaces the pending transactions by those that f returns. f is called with the
// mutex held.
func (q *queue) update(f func(pending []*Txn) (rest []*Txn)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = f(q.pending)
}

// remove removes the transactions for which match returns true and calls deliver for each of
// them in their order, on another goroutine.
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

// expire ends the transactions whose deadline has passed.
func (q *queue) expire(now time.Time) {
	isExpired := func(t *Txn) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) }
	q.remove(isExpired, (*Txn).abandon)
}

// observeVersion ends the transactions of which a condition fails on a version of a key that
// was read elsewhere.
func (q *queue) observeVersion(key string, version uint64, exists bool) {
	hasFailed := func(t *Txn) bool {
		// A transaction of unknown outcome may have been executed and have written the version.
		return !t.outcomeUnknown && t.dependsOnOlder(key, version, exists)
	}
	q.remove(hasFailed, func(t *Txn) {
		t.fail(Result{Err: ErrCompareFailed, Revision: version, FailedKeys: []string{key}})
	})
}

// countByPriority counts the pending transactions of each priority.
func (q *queue) countByPriority() (waiting [priorityCount]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.pending {
		waiting[t.Priority]++
	}
	return waiting
}

// count counts the pending transactions for which match returns true.
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

// countAhead counts the pending changes and reads that are of a priority or a more urgent
// one, and so precede a new transaction of that priority.
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

// sortByUrgency sorts by effective priority, the most urgent first, and then by age. A
// transaction that is sent again keeps its place.
func sortByUrgency(pending []*Txn, now time.Time) {
	slices.SortStableFunc(pending, func(a, b *Txn) int {
		return cmp.Or(
			cmp.Compare(a.effectivePriority(now), b.effectivePriority(now)),
			a.queuedAt.Compare(b.queuedAt),
			cmp.Compare(a.sequence, b.sequence))
	})
}
