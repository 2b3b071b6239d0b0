package kv

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// How long a transaction waits before it is sent again: the last send had no answer, the
// budget did not reach, or the state service was down. The nanoseconds keep that apart
// from new transactions: with a timeout the first makes up a round number that loops of
// the controller wait too, and in tests nobody could repeat which came first.
const (
	retryNoAnswer    = 100*time.Millisecond + 73*time.Nanosecond
	retryRateLimited = 60*time.Millisecond + 79*time.Nanosecond
	retryUnavailable = 200*time.Millisecond + 83*time.Nanosecond
)

// outcomeKind is what an answer of the state service says of a batch.
type outcomeKind int

const (
	noAnswer      outcomeKind = iota // carried out, or not, or later
	committed                        // carried out whole
	compareFailed                    // not carried out, as none of those below: a condition failed
	leaseExpired                     // a lease that a change names has ended
	refused                          // malformed, or larger than the service takes
	rateLimited                      // over the service's rate
	unavailable                      // the service could not
)

// outcome is what became of one sending of a batch. It is a value without a lock; it
// belongs to the goroutine that sent the batch. Every transaction of the batch is either
// given its result or sent again, and none is sent again as part of a batch that was
// refused whole.
type outcome struct {
	kind   outcomeKind
	answer wireTxnAnswer // of kinds other than noAnswer
	err    error         // of noAnswer
}

// classify tells the outcome of a call. A status with an error is an answer whose message
// was not understood: the status alone counts.
func classify(status int, answer wireTxnAnswer, err error) outcome {
	if err != nil && status == 0 {
		return outcome{kind: noAnswer, err: err}
	}
	kind := unavailable
	switch status {
	case http.StatusOK:
		kind = committed
	case http.StatusConflict:
		kind = compareFailed
	case http.StatusBadRequest:
		// A lease that has ended makes nothing malformed: a process that stood still for
		// a while sends such a transaction when it goes on.
		kind = refused
		if answer.Error == reasonLeaseExpired {
			kind = leaseExpired
		}
	case http.StatusTooManyRequests:
		kind = rateLimited
	}
	return outcome{kind: kind, answer: answer}
}

// resolve gives each transaction of a batch its result or sends it again.
func (c *Client) resolve(ctx context.Context, batch []*Txn, result outcome) {
	var retry []*Txn
	delay := time.Duration(0)
	switch result.kind {
	case noAnswer:
		c.markOutcomeUnknown(batch, result.err)
		retry, delay = batch, retryNoAnswer
	case committed:
		for _, t := range batch {
			t.OnResult(Result{Revision: result.answer.Revision})
		}
	case compareFailed:
		retry = c.resolveCompareFailed(batch, result.answer)
	case leaseExpired:
		retry = c.resolveLeaseExpired(batch)
	case refused:
		retry = c.resolveRefused(batch, result.answer.Error)
	case rateLimited:
		if !batch[0].isRead() {
			c.limiter.limits.recordRateLimited(time.Now())
		}
		retry, delay = batch, retryRateLimited
	case unavailable:
		retry, delay = batch, retryUnavailable
	}
	if len(retry) == 0 {
		return
	}
	if delay > 0 {
		sleep(ctx, delay+retryOffset(batch))
	}
	if c.queue.add(retry...) {
		return
	}
	for _, t := range retry { // the client has ended
		t.abandon()
	}
}

// retryOffset is a moment that differs between batches. Two that were sent one batchDelay
// apart and got no answer would else come back one batchDelay apart: the second just as the
// first is sent, and nobody could repeat whether together with it.
func retryOffset(batch []*Txn) time.Duration {
	const maxOffset = 1000
	return time.Duration(batch[0].sequence%maxOffset) * time.Nanosecond
}

// markOutcomeUnknown marks transactions that may have been applied, or be applied later. Sent
// once more each either succeeds or conflicts with what is there, and both are clear.
func (c *Client) markOutcomeUnknown(batch []*Txn, err error) {
	c.log.Debug("transaction outcome unknown", "transactions", len(batch), "err", err)
	for _, t := range batch {
		t.outcomeUnknown = true
	}
}

// resolveCompareFailed ends those of a batch whose own conditions failed, and sends the
// others again.
func (c *Client) resolveCompareFailed(batch []*Txn, answer wireTxnAnswer) (retry []*Txn) {
	c.budgetLog.recordFailed(batch)
	for _, t := range batch {
		failed := t.failedKeys(answer.FailedKeys)
		switch {
		case len(failed) > 0:
			t.fail(Result{Err: ErrCompareFailed, Revision: answer.Revision, FailedKeys: failed})
		case len(batch) == 1:
			t.fail(Result{Err: fmt.Errorf("%w: %w", ErrCompareFailed, errNoKeyNamed), Revision: answer.Revision})
		default:
			retry = append(retry, t)
		}
	}
	return retry
}

// resolveLeaseExpired ends those of a batch that need a lease, and sends the others again:
// the answer does not tell which of several leases has ended, and whoever has a live one
// decides anew soon. Taken for malformed, one of them would have all its neighbours sent
// one by one.
func (c *Client) resolveLeaseExpired(batch []*Txn) (retry []*Txn) {
	for _, t := range batch {
		if !t.usesLease() {
			retry = append(retry, t)
			continue
		}
		c.log.Info("transaction lease expired", "keys", t.opKeys())
		t.refuse(ErrLeaseExpired)
	}
	if len(retry) == len(batch) { // not an answer that this client understands
		for _, t := range retry {
			t.fail(Result{Err: ErrInvalid})
		}
		return nil
	}
	return retry
}

// resolveRefused ends those of a batch that the state service does not take, and sends the
// others again: in smaller batches if the service has lowered its limits, else one by
// one. None is sent again as it was.
func (c *Client) resolveRefused(batch []*Txn, reason string) (retry []*Txn) {
	merged := mergeBatch(batch)
	if c.limiter.limits.recordRefused(merged) {
		c.log.Info("store limits lowered", "reason", reason, "changes", len(merged.Ops), "bytes", merged.maxValueBytes)
	}
	limits := c.limiter.limits.effective()
	mergedFits := merged.fitsIn(limits)
	for _, t := range batch {
		switch {
		case !t.fitsIn(limits):
			t.refuse(ErrTooLarge)
		case len(batch) == 1:
			c.log.Error("transaction rejected as malformed", "reason", reason, "keys", t.opKeys())
			t.refuse(ErrInvalid)
		default:
			t.sendAlone = mergedFits
			retry = append(retry, t)
		}
	}
	return retry
}

// mergeBatch is a batch as one transaction, to be measured against limits: all changes, and each
// condition once.
func mergeBatch(batch []*Txn) *Txn {
	merged := &Txn{}
	seen := make(map[string]bool)
	for _, t := range batch {
		merged.Ops, merged.maxValueBytes = append(merged.Ops, t.Ops...), max(merged.maxValueBytes, t.maxValueBytes)
		for _, compare := range t.Compares {
			if !seen[compare.Key] {
				seen[compare.Key] = true
				merged.Compares = append(merged.Compares, compare)
			}
		}
	}
	return merged
}
