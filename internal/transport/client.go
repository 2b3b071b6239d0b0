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

// ErrNotSent marks a call of which no byte can have reached the peer. Every
// other error leaves open whether the request was, or will yet be, executed.
var ErrNotSent = errors.New("request not sent")

// notSent returns an error that wraps ErrNotSent and its cause.
func notSent(cause error) error { return fmt.Errorf("%w: %w", ErrNotSent, cause) }

// CallError is a call that failed after its request may have been sent: where, at which
// step and why. Its text names step and cause.
type CallError struct {
	Step string // "write", "read" or "status"
	Addr string // that was called, IP address and port
	Err  error  // what failed, an *HTTPError among others
}

func (e *CallError) Error() string { return e.Step + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client makes HTTP calls over pooled connections. Its fields are set before the first
// call; its methods may be called from any goroutine.
type Client struct {
	DialTimeout time.Duration
	Limits      Limits // of a response
	MaxIdle     int    // connections kept per address

	calls chan struct{} // holds one element for each call in progress
	pool  *connPool
}

// Bounds of a response, in bytes.
const (
	maxResponseHead = 16 << 10
	maxResponseBody = 64 << 20
)

// NewClient makes a client that holds at most maxConns connections at once, idle ones
// included, and keeps at most maxIdle idle ones per address.
func NewClient(maxConns, maxIdle int, dialTimeout time.Duration) *Client {
	return &Client{
		DialTimeout: dialTimeout,
		Limits:      Limits{Head: maxResponseHead, Body: maxResponseBody},
		MaxIdle:     maxIdle,
		calls:       make(chan struct{}, maxConns),
		pool:        newConnPool(maxConns),
	}
}

// Open counts the connections that are held now.
func (c *Client) Open() int { return c.pool.count() }

// Do makes one call and returns the status and body of its answer. It waits until a
// connection may be opened, and ends with the context at the latest. An error wraps
// ErrNotSent, or is a *CallError: then the request may have been executed.
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
	// A deadline alone would hold a caller whose context is cancelled: a watch
	// waits for many seconds.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	response, status, err := c.exchange(conn, addr, AppendRequest(nil, method, target, addr, body))
	if err != nil {
		return 0, nil, err
	}
	// Not kept when the context has just ended: its deadline may yet be set.
	reusable = stop() && !response.Close && conn.SetDeadline(time.Time{}) == nil
	return status, response.Body, nil
}

// connect returns an idle connection to an address or makes one.
func (c *Client) connect(ctx context.Context, addr string) (net.Conn, error) {
	if conn := c.pool.take(addr); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		c.pool.forget()
		return nil, err
	}
	return conn, nil
}

// release keeps a connection for another call if it is reusable, and closes it otherwise.
func (c *Client) release(addr string, conn net.Conn, reusable bool) {
	if reusable {
		c.pool.put(addr, conn, c.MaxIdle)
		return
	}
	_ = conn.Close()
	c.pool.forget()
}

// exchange writes a request and reads its response, whose status it returns as well.
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

// read reads one response. A connection that ends before is io.ErrUnexpectedEOF.
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
