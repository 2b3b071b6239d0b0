package kv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"madderslip/internal/protocol"
)

// txnTimeout is how long the answer to a batch is waited for. The nanoseconds keep its end
// apart from other timers.
const txnTimeout = 2*time.Second + 47*time.Nanosecond

// Submit queues a transaction. OnResult is called once, from another goroutine; it must not
// wait, since others are told after it. A transaction that is refused here, or comes after
// the end of Run, is answered on a goroutine that nobody waits for.
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

// Run sends queued transactions until the context ends. Those that still wait then get
// their result, as do all that are submitted later. It returns once the calls under way
// have ended, which they do with the context, and the results are delivered.
func (c *Client) Run(ctx context.Context) {
	var sends sync.WaitGroup
	defer func() {
		c.queue.close()
		sends.Wait()
		c.queue.waitForDeliveries()
	}()
	wait := idleInterval
	for c.awaitWork(ctx, wait) {
		c.queue.expire(time.Now())
		c.budgetLog.logIfDue(time.Now(), c.queue, c.batcher)
		wait = c.sendReady(ctx, &sends)
	}
}

// awaitWork returns when the queue is to be looked at, or false when the context ends.
// What comes within batchDelay of the first goes with it.
func (c *Client) awaitWork(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.queue.wakeup:
		return sleep(ctx, batchDelay)
	case <-timer.C:
		return true
	}
}

// sendReady sends the batches that the budgets allow now, each on a goroutine of sends, and
// returns how long to wait for the next.
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

// send sends a batch and deals with its answer.
func (c *Client) send(ctx context.Context, batch []*Txn) {
	var answer wireTxnAnswer
	status, err := c.connection.call(ctx, http.MethodPost, protocol.PathTransactions, encodeBatch(batch), &answer, txnTimeout)
	c.resolve(ctx, batch, classify(status, answer, err))
	c.batcher.done(batch)
	c.queue.wake()
}

// sleep waits, and reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// HasPending counts the transactions of a priority that wait for the budget.
func (c *Client) HasPending(priority Priority) int {
	return c.queue.count(func(t *Txn) bool { return t.Priority == priority })
}

// Backlog is how many changes wait that go before a new transaction of a
// priority, and how many a second the budget allows. Comparisons count as a
// change for as many as go together in a request.
func (c *Client) Backlog(priority Priority) (changes int, rate float64) {
	changes, reads := c.queue.countAhead(priority)
	return changes + reads/max(1, c.limiter.limits.effective().MaxTxnOps), float64(c.limiter.writes.Limit())
}

// ReadBacklog is how many questions wait and how many a second are answered at least:
// half of the requests carry as many as fit one.
func (c *Client) ReadBacklog() (waiting int, rate float64) {
	return c.queue.count((*Txn).isRead), float64(c.limiter.requests.Limit()) / 2 * float64(comparesPerOp*c.limiter.limits.effective().MaxTxnOps)
}

// ObserveVersion tells of a version of a key seen elsewhere. Transactions that wait and
// depend on an older one have failed already; sending them would only spend
// the budget, which failing changes take from as much as others.
func (c *Client) ObserveVersion(key string, version uint64, exists bool) {
	c.queue.observeVersion(key, version, exists)
}
