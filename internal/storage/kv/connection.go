package kv

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"madderslip/internal/protocol"
)

// HTTPClient makes one HTTP call.
type HTTPClient interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error)
}

// connection makes the calls to the state service and records when one was last executed. It
// has no lock; its methods are safe for concurrent use. It does not enforce the rate limits;
// its callers do.
type connection struct {
	http        HTTPClient
	addr        string
	lastSuccess atomic.Int64 // when the state service last executed a call, as far as an answer shows, UnixNano
}

// call is send for a call that the state service answers as soon as it has executed it. It
// records that an executed call was executed when its answer arrived, but not later than its
// timeout: a process that resumes after a pause reads answers that arrived long before.
func (c *connection) call(ctx context.Context, method, target string, request, response any, timeout time.Duration) (int, error) {
	answeredBy := time.Now().Add(timeout)
	status, err := c.send(ctx, method, target, request, response, timeout)
	if now := time.Now(); now.Before(answeredBy) {
		answeredBy = now
	}
	c.recordExecuted(status, answeredBy)
	return status, err
}

// recordExecuted records that the state service executed a call at a time, if the status of the
// answer shows that it executed the call. A later time that is on record already remains.
func (c *connection) recordExecuted(status int, at time.Time) {
	executed := status != 0 && status < http.StatusTooManyRequests
	for last := c.lastSuccess.Load(); executed && at.UnixNano() > last; last = c.lastSuccess.Load() {
		if c.lastSuccess.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// send sends request, unless it is nil, and decodes the answer into response, unless response
// is nil. A status of 0 with an error means that there was no answer or that the request was
// not encodable. Another status with an error means that the body of the answer could not be
// decoded.
func (c *connection) send(ctx context.Context, method, target string, request, response any, timeout time.Duration) (int, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = protocol.Encode(request); err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, message, err := c.http.Do(ctx, c.addr, method, target, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response == nil || len(message) == 0 || !hasMessage(status) {
		return status, nil
	}
	err = protocol.Decode(message, response)
	// The body of a 400 may have been written by a proxy or a library instead of the service.
	if err != nil && status != http.StatusBadRequest {
		return status, fmt.Errorf("decode answer: %w", err)
	}
	return status, nil
}

// hasMessage reports whether an answer of this status has a body that is decoded.
func hasMessage(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict:
		return true
	}
	return false
}
