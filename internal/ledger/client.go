package ledger

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

// root is put before every key, so that the service can share a store.
const root = "madderslip/"

// Errors of calls to the state service.
var (
	ErrConflict = errors.New("a condition failed")
	ErrUnknown  = errors.New("no answer: the change may or may not be made")
	ErrRefused  = errors.New("not executed")
	ErrInvalid  = errors.New("refused as malformed")
	ErrTooOld   = errors.New("watch fell behind")
	ErrNoGrant  = errors.New("lease is gone")
	ErrTooLarge = fmt.Errorf("%w: larger than the state service takes", ErrInvalid)
)

// Caller makes one HTTP call.
type Caller interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error)
}

// Item is a key as the state service has it. A nil Value means it is absent.
type Item struct {
	Key   string
	Value json.RawMessage
	Stamp uint64
}

// Client talks to the state service within its budgets.
type Client struct {
	caller Caller
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
	spent     [prios]spent
	told      time.Time
}

// New makes a client; Run must be called for transactions to be sent.
func New(caller Caller, addr string, lim protocol.StateLimits, log *slog.Logger) *Client {
	return &Client{caller: caller, addr: addr, lim: newLimits(lim), log: log,
		reqs:   rate.NewLimiter(rate.Limit(lim.RPS/2), max(4, int(lim.RPS/8))),
		writes: rate.NewLimiter(rate.Limit(lim.WriteRPS/2), max(minBurst, int(lim.WriteRPS/3))),
		kick:   make(chan struct{}, 1),
	}
}

// minBurst is the most that one transaction changes, with a margin.
const minBurst = 8

// Expect tells which limits the state service will have from some moment on. It is
// called before Run.
func (c *Client) Expect(next protocol.StateLimits) { c.lim.expect(next) }

// Share sets this node's part of the budgets, from 0 to 1. A tenth stays unused for
// lease renewals, which do not wait for the budget.
func (c *Client) Share(part float64) {
	part *= 0.9
	requests, changes := c.lim.sizes().RPS, c.lim.writeRate(time.Now())
	c.reqs.SetLimit(rate.Limit(requests * part))
	c.writes.SetLimit(rate.Limit(changes * part))
	c.reqs.SetBurst(max(4, int(requests*part/2)))
	c.writes.SetBurst(max(minBurst, int(changes*part)))
}

// ValueBytes is how large a record may be, as far as is known.
func (c *Client) ValueBytes() int { return c.lim.sizes().ValueBytes }

// LastOK is when the state service last executed a call of this node.
func (c *Client) LastOK() time.Time { return time.Unix(0, c.lastOK.Load()) }

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
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
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
		return Item{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	var out struct {
		Value json.RawMessage `json:"value"`
		Stamp uint64          `json:"stamp"`
	}
	status, err := c.call(ctx, "GET", protocol.PathKeys+"/"+root+key, nil, &out, readTimeout)
	switch {
	case err != nil:
		return Item{}, err
	case status == 200:
		return Item{Key: key, Value: out.Value, Stamp: out.Stamp}, nil
	case status == 404:
		return Item{Key: key}, nil
	}
	return Item{}, fmt.Errorf("%w: status %d", ErrRefused, status)
}

// List reads everything, page by page. The revision returned is that of the
// first page: a watch from there misses nothing.
func (c *Client) List(ctx context.Context) ([]Item, uint64, error) {
	var all []Item
	from, epoch := "", uint64(0)
	for page := 0; ; page++ {
		if err := c.reqs.Wait(ctx); err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		target := protocol.PathKeys + "?under=" + url.QueryEscape(root) + "&most=500"
		if from != "" {
			target += "&from=" + url.QueryEscape(from)
		}
		var out wireList
		status, err := c.call(ctx, "GET", target, nil, &out, 2*readTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrRefused, status)
		}
		if page == 0 {
			epoch = out.Epoch
		}
		for _, it := range out.Items {
			from = it.Key
			all = append(all, Item{strings.TrimPrefix(it.Key, root), it.Value, it.Stamp})
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
		return nil, 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	target := protocol.PathWatch + "?under=" + url.QueryEscape(root) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(block.Milliseconds(), 10)
	var out wireWatch
	status, err := c.call(ctx, "GET", target, nil, &out, block+5*time.Second)
	switch {
	case err != nil:
		return nil, 0, err
	case status == 410:
		return nil, 0, ErrTooOld
	case status != 200:
		return nil, 0, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	items := make([]Item, 0, len(out.News))
	for _, n := range out.News {
		if n.Drop != "" {
			items = append(items, Item{Key: strings.TrimPrefix(n.Drop, root), Stamp: n.Stamp})
			continue
		}
		items = append(items, Item{strings.TrimPrefix(n.Set, root), n.Value, n.Stamp})
	}
	return items, max(out.Epoch, from), nil
}

// Grant takes a new lease. Leases do not wait for the budget: losing one
// because of other traffic would cost the node its shard.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Permit uint64 `json:"permit"`
	}
	status, err := c.call(ctx, "POST", protocol.PathGrants, map[string]int64{"ttlMs": ttl.Milliseconds()}, &out, time.Second)
	if err != nil {
		return 0, err
	}
	if status != 200 || out.Permit == 0 {
		return 0, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return out.Permit, nil
}

// Extend renews a lease.
func (c *Client) Extend(ctx context.Context, permit uint64) error {
	status, err := c.call(ctx, "POST", protocol.PathGrants+"/"+strconv.FormatUint(permit, 10)+"/extend", nil, nil, time.Second)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrNoGrant
	case status != 200:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return nil
}
