package kv

import (
	"context"
	"errors"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// How long a transaction waits before it is sent again: the last send had no answer, the
// budget did not reach, or the state service was down. The nanoseconds keep that apart
// from new transactions: with a timeout the first makes up a round number that loops of
// the controller wait too, and in tests nobody could repeat which came first.
const (
	againUnsure  = 100*time.Millisecond + 73*time.Nanosecond
	againLimited = 60*time.Millisecond + 79*time.Nanosecond
	againDown    = 200*time.Millisecond + 83*time.Nanosecond
)

// apart is a moment that differs between batches. Two that were sent one gatherFor apart
// and got no answer would else come back one gatherFor apart: the second just as the
// first is sent, and nobody could repeat whether together with it.
func apart(batch []*Txn) time.Duration {
	const most = 1000
	return time.Duration(batch[0].number%most) * time.Nanosecond
}

// settle gives each transaction of a batch its result or sends it again.
func (c *Client) settle(ctx context.Context, batch []*Txn, status int, out wireResult, err error) {
	var again []*Txn
	pause := time.Duration(0)
	switch {
	case err != nil && status == 0:
		// It may have been applied, or be applied later. Sent once more it
		// either succeeds or conflicts with what is there, and both are clear.
		c.log.Debug("transaction without an answer", "n", len(batch), "err", err)
		for _, t := range batch {
			t.unsure = true
		}
		again, pause = batch, againUnsure
	case status == 200:
		for _, t := range batch {
			t.OnResult(Result{Revision: out.Epoch})
		}
	case status == 409:
		again = c.sortFailed(batch, out.Failed, out.Epoch)
	case status == 400 && out.Error == noSuchLease:
		again = c.sortLeased(batch)
	case status == 400:
		again = c.sortRefused(batch, out.Error)
	case status == 429:
		if len(batch[0].Ops) > 0 {
			c.lim.tooMany(time.Now())
		}
		again, pause = batch, againLimited
	default:
		again, pause = batch, againDown
	}
	if len(again) == 0 {
		return
	}
	if pause > 0 {
		sleep(ctx, pause+apart(batch))
	}
	c.queue(again...)
}

// noSuchLease is the reason that the state service gives when a key was to hang
// on a lease that has ended. Nothing is malformed about that: a process that
// stood still for a while sends such a transaction when it goes on.
const noSuchLease = "no such lease"

// sortLeased ends those of a batch that need a lease, and sends the others
// again: which of several leases has ended is not told, and whoever has a live
// one decides anew soon. Taken for malformed, one of them had all its
// neighbours sent one by one.
func (c *Client) sortLeased(batch []*Txn) (again []*Txn) {
	for _, t := range batch {
		if !slices.ContainsFunc(t.Ops, func(op Op) bool { return op.Lease != 0 }) {
			again = append(again, t)
			continue
		}
		c.log.Info("lease of a transaction has ended", "keys", keysOf(t))
		t.refuse(ErrLeaseExpired)
	}
	if len(again) == len(batch) { // not one that this client understands
		for _, t := range again {
			t.OnResult(Result{Err: ErrInvalid})
		}
		return nil
	}
	return again
}

// refuse ends a transaction that this sending did not carry out. An earlier one without an
// answer may have been: its caller then reads the keys again before it decides anew.
func (t *Txn) refuse(err error) {
	if t.unsure {
		err = errors.Join(err, ErrOutcomeUnknown)
	}
	t.OnResult(Result{Err: err})
}

// fitsIn tells whether a transaction alone keeps limits.
func (t *Txn) fitsIn(l protocol.StateLimits) bool {
	return len(t.Ops) <= l.MaxTxnOps && len(t.Compares) <= condsPerOp*l.MaxTxnOps && t.largest <= l.MaxValueBytes
}

// sortRefused ends those of a batch that the state service does not take, and sends the
// others again: in smaller batches if the service has lowered its limits, else one by
// one. None is sent again as it was.
func (c *Client) sortRefused(batch []*Txn, reason string) (again []*Txn) {
	whole := &Txn{}
	seen := make(map[string]bool)
	for _, t := range batch {
		whole.Ops, whole.largest = append(whole.Ops, t.Ops...), max(whole.largest, t.largest)
		for _, cond := range t.Compares {
			if !seen[cond.Key] {
				seen[cond.Key] = true
				whole.Compares = append(whole.Compares, cond)
			}
		}
	}
	if c.lim.proves(whole) {
		c.log.Info("the state service has lowered its limits", "reason", reason, "changes", len(whole.Ops), "bytes", whole.largest)
	}
	now := c.lim.sizes()
	fitted := whole.fitsIn(now)
	for _, t := range batch {
		switch {
		case !t.fitsIn(now):
			t.refuse(ErrTooLarge)
		case len(batch) == 1:
			c.log.Error("transaction refused as malformed", "reason", reason, "keys", keysOf(t))
			t.refuse(ErrInvalid)
		default:
			t.alone = fitted
			again = append(again, t)
		}
	}
	return again
}

func keysOf(t *Txn) []string {
	keys := make([]string, 0, len(t.Ops))
	for _, op := range t.Ops {
		keys = append(keys, op.Key)
	}
	return keys
}

func (c *Client) sortFailed(batch []*Txn, failed []string, epoch uint64) (again []*Txn) {
	for _, t := range batch {
		var mine []string
		for _, cond := range t.Compares {
			if slices.Contains(failed, keyRoot+cond.Key) {
				mine = append(mine, cond.Key)
			}
		}
		c.mu.Lock()
		c.spent[t.Priority].failed += len(t.Ops)
		c.mu.Unlock()
		switch {
		case len(mine) > 0:
			t.OnResult(Result{Err: ErrCompareFailed, Revision: epoch, FailedKeys: mine})
		case len(batch) == 1:
			t.OnResult(Result{Err: errors.Join(ErrCompareFailed, errors.New("no failed key named")), Revision: epoch})
		default:
			again = append(again, t)
		}
	}
	return again
}
