package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const maxBody = 64 << 10 // no request body may be longer

func readAll(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, 4*maxBody))
}

// answer writes a JSON response with its length.
func answer(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// serve serves a handler at a free port of a loopback address and returns the address.
func serve(host string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freeAddress returns an address whose port is free, at a loopback address of this process alone, so
// that no other listener takes the port meanwhile.
func freeAddress() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.3.%d.%d:0", pid/250%250, 1+pid%250))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// caller makes HTTP calls.
type caller struct{ client *http.Client }

func newCaller() caller {
	return caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second, DisableCompression: true}}}
}

// call sends one request and decodes the JSON answer into out, unless out is nil. It returns the
// status, or 0 if there was no answer in time.
func (c caller) call(method, url string, body []byte, within time.Duration, out any) int {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if out != nil {
		_ = json.Unmarshal(raw, out)
	}
	return response.StatusCode
}
