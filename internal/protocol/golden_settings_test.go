package protocol

import (
	"reflect"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"madderslip/internal/golden"
)

// TestGoldenSettingsHaveEveryKey checks that the golden settings file sets every key that the
// code reads and no other, and that each key is read as by commit 096baff, the version before
// types and fields were renamed.
func TestGoldenSettingsHaveEveryKey(t *testing.T) {
	var wire wireSettings
	meta, err := toml.Decode(string(golden.Read(t, "settings.toml")), &wire)
	if err != nil {
		t.Fatal(err)
	}
	if unread := meta.Undecoded(); len(unread) > 0 {
		t.Errorf("not read: %v", unread)
	}
	if unset := golden.ZeroFields(reflect.ValueOf(wire)); len(unset) > 0 {
		t.Errorf("not set: %s", strings.Join(unset, ", "))
	}
	golden.CheckText(t, "settings.keys", golden.List(reflect.ValueOf(wire)))
}
