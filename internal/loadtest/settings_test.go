package loadtest

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// TestControllerSettingsAreAccepted checks that the settings that a measurement writes for a
// controller are valid and are read with the expected values.
func TestControllerSettingsAreAccepted(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(file, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	controllers, err := newControllers(3)
	if err != nil {
		t.Fatal(err)
	}
	loopback := &emulator.Loopback{StateAddr: "127.0.0.1:1", CloudAddr: "127.0.0.1:2"}
	if err := controllers[0].writeSettings(t.TempDir(), &cfg, controllers, loopback); err != nil {
		t.Fatal(err)
	}
	s, err := protocol.LoadSettings(controllers[0].settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Peers) != 2 || s.NodeCount != 3 || s.Workers != workerSettings(&cfg) || s.CloudLimits.ListLag != cloudListLag || s.Objectives[0].Within != 1400*time.Millisecond {
		t.Errorf("%+v", s)
	}
}
