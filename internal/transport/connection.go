package transport

import (
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// keptBufferBytes is the largest empty receive buffer that a connection keeps.
const keptBufferBytes = 16 << 10

// connection is what a Server knows of one client's connection. Requests are handled one
// at a time, in their order.
type connection struct {
	mu           sync.Mutex // guards all below; the event loop and replying goroutines take it
	received     []byte     // not parsed yet
	pending      []byte     // to be sent
	handling     bool       // a request is being handled
	inEventLoop  bool       // the event loop is inside the handler and will look at pending itself
	closing      bool       // nothing more is read; closed once nothing is being handled
	sentContinue bool       // "100 Continue" went out for the request that is being received
	admitted     bool       // its first request has come
	lastActivity time.Time  // a request began to arrive, or was answered
}

// receive takes bytes from the client. conn.mu is held by the caller.
func (conn *connection) receive(data []byte) {
	if len(data) == 0 || conn.closing {
		return
	}
	if len(conn.received) == 0 {
		conn.lastActivity = time.Now()
	}
	conn.received = append(conn.received, data...)
}

// mayHandle reports whether another request may be looked for. conn.mu is held by the
// caller.
func (conn *connection) mayHandle() bool {
	return !conn.handling && !conn.closing && len(conn.received) > 0
}

// consume drops what was parsed, and the buffer if it was a large one. conn.mu is held by
// the caller.
func (conn *connection) consume(count int) {
	conn.received = append(conn.received[:0], conn.received[count:]...)
	if len(conn.received) == 0 && cap(conn.received) > keptBufferBytes {
		conn.received = nil
	}
}

// sendContinue asks the client for its body, once a request. conn.mu is held by the caller.
func (conn *connection) sendContinue() {
	if conn.sentContinue {
		return
	}
	conn.sentContinue = true
	conn.pending = append(conn.pending, "HTTP/1.1 100 Continue\r\n\r\n"...)
}

// refuse answers without a handler and closes the connection. conn.mu is held by the caller.
func (conn *connection) refuse(r Response) {
	r.Close = true
	conn.pending = AppendResponse(conn.pending, r)
	conn.closing = true
}

// reply takes the answer to the request that is being handled. It reports whether the
// event loop sends it without being woken.
func (conn *connection) reply(r Response) (inEventLoop bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.pending = AppendResponse(conn.pending, r)
	conn.handling = false
	conn.closing = conn.closing || r.Close
	conn.lastActivity = time.Now()
	return conn.inEventLoop
}

// flush returns what is to be sent, and whether the connection is closed behind it. conn.mu
// is held by the caller.
func (conn *connection) flush() ([]byte, evio.Action) {
	pending := conn.pending
	conn.pending = nil
	if conn.closing && !conn.handling {
		return pending, evio.Close
	}
	return pending, evio.None
}

// closeIfStale marks a connection that was idle or half-sent for too long, and reports
// whether it did: then the event loop has to be woken.
func (conn *connection) closeIfStale(now time.Time, idle, stall time.Duration) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.handling || conn.closing {
		return false
	}
	age := now.Sub(conn.lastActivity)
	halfSent := len(conn.received) > 0
	if age <= idle && !(halfSent && age > stall) {
		return false
	}
	conn.closing = true
	return true
}
