package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrMalformed is wrapped by all errors that lead to a response with HTTP status 400.
var ErrMalformed = errors.New("malformed")

// malformed returns an error that wraps ErrMalformed; its text is part of the response.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Encode returns a message as JSON. If the message has generated code, Encode calls it
// directly: json.Marshal would check and copy the output of that code once more.
func Encode(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

// Decode decodes JSON into v, a pointer to a message. If the message has generated code,
// Decode calls it directly, as Encode does.
func Decode(data []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, v)
}

// Seconds converts the wire's seconds to a Duration, rounded to the nanosecond.
func Seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
