package transport

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// Limits bounds what the parser accepts of one message, in bytes.
type Limits struct {
	Head int // most bytes of the start line and the header fields
	Body int
}

// Message is one parsed HTTP/1.1 request or response. StartLine holds method, target and
// version of a request, or version, status and reason of a response.
type Message struct {
	StartLine [3]string
	Body      []byte // may share memory with the parsed buffer
	Close     bool   // the connection is closed after this message
	Expect    bool   // the sender waits for "100 Continue" before it sends the body
}

func (m *Message) method() string { return m.StartLine[0] } // the method of a request
func (m *Message) target() string { return m.StartLine[1] } // the target of a request
func (m *Message) status() string { return m.StartLine[1] } // the status of a response

// hasNoBody reports whether a response has no body because of its status, regardless of
// its header fields.
func (m *Message) hasNoBody() bool {
	status := m.status()
	return status == "204" || status == "304" || strings.HasPrefix(status, "1")
}

// HTTPError describes a message of the peer that is malformed, too long or not supported,
// with the status with which a server answers such a request.
type HTTPError struct {
	Status int
	Reason string
}

func (e *HTTPError) Error() string { return e.Reason }

func malformed(reason string) error {
	return &HTTPError{Status: http.StatusBadRequest, Reason: reason}
}

func headTooLong(reason string) error {
	return &HTTPError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: reason}
}

func bodyTooLong() error {
	return &HTTPError{Status: http.StatusRequestEntityTooLarge, Reason: "body too long"}
}

// errIncomplete means that the rest of the message has not been received yet.
var errIncomplete = errors.New("incomplete message")

// Bounds of the blank lines before a message, and of chunk lines and trailers, in bytes.
const (
	maxBlankLines   = 8 // bytes of blank lines before a start line
	maxChunkLine    = 256
	maxTrailerBytes = 4096
)

var (
	endOfLine = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// Parse parses one message at the start of buf and returns the number of bytes consumed.
// Zero bytes and a nil error mean that the message is incomplete; then only the field
// Expect of the returned message is meaningful. Errors are of type *HTTPError. If response
// is set, buf holds a response, otherwise a request.
func Parse(buf []byte, limits Limits, response bool) (Message, int, error) {
	start := skipBlankLines(buf)
	head, err := cutHead(buf[start:], limits.Head)
	if err != nil {
		return incompleteOrError(Message{}, err)
	}
	var m Message
	lines := strings.Split(string(head), "\r\n")
	if err := parseStart(&m, lines[0], response); err != nil {
		return m, 0, err
	}
	length, chunked, err := parseFields(&m, lines[1:])
	if err != nil {
		return m, 0, err
	}
	bodyAt := start + len(head) + len(endOfHead)
	if response && m.hasNoBody() {
		return m, bodyAt, nil
	}
	if response && !chunked && length == lengthUnknown {
		return m, 0, malformed("response without a length")
	}
	var consumed int
	if chunked {
		m.Body, consumed, err = parseChunks(buf[bodyAt:], limits.Body)
	} else {
		m.Body, consumed, err = cutBody(buf[bodyAt:], max(0, length), limits.Body)
	}
	if err != nil {
		return incompleteOrError(m, err)
	}
	return m, bodyAt + consumed, nil
}

// incompleteOrError returns the results of Parse for an error of one of its steps: zero
// bytes consumed, and a nil error if the message is only incomplete.
func incompleteOrError(m Message, err error) (Message, int, error) {
	if errors.Is(err, errIncomplete) {
		return m, 0, nil
	}
	return m, 0, err
}

// skipBlankLines returns the offset of the start line. Blank lines before the start line
// are ignored, as RFC 9112 recommends, up to maxBlankLines bytes.
func skipBlankLines(buf []byte) int {
	at := 0
	for at < maxBlankLines && bytes.HasPrefix(buf[at:], endOfLine) {
		at += len(endOfLine)
	}
	return at
}

// cutHead returns the start line and the header fields, without the blank line after them.
func cutHead(buf []byte, limit int) ([]byte, error) {
	end := bytes.Index(buf, endOfHead)
	switch {
	case end > limit, end < 0 && len(buf) > limit:
		return nil, headTooLong("head too long")
	case end < 0:
		return nil, errIncomplete
	}
	return buf[:end], nil
}

// cutBody returns a body of known length and the number of bytes consumed.
func cutBody(buf []byte, length, limit int) (body []byte, consumed int, err error) {
	if length > limit {
		return nil, 0, bodyTooLong()
	}
	if len(buf) < length {
		return nil, 0, errIncomplete
	}
	return buf[:length], length, nil
}

func parseStart(m *Message, line string, response bool) error {
	parts := strings.SplitN(line, " ", 3)
	if response {
		return parseStatusLine(m, parts)
	}
	return parseRequestLine(m, parts)
}

func parseStatusLine(m *Message, parts []string) error {
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return malformed("malformed status line")
	}
	if code, err := strconv.Atoi(parts[1]); err != nil || code < 100 || code > 999 {
		return malformed("malformed status")
	}
	copy(m.StartLine[:], parts)
	return nil
}

func parseRequestLine(m *Message, parts []string) error {
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return malformed("malformed request line")
	}
	for _, c := range []byte(parts[0]) {
		if c < 'A' || c > 'Z' {
			return malformed("malformed method")
		}
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c >= 0x7f {
			return malformed("malformed target")
		}
	}
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return malformed("unsupported version")
	}
	copy(m.StartLine[:], parts)
	return nil
}

// lengthUnknown is the length of a body whose header has no Content-Length.
const lengthUnknown = -1

// parseFields parses the header fields that concern framing and the connection: the
// Content-Length, Transfer-Encoding, Connection and Expect fields. Others are ignored.
func parseFields(m *Message, lines []string) (length int, chunked bool, err error) {
	length = lengthUnknown
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return 0, false, malformed("malformed header")
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, convErr := strconv.ParseUint(value, 10, 62)
			if convErr != nil || (length != lengthUnknown && uint64(length) != n) {
				return 0, false, malformed("malformed Content-Length")
			}
			length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if !strings.EqualFold(value, "chunked") {
				return 0, false, &HTTPError{Status: http.StatusNotImplemented, Reason: "unsupported transfer encoding"}
			}
			chunked = true
		case strings.EqualFold(name, "Connection"):
			m.Close = m.Close || strings.EqualFold(value, "close")
		case strings.EqualFold(name, "Expect"):
			m.Expect = strings.EqualFold(value, "100-continue")
		}
	}
	// A message with both framings is refused: proxies and servers that choose different
	// ones allow request smuggling.
	if chunked && length != lengthUnknown {
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	}
	return length, chunked, nil
}

// parseChunks parses a chunked body. It discards the trailers, and returns the body and the
// number of bytes consumed, trailers included.
func parseChunks(buf []byte, limit int) (body []byte, consumed int, err error) {
	for {
		size, lineBytes, err := parseChunkSize(buf[consumed:])
		if err != nil {
			return nil, 0, err
		}
		if len(body)+size > limit {
			return nil, 0, bodyTooLong()
		}
		consumed += lineBytes
		if size == 0 {
			trailers, err := skipTrailers(buf[consumed:])
			if err != nil {
				return nil, 0, err
			}
			return body, consumed + trailers, nil
		}
		rest := buf[consumed:]
		if len(rest) < size+len(endOfLine) {
			return nil, 0, errIncomplete
		}
		if !bytes.HasPrefix(rest[size:], endOfLine) {
			return nil, 0, malformed("malformed chunk")
		}
		body = append(body, rest[:size]...)
		consumed += size + len(endOfLine)
	}
}

// parseChunkSize parses the line before a chunk. It returns the size of the chunk and the
// length of the line, both in bytes.
func parseChunkSize(buf []byte) (size, lineBytes int, err error) {
	end := bytes.Index(buf, endOfLine)
	if end < 0 {
		if len(buf) > maxChunkLine {
			return 0, 0, malformed("chunk line too long")
		}
		return 0, 0, errIncomplete
	}
	digits, _, _ := strings.Cut(string(buf[:end]), ";")
	parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, malformed("malformed chunk size")
	}
	return int(parsed), end + len(endOfLine), nil
}

// skipTrailers returns the number of bytes of the trailers, including the blank line after
// them.
func skipTrailers(buf []byte) (int, error) {
	consumed := 0
	for {
		end := bytes.Index(buf[consumed:], endOfLine)
		if end < 0 {
			if len(buf)-consumed > maxTrailerBytes {
				return 0, headTooLong("trailers too long")
			}
			return 0, errIncomplete
		}
		consumed += end + len(endOfLine)
		if end == 0 {
			return consumed, nil
		}
	}
}
