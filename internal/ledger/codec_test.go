package ledger

import (
	"encoding/json"
	"reflect"
	"testing"

	"madderslip/internal/protocol"
)

// fill gives every field of a value something to be seen by.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes([]byte(`{"a":1}`))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(k)
		fill(e)
		v.SetMapIndex(k, e)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(3)
	case reflect.Uint64:
		v.SetUint(4)
	case reflect.Uint8:
		v.SetUint(5)
	}
}

// The generated code must know every field: one that is added to a message
// without go generate would be lost without a word. Each is compared with what
// the standard library makes of the same fields, and read back.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	for _, msg := range []any{&protocol.Submission{}, &protocol.JobStatus{}, &protocol.TaskStatus{}, &protocol.Heartbeat{}, &protocol.Command{},
		&protocol.HeartbeatResponse{}, &protocol.CommandRequest{}, &protocol.PeerMessage{}, &Job{}, &Machine{}, &Provision{}, &Allocation{},
		&wireList{}, &wireWatch{}, &wireMulti{}, &wireResult{}} {
		typ := reflect.TypeOf(msg).Elem()
		t.Run(typ.Name(), func(t *testing.T) {
			fill(reflect.ValueOf(msg).Elem())
			var fields []reflect.StructField
			for i := range typ.NumField() {
				fields = append(fields, typ.Field(i))
			}
			plain := reflect.New(reflect.StructOf(fields)).Elem() // the same fields without methods
			for i := range fields {
				plain.Field(i).Set(reflect.ValueOf(msg).Elem().Field(i))
			}
			want, err := json.Marshal(plain.Interface())
			if err != nil {
				t.Fatal(err)
			}
			if _, generated := msg.(json.Marshaler); !generated {
				t.Fatal("has no generated code")
			}
			got, err := protocol.Encode(msg)
			var a, b any // an embedded struct's fields come in another order
			if err != nil || json.Unmarshal(got, &a) != nil || json.Unmarshal(want, &b) != nil || !reflect.DeepEqual(a, b) {
				t.Fatalf("%v\n%s, wanted\n%s", err, got, want)
			}
			back := reflect.New(typ)
			if err := protocol.Decode(got, back.Interface()); err != nil || !reflect.DeepEqual(back.Interface(), msg) {
				t.Fatalf("%v\n%+v, wanted\n%+v", err, back.Interface(), msg)
			}
		})
	}
}
