package transport

import (
	"container/list"
	"net"
	"slices"
	"sync"
	"time"
)

// maxIdleTime is the time after which an idle connection is closed instead of reused.
const maxIdleTime = 45 * time.Second

// connPool counts the connections of a Client and keeps idle connections for reuse. It
// holds at most maxOpen connections at once, including idle ones: after a takeover, an idle
// connection to each machine of two shards would use up the sockets of the process.
type connPool struct {
	maxOpen int

	mu     sync.Mutex // guards all fields below; the only I/O under the lock is closing a connection
	idle   map[string][]*idleConn
	oldest list.List // elements are *idleConn, the longest idle first
	open   int       // number of connections that are in use, idle, or being dialled
}

// idleConn is a connection that is kept for the next call to its address.
type idleConn struct {
	net.Conn
	addr    string
	since   time.Time
	element *list.Element // the connection's element in connPool.oldest
}

func (c *idleConn) expired() bool { return time.Since(c.since) >= maxIdleTime }

func newConnPool(maxOpen int) *connPool {
	return &connPool{maxOpen: maxOpen, idle: make(map[string][]*idleConn)}
}

// takeOrReserve returns an idle connection to an address. If there is none, it returns nil
// and counts a connection that the caller may open; the caller calls releaseSlot if dialling
// fails or once the connection is closed.
func (p *connPool) takeOrReserve(addr string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.idle[addr]; len(conns) > 0; conns = p.idle[addr] {
		latest := conns[len(conns)-1]
		if latest.expired() {
			p.discard(latest)
			continue
		}
		p.removeIdle(latest)
		return latest.Conn
	}
	p.evictIdle()
	p.open++
	return nil
}

// evictIdle closes idle connections, the longest idle first: all that have expired, and
// others until one more connection may be opened. The caller holds p.mu.
func (p *connPool) evictIdle() {
	for element := p.oldest.Front(); element != nil; element = p.oldest.Front() {
		oldestIdle := element.Value.(*idleConn)
		if p.open < p.maxOpen && !oldestIdle.expired() {
			return
		}
		p.discard(oldestIdle)
	}
}

// discard removes an idle connection from the pool and closes it. The caller holds p.mu.
func (p *connPool) discard(conn *idleConn) {
	p.removeIdle(conn)
	p.open--
	_ = conn.Close()
}

// removeIdle removes a connection from the idle connections. The caller holds p.mu.
func (p *connPool) removeIdle(conn *idleConn) {
	p.oldest.Remove(conn.element)
	rest := slices.DeleteFunc(p.idle[conn.addr], func(other *idleConn) bool { return other == conn })
	if p.idle[conn.addr] = rest; len(rest) == 0 {
		delete(p.idle, conn.addr)
	}
}

// put keeps a connection for reuse, or closes it if maxIdle idle connections to the address
// are kept already.
func (p *connPool) put(addr string, conn net.Conn, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdle {
		p.open--
		_ = conn.Close()
		return
	}
	kept := &idleConn{Conn: conn, addr: addr, since: time.Now()}
	kept.element = p.oldest.PushBack(kept)
	p.idle[addr] = append(p.idle[addr], kept)
}

// releaseSlot subtracts a connection that was closed or could not be opened from the count.
func (p *connPool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// count returns the number of connections that are in use, idle or being dialled.
func (p *connPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
