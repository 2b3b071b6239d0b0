package kv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// TestTooLargeAndExpiredTransactionsFail: a transaction that is larger than the state service
// accepts is rejected, and one whose deadline passes while the service is unavailable is not
// sent again and ends with ErrNotExecuted.
func TestTooLargeAndExpiredTransactionsFail(t *testing.T) {
	s := &scriptedService{answer: func(int, string) (int, string, error) { return 503, "", nil }}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		big := newSetTxn("big", 0, done("big"))
		big.Ops[0].Value = strings.Repeat("x", 100)
		c.Submit(big)
		late := newSetTxn("late", 0, done("late"))
		late.Deadline = time.Now().Add(time.Second)
		c.Submit(late)
	})
	if !errors.Is(got["big"], ErrInvalid) || !errors.Is(got["late"], ErrNotExecuted) {
		t.Fatal(got)
	}
}

// TestRunWaitsForCallsAndResults: when Run returns, each transaction submitted before has its
// result, also if it was in flight, and no call is in flight any more.
func TestRunWaitsForCallsAndResults(t *testing.T) {
	const count = 60 // number of transactions, more than the concurrent requests can hold
	for _, test := range []struct {
		name                  string
		callEnds, resultTakes time.Duration
	}{
		{"connections take long to end", time.Second, 0},
		{"results take long to deliver", 0, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var answered, calls atomic.Int64
				s := &scriptedService{answer: func(int, string) (int, string, error) {
					calls.Add(1)
					defer calls.Add(-1)
					<-ctx.Done()
					time.Sleep(test.callEnds)
					return 0, "", ctx.Err()
				}}
				c := New(s, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 100, MaxValueBytes: 64, MaxTxnOps: 4}, slog.New(slog.DiscardHandler))
				ended := make(chan struct{})
				go func() {
					c.Run(ctx)
					close(ended)
				}()
				for i := range count {
					c.Submit(newSetTxn(fmt.Sprint("k", i), 1, func(Result) {
						time.Sleep(test.resultTakes)
						answered.Add(1)
					}))
				}
				time.Sleep(time.Second)
				if calls.Load() == 0 {
					t.Error("no call is in flight")
				}
				cancel()
				<-ended
				if answered.Load() != count || calls.Load() != 0 {
					t.Errorf("%d of %d answered, %d calls in flight", answered.Load(), count, calls.Load())
				}
			})
		})
	}
}
