package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/protocol"
)

// keyRoot is put before every key, so that the service can share a store.
const keyRoot = "madderslip/"

// Errors of calls to the state service.
var (
	ErrCompareFailed  = errors.New("a condition failed")
	ErrOutcomeUnknown = errors.New("no answer: the change may or may not be made")
	ErrNotExecuted    = errors.New("not executed")
	ErrInvalid        = errors.New("refused as malformed")
	ErrCompacted      = errors.New("watch fell behind")
	ErrLeaseExpired   = errors.New("lease is gone")
	ErrTooLarge       = fmt.Errorf("%w: larger than the state service takes", ErrInvalid)
)

// HTTPClient makes one HTTP call.
type HTTPClient interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error)
}

// Item is a key as the state service has it. A nil Value means it is absent.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

// Client talks to the state service within its budgets.
type Client struct {
	caller HTTPClient
	addr   string
	lim    *limits
	log    *slog.Logger
	reqs   *rate.Limiter
	writes *rate.Limiter
	lastOK atomic.Int64 // UnixNano of the latest executed call

	mu        sync.Mutex
	pending   []*Txn
	submitted uint64 // the latest transaction's number
	inflight  int
	reading   int  // of those, comparisons alone
	readLast  bool // the latest to be sent was such a one
	ended     bool
	kick      chan struct{}
	spent     [priorityCount]spent
	told      time.Time
}

// New makes a client; Run must be called for transactions to be sent.
func New(caller HTTPClient, addr string, lim protocol.StateLimits, log *slog.Logger) *Client {
	return &Client{caller: caller, addr: addr, lim: newLimits(lim), log: log,
		reqs:   rate.NewLimiter(rate.Limit(lim.RequestRate/2), max(4, int(lim.RequestRate/8))),
		writes: rate.NewLimiter(rate.Limit(lim.WriteRate/2), max(minBurst, int(lim.WriteRate/3))),
		kick:   make(chan struct{}, 1),
	}
}

// minBurst is the most that one transaction changes, with a margin.
const minBurst = 8

// AnnounceLimits tells which limits the state service will have from some moment on. It is
// called before Run.
func (c *Client) AnnounceLimits(next protocol.StateLimits) { c.lim.expect(next) }

// SetBudgetShare sets this node's part of the budgets, from 0 to 1. A tenth stays unused for
// lease renewals, which do not wait for the budget.
func (c *Client) SetBudgetShare(part float64) {
	part *= 0.9
	requests, changes := c.lim.sizes().RequestRate, c.lim.writeRate(time.Now())
	c.reqs.SetLimit(rate.Limit(requests * part))
	c.writes.SetLimit(rate.Limit(changes * part))
	c.reqs.SetBurst(max(4, int(requests*part/2)))
	c.writes.SetBurst(max(minBurst, int(changes*part)))
}

// MaxValueBytes is how large a record may be, as far as is known.
func (c *Client) MaxValueBytes() int { return c.lim.sizes().MaxValueBytes }

// LastSuccess is when the state service last executed a call of this node.
func (c *Client) LastSuccess() time.Time { return time.Unix(0, c.lastOK.Load()) }

func (c *Client) call(ctx context.Context, method, target string, in any, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = protocol.Encode(in); err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, resp, err := c.caller.Do(ctx, c.addr, method, target, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status < 429 && status != 0 {
		c.lastOK.Store(time.Now().UnixNano())
	}
	if out != nil && len(resp) > 0 && (status == 200 || status == 409 || status == 404 || status == 400) {
		if err := protocol.Decode(resp, out); err != nil && status != 400 { // that one's body need not be ours
			return status, fmt.Errorf("decode %s: %w", target, err)
		}
	}
	return status, nil
}

const readTimeout = 1500*time.Millisecond + 43*time.Nanosecond

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	if err := c.reqs.Wait(ctx); err != nil {
		return Item{}, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	var out struct {
		Value json.RawMessage `json:"value"`
		Stamp uint64          `json:"stamp"`
	}
	status, err := c.call(ctx, "GET", protocol.PathKeys+"/"+keyRoot+key, nil, &out, readTimeout)
	switch {
	case err != nil:
		return Item{}, err
	case status == 200:
		return Item{Key: key, Value: out.Value, Version: out.Stamp}, nil
	case status == 404:
		return Item{Key: key}, nil
	}
	return Item{}, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
}

// List reads everything, page by page. The revision returned is that of the
// first page: a watch from there misses nothing.
func (c *Client) List(ctx context.Context) ([]Item, uint64, error) {
	var all []Item
	from, epoch := "", uint64(0)
	for page := 0; ; page++ {
		if err := c.reqs.Wait(ctx); err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
		target := protocol.PathKeys + "?under=" + url.QueryEscape(keyRoot) + "&most=500"
		if from != "" {
			target += "&from=" + url.QueryEscape(from)
		}
		var out wireList
		status, err := c.call(ctx, "GET", target, nil, &out, 2*readTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
		}
		if page == 0 {
			epoch = out.Epoch
		}
		for _, it := range out.Items {
			from = it.Key
			all = append(all, Item{strings.TrimPrefix(it.Key, keyRoot), it.Value, it.Stamp})
		}
		if !out.Truncated || len(out.Items) == 0 {
			return all, epoch, nil
		}
	}
}

// Watch waits for changes after a revision. It returns them in order and the
// revision up to which they are complete.
func (c *Client) Watch(ctx context.Context, from uint64, block time.Duration) ([]Item, uint64, error) {
	if err := c.reqs.Wait(ctx); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	target := protocol.PathWatch + "?under=" + url.QueryEscape(keyRoot) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(block.Milliseconds(), 10)
	var out wireWatch
	status, err := c.call(ctx, "GET", target, nil, &out, block+5*time.Second)
	switch {
	case err != nil:
		return nil, 0, err
	case status == 410:
		return nil, 0, ErrCompacted
	case status != 200:
		return nil, 0, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	items := make([]Item, 0, len(out.News))
	for _, n := range out.News {
		if n.Drop != "" {
			items = append(items, Item{Key: strings.TrimPrefix(n.Drop, keyRoot), Version: n.Stamp})
			continue
		}
		items = append(items, Item{strings.TrimPrefix(n.Set, keyRoot), n.Value, n.Stamp})
	}
	return items, max(out.Epoch, from), nil
}

// GrantLease takes a new lease. Leases do not wait for the budget: losing one
// because of other traffic would cost the node its shard.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Permit uint64 `json:"permit"`
	}
	status, err := c.call(ctx, "POST", protocol.PathLeases, map[string]int64{"ttlMs": ttl.Milliseconds()}, &out, time.Second)
	if err != nil {
		return 0, err
	}
	if status != 200 || out.Permit == 0 {
		return 0, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	return out.Permit, nil
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, permit uint64) error {
	status, err := c.call(ctx, "POST", protocol.PathLeases+"/"+strconv.FormatUint(permit, 10)+"/extend", nil, nil, time.Second)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrLeaseExpired
	case status != 200:
		return fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	return nil
}
