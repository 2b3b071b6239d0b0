package kv

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// TestFailedComparesAreNotSent: a transaction is not sent if a version read elsewhere shows that
// one of the transaction's conditions fails, since failing changes use up as much budget as
// others. If a key was read as deleted, a transaction that requires the key not to exist is
// still sent.
func TestFailedComparesAreNotSent(t *testing.T) {
	s := &scriptedService{answer: func(int, string) (int, string, error) { return 200, `{"epoch":9}`, nil }}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(newSetTxn("a", 0, done("a")))
		c.Submit(newSetTxn("b", 0, done("b")))
		c.Submit(newSetTxn("c", 3, done("c")))
		c.ObserveVersion("a", 7, true)
		c.ObserveVersion("b", 7, false)
		c.ObserveVersion("c", 3, true)
	})
	if !errors.Is(got["a"], ErrCompareFailed) || got["b"] != nil || got["c"] != nil {
		t.Fatalf("%v", got)
	}
	if sent := strings.Join(s.bodies, ""); strings.Contains(sent, keyPrefix+"a") {
		t.Fatal("sent ", sent)
	}
}

// TestUrgentIsNotStarved: small, less urgent transactions do not use up the budget again and
// again before it suffices for a larger one that is more urgent.
func TestUrgentIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &scriptedService{answer: func(int, string) (int, string, error) { return 200, `{"epoch":6}`, nil }}
		c := New(s, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 4, MaxValueBytes: 64, MaxTxnOps: 8}, slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		began := time.Now()
		var took time.Duration
		var mu sync.Mutex
		for i := range 200 {
			c.Submit(&Txn{Ops: []Op{{Key: "d" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Value: 1}}, Priority: PriorityCompletion, OnResult: func(Result) {}})
		}
		time.Sleep(10 * time.Second)
		began = time.Now()
		ops := []Op{{Key: "u1", Value: 1}, {Key: "u2", Value: 1}, {Key: "u3", Value: 1}, {Key: "u4", Value: 1}}
		c.Submit(&Txn{Ops: ops, Priority: PriorityUser, OnResult: func(Result) { mu.Lock(); took = time.Since(began); mu.Unlock() }})
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		// The budget is 2 changes a second, since no share has been set.
		if took == 0 || took > 2500*time.Millisecond {
			t.Errorf("took %v", took)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
