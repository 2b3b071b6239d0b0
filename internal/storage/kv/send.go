package kv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

// txnTimeout is the timeout of a batch's request. The odd nanoseconds keep it from firing at
// the same instant as other timers.
const txnTimeout = 2*time.Second + 47*time.Nanosecond

// Submit queues a transaction. OnResult is called exactly once, on another goroutine; it must
// not block, since the same goroutine delivers other results after it. A transaction that
// Submit rejects, or that is submitted after the end of Run, gets its result on a goroutine
// that Run does not wait for.
func (c *Client) Submit(t *Txn) {
	if key, err := t.encode(); err != nil {
		c.log.Error("record not encodable", "key", key, "err", err)
		go t.fail(Result{Err: ErrInvalid})
		return
	}
	if !t.fitsIn(c.limiter.limits.effective()) {
		c.log.Info("transaction exceeds the store's limits", "keys", t.opKeys(), "changes", len(t.Ops), "bytes", t.maxValueBytes)
		go t.fail(Result{Err: ErrTooLarge})
		return
	}
	t.queuedAt = time.Now()
	if !c.queue.add(t) {
		go t.abandon()
		return
	}
	c.queue.wake()
}

// Run sends queued transactions until the context ends. Transactions that are still pending
// then, or are submitted later, are not sent any more and get an error as their result. Run
// returns once the calls in flight, which end with the context, have ended and the results
// are delivered.
func (c *Client) Run(ctx context.Context) {
	var sends sync.WaitGroup
	defer func() {
		c.queue.close()
		sends.Wait()
		c.queue.wait()
	}()
	wait := idleInterval
	for c.awaitWork(ctx, wait) {
		c.queue.expire(time.Now())
		c.budgetLog.logIfDue(time.Now(), c.queue, c.batcher)
		wait = c.sendReady(ctx, &sends)
	}
}

// awaitWork waits until the queue wakes it or wait has passed, and returns false when the
// context ends first. After a wake-up it waits for batchDelay, so that transactions submitted
// within that time can be sent in one batch.
func (c *Client) awaitWork(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.queue.wakeup:
		return timing.Sleep(ctx, batchDelay)
	case <-timer.C:
		return true
	}
}

// sendReady sends the batches that the budgets allow now, each on a goroutine of sends, and
// returns how long to wait until the next batch.
func (c *Client) sendReady(ctx context.Context, sends *sync.WaitGroup) time.Duration {
	for {
		batch, wait := c.batcher.next(time.Now())
		if batch == nil {
			return wait
		}
		c.budgetLog.recordSent(batch)
		sends.Go(func() { c.send(ctx, batch) })
	}
}

// send sends a batch and processes the answer.
func (c *Client) send(ctx context.Context, batch []*Txn) {
	var answer wireTxnAnswer
	status, err := c.connection.call(ctx, http.MethodPost, protocol.PathTransactions, encodeBatch(batch), &answer, txnTimeout)
	c.resolve(ctx, batch, classify(status, answer, err))
	c.batcher.done(batch)
	c.queue.wake()
}

// PendingCount returns the number of queued transactions of a priority.
func (c *Client) PendingCount(priority Priority) int {
	return c.queue.count(func(t *Txn) bool { return t.Priority == priority })
}

// Backlog returns how many queued changes precede a new transaction of a priority, and how
// many changes a second the budget allows. Reads count as one change per MaxTxnOps reads.
func (c *Client) Backlog(priority Priority) (changes int, rate float64) {
	changes, reads := c.queue.countAhead(priority)
	return changes + reads/max(1, c.limiter.limits.effective().MaxTxnOps), float64(c.limiter.writes.Limit())
}

// ReadBacklog returns the number of queued reads and the minimum number of reads that are
// answered per second. At least half of the requests are available to reads, and each request
// holds as many conditions as the limits allow.
func (c *Client) ReadBacklog() (waiting int, rate float64) {
	return c.queue.count((*Txn).isRead), float64(c.limiter.requests.Limit()) / 2 * float64(comparesPerOp*c.limiter.limits.effective().MaxTxnOps)
}

// ObserveVersion processes a version of a key that was read elsewhere. It ends queued
// transactions that are conditional on an older version: they can only fail, and failing
// changes use up as much budget as others.
func (c *Client) ObserveVersion(key string, version uint64, exists bool) {
	c.queue.observeVersion(key, version, exists)
}
