package loadtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// Settings that are the same in all measurements.
const (
	team             = "open" // the only team, without guarantees and limits
	gangStartTimeout = 50 * time.Second
	gangPeerTimeout  = 8 * time.Second
	cancelDeadline   = 47 * time.Second
	cloudListLag     = 3 * time.Second
)

// workerSettings returns the intervals and timeouts that the emulated workers observe.
func workerSettings(cfg *Config) protocol.WorkerSettings {
	return protocol.WorkerSettings{
		HeartbeatInterval: protocol.Seconds(cfg.ReportS),
		LeaseDuration:     protocol.Seconds(cfg.LeaseS),
		GangStartTimeout:  gangStartTimeout,
		GangPeerTimeout:   gangPeerTimeout,
		CancelDeadline:    cancelDeadline,
	}
}

// writeSettings writes the controller's settings file into a directory and sets
// settingsFile to its path.
func (c *controller) writeSettings(dir string, cfg *Config, controllers []*controller, loopback *emulator.Loopback) error {
	c.settingsFile = filepath.Join(dir, c.name+".toml")
	return os.WriteFile(c.settingsFile, []byte(c.settingsText(cfg, controllers, loopback)), 0o600)
}

// settingsText returns the content of the controller's settings file.
func (c *controller) settingsText(cfg *Config, controllers []*controller, loopback *emulator.Loopback) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("node = %q", c.name)
	line("area = %q", c.zone)
	line("public_addr = %q", c.publicAddr)
	line("peer_bind = %q", c.peerAddr)
	for _, other := range controllers {
		if other != c {
			line("[[others]]")
			line("node = %q", other.name)
			line("area = %q", other.zone)
			line("endpoint = %q", other.peerAddr)
		}
	}
	line("[outside]")
	line("cloud = %q", loopback.CloudAddr)
	line("state = %q", loopback.StateAddr)
	line("[cluster]")
	line("nodes = %d", len(controllers))
	line(`zones = ["a", "b"]`)
	line("clock_error_ms = 25.0")
	line("[[cluster.teams]]")
	line("name = %q", team)
	line("[[cluster.objectives]]")
	line(`kind = "wait"`)
	line("class = %q", urgentClass)
	line("within_s = 1.4")
	line("share = 0.95")
	line("[cluster.workers]")
	line("report_s = %g", cfg.ReportS)
	line("lease_s = %g", cfg.LeaseS)
	line("gang_wait_s = %.1f", gangStartTimeout.Seconds())
	line("gang_peer_s = %.1f", gangPeerTimeout.Seconds())
	line("cancel_s = %.1f", cancelDeadline.Seconds())
	line("[cluster.state]")
	line("rps = %g", cfg.State.RPS)
	line("write_rps = %g", cfg.State.WriteRPS)
	line("value_kb = %g", cfg.State.ValueKB)
	line("txn_ops = %d", cfg.State.TxnOps)
	line("[cluster.cloud]")
	line("rps = 20.0")
	line("list_lag_s = %.1f", cloudListLag.Seconds())
	line("[cluster.machine_limits]")
	line("cpu_share = 1.0")
	line("ram_mb = 1024.0")
	line("max_connections = 12000")
	return text.String()
}
