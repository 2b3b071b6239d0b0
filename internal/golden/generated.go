package golden

import (
	"encoding/json"
	"reflect"
	"testing"
)

// CheckGenerated compares the output of the generated codec of each message with the output
// of encoding/json for the same fields. It detects a field that was added to a message
// without running go generate, which the generated codec omits without an error. Messages
// are pointers to zero values.
func CheckGenerated(t *testing.T, codec Codec, messages ...any) {
	t.Helper()
	for _, message := range messages {
		t.Run(reflect.TypeOf(message).Elem().Name(), func(t *testing.T) { codec.checkGenerated(t, message) })
	}
}

func (c Codec) checkGenerated(t *testing.T, message any) {
	if _, generated := message.(json.Marshaler); !generated {
		t.Fatal("has no generated code")
	}
	new(filler).fill(reflect.ValueOf(message).Elem())
	want, err := json.Marshal(withoutMethods(reflect.ValueOf(message).Elem()))
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if !sameJSON(got, want) {
		t.Fatalf("encoded as\n%s, wanted\n%s", got, want)
	}
	decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
	if err := c.Decode(got, decoded); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Fatalf("%v\n%+v, wanted\n%+v", err, decoded, message)
	}
}

// withoutMethods copies a struct to a type with the same fields and without methods, so
// that encoding/json encodes the fields instead of calling the generated codec.
func withoutMethods(value reflect.Value) any {
	var fields []reflect.StructField
	for i := range value.NumField() {
		fields = append(fields, value.Type().Field(i))
	}
	plain := reflect.New(reflect.StructOf(fields)).Elem()
	for i := range fields {
		plain.Field(i).Set(value.Field(i))
	}
	return plain.Interface()
}

// sameJSON reports whether two JSON texts hold the same values. The texts are not compared
// byte for byte because generated code writes the fields of an embedded struct in another
// order.
func sameJSON(a, b []byte) bool {
	var left, right any
	return json.Unmarshal(a, &left) == nil && json.Unmarshal(b, &right) == nil && reflect.DeepEqual(left, right)
}
