package kv

import (
	"errors"
	"strings"
	"testing"

	"madderslip/internal/protocol"
)

// TestFailedCompareEndsOnlyItsOwnTransaction: a failed condition of one transaction does not
// fail the others in the same request.
func TestFailedCompareEndsOnlyItsOwnTransaction(t *testing.T) {
	s := &scriptedService{answer: func(n int, body string) (int, string, error) {
		if strings.Contains(body, keyPrefix+"b") {
			return 409, `{"failed":["` + keyPrefix + `b"],"epoch":5}`, nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		for _, key := range []string{"a", "b", "c"} {
			c.Submit(newSetTxn(key, 0, done(key)))
		}
	})
	if got["a"] != nil || got["c"] != nil || !errors.Is(got["b"], ErrCompareFailed) || len(s.bodies) != 2 {
		t.Fatalf("%v after %d requests", got, len(s.bodies))
	}
}

// TestUnknownOutcomeIsResolvedByCompares: a transaction that got no answer is sent again under
// the same conditions. If the first attempt was applied after all, a condition of the second
// fails and it changes nothing.
func TestUnknownOutcomeIsResolvedByCompares(t *testing.T) {
	s := &scriptedService{answer: func(n int, body string) (int, string, error) {
		if n == 1 {
			return 0, "", errors.New("timeout")
		}
		return 409, `{"failed":["` + keyPrefix + `a"],"epoch":5}`, nil
	}}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) { c.Submit(newSetTxn("a", 0, done("a"))) })
	if !errors.Is(got["a"], ErrCompareFailed) || len(s.bodies) != 2 || s.bodies[0] != s.bodies[1] {
		t.Fatalf("%v, requests %v", got, s.bodies)
	}
}

// TestExpiredLeaseEndsOnlyTransactionsWithLeases: an expired lease does not fail the other
// transactions of the batch, which are sent again as one batch, and the transaction that uses
// the lease does not count as malformed.
func TestExpiredLeaseEndsOnlyTransactionsWithLeases(t *testing.T) {
	s := &scriptedService{answer: func(n int, body string) (int, string, error) {
		if strings.Contains(body, `"permit":7`) {
			return 400, `{"error":"no such lease"}`, nil
		}
		return 200, `{"epoch":6}`, nil
	}}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		c.Submit(newSetTxn("a", 1, done("a")))
		leased := newSetTxn("b", 1, done("b"))
		leased.Ops[0].Lease = 7
		c.Submit(leased)
		c.Submit(newSetTxn("c", 1, done("c")))
	})
	if got["a"] != nil || !errors.Is(got["b"], ErrLeaseExpired) || got["c"] != nil || len(s.bodies) != 2 {
		t.Fatalf("%v in %d requests: %v", got, len(s.bodies), s.bodies)
	}
}

// TestRefusalAfterNoAnswerLeavesOutcomeUnknown: a transaction whose first attempt got no answer
// may have been applied before the limits were lowered, so a refusal of the second attempt
// leaves its outcome unknown.
func TestRefusalAfterNoAnswerLeavesOutcomeUnknown(t *testing.T) {
	s := &scriptedService{answer: func(n int, _ string) (int, string, error) {
		if n == 1 {
			return 0, "", errors.New("timeout")
		}
		return 400, `{"error":"the value is too large"}`, nil
	}}
	got := runClient(t, s, func(c *Client, done func(string) func(Result)) {
		c.AnnounceLimits(protocol.StateLimits{MaxValueBytes: 32})
		big := newSetTxn("big", 0, done("big"))
		big.Ops[0].Value = strings.Repeat("x", 40)
		c.Submit(big)
	})
	if !errors.Is(got["big"], ErrTooLarge) || !errors.Is(got["big"], ErrOutcomeUnknown) {
		t.Error(got)
	}
}

// TestClassify: the status of the answer decides the outcome of a call. The error decides if
// there was no answer; an expired lease is recognized by the reason in the answer.
func TestClassify(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		reason string
		err    error
		want   outcomeKind
	}{
		{"no answer", 0, "", ErrOutcomeUnknown, noAnswer},
		{"carried out", 200, "", nil, committed},
		{"carried out, message not understood", 200, "", errors.New("decode"), committed},
		{"a condition failed", 409, "", nil, compareFailed},
		{"a lease has ended", 400, reasonLeaseExpired, nil, leaseExpired},
		{"malformed", 400, "malformed", nil, refused},
		{"malformed, no reason", 400, "", nil, refused},
		{"too many", 429, "", nil, rateLimited},
		{"down", 503, "", nil, unavailable},
		{"reason of a lease beside another status", 503, reasonLeaseExpired, nil, unavailable},
		{"no status and no error", 0, "", nil, unavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := classify(test.status, wireTxnAnswer{Error: test.reason}, test.err); got.kind != test.want {
				t.Errorf("outcome %d, want %d", got.kind, test.want)
			}
		})
	}
}
