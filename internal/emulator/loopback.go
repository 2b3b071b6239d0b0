package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"madderslip/internal/transport"
)

// The same world over loopback: real HTTP on the real clock, for measurements that are
// too long for a test. Every worker has an address of its own in 127.0.0.0/8; one
// listener, bound to the loopback device, takes the calls to all of them.

// Traffic counts what went over one kind of link; it is safe for concurrent use.
type Traffic struct{ Requests, In, Out atomic.Int64 }

func (t *Traffic) add(in, out int) {
	t.Requests.Add(1)
	t.In.Add(int64(in))
	t.Out.Add(int64(out))
}

// Loopback is a world with addresses.
type Loopback struct {
	W          *World
	StateAddr  string
	CloudAddr  string
	State      Traffic // calls of the state service
	Cloud      Traffic // of the cloud
	Commands   Traffic // direct calls of workers
	Reports    Traffic // workers' reports: Out is what workers send
	Users      Traffic
	workerPort int
	client     *http.Client
	servers    []*http.Server
}

// NewLoopback opens the world's addresses. Its workers live at 127.1.X.Y.
func NewLoopback(ctx context.Context, w *World) (*Loopback, error) {
	l := &Loopback{W: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20_000, IdleConnTimeout: time.Minute, DisableCompression: true}}}
	var err error
	if l.StateAddr, err = l.serve(ctx, "127.0.0.1:0", l.handle(&l.State, func(r *http.Request, body []byte) (int, []byte) {
		return w.State.handle(r.Context(), r.Method, r.URL.RequestURI(), body)
	})); err != nil {
		return nil, err
	}
	if l.CloudAddr, err = l.serve(ctx, "127.0.0.1:0", l.handle(&l.Cloud, func(r *http.Request, body []byte) (int, []byte) {
		return w.handleCloud(r.Method, r.URL.RequestURI(), body)
	})); err != nil {
		return nil, err
	}
	workers, err := l.serve(ctx, "0.0.0.0:0", l.handle(&l.Commands, l.serveWorker))
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(workers)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Sscan(port, &l.workerPort); err != nil {
		return nil, err
	}
	w.Address = l.address
	return l, nil
}

// Close ends the servers.
func (l *Loopback) Close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// bindToLoopback has a socket take connections of the loopback device alone.
func bindToLoopback(_, _ string, c syscall.RawConn) error {
	var err error
	if control := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
	}); control != nil {
		return control
	}
	return err
}

func (l *Loopback) serve(ctx context.Context, addr string, h http.Handler) (string, error) {
	lc := net.ListenConfig{Control: bindToLoopback}
	ln, err := lc.Listen(ctx, "tcp4", addr)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	l.servers = append(l.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// handle answers calls by do and counts them; none that has no status gets a response.
func (l *Loopback) handle(t *Traffic, do func(*http.Request, []byte) (int, []byte)) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := do(r, body)
		if status == 0 {
			panic(http.ErrAbortHandler) // no answer at all
		}
		t.add(len(body), len(answer))
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(answer)
	})
}

// address is a worker's: 127.1.X.Y by the machine's number.
func (l *Loopback) address(host string) string {
	n := 0
	_, _ = fmt.Sscanf(host, "vm-%d", &n)
	return fmt.Sprintf("127.1.%d.%d:%d", n/250, 1+n%250, l.workerPort)
}

// serveWorker finds the machine that a call was sent to by the address that took it.
func (l *Loopback) serveWorker(r *http.Request, body []byte) (int, []byte) {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return 0, nil
	}
	ip := tcp.IP.To4()
	host := fmt.Sprintf("vm-%06d", int(ip[2])*250+int(ip[3])-1)
	status, out, err := l.W.callWorker(r.Context(), "", host, r.URL.Path, body, 0)
	if err != nil {
		return 0, nil
	}
	return status, out
}

// AddNode connects a controller by its public address.
func (l *Loopback) AddNode(name, addr string) {
	l.W.SetNode(name, func(method, target string, body []byte, reply func(transport.Response)) {
		t := &l.Users
		if target == heartbeatPath {
			t = &l.Reports
		}
		ctx, cancel := context.WithTimeout(l.W.ctx, 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+target, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := l.client.Do(req)
		if err != nil {
			return // as if no answer came
		}
		defer func() { _ = resp.Body.Close() }()
		out, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		t.add(len(out), len(body))
		reply(transport.Response{Status: resp.StatusCode, Body: out})
	})
}
