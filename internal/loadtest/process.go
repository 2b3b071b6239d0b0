package loadtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// controller is a controller's process: killed and started again it stays the same one.
type controller struct {
	name, zone           string
	publicAddr, peerAddr string
	settingsFile         string

	mu         sync.Mutex    // guards all below: one goroutine measures, another kills
	cmd        *exec.Cmd     // nil while no process runs
	earlierCPU time.Duration // processor time of earlier processes
}

// zones are where controllers and workers stand, by turns.
var zones = []string{"a", "b"}

// newControllers gives each controller a name, a zone and two free addresses.
func newControllers(count int) ([]*controller, error) {
	var controllers []*controller
	for i := range count {
		c := &controller{name: fmt.Sprintf("n%d", i), zone: zones[i%len(zones)]}
		for _, addr := range []*string{&c.publicAddr, &c.peerAddr} {
			free, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*addr = free
		}
		controllers = append(controllers, c)
	}
	return controllers, nil
}

// freeAddress returns an address of this machine that was free just now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// logFile stands beside the settings file.
func (c *controller) logFile() string {
	return strings.TrimSuffix(c.settingsFile, filepath.Ext(c.settingsFile)) + ".log"
}

// start runs the controller's process until the context ends or kill is called.
func (c *controller) start(ctx context.Context, program string) error {
	log, err := os.OpenFile(c.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(ctx, program, "--config", c.settingsFile)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cmd = cmd
	return cmd.Start()
}

// kill ends the process, if one runs, without a signal that it could answer.
func (c *controller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return
	}
	c.earlierCPU = c.usageLocked().CPU
	if c.cmd.Process != nil { // nil if it could not be started
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
	c.cmd = nil
}

// isReady reports whether the controller answers its health check.
func (c *controller) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.publicAddr + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// usage is what a controller has used and holds.
type usage struct {
	CPU     time.Duration // of all its processes
	RSS     int64         // resident memory, bytes
	Sockets int           // open files
}

// usage reads what the controller has used and holds; of a process that is gone, what
// the earlier ones used.
func (c *controller) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usageLocked()
}

// usageLocked is usage with c.mu held by the caller.
func (c *controller) usageLocked() usage {
	total := usage{CPU: c.earlierCPU}
	if c.cmd == nil || c.cmd.Process == nil {
		return total
	}
	dir := fmt.Sprintf("/proc/%d/", c.cmd.Process.Pid)
	if stat, err := os.ReadFile(dir + "stat"); err == nil {
		cpu, rss := parseStat(string(stat))
		total.CPU += cpu
		total.RSS = rss
	}
	if files, err := os.ReadDir(dir + "fd"); err == nil {
		total.Sockets = len(files)
	}
	return total
}

// clockTick is the unit of processor time in /proc, on every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted behind the program's name.
const (
	statUserTime   = 11 // clock ticks
	statSystemTime = 12 // clock ticks
	statRSS        = 21 // pages
)

// parseStat reads processor time and resident memory, in bytes, from /proc/PID/stat.
func parseStat(stat string) (cpu time.Duration, rss int64) {
	// The program's name may hold spaces.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statRSS {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[statRSS], 10, 64)
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}
