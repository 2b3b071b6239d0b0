package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"madderslip/internal/storage/kv"
)

// commit submits a transaction. done runs with the lock held, after the cache
// shows the outcome: the written records, or what the failed keys hold now.
func (c *Controller) commit(prio int, compares []kv.Compare, ops []kv.Op, within time.Duration, done func(error)) {
	c.commitWithRevision(prio, compares, ops, within, func(err error, _ uint64) { done(err) })
}

// commitWithRevision is commit, and tells done the state service's revision as it answered; 0 if
// it did not.
func (c *Controller) commitWithRevision(prio int, compares []kv.Compare, ops []kv.Op, within time.Duration, done func(error, uint64)) {
	txn := &kv.Txn{Compares: compares, Ops: ops, Priority: prio}
	if within > 0 {
		txn.Deadline = time.Now().Add(within)
	}
	txn.OnResult = func(result kv.Result) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if keys := c.keysToRefresh(result, txn); len(keys) > 0 {
			// One without a deadline reserves something: its caller may not go on before it
			// is known what became of it.
			c.refreshCount++
			go c.refreshKeys(c.refreshCount, keys, result.Revision, txn.Deadline.IsZero(), func(read bool) {
				if !read && prio == kv.PriorityUser {
					// The cache may be newer than the condition and still older than what
					// another node has told users: nobody here knows.
					done(kv.ErrOutcomeUnknown, 0)
					return
				}
				done(result.Err, result.Revision)
			})
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

// keysToRefresh lists the keys to be read again after a transaction failed, since
// deciding again from the same cache would only fail again.
func (c *Controller) keysToRefresh(result kv.Result, txn *kv.Txn) []string {
	var keys []string
	for _, compare := range txn.Compares {
		// What the watch has brought meanwhile need not be read, except for users:
		// the cache may be newer than the condition and still older than what
		// another node has told them.
		if slices.Contains(result.FailedKeys, compare.Key) && (txn.Priority == kv.PriorityUser || c.view.Versions[compare.Key] <= compare.Version) {
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

// refreshKeys reads keys into the cache and then calls done with the lock held, and tells
// it whether all of them were read. With insist set it goes on until each is read, or the watch has come to the revision
// at which the transaction failed: a limited team's start whose fate was forgotten
// was missing in what the team used.
//
// Those begun at one instant, after transactions that were sent together, start a
// nanosecond apart in the order of their numbers: they compete for the same requests.
func (c *Controller) refreshKeys(number int, keys []string, epoch uint64, insist bool, done func(read bool)) {
	c.mu.Lock()
	life := c.ctx
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(life, 2*time.Second)
	defer cancel()
	pause(ctx, time.Duration(number%maxRefreshes+1)*time.Nanosecond)
	read := true
	for _, key := range keys {
		item, err := c.store.Get(ctx, key)
		for err != nil && insist && life.Err() == nil {
			c.mu.Lock()
			reached := epoch > 0 && c.view.Revision >= epoch
			c.mu.Unlock()
			if reached || !c.pause(life, refreshRetryPause) {
				break
			}
			item, err = c.store.Get(life, key)
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

const (
	refreshRetryPause = 300*time.Millisecond + 71*time.Nanosecond
	maxRefreshes      = 1000 // that are told apart by their start
)
