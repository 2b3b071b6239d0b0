package policy

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"madderslip/internal/protocol"
)

func platform() protocol.Settings {
	return protocol.Settings{NodeCount: 3, Zones: []string{"a"}, Workers: protocol.WorkerSettings{HeartbeatInterval: 2 * time.Second, LeaseDuration: 10 * time.Second}}
}

func TestDefaultsFollowSettings(t *testing.T) {
	p, err := Load("", platform())
	if err != nil {
		t.Fatal(err)
	}
	if p.ShardsPerJob != 2 || p.FenceAfter != 8*time.Second {
		t.Fatalf("%+v", p)
	}
}

// TestEveryNameHasADefault checks that the defaults set every name, that every name sets a
// field, and that there are as many names as fields.
func TestEveryNameHasADefault(t *testing.T) {
	for _, s := range settings {
		if !strings.Contains(defaults, "\n"+s.name+" = ") {
			t.Errorf("%s has no default", s.name)
		}
		var p Policy
		if s.set(&p, s.high); p == (Policy{}) {
			t.Errorf("%s sets nothing", s.name)
		}
	}
	if fields := reflect.TypeFor[Policy]().NumField(); fields != len(settings) {
		t.Errorf("%d fields, %d names", fields, len(settings))
	}
}

// TestLineError checks that an error in a line contains the file, the line and the column, in
// the text and in the fields of LineError.
func TestLineError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "p")
	if err := os.WriteFile(file, []byte("copies = 2\n  card_share = 1.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(file, platform())
	var fault *LineError
	if !errors.As(err, &fault) || fault.File != file || fault.Line != 2 || fault.Column != 15 {
		t.Fatalf("%v", err)
	}
	if want := file + ":2:15: card_share is 1.5, must be from 0 to 1"; err.Error() != want {
		t.Errorf("%v, wanted %s", err, want)
	}
}

func TestOperatorsFile(t *testing.T) {
	cases := []struct{ text, want string }{
		{"copies = nodes\nidle_after = lease > 5 ? 30 : 10", ""},
		{"copies = \"two\"", ":1:"},
		{"\n  fence_after = leese * 2", ":2:"},
		{"copies = 0", "must be from 1"},
		{"colour = 3", "unknown name"},
		{"copies", "wants name = expression"},
		{"fence_after = 2\nsuspect_after = 3", "must be above"}, {"fence_replicas_after = 2", "must be above"},
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "p")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := Load(file, platform())
		if c.want == "" {
			if err != nil || p.ShardsPerJob != 3 || p.IdleMachineTTL != 30*time.Second {
				t.Fatalf("%q: %+v %v", c.text, p, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: got %v, wanted %q", c.text, err, c.want)
		}
	}
}
