// Package golden compares encoded messages and records with the bytes that an earlier
// version wrote. Each kind has three files, so that changes of a key, of omitempty and of a
// custom codec are detected:
//
//   - KIND.json: every field set, lists and maps with two elements,
//   - KIND.sparse.json: every list, map and pointer present, all other fields zero,
//   - KIND.empty.json: the zero value.
//
// The files contain no names of Go types or fields, so renaming these changes no file.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// update makes the tests write the golden files before they compare with them.
var update = flag.Bool("update-golden", false, "write the golden files from the current code")

var directory = filepath.Join("testdata", "golden")

// Codec holds the functions with which the program encodes and decodes the compared values.
type Codec struct {
	Encode func(value any) ([]byte, error)
	Decode func(data []byte, value any) error
}

// Kind is a type of messages or records that Check compares with golden files.
type Kind struct {
	// Name is the prefix of the file names, a name used on the wire and not that of a Go type.
	Name string
	// Value points to a value of the kind's type. KIND.json keeps the fields that are set in
	// Value; all others are filled in, also in the structs of its lists.
	Value any
}

// Check compares each kind with its files, and reports files in the directory that belong
// to no kind as errors. The names in other are further files that may be there.
func Check(t *testing.T, codec Codec, kinds []Kind, other ...string) {
	t.Helper()
	known := make(map[string]bool)
	for _, name := range other {
		known[name] = true
	}
	for _, kind := range kinds {
		valueType := reflect.TypeOf(kind.Value).Elem()
		full, sparse, empty := reflect.ValueOf(kind.Value).Elem(), reflect.New(valueType).Elem(), reflect.New(valueType).Elem()
		new(filler).fill(full)
		addElements(sparse)
		for _, form := range []struct {
			file  string
			value reflect.Value
		}{{kind.Name + ".json", full}, {kind.Name + ".sparse.json", sparse}, {kind.Name + ".empty.json", empty}} {
			known[form.file] = true
			t.Run(form.file, func(t *testing.T) { codec.check(t, form.file, form.value) })
		}
	}
	checkDirectory(t, known)
}

func (c Codec) check(t *testing.T, file string, value reflect.Value) {
	if *update {
		encoded, err := c.Encode(value.Addr().Interface())
		if err != nil {
			t.Fatal(err)
		}
		Write(t, file, append(encoded, '\n'))
	}
	raw := Read(t, file)
	again, decoded, err := c.roundTrip(raw, value.Type())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, raw) {
		t.Errorf("read and written again:\n%swanted:\n%s", again, raw)
	}
	// The value itself is encoded and compared too: a change that affects encoding and
	// decoding alike would pass the round trip.
	if encoded, err := c.Encode(value.Addr().Interface()); err != nil || !bytes.Equal(append(encoded, '\n'), raw) {
		t.Errorf("written (%v):\n%s\nwanted:\n%s", err, encoded, raw)
	}
	if strings.Count(file, ".") == 1 {
		for _, path := range ZeroFields(decoded) {
			t.Errorf("%s is not set by the file", path)
		}
		if !reflect.DeepEqual(decoded.Interface(), value.Interface()) {
			t.Errorf("read as\n%+v, wanted\n%+v", decoded.Interface(), value.Interface())
		}
	}
}

// roundTrip decodes JSON into a value of a type, and encodes the value again with a newline
// appended.
func (c Codec) roundTrip(raw []byte, valueType reflect.Type) ([]byte, reflect.Value, error) {
	decoded := reflect.New(valueType)
	if err := c.Decode(raw, decoded.Interface()); err != nil {
		return nil, decoded.Elem(), err
	}
	again, err := c.Encode(decoded.Interface())
	return append(again, '\n'), decoded.Elem(), err
}

func checkDirectory(t *testing.T, known map[string]bool) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !known[entry.Name()] {
			t.Errorf("%s belongs to no tested kind", entry.Name())
		}
	}
}

// Read returns the content of a golden file.
func Read(t *testing.T, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(directory, file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Write replaces a golden file.
func Write(t *testing.T, file string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, file), content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// CheckText compares a text with a golden file. With -update-golden it writes the file first.
func CheckText(t *testing.T, file, text string) {
	t.Helper()
	if *update {
		Write(t, file, []byte(text))
	}
	if want := string(Read(t, file)); text != want {
		t.Errorf("%s: got\n%s\nwanted\n%s", file, text, want)
	}
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// filler sets fields to distinct values: a counter increases with each value, and the value
// contains the count.
type filler struct{ last int }

// fill sets everything that is zero in a value, recursively. Every string is a job ID,
// because records.JobIDs encodes lists of job IDs in a shortened form.
func (f *filler) fill(value reflect.Value) {
	if value.Kind() == reflect.Struct {
		if isNumberList(value.Type()) && value.IsZero() {
			f.last++ // the struct is a list on the wire, and each list uses up one of the numbers that the filler counts
		}
		for i := range value.NumField() {
			f.fill(value.Field(i))
		}
		return
	}
	if !value.IsZero() {
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct {
			f.fillElements(value)
		}
		return
	}
	f.last++
	number := 100 + f.last
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Array:
		f.fillElements(value)
	case reflect.Slice:
		if value.Type() == rawMessage {
			value.SetBytes(fmt.Appendf(nil, `{"n":%d}`, number))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		f.fillElements(value)
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range 2 {
			key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			f.fill(key)
			f.fill(element)
			value.SetMapIndex(key, element)
		}
	case reflect.String:
		value.SetString(fmt.Sprintf("wk-%d", number))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(float64(number) + 0.25)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(number))
	case reflect.Uint8, reflect.Uint64:
		value.SetUint(uint64(number))
	default:
		panic("no value for " + value.Kind().String())
	}
}

// isNumberList reports whether a struct is encoded as a list of numbers: all its fields are
// float64 without a struct tag, as those of protocol.Resources.
func isNumberList(structType reflect.Type) bool {
	for i := range structType.NumField() {
		if field := structType.Field(i); field.Type.Kind() != reflect.Float64 || field.Tag != "" {
			return false
		}
	}
	return structType.NumField() > 0
}

func (f *filler) fillElements(list reflect.Value) {
	for i := range list.Len() {
		f.fill(list.Index(i))
	}
}

// addElements gives every list, map and pointer of a value one element. Struct elements stay
// zero except for their own lists, maps and pointers; strings and numbers in lists are set.
func addElements(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			addElements(value.Field(i))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		addElements(value.Elem())
	case reflect.Slice:
		if value.Type() == rawMessage {
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		if element := value.Index(0); element.Kind() == reflect.Struct {
			addElements(element)
		} else {
			new(filler).fill(element)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		new(filler).fill(key)
		addElements(element)
		value.SetMapIndex(key, element)
	}
}

// ZeroFields returns the paths of all zero or empty fields of a value, recursively. A path
// consists of wire keys.
func ZeroFields(value reflect.Value) []string {
	var zero []string
	walk(value, "", func(path string, leaf reflect.Value) {
		empty := leaf.IsZero() || (leaf.Kind() == reflect.Slice || leaf.Kind() == reflect.Map) && leaf.Len() == 0
		if empty {
			zero = append(zero, path)
		}
	})
	return zero
}

// List formats a value as lines "path = value" in the order of declaration. A path consists
// of the fields' wire keys, or of the fields' numbers where they have no struct tag.
func List(value reflect.Value) string {
	var text strings.Builder
	walk(value, "", func(path string, leaf reflect.Value) {
		format := "%s = %v\n"
		if leaf.Kind() == reflect.String {
			format = "%s = %q\n"
		}
		fmt.Fprintf(&text, format, path, leaf.Interface())
	})
	return text.String()
}
