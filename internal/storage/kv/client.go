package kv

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"madderslip/internal/protocol"
)

// keyPrefix is prepended to every key, so that this program can share the state service with
// others.
const keyPrefix = "madderslip/"

// Timeouts of calls.
const (
	readTimeout  = 1500*time.Millisecond + 43*time.Nanosecond
	listTimeout  = 2 * readTimeout // timeout of each page of a list
	leaseTimeout = time.Second
)

// Item is the state of a key in the state service. A nil Value means that the key does not
// exist.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

// Client calls the state service within its budgets. Its parts have locks of their own where
// they need one; all of its methods are safe for concurrent use.
type Client struct {
	connection *connection
	limiter    *limiter
	queue      *queue
	batcher    *batcher
	watcher    *watcher
	budgetLog  *budgetLog
	log        *slog.Logger
}

// New returns a client. It sends transactions only while Run runs.
func New(httpClient HTTPClient, addr string, limits protocol.StateLimits, log *slog.Logger) *Client {
	connection := &connection{http: httpClient, addr: addr}
	limiter := newLimiter(limits)
	queue := newQueue()
	return &Client{
		connection: connection,
		limiter:    limiter,
		queue:      queue,
		batcher:    &batcher{queue: queue, limiter: limiter},
		watcher:    &watcher{connection: connection, limiter: limiter},
		budgetLog:  &budgetLog{log: log},
		log:        log,
	}
}

// AnnounceLimits sets the limits that the state service will introduce at some time without
// notice. AnnounceLimits is called before Run.
func (c *Client) AnnounceLimits(next protocol.StateLimits) { c.limiter.limits.announce(next) }

// SetBudgetShare sets this node's share of the budgets, from 0 to 1. A tenth of the share
// stays unused for lease renewals, which do not wait for the budget.
func (c *Client) SetBudgetShare(share float64) { c.limiter.setShare(share) }

// MaxValueBytes returns the maximum size of a value under the limits known to be in effect.
func (c *Client) MaxValueBytes() int { return c.limiter.limits.effective().MaxValueBytes }

// LastSuccess returns when the state service last executed a call of this client, as far as the
// answers show: an answer with a status below 429 shows that it executed the call, a watch when
// it was sent, any other call when the answer arrived.
func (c *Client) LastSuccess() time.Time { return time.Unix(0, c.connection.lastSuccess.Load()) }

// Get reads one key. The errors of Get, List, Watch, GrantLease and KeepAlive are of type
// *Error.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	item, err := c.get(ctx, key)
	return item, wrapError(opGet, key, err)
}

func (c *Client) get(ctx context.Context, key string) (Item, error) {
	if err := c.limiter.waitForRequest(ctx); err != nil {
		return Item{}, err
	}
	var answer wireValue
	status, err := c.connection.call(ctx, http.MethodGet, protocol.PathKeys+"/"+keyPrefix+key, nil, &answer, readTimeout)
	switch {
	case err != nil:
		return Item{}, err
	case status == http.StatusOK:
		return Item{Key: key, Value: answer.Value, Version: answer.Version}, nil
	case status == http.StatusNotFound:
		return Item{Key: key}, nil
	}
	return Item{}, notExecuted(status)
}

// Watch waits for up to block for changes after a revision. It returns them in order, with the
// revision up to which they are complete.
func (c *Client) Watch(ctx context.Context, from uint64, block time.Duration) ([]Item, uint64, error) {
	items, revision, err := c.watcher.watch(ctx, from, block)
	return items, revision, wrapError(opWatch, "", err)
}

// GrantLease requests a new lease. Lease calls do not wait for the budget: a lease lost
// because of other traffic would cost the node its shard.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request := map[string]int64{"ttlMs": ttl.Milliseconds()}
	var answer wireLease
	status, err := c.connection.call(ctx, http.MethodPost, protocol.PathLeases, request, &answer, leaseTimeout)
	if err == nil && (status != http.StatusOK || answer.Lease == 0) {
		err = notExecuted(status)
	}
	if err != nil {
		return 0, wrapError(opGrantLease, "", err)
	}
	return LeaseID(answer.Lease), nil
}

// KeepAlive renews a lease. After ErrLeaseExpired the lease cannot be renewed any more.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	id := strconv.FormatUint(uint64(lease), 10)
	return wrapError(opKeepAlive, id, c.keepAlive(ctx, id))
}

func (c *Client) keepAlive(ctx context.Context, lease string) error {
	target := protocol.PathLeases + "/" + lease + "/extend"
	status, err := c.connection.call(ctx, http.MethodPost, target, nil, nil, leaseTimeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseExpired
	case status != http.StatusOK:
		return notExecuted(status)
	}
	return nil
}
