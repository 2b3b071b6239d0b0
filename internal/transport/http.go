// Package transport moves bytes: the evio server that users, workers and
// health checks reach, the pooled HTTP client for outbound calls, and the
// gRPC link between controllers. It knows nothing of jobs or machines.
package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits bounds what the parser accepts of one message.
type Limits struct {
	Head int
	Body int
}

// Message is one parsed HTTP/1.1 request or response. For a request the start
// line is method, target and version; for a response version, status, reason.
type Message struct {
	Start  [3]string
	Body   []byte
	Close  bool // the sender wants the connection closed afterwards
	Expect bool // the sender waits for "100 Continue" before its body
}

// HTTPError is a fault of the peer's message, with the status that answers it.
type HTTPError struct {
	Status int
	Reason string
}

func (e *HTTPError) Error() string { return e.Reason }

var errIncomplete = errors.New("incomplete message")

func bad(reason string) error { return &HTTPError{Status: 400, Reason: reason} }

// Parse reads one message from the front of buf. It returns the number of
// bytes consumed; zero with a nil error means that more bytes are needed.
// One parser serves both directions: response says which start line to expect.
func Parse(buf []byte, lim Limits, response bool) (Message, int, error) {
	var m Message
	skip := 0
	// Tolerate stray blank lines before a start line, as RFC 9112 advises.
	for skip+1 < len(buf) && skip < 8 && buf[skip] == '\r' && buf[skip+1] == '\n' {
		skip += 2
	}
	head := buf[skip:]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		if len(head) > lim.Head {
			return m, 0, &HTTPError{Status: 431, Reason: "head too long"}
		}
		return m, 0, nil
	}
	if end > lim.Head {
		return m, 0, &HTTPError{Status: 431, Reason: "head too long"}
	}
	lines := strings.Split(string(head[:end]), "\r\n")
	if err := parseStart(&m, lines[0], response); err != nil {
		return m, 0, err
	}
	length, chunked, err := parseFields(&m, lines[1:])
	if err != nil {
		return m, 0, err
	}
	at := skip + end + 4
	if response && (m.Start[1] == "204" || m.Start[1] == "304" || strings.HasPrefix(m.Start[1], "1")) {
		return m, at, nil
	}
	if chunked {
		body, n, err := parseChunks(buf[at:], lim.Body)
		if errors.Is(err, errIncomplete) {
			return m, 0, nil
		}
		if err != nil {
			return m, 0, err
		}
		m.Body = body
		return m, at + n, nil
	}
	if length < 0 {
		length = 0
		if response {
			return m, 0, bad("response without a length")
		}
	}
	if length > lim.Body {
		return m, 0, &HTTPError{Status: 413, Reason: "body too long"}
	}
	if len(buf)-at < length {
		if m.Expect {
			return m, 0, nil
		}
		return Message{}, 0, nil
	}
	m.Body = buf[at : at+length]
	return m, at + length, nil
}

func parseStart(m *Message, line string, response bool) error {
	parts := strings.SplitN(line, " ", 3)
	if response {
		if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
			return bad("malformed status line")
		}
		if code, err := strconv.Atoi(parts[1]); err != nil || code < 100 || code > 999 {
			return bad("malformed status")
		}
		copy(m.Start[:], parts)
		return nil
	}
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return bad("malformed request line")
	}
	for _, c := range []byte(parts[0]) {
		if c < 'A' || c > 'Z' {
			return bad("malformed method")
		}
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c >= 0x7f {
			return bad("malformed target")
		}
	}
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return bad("unsupported version")
	}
	copy(m.Start[:], parts)
	return nil
}

// parseFields reads the fields that matter here: framing and connection use.
func parseFields(m *Message, lines []string) (length int, chunked bool, err error) {
	length = -1
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return 0, false, bad("malformed header")
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, convErr := strconv.ParseUint(value, 10, 62)
			if convErr != nil || (length >= 0 && uint64(length) != n) {
				return 0, false, bad("malformed Content-Length")
			}
			length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if !strings.EqualFold(value, "chunked") {
				return 0, false, &HTTPError{Status: 501, Reason: "unsupported transfer encoding"}
			}
			chunked = true
		case strings.EqualFold(name, "Connection"):
			if strings.EqualFold(value, "close") {
				m.Close = true
			}
		case strings.EqualFold(name, "Expect"):
			m.Expect = strings.EqualFold(value, "100-continue")
		}
	}
	// Both framings at once is how requests are smuggled past proxies.
	if chunked && length >= 0 {
		return 0, false, bad("both Content-Length and Transfer-Encoding")
	}
	return length, chunked, nil
}

func parseChunks(buf []byte, limit int) (body []byte, n int, err error) {
	for {
		eol := bytes.Index(buf[n:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-n > 256 {
				return nil, 0, bad("chunk line too long")
			}
			return nil, 0, errIncomplete
		}
		text, _, _ := strings.Cut(string(buf[n:n+eol]), ";")
		size, convErr := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if convErr != nil {
			return nil, 0, bad("malformed chunk size")
		}
		if len(body)+int(size) > limit {
			return nil, 0, &HTTPError{Status: 413, Reason: "body too long"}
		}
		n += eol + 2
		if size == 0 {
			return skipTrailers(buf, body, n)
		}
		if len(buf)-n < int(size)+2 {
			return nil, 0, errIncomplete
		}
		body = append(body, buf[n:n+int(size)]...)
		n += int(size)
		if buf[n] != '\r' || buf[n+1] != '\n' {
			return nil, 0, bad("malformed chunk")
		}
		n += 2
	}
}

func skipTrailers(buf, body []byte, n int) ([]byte, int, error) {
	for {
		eol := bytes.Index(buf[n:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-n > 4096 {
				return nil, 0, &HTTPError{Status: 431, Reason: "trailers too long"}
			}
			return nil, 0, errIncomplete
		}
		n += eol + 2
		if eol == 0 {
			return body, n, nil
		}
	}
}

// AppendRequest writes a request in wire form.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/json"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable",
}

// Response is an answer to one request.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0 leaves the field out
	Close      bool
}

// AppendResponse writes a response in wire form.
func AppendResponse(dst []byte, r Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[r.Status]...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(r.RetryAfter), 10)
	}
	if r.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, r.Body...)
}
