// Package golden compares what is written to the wire and to the records with the bytes
// that an earlier version wrote. Each kind has three files, so that a change of a key, of
// omitempty and of a custom codec shows:
//
//   - KIND.json: every field set, lists and maps with two elements,
//   - KIND.sparse.json: every list, map and pointer present, all other fields zero,
//   - KIND.empty.json: the zero value.
//
// Nothing in the files comes from a Go name, so renaming types and fields changes none.
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

// update makes the tests write the files instead of comparing with them.
var update = flag.Bool("update-golden", false, "write the golden files from the current code")

var directory = filepath.Join("testdata", "golden")

// Codec is how the program writes and reads what is compared.
type Codec struct {
	Encode func(value any) ([]byte, error)
	Decode func(data []byte, value any) error
}

// Kind is one kind of message or record.
type Kind struct {
	// Name is the start of the file names, a word of the wire.
	Name string
	// Value points to a value of the kind's type. What it has set already is kept in
	// KIND.json, everything else is filled in, also in the structs of its lists.
	Value any
}

// Check compares each kind with its files, and the files with the kinds: a file that no
// kind reads is an error. Other names the files beside those of the kinds.
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
	// Compared with the value as well, so that reading and writing can't change together.
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

// roundTrip reads JSON into a value of a type and writes it again with a newline.
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
			t.Errorf("%s is of no kind that is tested", entry.Name())
		}
	}
}

// Read returns a golden file's content.
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

// CheckText compares a text with a golden file, or writes it there with -update-golden.
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

// filler sets fields to values that differ from each other.
type filler struct{ last int }

// fill sets whatever is zero in a value, recursively. Every text is a job id, which is
// what the shortened lists of ids need.
func (f *filler) fill(value reflect.Value) {
	if value.Kind() == reflect.Struct {
		if isListOfAmounts(value.Type()) && value.IsZero() {
			f.last++ // as every list takes a number of its own
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

// isListOfAmounts reports whether a struct is a list of numbers on the wire: all its
// fields are numbers without a wire key, as protocol.Resources' are.
func isListOfAmounts(structType reflect.Type) bool {
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

// addElements gives every list, map and pointer of a value one element. Elements that are
// structs stay zero but for their own lists; texts and numbers in lists are set.
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

// ZeroFields names what is zero or empty in a value, recursively, by its wire keys.
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

// List writes a value as lines "path = value" in the order of declaration. A path has the
// fields' wire keys, or their numbers where a field has no struct tag.
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
