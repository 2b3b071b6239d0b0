package transport

import (
	"container/list"
	"net"
	"slices"
	"sync"
	"time"
)

// maxIdleTime is how long an idle connection may be used again.
const maxIdleTime = 45 * time.Second

// connPool counts the connections of a Client and keeps idle ones for another call. It
// holds at most maxOpen at once, idle ones included: after a takeover an idle one for each
// machine of two shards would leave a process short of its last socket.
type connPool struct {
	maxOpen int

	mu     sync.Mutex // guards all below; held for bookkeeping alone, never over I/O but a close
	idle   map[string][]*idleConn
	oldest list.List // of *idleConn, the longest idle first
	open   int       // connections in use, idle, or being made
}

// idleConn is a connection that waits for another call to its address.
type idleConn struct {
	net.Conn
	addr    string
	since   time.Time
	element *list.Element // its own in connPool.oldest
}

func (c *idleConn) expired() bool { return time.Since(c.since) >= maxIdleTime }

func newConnPool(maxOpen int) *connPool {
	return &connPool{maxOpen: maxOpen, idle: make(map[string][]*idleConn)}
}

// take returns an idle connection to an address, or nil and leave to make one. The
// caller of a nil has to count the new one off with forget.
func (p *connPool) take(addr string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.idle[addr]; len(conns) > 0; conns = p.idle[addr] {
		latest := conns[len(conns)-1]
		if latest.expired() {
			p.discard(latest)
			continue
		}
		p.unlink(latest)
		return latest.Conn
	}
	p.makeRoom()
	p.open++
	return nil
}

// preemptFor closes idle connections, the longest idle first: expired ones in any case,
// others until one more may be opened. p.mu is held by the caller.
func (p *connPool) makeRoom() {
	for element := p.oldest.Front(); element != nil; element = p.oldest.Front() {
		longest := element.Value.(*idleConn)
		if p.open < p.maxOpen && !longest.expired() {
			return
		}
		p.discard(longest)
	}
}

// discard closes an idle connection. p.mu is held by the caller.
func (p *connPool) discard(conn *idleConn) {
	p.unlink(conn)
	p.open--
	_ = conn.Close()
}

// unlink takes a connection out of the idle ones. p.mu is held by the caller.
func (p *connPool) unlink(conn *idleConn) {
	p.oldest.Remove(conn.element)
	rest := slices.DeleteFunc(p.idle[conn.addr], func(other *idleConn) bool { return other == conn })
	if p.idle[conn.addr] = rest; len(rest) == 0 {
		delete(p.idle, conn.addr)
	}
}

// put keeps a connection for another call, or closes it if the address has maxIdle.
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

// forget counts a connection off that was closed, or not made.
func (p *connPool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// count returns how many connections are held now.
func (p *connPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
