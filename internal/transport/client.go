package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// ErrNotSent marks a call of which no byte can have reached the peer. Every
// other error leaves open whether the request was, or will yet be, executed.
var ErrNotSent = errors.New("request not sent")

// Client makes HTTP calls over pooled connections.
type Client struct {
	DialTimeout time.Duration
	Limits      Limits
	MaxIdle     int // per address
	sockets     chan struct{}

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	net.Conn
	since time.Time
}

// NewClient makes a client that holds at most sockets connections at once.
func NewClient(sockets, maxIdle int, dial time.Duration) *Client {
	return &Client{
		DialTimeout: dial,
		Limits:      Limits{Head: 16 << 10, Body: 64 << 20},
		MaxIdle:     maxIdle,
		sockets:     make(chan struct{}, sockets),
		idle:        make(map[string][]idleConn),
	}
}

const idleKeep = 45 * time.Second

func (c *Client) take(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		ic := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(ic.since) < idleKeep {
			return ic.Conn
		}
		ic.Close()
	}
	delete(c.idle, addr)
	return nil
}

func (c *Client) put(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.MaxIdle {
		conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
}

// Forget closes the idle connections to an address that is no longer wanted.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ic := range c.idle[addr] {
		ic.Close()
	}
	delete(c.idle, addr)
}

// Do makes one call and returns the status and body of its answer.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte) (int, []byte, error) {
	select {
	case c.sockets <- struct{}{}:
		defer func() { <-c.sockets }()
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	conn := c.take(addr)
	if conn == nil {
		d := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}
		var err error
		if conn, err = d.DialContext(ctx, "tcp4", addr); err != nil {
			return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	keep := false
	defer func() {
		if keep {
			c.put(addr, conn)
		} else {
			conn.Close()
		}
	}()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	// A deadline alone would hold a caller whose context is cancelled: a watch
	// waits for many seconds.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(AppendRequest(nil, method, target, addr, body)); err != nil {
		return 0, nil, fmt.Errorf("write: %w", err)
	}
	m, err := c.read(conn)
	if err != nil {
		return 0, nil, err
	}
	status, err := strconv.Atoi(m.Start[1])
	if err != nil {
		return 0, nil, fmt.Errorf("status: %w", err)
	}
	// Not kept when the context has just ended: its deadline may yet be set.
	if stop() && !m.Close && conn.SetDeadline(time.Time{}) == nil {
		keep = true
	}
	return status, m.Body, nil
}

func (c *Client) read(conn net.Conn) (Message, error) {
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			m, used, perr := Parse(buf, c.Limits, true)
			if perr != nil {
				return m, fmt.Errorf("read: %w", perr)
			}
			if used > 0 {
				return m, nil
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Message{}, fmt.Errorf("read: %w", err)
		}
	}
}
