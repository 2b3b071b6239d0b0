package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"madderslip/internal/transport"
)

// Traffic counts the requests of one kind, and the bytes that the world receives and sends
// with them. It is safe for concurrent use.
type Traffic struct{ Requests, In, Out atomic.Int64 }

// add counts one request and its bytes.
func (t *Traffic) add(in, out int) {
	t.Requests.Add(1)
	t.In.Add(int64(in))
	t.Out.Add(int64(out))
}

// Loopback serves a world over real HTTP on the loopback device and the real clock, for
// measurements that are too long for a test. Every worker has its own address in
// 127.0.0.0/8; one listener, bound to the loopback device, accepts the connections to all
// of them.
type Loopback struct {
	W          *World
	StateAddr  string
	CloudAddr  string
	State      Traffic // calls to the state service
	Cloud      Traffic // calls to the cloud
	Commands   Traffic // controllers' calls to workers
	Heartbeats Traffic // workers' heartbeats; Out counts the bytes that workers send
	Users      Traffic // users' requests; Out counts the bytes that users send
	workerPort int
	client     *http.Client
	servers    []*http.Server
}

// NewLoopback listens for calls to the state service, the cloud and the workers, and sets
// the world's Address. The addresses of the workers are 127.1.X.Y. The caller has to call
// Close.
func NewLoopback(ctx context.Context, w *World) (*Loopback, error) {
	l := &Loopback{W: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20_000, IdleConnTimeout: time.Minute, DisableCompression: true}}}
	callState := func(r *http.Request, body []byte) (int, []byte) {
		return w.State.handle(r.Context(), r.Method, r.URL.RequestURI(), body)
	}
	callCloud := func(r *http.Request, body []byte) (int, []byte) {
		return w.handleCloud(r.Method, r.URL.RequestURI(), body)
	}
	var err error
	if l.StateAddr, err = l.serve(ctx, "127.0.0.1:0", l.newHandler(&l.State, callState)); err != nil {
		return nil, err
	}
	if l.CloudAddr, err = l.serve(ctx, "127.0.0.1:0", l.newHandler(&l.Cloud, callCloud)); err != nil {
		return nil, err
	}
	workers, err := l.serve(ctx, "0.0.0.0:0", l.newHandler(&l.Commands, l.serveWorker))
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(workers)
	if err != nil {
		return nil, err
	}
	if l.workerPort, err = strconv.Atoi(port); err != nil {
		return nil, err
	}
	w.Address = l.address
	return l, nil
}

// Close closes the servers and aborts the calls in progress.
func (l *Loopback) Close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// bindToLoopback binds a socket to the loopback device, so that it accepts no connections
// from other devices.
func bindToLoopback(_, _ string, c syscall.RawConn) error {
	var err error
	if control := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
	}); control != nil {
		return control
	}
	return err
}

// serve starts an HTTP server with a handler and returns the listener's address.
func (l *Loopback) serve(ctx context.Context, addr string, handler http.Handler) (string, error) {
	config := net.ListenConfig{Control: bindToLoopback}
	listener, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newHandler returns an HTTP handler that answers and counts calls. If respond returns the
// status 0, the connection is closed without a response.
func (l *Loopback) newHandler(traffic *Traffic, respond func(*http.Request, []byte) (int, []byte)) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, response := respond(r, body)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		traffic.add(len(body), len(response))
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(response)
	})
}

// address returns a worker's address, 127.1.X.Y with the machine's number in X and Y.
func (l *Loopback) address(host string) string {
	number := 0
	_, _ = fmt.Sscanf(host, "vm-%d", &number)
	return fmt.Sprintf("127.1.%d.%d:%d", number/250, 1+number%250, l.workerPort)
}

// serveWorker passes a call to the worker whose address accepted the connection.
func (l *Loopback) serveWorker(r *http.Request, body []byte) (int, []byte) {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return 0, nil
	}
	ip := tcp.IP.To4()
	host := fmt.Sprintf("vm-%06d", int(ip[2])*250+int(ip[3])-1)
	status, response, err := l.W.callWorker(r.Context(), "", host, r.URL.Path, body, 0)
	if err != nil {
		return 0, nil
	}
	return status, response
}

// nodeTimeout limits the time that a controller may take to respond over loopback.
const nodeTimeout = 5 * time.Second

// AddController connects a controller that listens at a public address.
func (l *Loopback) AddController(name, addr string) {
	l.W.SetController(name, func(method, target string, body []byte, reply func(transport.Response)) {
		traffic := &l.Users
		if target == heartbeatPath {
			traffic = &l.Heartbeats
		}
		ctx, cancel := context.WithTimeout(l.W.ctx, nodeTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+target, bytes.NewReader(body))
		if err != nil {
			return
		}
		response, err := l.client.Do(request)
		if err != nil {
			return // a failed request has the same effect as a lost response
		}
		defer func() { _ = response.Body.Close() }()
		out, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		traffic.add(len(out), len(body))
		reply(transport.Response{Status: response.StatusCode, Body: out})
	})
}
