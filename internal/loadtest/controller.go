package loadtest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/emulator"
)

// controller is a controller's process.
type controller struct {
	name, zone   string
	public, peer string // addresses
	settings     string // its settings file
	cmd          *exec.Cmd
	spent        time.Duration // processor time of earlier processes
}

// zones are where controllers and workers stand, by turns.
var zones = []string{"a", "b"}

// place gives each controller a name, a zone and two free addresses.
func place(count int) ([]*controller, error) {
	var out []*controller
	for i := range count {
		c := &controller{name: fmt.Sprintf("n%d", i), zone: zones[i%len(zones)]}
		for _, addr := range []*string{&c.public, &c.peer} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			*addr = ln.Addr().String()
			_ = ln.Close()
		}
		out = append(out, c)
	}
	return out, nil
}

// write writes a controller's settings file.
func (c *controller) write(dir string, cfg *Config, all []*controller, l *emulator.Loopback) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\narea = %q\npublic_addr = %q\npeer_bind = %q\n", c.name, c.zone, c.public, c.peer)
	for _, o := range all {
		if o != c {
			fmt.Fprintf(&b, "[[others]]\nnode = %q\narea = %q\nendpoint = %q\n", o.name, o.zone, o.peer)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n[cluster]\nnodes = %d\nzones = [\"a\", \"b\"]\nclock_error_ms = 25.0\n", l.CloudAddr, l.StateAddr, len(all))
	fmt.Fprintf(&b, "[[cluster.teams]]\nname = \"open\"\n[[cluster.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 1.4\nshare = 0.95\n")
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = 47.0\n", cfg.ReportS, cfg.LeaseS)
	fmt.Fprintf(&b, "[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", cfg.State.RPS, cfg.State.WriteRPS, cfg.State.ValueKB, cfg.State.TxnOps)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n[cluster.machine_limits]\ncpu_share = 1.0\nram_mb = 1024.0\nmax_connections = 12000\n")
	c.settings = filepath.Join(dir, c.name+".toml")
	return os.WriteFile(c.settings, []byte(b.String()), 0o600)
}

// start runs the controller's process; its log goes to a file beside its settings.
func (c *controller) start(ctx context.Context, program string) error {
	log, err := os.OpenFile(strings.TrimSuffix(c.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c.cmd = exec.CommandContext(ctx, program, "--config", c.settings)
	c.cmd.Stderr = log
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	return c.cmd.Start()
}

// end ends the process without a signal that it could answer.
func (c *controller) end() {
	if c.cmd == nil {
		return
	}
	c.spent = c.usage().CPU
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	c.cmd = nil
}

// usage is what a process has used and holds.
type usage struct {
	CPU     time.Duration
	RSS     int64 // bytes
	Sockets int
}

const clockTick = 10 * time.Millisecond // of /proc, on every Linux that Go runs on

func (c *controller) usage() usage {
	u := usage{CPU: c.spent}
	if c.cmd == nil {
		return u
	}
	dir := fmt.Sprintf("/proc/%d/", c.cmd.Process.Pid)
	if raw, err := os.ReadFile(dir + "stat"); err == nil {
		// The fields behind the program's name, which may hold spaces.
		f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		if len(f) > 21 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			pages, _ := strconv.ParseInt(f[21], 10, 64)
			u.CPU += time.Duration(user+system) * clockTick
			u.RSS = pages * int64(os.Getpagesize())
		}
	}
	if fds, err := os.ReadDir(dir + "fd"); err == nil {
		u.Sockets = len(fds)
	}
	return u
}
