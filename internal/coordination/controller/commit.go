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
func (n *Controller) commit(prio int, conds []kv.Compare, ops []kv.Op, within time.Duration, done func(error)) {
	n.commitWithRevision(prio, conds, ops, within, func(err error, _ uint64) { done(err) })
}

// commitWithRevision is commit, and tells done the state service's revision as it answered; 0 if
// it did not.
func (n *Controller) commitWithRevision(prio int, conds []kv.Compare, ops []kv.Op, within time.Duration, done func(error, uint64)) {
	t := &kv.Txn{Compares: conds, Ops: ops, Priority: prio}
	if within > 0 {
		t.Deadline = time.Now().Add(within)
	}
	t.OnResult = func(res kv.Result) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if keys := n.keysToRefresh(res, t); len(keys) > 0 {
			// One without a deadline reserves something: its caller may not go on before it
			// is known what became of it.
			n.refreshCount++
			go n.refreshKeys(n.refreshCount, keys, res.Revision, t.Deadline.IsZero(), func(read bool) {
				if !read && prio == kv.PriorityUser {
					// The cache may be newer than the condition and still older than what
					// another node has told users: nobody here knows.
					done(kv.ErrOutcomeUnknown, 0)
					return
				}
				done(res.Err, res.Revision)
			})
			return
		}
		if res.Err == nil {
			for _, op := range ops {
				n.view.Apply(op.Key, op.Value, res.Revision)
			}
		}
		done(res.Err, res.Revision)
		n.wake()
	}
	n.store.Submit(t)
}

// keysToRefresh lists the keys to be read again after a transaction failed, since
// deciding again from the same cache would only fail again.
func (n *Controller) keysToRefresh(res kv.Result, t *kv.Txn) []string {
	var keys []string
	for _, c := range t.Compares {
		// What the watch has brought meanwhile need not be read, except for users:
		// the cache may be newer than the condition and still older than what
		// another node has told them.
		if slices.Contains(res.FailedKeys, c.Key) && (t.Priority == kv.PriorityUser || n.view.Versions[c.Key] <= c.Version) {
			keys = append(keys, c.Key)
		}
	}
	if errors.Is(res.Err, kv.ErrOutcomeUnknown) {
		for _, op := range t.Ops {
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
func (n *Controller) refreshKeys(number int, keys []string, epoch uint64, insist bool, done func(read bool)) {
	n.mu.Lock()
	life := n.ctx
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(life, 2*time.Second)
	defer cancel()
	pause(ctx, time.Duration(number%maxRefreshes+1)*time.Nanosecond)
	read := true
	for _, key := range keys {
		it, err := n.store.Get(ctx, key)
		for err != nil && insist && life.Err() == nil {
			n.mu.Lock()
			reached := epoch > 0 && n.view.Revision >= epoch
			n.mu.Unlock()
			if reached || !n.pause(life, refreshRetryPause) {
				break
			}
			it, err = n.store.Get(life, key)
		}
		if err != nil {
			read = false
			continue
		}
		n.mu.Lock()
		n.view.ApplyItem(it)
		n.mu.Unlock()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	done(read)
	n.wake()
}

const (
	refreshRetryPause = 300*time.Millisecond + 71*time.Nanosecond
	maxRefreshes      = 1000 // that are told apart by their start
)
