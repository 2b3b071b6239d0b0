package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrMalformed is wrapped by every reason to answer 400.
var ErrMalformed = errors.New("malformed")

// malformed returns an error that wraps ErrMalformed; its text reaches the sender.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Encode writes a message as JSON, by its generated code if it has any: the
// standard library would check and copy what that writes once more.
func Encode(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

// Decode reads a message of JSON into v, a pointer, likewise.
func Decode(data []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, v)
}

// Seconds turns the wire's seconds into a Duration, rounded to the nanosecond.
func Seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
