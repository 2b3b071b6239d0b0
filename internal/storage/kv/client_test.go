package kv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// script answers calls of /multi by a function and keeps the bodies.
type script struct {
	mu     sync.Mutex
	bodies []string
	answer func(n int, body string) (int, string, error)
}

func (s *script) Do(_ context.Context, _, _, _ string, body []byte) (int, []byte, error) {
	s.mu.Lock()
	s.bodies = append(s.bodies, string(body))
	n := len(s.bodies)
	s.mu.Unlock()
	status, out, err := s.answer(n, string(body))
	return status, []byte(out), err
}

func run(t *testing.T, s *script, submit func(c *Client, done func(name string) func(Result))) map[string]error {
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

func set(key string, stamp uint64, done func(Result)) *Txn {
	return &Txn{Compares: []Compare{{key, stamp}}, Ops: []Op{{Key: key, Value: 1}}, Priority: PriorityBackground, OnResult: done}
}

// A failed condition must not sink its neighbours in the same request.
func TestConflictSparesNeighbours(t *testing.T) {
	s := &script{answer: func(n int, body string) (int, string, error) {
		if strings.Contains(body, keyPrefix+"b") {
			return 409, `{"failed":["` + keyPrefix + `b"],"epoch":5}`, nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got := run(t, s, func(c *Client, done func(string) func(Result)) {
		for _, key := range []string{"a", "b", "c"} {
			c.Submit(set(key, 0, done(key)))
		}
	})
	if got["a"] != nil || got["c"] != nil || !errors.Is(got["b"], ErrCompareFailed) || len(s.bodies) != 2 {
		t.Fatalf("%v after %d requests", got, len(s.bodies))
	}
}

// Without an answer a transaction is sent again under the same conditions: if
// the first was applied after all, the second conflicts and changes nothing.
func TestUnknownFateIsSettledByTheConditions(t *testing.T) {
	s := &script{answer: func(n int, body string) (int, string, error) {
		if n == 1 {
			return 0, "", errors.New("timeout")
		}
		return 409, `{"failed":["` + keyPrefix + `a"],"epoch":5}`, nil
	}}
	got := run(t, s, func(c *Client, done func(string) func(Result)) { c.Submit(set("a", 0, done("a"))) })
	if !errors.Is(got["a"], ErrCompareFailed) || len(s.bodies) != 2 || s.bodies[0] != s.bodies[1] {
		t.Fatalf("%v, requests %v", got, s.bodies)
	}
}

func TestLimitsAndDeadlines(t *testing.T) {
	s := &script{answer: func(int, string) (int, string, error) { return 503, "", nil }}
	got := run(t, s, func(c *Client, done func(string) func(Result)) {
		big := set("big", 0, done("big"))
		big.Ops[0].Value = strings.Repeat("x", 100)
		c.Submit(big)
		late := set("late", 0, done("late"))
		late.Deadline = time.Now().Add(time.Second)
		c.Submit(late)
	})
	if !errors.Is(got["big"], ErrInvalid) || !errors.Is(got["late"], ErrNotExecuted) {
		t.Fatal(got)
	}
	s = &script{answer: func(_ int, body string) (int, string, error) {
		if n := strings.Count(body, `"set"`); n > 4 {
			return 400, "", nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got = run(t, s, func(c *Client, done func(string) func(Result)) {
		for i := range 11 {
			key := string(rune('a' + i))
			c.Submit(set(key, 0, done(key)))
		}
	})
	if len(got) != 11 || len(s.bodies) != 3 {
		t.Fatalf("%d results after %d requests", len(got), len(s.bodies))
	}
}

// A batch never holds two writes of a key nor two versions of a condition.
func TestBatchesAreConsistent(t *testing.T) {
	s := &script{answer: func(int, string) (int, string, error) { return 200, `{"epoch":6}`, nil }}
	run(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(set("a", 1, done("1")))
		c.Submit(set("a", 2, done("2")))
		c.Submit(&Txn{Compares: []Compare{{"a", 3}}, Priority: PriorityUser, OnResult: done("3")})
	})
	if len(s.bodies) != 3 {
		t.Fatalf("%d requests: %v", len(s.bodies), s.bodies)
	}
}

// Small changes that are less urgent must not eat the budget for ever before it
// suffices for a larger one that is more urgent.
func TestUrgentIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &script{answer: func(int, string) (int, string, error) { return 200, `{"epoch":6}`, nil }}
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
		// The budget is 2 changes a second until the node knows its share.
		if took == 0 || took > 2500*time.Millisecond {
			t.Errorf("took %v", took)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// What is known to have failed is not sent: failing changes cost as much budget
// as others. A key that has gone is no reason for what wants it absent.
func TestKnownConflictsAreNotSent(t *testing.T) {
	s := &script{answer: func(int, string) (int, string, error) { return 200, `{"epoch":9}`, nil }}
	got := run(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(set("a", 0, done("a")))
		c.Submit(set("b", 0, done("b")))
		c.Submit(set("c", 3, done("c")))
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

// A lease that has ended is no fault of the transactions beside it, which were
// sent one by one once, nor is the transaction that names it malformed.
func TestEndedLeaseSparesNeighbours(t *testing.T) {
	s := &script{answer: func(n int, body string) (int, string, error) {
		if strings.Contains(body, `"permit":7`) {
			return 400, `{"error":"no such lease"}`, nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got := run(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(set("a", 1, done("a")))
		leased := set("b", 1, done("b"))
		leased.Ops[0].Lease = 7
		c.Submit(leased)
		c.Submit(set("c", 1, done("c")))
	})
	if got["a"] != nil || !errors.Is(got["b"], ErrLeaseExpired) || got["c"] != nil || len(s.bodies) != 2 {
		t.Fatalf("%v in %d requests: %v", got, len(s.bodies), s.bodies)
	}
}

// Users who ask many times as often as usual took every request of the budget, and a
// change waited behind their questions for as long as they asked. Questions are put
// together, and go by turns with changes; when they take long, half of the requests
// under way are left to changes.
func TestQuestionsLeaveRoomForChanges(t *testing.T) {
	for name, slow := range map[string]time.Duration{"as usual": 5 * time.Millisecond, "the state service is slow": 1500 * time.Millisecond} {
		s := &script{answer: func(int, string) (int, string, error) {
			time.Sleep(slow)
			return 200, `{"epoch":6}`, nil
		}}
		var waited time.Duration
		var asked atomic.Int64
		run(t, s, func(c *Client, done func(string) func(Result)) {
			for i := range 400 { // a storm of questions for 10 s
				for k := range 20 {
					c.Submit(&Txn{Compares: []Compare{{Key: fmt.Sprint("q", i, "-", k), Version: 1}}, Priority: PriorityUser, Deadline: time.Now().Add(1700 * time.Millisecond),
						OnResult: func(r Result) {
							if r.Err == nil {
								asked.Add(1)
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
		if waited == 0 || waited > slow+100*time.Millisecond {
			t.Errorf("%s: a change waited for %v", name, waited)
		}
		if asked.Load() == 0 {
			t.Errorf("%s: nobody was answered", name)
		}
	}
}

// TestRunWaitsForWhatItStarted: once Run has returned each transaction submitted before has
// its result, also one that was under way, and no call goes on.
func TestRunWaitsForWhatItStarted(t *testing.T) {
	const count = 60 // more than are sent at once
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
				s := &script{answer: func(int, string) (int, string, error) {
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
					c.Submit(set(fmt.Sprint("k", i), 1, func(Result) {
						time.Sleep(test.resultTakes)
						answered.Add(1)
					}))
				}
				time.Sleep(time.Second)
				if calls.Load() == 0 {
					t.Error("no call is under way")
				}
				cancel()
				<-ended
				if answered.Load() != count || calls.Load() != 0 {
					t.Errorf("%d of %d answered, %d calls under way", answered.Load(), count, calls.Load())
				}
			})
		})
	}
}
