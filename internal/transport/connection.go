package transport

import (
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// maxRetainedBufferBytes is the capacity above which a connection releases its receive
// buffer when the buffer is empty.
const maxRetainedBufferBytes = 16 << 10

// connection is the state of one client connection of a Server. Requests on a connection
// are handled one at a time, in the order of arrival.
type connection struct {
	mu               sync.Mutex // guards all fields below; taken by the event loop and by replying goroutines
	received         []byte     // received bytes that are not parsed yet
	pending          []byte     // response bytes to send
	handling         bool       // a request is being handled
	inEventLoop      bool       // the event loop is inside the handler and sends pending when the handler returns
	closing          bool       // no more bytes are read; the connection is closed once no request is being handled
	sentContinue     bool       // "100 Continue" was queued for the request that is being received
	admissionChecked bool       // the first request was received and checked against MaxUsers
	lastActivity     time.Time  // last time at which a request began to arrive or was answered
}

// receive appends bytes from the client to the receive buffer. The caller holds conn.mu.
func (conn *connection) receive(data []byte) {
	if len(data) == 0 || conn.closing {
		return
	}
	if len(conn.received) == 0 {
		conn.lastActivity = time.Now()
	}
	conn.received = append(conn.received, data...)
}

// mayHandle reports whether the next request may be parsed and handled. The caller holds
// conn.mu.
func (conn *connection) mayHandle() bool {
	return !conn.handling && !conn.closing && len(conn.received) > 0
}

// consume removes the first count bytes from the receive buffer, and releases the buffer if
// it is then empty and larger than maxRetainedBufferBytes. The caller holds conn.mu.
func (conn *connection) consume(count int) {
	conn.received = append(conn.received[:0], conn.received[count:]...)
	if len(conn.received) == 0 && cap(conn.received) > maxRetainedBufferBytes {
		conn.received = nil
	}
}

// sendContinue queues "100 Continue", at most once per request, so that the client sends
// the body. The caller holds conn.mu.
func (conn *connection) sendContinue() {
	if conn.sentContinue {
		return
	}
	conn.sentContinue = true
	conn.pending = append(conn.pending, "HTTP/1.1 100 Continue\r\n\r\n"...)
}

// refuse queues a response without calling the handler and marks the connection for
// closing. The caller holds conn.mu.
func (conn *connection) refuse(r Response) {
	r.Close = true
	conn.pending = AppendResponse(conn.pending, r)
	conn.closing = true
}

// reply queues the response to the request that is being handled. The result reports whether
// the event loop is inside the handler. If so, the event loop sends the response when the
// handler returns; otherwise the caller has to wake the event loop.
func (conn *connection) reply(r Response) (inEventLoop bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.pending = AppendResponse(conn.pending, r)
	conn.handling = false
	conn.closing = conn.closing || r.Close
	conn.lastActivity = time.Now()
	return conn.inEventLoop
}

// flush removes and returns the bytes to send, and returns evio.Close if the connection is
// closed after they are sent. The caller holds conn.mu.
func (conn *connection) flush() ([]byte, evio.Action) {
	pending := conn.pending
	conn.pending = nil
	if conn.closing && !conn.handling {
		return pending, evio.Close
	}
	return pending, evio.None
}

// closeIfStale marks a connection for closing if it has been idle for longer than
// idleTimeout, or has held a partly received request for longer than stallTimeout. It
// reports whether the connection was marked; the caller then has to wake the event loop.
func (conn *connection) closeIfStale(now time.Time, idleTimeout, stallTimeout time.Duration) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.handling || conn.closing {
		return false
	}
	age := now.Sub(conn.lastActivity)
	halfSent := len(conn.received) > 0
	if age <= idleTimeout && !(halfSent && age > stallTimeout) {
		return false
	}
	conn.closing = true
	return true
}
