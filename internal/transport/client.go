package transport

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
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
	idle map[string][]*idleConn
	old  list.List // of *idleConn, the longest idle first
	open int       // connections in use, idle, or being made
}

type idleConn struct {
	net.Conn
	addr  string
	since time.Time
	at    *list.Element
}

// NewClient makes a client that holds at most sockets connections at once, idle
// ones included. Idle ones were not counted once: after a takeover one was kept
// for each machine of two shards, and a process stood short of its last socket.
func NewClient(sockets, maxIdle int, dial time.Duration) *Client {
	return &Client{
		DialTimeout: dial,
		Limits:      Limits{Head: 16 << 10, Body: 64 << 20},
		MaxIdle:     maxIdle,
		sockets:     make(chan struct{}, sockets),
		idle:        make(map[string][]*idleConn),
	}
}

const idleKeep = 45 * time.Second

// take gives an idle connection to an address, or nil and leave to make one. The
// caller of a nil has to count the new one off with closed.
func (c *Client) take(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[addr]; len(list) > 0; list = c.idle[addr] {
		ic := list[len(list)-1]
		c.unlink(ic)
		if time.Since(ic.since) < idleKeep {
			return ic.Conn
		}
		c.open--
		ic.Close()
	}
	// The longest idle make room: those whose time is over in any case.
	for e := c.old.Front(); e != nil; e = c.old.Front() {
		ic := e.Value.(*idleConn)
		if c.open < cap(c.sockets) && time.Since(ic.since) < idleKeep {
			break
		}
		c.unlink(ic)
		c.open--
		ic.Close()
	}
	c.open++
	return nil
}

// unlink takes a connection out of the idle ones.
func (c *Client) unlink(ic *idleConn) {
	c.old.Remove(ic.at)
	list := slices.DeleteFunc(c.idle[ic.addr], func(x *idleConn) bool { return x == ic })
	if c.idle[ic.addr] = list; len(list) == 0 {
		delete(c.idle, ic.addr)
	}
}

func (c *Client) put(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.MaxIdle {
		c.open--
		conn.Close()
		return
	}
	ic := &idleConn{Conn: conn, addr: addr, since: time.Now()}
	ic.at = c.old.PushBack(ic)
	c.idle[addr] = append(c.idle[addr], ic)
}

// closed counts a connection off that was not kept.
func (c *Client) closed() {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// Open counts the connections that are held now.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
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
			c.closed()
			return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	keep := false
	defer func() {
		if keep {
			c.put(addr, conn)
		} else {
			conn.Close()
			c.closed()
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
