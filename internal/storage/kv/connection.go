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
	lastSuccess atomic.Int64 // time of the answer to the latest executed call, UnixNano
}

// call is send for a call that the state service answers as soon as it has executed it. It
// records when an executed call was answered.
func (c *connection) call(ctx context.Context, method, target string, request, response any, timeout time.Duration) (int, error) {
	status, err := c.send(ctx, method, target, request, response, timeout)
	if executed := status != 0 && status < http.StatusTooManyRequests; executed {
		c.recordExecuted()
	}
	return status, err
}

// recordExecuted records that the state service has just executed a call.
func (c *connection) recordExecuted() { c.lastSuccess.Store(time.Now().UnixNano()) }

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
