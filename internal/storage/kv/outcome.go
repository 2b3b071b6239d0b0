package kv

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"madderslip/internal/timing"
)

// Delays before a transaction is sent again: after no answer, after a refusal for the
// service's rate, and while the state service is down. The odd nanoseconds keep retries from
// coinciding with new transactions: a timeout plus a round retryNoAnswer would add up to a
// round period that loops of the controller wait as well, and the order of the two would
// not be reproducible in tests.
const (
	retryNoAnswer    = 100*time.Millisecond + 73*time.Nanosecond
	retryRateLimited = 60*time.Millisecond + 79*time.Nanosecond
	retryUnavailable = 200*time.Millisecond + 83*time.Nanosecond
)

// outcomeKind says whether a batch was applied, was not applied for a given cause, or has an
// unknown outcome.
type outcomeKind int

const (
	noAnswer      outcomeKind = iota // the batch may have been applied, may be applied later, or never
	committed                        // the batch was applied in full
	compareFailed                    // a condition failed; with this kind and all kinds below, the batch was not applied
	leaseExpired                     // the lease of one of the batch's changes has expired
	refused                          // the batch is malformed, or larger than the service accepts
	rateLimited                      // the batch exceeds the service's rate limit
	unavailable                      // the service was unable to execute the batch, or gave an unexpected status
)

// outcome is the outcome of one attempt to send a batch. It has no lock: it belongs to the
// goroutine that sent the batch. Every transaction of the batch either gets its result or is
// sent again; a batch that was refused is never sent again unchanged.
type outcome struct {
	kind   outcomeKind
	answer wireTxnAnswer // the service's answer; empty for noAnswer
	err    error         // why there is no answer; set for noAnswer only
}

// classify returns the outcome of a call. A status together with an error means that the
// answer's body could not be decoded; then the status alone decides.
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
		// A transaction with an expired lease is not malformed: a process that was
		// suspended sends such transactions when it resumes.
		kind = refused
		if answer.Error == reasonLeaseExpired {
			kind = leaseExpired
		}
	case http.StatusTooManyRequests:
		kind = rateLimited
	}
	return outcome{kind: kind, answer: answer}
}

// resolve delivers the result of each transaction of a batch or queues it again, after the
// delay that the outcome calls for.
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
		timing.Sleep(ctx, delay+retryOffset(batch))
	}
	if c.queue.add(retry...) {
		return
	}
	for _, t := range retry { // Run has ended
		t.abandon()
	}
}

// retryOffset returns a small delay that differs between batches. Suppose that two batches
// are sent one batchDelay apart and get no answer. With equal delays, the second would return
// to the queue at the instant at which the first is sent again, since a returned batch waits
// in the queue for batchDelay; whether both go in one request would not be reproducible.
func retryOffset(batch []*Txn) time.Duration {
	const maxOffset = 1000
	return time.Duration(batch[0].sequence%maxOffset) * time.Nanosecond
}

// markOutcomeUnknown marks transactions that may have been applied or may be applied later.
// Each is sent again under the same conditions and then either succeeds or fails a
// condition; both outcomes are definite.
func (c *Client) markOutcomeUnknown(batch []*Txn, err error) {
	c.log.Debug("transaction outcome unknown", "transactions", len(batch), "err", err)
	for _, t := range batch {
		t.outcomeUnknown = true
	}
}

// resolveCompareFailed ends the transactions of a batch whose own conditions failed, and
// returns the others to be sent again.
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

// resolveLeaseExpired ends the transactions of a batch that use a lease, and returns the
// others to be sent again. The answer does not name the expired lease, so transactions with
// a live lease end as well; their submitters soon decide again. If an expired lease counted
// as malformed, every other transaction of the batch would be sent alone.
func (c *Client) resolveLeaseExpired(batch []*Txn) (retry []*Txn) {
	for _, t := range batch {
		if !t.usesLease() {
			retry = append(retry, t)
			continue
		}
		c.log.Info("transaction lease expired", "keys", t.opKeys())
		t.refuse(ErrLeaseExpired)
	}
	if len(retry) == len(batch) { // no transaction of the batch uses a lease, so the answer is wrong
		for _, t := range retry {
			t.fail(Result{Err: ErrInvalid})
		}
		return nil
	}
	return retry
}

// resolveRefused ends the transactions of a batch that the state service does not accept, and
// returns the others to be sent again: in smaller batches if the batch exceeds the limits,
// which the service has lowered, else each alone. The batch is never sent again unchanged.
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

// mergeBatch returns a batch as one transaction, to be compared with limits: all changes, and
// each condition once.
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
