package transport

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"
)

// serve runs a server on a free port until the test ends, and returns it and its address.
func serve(t *testing.T, cfg ServerConfig, h Handler) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Addr, cfg.Limits, cfg.IdleTimeout, cfg.StallTimeout = ln.Addr().String(), testLimits, time.Minute, time.Minute
	ln.Close()
	srv, ready := NewServer(cfg, h, slog.New(slog.DiscardHandler)), make(chan struct{})
	go func() {
		if err := srv.Run(t.Context(), func() { close(ready) }); err != nil {
			t.Error(err)
		}
	}()
	<-ready
	return srv, cfg.Addr
}

// TestServerAndClient makes calls over a real connection and covers keep-alive, a response
// from another goroutine, a malformed request, and a refused connection.
func TestServerAndClient(t *testing.T) {
	ctx := t.Context()
	srv, addr := serve(t, ServerConfig{MaxConns: 10}, func(method, target string, body []byte, reply func(Response)) {
		if target == "/late" {
			go reply(Response{Status: 200, Body: body})
			return
		}
		reply(Response{Status: 404})
	})
	c := NewClient(4, 2, time.Minute)
	for range 3 {
		status, body, err := c.Do(ctx, addr, "POST", "/late", []byte(`{"a":1}`))
		if err != nil || status != 200 || string(body) != `{"a":1}` {
			t.Fatalf("%d %q %v", status, body, err)
		}
		if status, _, err := c.Do(ctx, addr, "GET", "/other", nil); err != nil || status != 404 {
			t.Fatalf("%d %v", status, err)
		}
	}
	if got := srv.open.Load(); got != 1 {
		t.Fatalf("%d connections open, wanted 1 kept alive", got)
	}
	if status, _, err := c.Do(ctx, addr, "bad", "/x", nil); err != nil || status != 400 {
		t.Fatalf("malformed request: %d %v", status, err)
	}
	closedListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusedAddr := closedListener.Addr().String()
	closedListener.Close()
	if _, _, err := c.Do(ctx, refusedAddr, "GET", "/", nil); !errors.Is(err, ErrNotSent) {
		t.Fatalf("refused connection: got %v, wanted ErrNotSent", err)
	}
}

// A client must never hold more connections than its limit, idle ones included. Otherwise a
// shard owner that has called the machines of two shards uses up its process's sockets.
func TestClientBoundsIdleConnections(t *testing.T) {
	c := NewClient(2, 1, time.Second)
	for range 5 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					in := make([]byte, 4096)
					for {
						if _, err := conn.Read(in); err != nil {
							return
						}
						if _, err := conn.Write(AppendResponse(nil, Response{Status: 200})); err != nil {
							return
						}
					}
				}()
			}
		}()
		for range 2 { // the second call reuses the idle connection
			if status, _, err := c.Do(t.Context(), ln.Addr().String(), "GET", "/", nil); err != nil || status != 200 {
				t.Fatalf("%d %v", status, err)
			}
			if c.OpenConnections() > 2 {
				t.Fatalf("%d connections open, wanted at most 2", c.OpenConnections())
			}
		}
	}
	if c.OpenConnections() != 2 {
		t.Fatalf("%d connections open, wanted 2", c.OpenConnections())
	}
}

// When connections are scarce, a user's connection is refused at its first request, with a
// Retry-After, while agents, whose leases would expire, are still served.
func TestUsersAreRefusedBeforeAgents(t *testing.T) {
	ctx := t.Context()
	_, addr := serve(t, ServerConfig{MaxConns: 6, MaxUsers: 2, IsUser: func(_, target string) bool { return target != "/report" }},
		func(_, _ string, _ []byte, reply func(Response)) { reply(Response{Status: 200}) })
	doRequest := func(target string) (*Client, int) {
		c := NewClient(1, 1, time.Minute)
		status, _, err := c.Do(ctx, addr, "GET", target, nil)
		if err != nil {
			t.Fatal(target, err)
		}
		return c, status
	}
	firstUser, status := doRequest("/user")
	if status != 200 {
		t.Fatal(status)
	}
	for i, want := range []int{200, 200, 200} { // connections of agents, within MaxConns
		if _, status := doRequest("/report"); status != want {
			t.Fatalf("agent %d: status %d", i, status)
		}
		if i == 1 {
			if _, status := doRequest("/user"); status != 503 {
				t.Fatalf("user above MaxUsers: status %d", status)
			}
		}
	}
	if status, _, err := firstUser.Do(ctx, addr, "GET", "/user", nil); err != nil || status != 200 {
		t.Fatalf("user admitted before: status %d, %v", status, err)
	}
}

// A controller that takes over the machines of other controllers must not hold a socket for
// each agent until it has none left. Above MaxKeepAlive open connections, each connection is
// closed after its response, and the client reconnects for its next request.
func TestConnectionsCloseAfterReplyAboveKeepAlive(t *testing.T) {
	_, addr := serve(t, ServerConfig{MaxConns: 6, MaxKeepAlive: 3}, func(_, _ string, _ []byte, reply func(Response)) { reply(Response{Status: 200}) })
	var clients []*Client
	for range 30 { // five times MaxConns; each client makes two calls
		clients = append(clients, NewClient(1, 1, time.Minute))
	}
	kept := 0
	for range 2 {
		kept = 0
		for i, c := range clients {
			if status, _, err := c.Do(t.Context(), addr, "GET", "/report", nil); err != nil || status != 200 {
				t.Fatalf("client %d: %d %v", i, status, err)
			}
			kept += c.OpenConnections()
		}
	}
	if kept != 3 {
		t.Errorf("%d connections kept open, wanted 3", kept)
	}
}
