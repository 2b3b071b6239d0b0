package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gate is a link that may be cut. While it is closed, nothing passes: bytes are held and
// delivered in order once it is open again.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// wait blocks until the gate is open.
func (g *gate) wait() { g.waitOr(nil) }

// waitOr blocks until the gate is open or stop is closed, and reports whether it is open.
func (g *gate) waitOr(stop <-chan struct{}) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-stop:
		return false
	}
}

// cut closes the gate.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

// heal opens the gate.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// gatedConn is a connection over a link with a gate.
type gatedConn struct {
	net.Conn
	gate   *gate
	closed chan struct{}
	once   sync.Once
}

func newGatedConn(conn net.Conn, g *gate) *gatedConn {
	return &gatedConn{Conn: conn, gate: g, closed: make(chan struct{})}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.gate.waitOr(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.gate.waitOr(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// gatedListener gives each accepted connection the gate of its peer. A connection whose gate
// is closed is accepted by the kernel, and stays silent. One whose peer is not known is closed.
type gatedListener struct {
	net.Listener
	gateOf func(conn net.Conn) (g *gate, known bool)
}

func (l gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g, known := l.gateOf(conn); known {
			return newGatedConn(conn, g), nil
		}
		_ = conn.Close()
	}
}

// listen listens on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return listener
}

// freeAddress returns a loopback address whose port is free at the time of the call, from below
// the range of which the system takes the ports of outgoing connections: a controller opens the
// address later, and again when it is back.
func freeAddress() string {
	const lowest, count = 20_000, 10_000
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count))
		if listener, err := net.Listen("tcp4", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	cannotRun("no port is free")
	return ""
}

// proxy forwards connections to an address over a gate.
func proxy(target string, g *gate) string {
	listener := listen()
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(in, target, g)
		}
	}()
	return listener.Addr().String()
}

func forward(in net.Conn, target string, g *gate) {
	defer func() { _ = in.Close() }()
	g.wait()
	out, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			g.wait()
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_, _ = in.Close(), out.Close()
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
	<-done
}

// ownerOf returns which of the given processes holds the other end of a loopback connection:
// the index of its process id, or -1.
func ownerOf(conn net.Conn, pids []int) int {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	local, ok2 := conn.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return -1
	}
	for range 50 {
		if inode := socketInode(remote.Port, local.Port); inode != "" {
			link := "socket:[" + inode + "]"
			for i, pid := range pids {
				if holds(pid, link) {
					return i
				}
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return -1
}

// socketInode returns the inode of the socket that connects a local port with a remote one.
func socketInode(localPort, remotePort int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	local, remote := fmt.Sprintf(":%04X", localPort), fmt.Sprintf(":%04X", remotePort)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], local) && strings.HasSuffix(fields[2], remote) && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// holds reports whether a process has a file descriptor that links to a socket.
func holds(pid int, link string) bool {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(dir + "/" + entry.Name()); err == nil && target == link {
			return true
		}
	}
	return false
}
