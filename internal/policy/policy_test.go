package policy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"madderslip/internal/protocol"
)

func settings() protocol.Settings {
	return protocol.Settings{NodeCount: 3, Zones: []string{"a"}, Workers: protocol.WorkerSettings{HeartbeatInterval: 2 * time.Second, LeaseDuration: 10 * time.Second}}
}

func TestDefaultsFollowSettings(t *testing.T) {
	p, err := Load("", settings())
	if err != nil {
		t.Fatal(err)
	}
	if p.Copies != 2 || p.FenceAfter != 8*time.Second {
		t.Fatalf("%+v", p)
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
		p, err := Load(file, settings())
		if c.want == "" {
			if err != nil || p.Copies != 3 || p.IdleMachineTTL != 30*time.Second {
				t.Fatalf("%q: %+v %v", c.text, p, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: got %v, wanted %q", c.text, err, c.want)
		}
	}
}
