package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A connection that ends before its answer leaves open whether the request was executed:
// the error names address, step and cause, and is not ErrNotSent.
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
		t.Errorf("text %q", err)
	}
	if open := client.Open(); open != 0 {
		t.Errorf("%d connections are held", open)
	}
}
