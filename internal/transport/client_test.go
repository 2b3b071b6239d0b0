package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// If the peer closes the connection before it answers, the request may have been executed:
// the error holds the address, the step and the cause, and must not be ErrNotSent.
func TestCallErrorNamesAddressStepAndCause(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		conn.Close()
	}()
	addr := listener.Addr().String()
	client := NewClient(1, 1, time.Second)
	_, _, err = client.Do(t.Context(), addr, "GET", "/", nil)
	<-served
	var call *CallError
	if !errors.As(err, &call) || call.Addr != addr || call.Step != "read" || !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
	if err.Error() != "read: unexpected EOF" {
		t.Errorf("error text %q", err)
	}
	if open := client.OpenConnections(); open != 0 {
		t.Errorf("%d connections open, wanted 0", open)
	}
}
