package golden

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// walk visits the leaves of a value: everything except structs, arrays, and slices, maps and
// pointers that are not empty. Byte slices are leaves. Maps are visited in the order of their
// keys.
func walk(value reflect.Value, path string, visit func(path string, leaf reflect.Value)) {
	switch kind := value.Kind(); {
	case kind == reflect.Struct:
		for i := range value.NumField() {
			walk(value.Field(i), join(path, wireKey(value.Type().Field(i), i)), visit)
		}
	case kind == reflect.Pointer && !value.IsNil():
		walk(value.Elem(), path, visit)
	case kind == reflect.Array, kind == reflect.Slice && value.Len() > 0 && value.Type().Elem().Kind() != reflect.Uint8:
		for i := range value.Len() {
			walk(value.Index(i), join(path, strconv.Itoa(i)), visit)
		}
	case kind == reflect.Map && value.Len() > 0:
		keys := value.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, key := range keys {
			walk(value.MapIndex(key), join(path, fmt.Sprintf("[%s]", key)), visit)
		}
	default:
		visit(path, value)
	}
}

// wireKey returns the JSON or TOML key of a field, or the field's number if it has no
// struct tag.
func wireKey(field reflect.StructField, number int) string {
	for _, format := range []string{"json", "toml"} {
		if key, _, _ := strings.Cut(field.Tag.Get(format), ","); key != "" {
			return key
		}
	}
	return strconv.Itoa(number)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
