package transport

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// Handler answers one request. It may keep body. reply may be called from any goroutine;
// only its first call counts. No lock is held while the handler runs.
type Handler func(method, target string, body []byte, reply func(Response))

// ServerConfig bounds the public server.
type ServerConfig struct {
	Addr     string // IP address and port
	MaxConns int    // connections open at once
	// A connection whose first request is a user's is closed beyond so many that
	// are open, of whatever kind: the rest is for workers, whose leases run out.
	MaxUsers int
	// Beyond so many open ones each is closed with its next answer, and made anew when
	// there is something to say: then only those hold a socket who are being answered.
	// 0: never.
	Keep   int
	IsUser func(method, target string) bool // nil: nobody is a user
	Limits Limits                           // of a request
	Idle   time.Duration                    // an idle connection is closed after this
	Stall  time.Duration                    // a half-sent request is cut off after this
}

const (
	// sweepInterval is how often idle and half-open connections are looked for.
	sweepInterval = time.Second
	// reopenDelay is the pause before a server that ended opens its address again.
	reopenDelay = 200 * time.Millisecond
	// turnedAwayRetryAfter is when a client without a connection may come back, in seconds.
	turnedAwayRetryAfter = 2
)

// Server is the evio server on the public address. It answers every request that it has
// read whole, one after the other on a connection, and turns away at once, with a time to
// come back, what it has no connection for.
type Server struct {
	cfg    ServerConfig
	handle Handler
	log    *slog.Logger
	open   atomic.Int32 // connections

	mu    sync.Mutex // guards conns; taken before a connection's own, never after
	conns map[evio.Conn]*connection
}

// NewServer makes a server; Run starts it.
func NewServer(cfg ServerConfig, handle Handler, log *slog.Logger) *Server {
	return &Server{cfg: cfg, handle: handle, log: log, conns: make(map[evio.Conn]*connection)}
}

var errStopped = errors.New("server stopped")

// Run serves until the context ends, and calls ready, if there is one, each time that the
// address has been opened. evio leaves its loop for good on any
// error of accept (an aborted handshake is enough), so the listener is opened
// again rather than leaving a deaf process behind.
func (s *Server) Run(ctx context.Context, ready func()) error {
	for {
		err := s.serveOnce(ctx, ready)
		if ctx.Err() != nil {
			return nil
		}
		s.log.Error("public server failed, reopening", "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

// serveOnce serves until the context ends or evio leaves its loop.
func (s *Server) serveOnce(ctx context.Context, ready func()) error {
	events := evio.Events{
		NumLoops: 1,
		Serving: func(evio.Server) evio.Action {
			if ready != nil {
				ready()
			}
			return evio.None
		},
		Opened: s.opened,
		Closed: s.closed,
		Data:   s.data,
		Tick: func() (time.Duration, evio.Action) {
			if ctx.Err() != nil {
				return 0, evio.Shutdown
			}
			s.sweep(time.Now())
			return sweepInterval, evio.None
		},
	}
	if err := evio.Serve(events, "tcp://"+s.cfg.Addr); err != nil {
		return err
	}
	return errStopped
}

// opened takes a new connection, or turns it away beyond MaxConns.
func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	conn := &connection{lastActivity: time.Now()}
	c.SetContext(conn)
	s.mu.Lock()
	s.conns[c] = conn
	s.mu.Unlock()
	if int(s.open.Add(1)) > s.cfg.MaxConns {
		busy := Response{Status: http.StatusServiceUnavailable, RetryAfter: turnedAwayRetryAfter, Close: true}
		return AppendResponse(nil, busy), evio.Options{}, evio.Close
	}
	return nil, evio.Options{}, evio.None
}

// closed forgets a connection.
func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.open.Add(-1)
	}
	return evio.None
}

// sweep cuts off idle and half-open connections.
func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, conn := range s.conns {
		if conn.closeIfStale(now, s.cfg.Idle, s.cfg.Stall) {
			c.Wake()
		}
	}
}

// data is called by the event loop with new bytes, or with none after a Wake. It returns
// what is to be sent.
func (s *Server) data(c evio.Conn, received []byte) ([]byte, evio.Action) {
	conn, _ := c.Context().(*connection)
	if conn == nil {
		return nil, evio.Close
	}
	conn.mu.Lock()
	conn.receive(received)
	for conn.mayHandle() {
		request, ok := s.nextRequest(conn)
		if !ok {
			break
		}
		conn.handling, conn.inEventLoop = true, true
		conn.mu.Unlock()
		s.dispatch(c, conn, request)
		conn.mu.Lock()
		conn.inEventLoop = false
	}
	if len(conn.received) > s.maxBuffered() {
		conn.closing = true
	}
	response, action := conn.flush()
	conn.mu.Unlock()
	return response, action
}

// maxBuffered is how many bytes a connection may send ahead of what is handled.
func (s *Server) maxBuffered() int { return s.cfg.Limits.Head + s.cfg.Limits.Body + 4096 }

// nextRequest takes one whole request from what a connection has received. Without one,
// or with one that is turned away, it returns false. conn.mu is held by the caller.
func (s *Server) nextRequest(conn *connection) (Message, bool) {
	request, consumed, err := Parse(conn.received, s.cfg.Limits, false)
	if err != nil {
		conn.refuse(faultResponse(err))
		return Message{}, false
	}
	if consumed == 0 {
		if request.Expect {
			conn.sendContinue()
		}
		return Message{}, false
	}
	conn.sentContinue = false
	if !s.admit(conn, &request) {
		conn.refuse(Response{
			Status:     http.StatusServiceUnavailable,
			Body:       []byte(`{"error":"too many connections"}`),
			RetryAfter: turnedAwayRetryAfter,
		})
		return Message{}, false
	}
	// The body shares memory with what the connection receives next.
	request.Body = append([]byte(nil), request.Body...)
	conn.consume(consumed)
	return request, true
}

// admit reports whether a connection's request is to be handled: its first one decides
// for all. conn.mu is held by the caller.
func (s *Server) admit(conn *connection, request *Message) bool {
	if conn.admitted {
		return true
	}
	conn.admitted = true
	crowded := s.cfg.IsUser != nil && int(s.open.Load()) > s.cfg.MaxUsers
	return !crowded || !s.cfg.IsUser(request.method(), request.target())
}

// faultResponse is the answer to a request that can't be parsed.
func faultResponse(err error) Response {
	status := http.StatusBadRequest
	var fault *HTTPError
	if errors.As(err, &fault) {
		status = fault.Status
	}
	return Response{Status: status, Body: []byte(`{"error":"` + err.Error() + `"}`)}
}

// dispatch has a request handled. The first reply is written out: by the event loop if
// the handler replies before it returns, else after a Wake.
func (s *Server) dispatch(c evio.Conn, conn *connection, request Message) {
	var once sync.Once
	s.handle(request.method(), request.target(), request.Body, func(r Response) {
		once.Do(func() {
			r.Close = r.Close || request.Close || s.isCrowded()
			if !conn.reply(r) {
				c.Wake()
			}
		})
	})
}

// isCrowded reports whether connections are closed with their next answer.
func (s *Server) isCrowded() bool { return s.cfg.Keep > 0 && int(s.open.Load()) > s.cfg.Keep }
