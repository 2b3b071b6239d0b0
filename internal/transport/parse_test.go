package transport

import (
	"errors"
	"strings"
	"testing"
)

var testLimits = Limits{Head: 1024, Body: 2048}

func TestParseRequests(t *testing.T) {
	cases := []struct {
		name, in   string
		status     int // expected status of the error; 0: the request is parsed, -1: the request is incomplete
		body       string
		consumed   int
		wantsClose bool
	}{
		{"plain", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 0, "", 32, false},
		{"body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET", 0, "hi", 41, false},
		{"blank lines first", "\r\n\r\nGET /a HTTP/1.1\r\n\r\n", 0, "", 23, false},
		{"chunked", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n3\r\nyou\r\n0\r\nT: 1\r\n\r\n", 0, "hiyou", 78, false},
		{"1.0 closes", "GET /a HTTP/1.0\r\n\r\n", 0, "", 19, true},
		{"asks to close", "GET /a HTTP/1.1\r\nconnection: Close\r\n\r\n", 0, "", 38, true},
		{"half a head", "GET /a HTTP/1.1\r\nHost", -1, "", 0, false},
		{"half a body", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhi", -1, "", 0, false},
		{"half a chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi", -1, "", 0, false},
		{"no target", "GET\r\n\r\n", 400, "", 0, false},
		{"lower-case method", "get /a HTTP/1.1\r\n\r\n", 400, "", 0, false},
		{"control byte in target", "GET /a\x01b HTTP/1.1\r\n\r\n", 400, "", 0, false},
		{"bad length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "", 0, false},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", 400, "", 0, false},
		{"smuggling", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, "", 0, false},
		{"bad chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "", 0, false},
		{"other coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501, "", 0, false},
		{"body too long", "POST /a HTTP/1.1\r\nContent-Length: 4096\r\n\r\n", 413, "", 0, false},
		{"chunks too long", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", 413, "", 0, false},
		{"head too long", "GET /" + strings.Repeat("a", 2000) + " HTTP/1.1\r\n\r\n", 431, "", 0, false},
		{"endless head", "GET /" + strings.Repeat("a", 2000), 431, "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, n, err := Parse([]byte(c.in), testLimits, false)
			var httpErr *HTTPError
			switch {
			case c.status > 0:
				if !errors.As(err, &httpErr) || httpErr.Status != c.status {
					t.Fatalf("got %v, wanted status %d", err, c.status)
				}
			case err != nil:
				t.Fatal(err)
			case c.status < 0:
				if n != 0 {
					t.Fatalf("consumed %d of an incomplete message", n)
				}
			case n != c.consumed || string(m.Body) != c.body || m.Close != c.wantsClose:
				t.Fatalf("consumed %d, body %q, close %v", n, m.Body, m.Close)
			}
		})
	}
}

func TestResponseRoundTrip(t *testing.T) {
	raw := AppendResponse(nil, Response{Status: 503, Body: []byte(`{"error":"x"}`), RetryAfter: 2, Close: true})
	m, n, err := Parse(raw, testLimits, true)
	if err != nil || n != len(raw) || m.StartLine[1] != "503" || string(m.Body) != `{"error":"x"}` || !m.Close {
		t.Fatalf("%v %d %+v", err, n, m)
	}
	if !strings.Contains(string(raw), "Retry-After: 2\r\n") {
		t.Fatal("Retry-After is missing")
	}
}

// FuzzParse searches for panics, for reads beyond the buffer, and for messages
// whose result depends on the bytes of the next message that follow in the buffer.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 x\r\n\r\n", "\r\n\r\n\r\n", ":", "GET  HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, in []byte, response bool) {
		m, n, err := Parse(in, testLimits, response)
		if n < 0 || n > len(in) || (err != nil && n != 0) || len(m.Body) > testLimits.Body {
			t.Fatalf("n=%d of %d, err=%v, body %d", n, len(in), err, len(m.Body))
		}
		if n > 0 {
			again, k, err := Parse(in[:n], testLimits, response)
			if err != nil || k != n || string(again.Body) != string(m.Body) {
				t.Fatalf("the same message without following bytes: n=%d, err=%v", k, err)
			}
		}
	})
}
