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

// controller starts and kills the processes of one controller. Its name, zone, addresses and
// settings stay the same when a process is killed and the next one is started.
type controller struct {
	name, zone           string
	publicAddr, peerAddr string
	settingsFile         string

	mu         sync.Mutex    // guards the fields below: usage may be read while another goroutine kills the process
	cmd        *exec.Cmd     // nil while no process runs
	earlierCPU time.Duration // processor time of earlier processes
}

// zones are the zones among which the controllers and the workers are distributed.
var zones = []string{"a", "b"}

// newControllers returns controllers that have a name, a zone and two free addresses each
// and are not started yet.
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

// freeAddress returns a loopback address whose port was free at the time of the call.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// logFile returns the path of the controller's log, which is in the same directory as the
// settings file.
func (c *controller) logFile() string {
	return strings.TrimSuffix(c.settingsFile, filepath.Ext(c.settingsFile)) + ".log"
}

// start starts the controller's process, which runs until the context ends or kill is called.
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

// kill ends the process, if one runs, with a signal that the process cannot handle.
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

// isReady reports whether the controller's health check succeeds.
func (c *controller) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.publicAddr + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// usage is the use of resources by a controller.
type usage struct {
	CPU     time.Duration // processor time of all processes of the controller
	RSS     int64         // resident memory, bytes
	Sockets int           // open file descriptors
}

// usage reads the controller's use of resources. While no process runs, only the processor
// time of the earlier processes is set.
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

// Indexes of fields of /proc/PID/stat, where 0 is the field after the program's name.
const (
	statUserTime   = 11 // user time, in clock ticks
	statSystemTime = 12 // system time, in clock ticks
	statRSS        = 21 // resident memory, in pages
)

// parseStat reads processor time and resident memory, in bytes, from /proc/PID/stat.
func parseStat(stat string) (cpu time.Duration, rss int64) {
	// The program's name is in parentheses and may contain spaces.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statRSS {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[statRSS], 10, 64)
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}
