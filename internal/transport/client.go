package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// ErrNotSent marks a call of which no byte can have reached the peer. After any
// other error the peer may have executed the request, or may still execute it.
var ErrNotSent = errors.New("request not sent")

// notSent returns an error that wraps ErrNotSent and its cause.
func notSent(cause error) error { return fmt.Errorf("%w: %w", ErrNotSent, cause) }

// CallError is the error of a call that failed after its request may have been sent. Its
// text contains the step and the cause.
type CallError struct {
	Step string // the step that failed: "write", "read" or "status"
	Addr string // IP address and port of the peer
	Err  error  // cause; an *HTTPError if the response is malformed or too long
}

func (e *CallError) Error() string { return e.Step + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client makes HTTP calls over pooled connections. Its fields are set before the first
// call; its methods may be called from any goroutine.
type Client struct {
	DialTimeout time.Duration
	Limits      Limits // limits on the size of a response
	MaxIdle     int    // largest number of idle connections kept per address

	calls chan struct{} // semaphore with one element for each call in progress
	pool  *connPool
}

// Bounds of a response, in bytes.
const (
	maxResponseHead = 16 << 10
	maxResponseBody = 64 << 20
)

// NewClient returns a client that holds at most maxConns connections at once, idle ones
// included, and keeps at most maxIdle idle connections per address.
func NewClient(maxConns, maxIdle int, dialTimeout time.Duration) *Client {
	return &Client{
		DialTimeout: dialTimeout,
		Limits:      Limits{Head: maxResponseHead, Body: maxResponseBody},
		MaxIdle:     maxIdle,
		calls:       make(chan struct{}, maxConns),
		pool:        newConnPool(maxConns),
	}
}

// OpenConnections returns the number of connections that are in use, idle or being dialled.
func (c *Client) OpenConnections() int { return c.pool.count() }

// Do makes one call and returns the status and body of the response. It blocks while
// maxConns calls are in progress, and returns when the context ends at the latest. An
// error either wraps ErrNotSent or is a *CallError; after a *CallError the request may have
// been executed.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error) {
	select {
	case c.calls <- struct{}{}:
		defer func() { <-c.calls }()
	case <-ctx.Done():
		return 0, nil, notSent(ctx.Err())
	}
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return 0, nil, notSent(err)
	}
	reusable := false
	defer func() { c.release(addr, conn, reusable) }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return 0, nil, notSent(err)
		}
	}
	// The connection's deadline alone does not end the call of a cancelled context: a watch
	// request waits for many seconds.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	response, status, err := c.exchange(conn, addr, AppendRequest(nil, method, target, addr, body))
	if err != nil {
		return 0, nil, err
	}
	// A connection is not reused if the context has just ended, because the AfterFunc above
	// may still set the connection's deadline.
	reusable = stop() && !response.Close && conn.SetDeadline(time.Time{}) == nil
	return status, response.Body, nil
}

// connect returns an idle connection to an address, or dials a new one.
func (c *Client) connect(ctx context.Context, addr string) (net.Conn, error) {
	if conn := c.pool.takeOrReserve(addr); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		c.pool.releaseSlot()
		return nil, err
	}
	return conn, nil
}

// release returns a reusable connection to the pool and closes any other.
func (c *Client) release(addr string, conn net.Conn, reusable bool) {
	if reusable {
		c.pool.put(addr, conn, c.MaxIdle)
		return
	}
	_ = conn.Close()
	c.pool.releaseSlot()
}

// exchange writes a request and reads the response. It returns the response and its
// parsed status.
func (c *Client) exchange(conn net.Conn, addr string, request []byte) (Message, int, error) {
	if _, err := conn.Write(request); err != nil {
		return Message{}, 0, &CallError{Step: "write", Addr: addr, Err: err}
	}
	response, err := c.read(conn)
	if err != nil {
		return Message{}, 0, &CallError{Step: "read", Addr: addr, Err: err}
	}
	status, err := strconv.Atoi(response.status())
	if err != nil {
		return Message{}, 0, &CallError{Step: "status", Addr: addr, Err: err}
	}
	return response, status, nil
}

// read reads one response. If the peer closes the connection before the response is
// complete, it returns io.ErrUnexpectedEOF.
func (c *Client) read(conn net.Conn) (Message, error) {
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		received, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+received]
		if received > 0 {
			response, consumed, parseErr := Parse(buf, c.Limits, true)
			if parseErr != nil {
				return response, parseErr
			}
			if consumed > 0 {
				return response, nil
			}
		}
		if errors.Is(err, io.EOF) {
			return Message{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Message{}, err
		}
	}
}
