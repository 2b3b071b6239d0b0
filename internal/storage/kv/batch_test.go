package kv

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestBatchesKeepTheChangeLimit: no request has more changes than the state service accepts,
// and no more requests are sent than the limit requires.
func TestBatchesKeepTheChangeLimit(t *testing.T) {
	s := &scriptedService{answer: func(_ int, body string) (int, string, error) {
		if n := strings.Count(body, `"set"`); n > 4 {
			return 400, "", nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		for i := range 11 {
			key := string(rune('a' + i))
			c.Submit(newSetTxn(key, 0, done(key)))
		}
	})
	if len(got) != 11 || len(s.bodies) != 3 {
		t.Fatalf("%d results after %d requests", len(got), len(s.bodies))
	}
}

// TestBatchesHoldNoConflictingTransactions: a batch never holds two changes of one key, nor
// conditions on different versions of one key.
func TestBatchesHoldNoConflictingTransactions(t *testing.T) {
	s := &scriptedService{answer: func(int, string) (int, string, error) { return 200, `{"epoch":6}`, nil }}
	runClient(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(newSetTxn("a", 1, done("1")))
		c.Submit(newSetTxn("a", 2, done("2")))
		c.Submit(&Txn{Compares: []Compare{{"a", 3}}, Priority: PriorityUser, OnResult: done("3")})
	})
	if len(s.bodies) != 3 {
		t.Fatalf("%d requests: %v", len(s.bodies), s.bodies)
	}
}

// TestReadsDoNotDelayChanges: users who poll many times as often as usual do not hold up
// changes, which would otherwise wait behind their reads for as long as they poll. Reads are
// batched and alternate with changes; when the state service is slow, half of the concurrent
// requests remain available to changes.
func TestReadsDoNotDelayChanges(t *testing.T) {
	for name, latency := range map[string]time.Duration{"as usual": 5 * time.Millisecond, "the state service is slow": 1500 * time.Millisecond} {
		s := &scriptedService{answer: func(int, string) (int, string, error) {
			time.Sleep(latency)
			return 200, `{"epoch":6}`, nil
		}}
		var waited time.Duration
		var answered atomic.Int64
		runClient(t, s, func(c *Client, done func(string) func(Result)) {
			for i := range 400 { // a burst of reads for 10 s
				for k := range 20 {
					c.Submit(&Txn{Compares: []Compare{{Key: fmt.Sprint("q", i, "-", k), Version: 1}}, Priority: PriorityUser, Deadline: time.Now().Add(1700 * time.Millisecond),
						OnResult: func(r Result) {
							if r.Err == nil {
								answered.Add(1)
							}
						}})
				}
				if i == 200 {
					began := time.Now()
					c.Submit(&Txn{Compares: []Compare{{Key: "a"}}, Ops: []Op{{Key: "a", Value: 1}}, Priority: PriorityArrayClaim, OnResult: func(Result) { waited = time.Since(began) }})
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
		if waited == 0 || waited > latency+100*time.Millisecond {
			t.Errorf("%s: a change waited for %v", name, waited)
		}
		if answered.Load() == 0 {
			t.Errorf("%s: no read was answered", name)
		}
	}
}
