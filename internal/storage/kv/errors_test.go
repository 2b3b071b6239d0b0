package kv

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"madderslip/internal/protocol"
)

// failingCall is a call, the answer of the state service that makes it fail, and the expected
// error.
type failingCall struct {
	name   string
	status int
	answer string
	call   func(context.Context, *Client) error
	op     string
	key    string
	cause  error
}

var failingCalls = []failingCall{
	{"a read while the service is down", 503, "", func(ctx context.Context, c *Client) error {
		_, err := c.Get(ctx, "c/wk-1/1")
		return err
	}, "get", "c/wk-1/1", ErrNotExecuted},
	{"a list while the service is down", 503, "", func(ctx context.Context, c *Client) error {
		_, _, err := listAll(ctx, c)
		return err
	}, "list", "", ErrNotExecuted},
	{"a watch that fell behind", 410, "", func(ctx context.Context, c *Client) error {
		_, _, err := c.Watch(ctx, 1, time.Second)
		return err
	}, "watch", "", ErrCompacted},
	{"a lease that is refused", 429, "", func(ctx context.Context, c *Client) error {
		_, err := c.GrantLease(ctx, time.Second)
		return err
	}, "grant lease", "", ErrNotExecuted},
	{"a lease that has ended", 404, "", func(ctx context.Context, c *Client) error {
		return c.KeepAlive(ctx, 7)
	}, "keep lease alive", "7", ErrLeaseExpired},
	{"a transaction whose second condition failed", 409, `{"failed":["` + keyPrefix + `b"],"epoch":5}`, func(ctx context.Context, c *Client) error {
		return commit(ctx, c, &Txn{Compares: []Compare{{"a", 1}, {"b", 1}}, Ops: []Op{{Key: "a", Value: 1}}})
	}, "commit", "b", ErrCompareFailed},
	{"a transaction that is malformed", 400, "", func(ctx context.Context, c *Client) error {
		return commit(ctx, c, newSetTxn("a", 1, nil))
	}, "commit", "a", ErrInvalid},
	{"a value that cannot be written", 200, "", func(ctx context.Context, c *Client) error {
		return commit(ctx, c, &Txn{Ops: []Op{{Key: "a", Value: func() {}}}})
	}, "commit", "a", ErrInvalid},
	{"a comparison when the client has ended", 200, "", func(ctx context.Context, c *Client) error {
		c.queue.close()
		return commit(ctx, c, &Txn{Compares: []Compare{{"a", 1}}})
	}, "commit", "a", ErrNotExecuted},
}

// TestErrorsNameOperationAndKey: an error names the operation and the key or lease, and
// errors.Is finds its cause.
func TestErrorsNameOperationAndKey(t *testing.T) {
	for _, test := range failingCalls {
		t.Run(test.name, func(t *testing.T) {
			service := &scriptedService{answer: func(int, string) (int, string, error) { return test.status, test.answer, nil }}
			client := New(service, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 100, MaxValueBytes: 64, MaxTxnOps: 4}, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go client.Run(ctx)
			err := test.call(ctx, client)
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("%T: %v", err, err)
			}
			if got.Op != test.op || got.Key != test.key || !errors.Is(err, test.cause) {
				t.Errorf("operation %q, key %q, cause %v", got.Op, got.Key, got.Err)
			}
		})
	}
}
