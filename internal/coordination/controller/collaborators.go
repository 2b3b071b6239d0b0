package controller

import (
	"context"
	"net/http"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
)

// StateStore is the part of the state service's client that this package uses. Its errors are
// those of package kv.
type StateStore interface {
	// Get reads one key. If the key has no record, the value of the item is nil.
	Get(ctx context.Context, key string) (kv.Item, error)
	// List reads all records. A watch from the returned revision misses no later change.
	List(ctx context.Context, apply func(page []kv.Item)) (uint64, error)
	// Watch returns the changes after a revision, and the revision up to which they are
	// complete. If there are none yet, it waits for them for at most block.
	Watch(ctx context.Context, from uint64, block time.Duration) ([]kv.Item, uint64, error)
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	// KeepAlive extends a lease.
	KeepAlive(ctx context.Context, lease kv.LeaseID) error
	// Submit queues a transaction and returns at once.
	Submit(txn *kv.Txn)
	// PendingCount returns how many transactions of a priority are queued.
	PendingCount(priority kv.Priority) int
	// SetBudgetShare sets this controller's share, from 0 to 1, of the request budgets.
	SetBudgetShare(share float64)
	// MaxValueBytes returns the maximum size of an encoded record.
	MaxValueBytes() int
	// ObserveVersion records a version of a key that was received by other means, so that
	// queued transactions that require an older version need not be sent.
	ObserveVersion(key string, version uint64, exists bool)
	// LastSuccess returns when the state service last executed a call of this controller.
	LastSuccess() time.Time
	// Backlog returns how many changes are queued ahead of a new transaction of a priority,
	// and how many changes a second the budget allows.
	Backlog(priority kv.Priority) (changes int, rate float64)
	// ReadBacklog returns how many transactions that only compare versions are queued, and
	// how many of these a second are executed at least.
	ReadBacklog() (waiting int, rate float64)
}

// HTTPClient makes HTTP calls to agents and the cloud.
type HTTPClient interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error)
}

// PeerClient calls one other controller.
type PeerClient interface {
	Call(ctx context.Context, in, out any) error
}

// callJSON makes an HTTP call. It encodes in, unless that is nil, and decodes the body of an
// answer of status 200 or 409 into out, unless that is nil. It returns the status, or 0 if
// there was no answer.
func (c *Controller) callJSON(ctx context.Context, addr, method, target string, in, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = protocol.Encode(in); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, answer, err := c.httpClient.Do(ctx, addr, method, target, body)
	if err != nil {
		return 0, err
	}
	hasResult := len(answer) > 0 && (status == http.StatusOK || status == http.StatusConflict)
	if out != nil && hasResult {
		if err := protocol.Decode(answer, out); err != nil {
			return status, err
		}
	}
	return status, nil
}
