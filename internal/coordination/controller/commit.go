package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/timing"
)

// commit submits a transaction. done runs with the lock held, after the view holds the
// outcome: the written records, or the present records of the keys whose conditions failed.
func (c *Controller) commit(priority kv.Priority, compares []kv.Compare, ops []kv.Op, within time.Duration, done func(error)) {
	c.commitWithRevision(priority, compares, ops, within, func(err error, _ uint64) { done(err) })
}

// commitWithRevision submits a transaction as commit does, and passes to done the revision
// that the state service answered with, or 0 if it did not answer.
func (c *Controller) commitWithRevision(priority kv.Priority, compares []kv.Compare, ops []kv.Op, within time.Duration, done func(error, uint64)) {
	txn := &kv.Txn{Compares: compares, Ops: ops, Priority: priority}
	if within > 0 {
		txn.Deadline = time.Now().Add(within)
	}
	txn.OnResult = func(result kv.Result) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if keys := c.keysToRefresh(result, txn); len(keys) > 0 {
			c.refreshAfter(txn, result, keys, done)
			return
		}
		if result.Err == nil {
			for _, op := range ops {
				c.view.Apply(op.Key, op.Value, result.Revision)
			}
		}
		done(result.Err, result.Revision)
		c.wake()
	}
	c.store.Submit(txn)
}

// refreshAfter reads keys of a failed transaction again before done runs. After a
// transaction without a deadline each read is repeated until the outcome is known (see
// refreshKeys): such a transaction reserves resources, and a caller that continued earlier
// could leave them out of the usage.
func (c *Controller) refreshAfter(txn *kv.Txn, result kv.Result, keys []string, done func(error, uint64)) {
	c.refreshCount++
	go c.refreshKeys(c.refreshCount, keys, result.Revision, txn.Deadline.IsZero(), func(read bool) {
		if !read && txn.Priority == kv.PriorityUser {
			// A view newer than the failed condition may still be older than the records
			// from which another controller has answered users, so the outcome counts as unknown.
			done(kv.ErrOutcomeUnknown, 0)
			return
		}
		done(result.Err, result.Revision)
	})
}

// keysToRefresh lists the keys to be read again after a transaction failed. Another
// transaction based on the same view would fail as well.
func (c *Controller) keysToRefresh(result kv.Result, txn *kv.Txn) []string {
	var keys []string
	for _, compare := range txn.Compares {
		if slices.Contains(result.FailedKeys, compare.Key) && c.needsRefresh(txn, compare) {
			keys = append(keys, compare.Key)
		}
	}
	if errors.Is(result.Err, kv.ErrOutcomeUnknown) {
		for _, op := range txn.Ops {
			keys = append(keys, op.Key)
		}
	}
	return keys
}

// needsRefresh reports whether the key of a failed condition must be read: the watch has
// not delivered a newer version yet, or the transaction answers a user. Users may have been
// answered by another controller from records that are newer than the view, even if the view is
// newer than the condition.
func (c *Controller) needsRefresh(txn *kv.Txn, compare kv.Compare) bool {
	return txn.Priority == kv.PriorityUser || c.view.Versions[compare.Key] <= compare.Version
}

// refreshKeys reads keys into the view and then calls done, with the lock held, to report
// whether all keys were read. If mustRead is set, each read is repeated until it succeeds or
// the watch has reached the revision at which the transaction failed. Otherwise a limited
// team's start of unknown outcome could be missing from the team's usage.
//
// Reads after transactions that were sent together begin at the same instant and compete for
// the same requests. The reads start a nanosecond apart, so that they compete in the order of
// the refreshes' numbers.
func (c *Controller) refreshKeys(number int, keys []string, revision uint64, mustRead bool, done func(read bool)) {
	c.mu.Lock()
	processCtx := c.ctx
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(processCtx, refreshTimeout)
	defer cancel()
	timing.Sleep(ctx, time.Duration(number%refreshStartSlots+1)*time.Nanosecond)
	read := true
	for _, key := range keys {
		item, err := c.store.Get(ctx, key)
		for err != nil && mustRead && processCtx.Err() == nil {
			if c.hasReached(revision) || !c.pause(processCtx, refreshRetryPause) {
				break
			}
			item, err = c.store.Get(processCtx, key)
		}
		if err != nil {
			read = false
			continue
		}
		c.mu.Lock()
		c.view.ApplyItem(item)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	done(read)
	c.wake()
}

// hasReached reports whether the watch has delivered all changes up to a revision. It returns
// false for 0, an unknown revision. The caller must not hold the lock.
func (c *Controller) hasReached(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return revision > 0 && c.view.Revision >= revision
}

const (
	refreshTimeout    = 2 * time.Second // bounds the first reads of all keys together
	refreshRetryPause = 300*time.Millisecond + 71*time.Nanosecond
	refreshStartSlots = 1000 // number of start times, a nanosecond apart, among which simultaneous refreshes are distributed
)
