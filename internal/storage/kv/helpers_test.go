package kv

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// scriptedService answers requests by a function of their number and body, and records the
// bodies.
type scriptedService struct {
	mu     sync.Mutex
	bodies []string
	answer func(n int, body string) (int, string, error)
}

func (s *scriptedService) Do(_ context.Context, _, _, _ string, body []byte) (int, []byte, error) {
	s.mu.Lock()
	s.bodies = append(s.bodies, string(body))
	n := len(s.bodies)
	s.mu.Unlock()
	status, out, err := s.answer(n, string(body))
	return status, []byte(out), err
}

// runClient runs a client for 20 s, in which it sends the transactions that submit submits, and
// then ends it. It returns the results' errors by the names given to done.
func runClient(t *testing.T, s *scriptedService, submit func(c *Client, done func(name string) func(Result))) map[string]error {
	results := make(map[string]error)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := New(s, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 100, MaxValueBytes: 64, MaxTxnOps: 4}, slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		var mu sync.Mutex
		submit(c, func(name string) func(Result) {
			return func(r Result) { mu.Lock(); results[name] = r.Err; mu.Unlock() }
		})
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Second)
	})
	return results
}

// newSetTxn returns a transaction that sets a key, on condition that the key has a version.
func newSetTxn(key string, version uint64, done func(Result)) *Txn {
	return &Txn{Compares: []Compare{{key, version}}, Ops: []Op{{Key: key, Value: 1}}, Priority: PriorityBackground, OnResult: done}
}

// commit submits a transaction with PriorityUser and returns the error of its result.
func commit(ctx context.Context, c *Client, transaction *Txn) error {
	result := make(chan error, 1)
	transaction.Priority, transaction.OnResult = PriorityUser, func(r Result) { result <- r.Err }
	c.Submit(transaction)
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(10 * time.Second):
		return errors.New("no result")
	}
}
