package protocol

import "encoding/json"

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
