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

// Handler handles one request. It may retain body. reply may be called from any goroutine;
// calls after the first have no effect. No lock is held while the handler runs.
type Handler func(method, target string, body []byte, reply func(Response))

// ServerConfig holds the address and the limits of the public server.
type ServerConfig struct {
	Addr     string // IP address and port
	MaxConns int    // largest number of connections open at once
	// MaxUsers is the number of open connections, of users and agents together, above which
	// a connection whose first request comes from a user is refused. The remaining
	// connections are reserved for agents, whose leases expire without heartbeats.
	MaxUsers int
	// MaxKeepAlive is the number of open connections above which each connection is closed
	// after its next response, so that only requests in progress hold a socket. Clients
	// reconnect for their next request. 0 means no such limit.
	MaxKeepAlive int
	IsUser       func(method, target string) bool // reports whether a request comes from a user; nil: none does
	Limits       Limits                           // limits on the size of a request
	IdleTimeout  time.Duration                    // time after which an idle connection is closed
	StallTimeout time.Duration                    // time after which a connection with a partly received request is closed
}

const (
	// sweepInterval is the interval between checks for idle and stalled connections.
	sweepInterval = time.Second
	// reopenDelay is the pause before a server that failed listens on its address again.
	reopenDelay = 200 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a refused connection, in seconds.
	refusedRetryAfter = 2
)

// Server is the evio HTTP server on the public address. It handles the requests of a
// connection one after the other. Connections above its limits are refused immediately with
// status 503 and a Retry-After.
type Server struct {
	cfg    ServerConfig
	handle Handler
	log    *slog.Logger
	open   atomic.Int32 // number of open connections

	mu    sync.Mutex // guards conns; lock order: mu before connection.mu
	conns map[evio.Conn]*connection
}

// NewServer returns a server, which Run starts.
func NewServer(cfg ServerConfig, handle Handler, log *slog.Logger) *Server {
	return &Server{cfg: cfg, handle: handle, log: log, conns: make(map[evio.Conn]*connection)}
}

var errStopped = errors.New("server stopped")

// Run serves until the context ends. It calls ready, if not nil, each time that it has
// opened the listener. evio leaves its loop on any error of accept, such as an aborted
// handshake, and does not resume; Run then opens the listener again, because the process
// would otherwise keep running without accepting connections.
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

// opened registers a new connection, or refuses it above MaxConns.
func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	conn := &connection{lastActivity: time.Now()}
	c.SetContext(conn)
	s.mu.Lock()
	s.conns[c] = conn
	s.mu.Unlock()
	if int(s.open.Add(1)) > s.cfg.MaxConns {
		busy := Response{Status: http.StatusServiceUnavailable, RetryAfter: refusedRetryAfter, Close: true}
		return AppendResponse(nil, busy), evio.Options{}, evio.Close
	}
	return nil, evio.Options{}, evio.None
}

// closed removes a closed connection from conns and from the count of open ones.
func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.open.Add(-1)
	}
	return evio.None
}

// sweep closes connections that are idle or stalled in the middle of a request.
func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, conn := range s.conns {
		if conn.closeIfStale(now, s.cfg.IdleTimeout, s.cfg.StallTimeout) {
			c.Wake()
		}
	}
}

// data is called by the event loop with received bytes, or with none after a Wake. It
// returns the bytes to send and whether the connection is then closed.
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

// maxBuffered returns the number of received and not yet parsed bytes above which a
// connection is closed.
func (s *Server) maxBuffered() int { return s.cfg.Limits.Head + s.cfg.Limits.Body + 4096 }

// nextRequest removes one complete request from the receive buffer of a connection. It
// returns false if no request is complete, or if the request is refused. The caller holds
// conn.mu.
func (s *Server) nextRequest(conn *connection) (Message, bool) {
	request, consumed, err := Parse(conn.received, s.cfg.Limits, false)
	if err != nil {
		conn.refuse(parseErrorResponse(err))
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
			RetryAfter: refusedRetryAfter,
		})
		return Message{}, false
	}
	// The body is copied because it shares memory with the receive buffer, which is
	// overwritten.
	request.Body = append([]byte(nil), request.Body...)
	conn.consume(consumed)
	return request, true
}

// admit reports whether a request is handled. Only the first request of a connection is
// checked against MaxUsers; later ones are admitted. The caller holds conn.mu.
func (s *Server) admit(conn *connection, request *Message) bool {
	if conn.admissionChecked {
		return true
	}
	conn.admissionChecked = true
	aboveUserLimit := s.cfg.IsUser != nil && int(s.open.Load()) > s.cfg.MaxUsers
	return !aboveUserLimit || !s.cfg.IsUser(request.method(), request.target())
}

// parseErrorResponse returns the response to a request that cannot be parsed.
func parseErrorResponse(err error) Response {
	status := http.StatusBadRequest
	var fault *HTTPError
	if errors.As(err, &fault) {
		status = fault.Status
	}
	return Response{Status: status, Body: []byte(`{"error":"` + err.Error() + `"}`)}
}

// dispatch calls the handler for a request. Only the handler's first reply is sent: by the
// event loop if the handler replies before it returns, otherwise after a Wake.
func (s *Server) dispatch(c evio.Conn, conn *connection, request Message) {
	var once sync.Once
	s.handle(request.method(), request.target(), request.Body, func(r Response) {
		once.Do(func() {
			r.Close = r.Close || request.Close || s.exceedsKeepAlive()
			if !conn.reply(r) {
				c.Wake()
			}
		})
	})
}

// exceedsKeepAlive reports whether more connections are open than MaxKeepAlive allows, so that
// each is closed after its next response.
func (s *Server) exceedsKeepAlive() bool {
	return s.cfg.MaxKeepAlive > 0 && int(s.open.Load()) > s.cfg.MaxKeepAlive
}
