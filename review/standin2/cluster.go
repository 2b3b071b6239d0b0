package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Site is what a case sets of the settings file.
type Site struct {
	Nodes       int
	Zones       []string // the controllers and the machines are spread over them in turn
	State       StateLimits
	Workers     WorkerTimes
	RAM         float64 // MB
	Connections int
	CPUShare    float64
	CloudRPS    float64
	ListLagS    float64
	ClockMs     float64
	RestartS    float64 // after this time an ended controller is started again
	Teams       string  // the [[cluster.teams]] tables
	Objectives  string  // the [[cluster.objectives]] tables
}

// WorkerTimes are the times of [cluster.workers], in seconds.
type WorkerTimes struct{ Report, Lease, GangWait, GangPeer, Cancel float64 }

// Cluster is the controllers of a case with the stand-ins that they talk to.
type Cluster struct {
	Site       Site
	State      *State
	Cloud      *Cloud
	Nodes      []*Node
	Record     *Record
	LateCopies bool // copies of executed commands arrive again
	judge      *Judge
	users      caller
	dir        string
	stop       chan struct{}
	stopped    atomic.Bool
}

// Node is one controller: its addresses, its link to the state service and its process.
type Node struct {
	Name, Zone   string
	Public, Peer string
	Link         *Link

	site     Site
	settings string
	record   *Record

	mu      sync.Mutex
	process *exec.Cmd
	started time.Time
	held    bool // the platform does not start the process again
	starts  int
	peakKB  int // largest resident memory of the present process
	killed  int // how often the platform killed the process for its memory
	dead    chan struct{}
}

const program = "target/madderslip" // as in deploy/service.toml, from the root of the repository

// NewCluster starts the stand-ins of a site and writes the controllers' settings.
func NewCluster(site Site, record *Record) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Site: site, Record: record, judge: newJudge(record, site.Workers.Cancel), users: newCaller(), dir: dir, stop: make(chan struct{})}
	active.Store(c)
	c.State = NewState(site.State, c.stop)
	for i := range site.Nodes {
		node := &Node{Name: fmt.Sprintf("slipnode-%d", i), Zone: site.Zones[i%len(site.Zones)], Link: &Link{}, site: site, record: record}
		if node.Public, err = freeAddress(); err != nil {
			return nil, err
		}
		if node.Peer, err = freeAddress(); err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, node)
	}
	if c.Cloud, err = NewCloud(c); err != nil {
		return nil, err
	}
	for _, node := range c.Nodes {
		stateAddr, err := serve("127.0.0.1", c.State.Handler(node.Link))
		if err != nil {
			return nil, err
		}
		record.Add("platform", node.Name, "public address", node.Public)
		node.settings = filepath.Join(dir, node.Name+".toml")
		if err := os.WriteFile(node.settings, []byte(c.settingsOf(node, stateAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) settingsOf(node *Node, stateAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\narea = %q\npublic_addr = %q\npeer_bind = %q\n", node.Name, node.Zone, node.Public, node.Peer)
	for _, other := range c.Nodes {
		if other != node {
			fmt.Fprintf(&b, "\n[[others]]\nnode = %q\narea = %q\nendpoint = %q\n", other.Name, other.Zone, other.Peer)
		}
	}
	s := c.Site
	fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n", c.Cloud.Addr, stateAddr)
	fmt.Fprintf(&b, "\n[cluster]\nnodes = %d\nzones = [\"%s\"]\nclock_error_ms = %.1f\n", s.Nodes, strings.Join(s.Zones, `", "`), s.ClockMs)
	b.WriteString(s.Teams + s.Objectives)
	w := s.Workers
	fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", w.Report, w.Lease, w.GangWait, w.GangPeer, w.Cancel)
	fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps)
	fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.CloudRPS, s.ListLagS)
	fmt.Fprintf(&b, "\n[cluster.machine_limits]\ncpu_share = %.2f\nram_mb = %.1f\nmax_connections = %d\n", s.CPUShare, s.RAM, s.Connections)
	return b.String()
}

// Start starts all controllers and waits until each is ready.
func (c *Cluster) Start(within time.Duration) error {
	for _, node := range c.Nodes {
		if err := node.start(); err != nil {
			return err
		}
		go node.supervise(c.stop)
	}
	until := time.Now().Add(within)
	for _, node := range c.Nodes {
		for !node.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", node.Name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends all that the case has started.
func (c *Cluster) Stop() {
	if !c.stopped.CompareAndSwap(false, true) {
		return
	}
	close(c.stop)
	for _, node := range c.Nodes {
		node.Hold()
		node.Kill("end of the case")
	}
	_ = os.RemoveAll(c.dir)
}

func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(strings.TrimSuffix(n.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "--config", n.settings)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := command.Start(); err != nil {
		return err
	}
	n.process, n.started, n.peakKB, n.dead = command, time.Now(), 0, make(chan struct{})
	n.starts++
	dead := n.dead
	go func() {
		_ = command.Wait()
		close(dead)
	}()
	n.record.Add("platform", n.Name, "started", fmt.Sprintf("start %d", n.starts))
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "error"
}

// supervise is the platform: it ends a process that holds more memory than the limit, and starts
// a process that has ended again after the site's restart delay.
func (n *Node) supervise(stop <-chan struct{}) {
	for {
		n.mu.Lock()
		dead := n.dead
		n.mu.Unlock()
		select {
		case <-stop:
			return
		case <-dead:
			n.mu.Lock()
			peak := n.peakKB
			n.mu.Unlock()
			n.record.Add("platform", n.Name, "ended", fmt.Sprintf("largest memory %d MB", peak>>10))
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(n.site.RestartS * float64(time.Second))):
			}
			for n.isHeld() {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
			if err := n.start(); err != nil {
				n.record.Add("platform", n.Name, "not started", err.Error())
				return
			}
		case <-time.After(50 * time.Millisecond):
			n.checkMemory()
		}
	}
}

func (n *Node) isHeld() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// Hold keeps the platform from starting the process again; Release ends that.
func (n *Node) Hold() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = true
}

// Release lets the platform start the process again.
func (n *Node) Release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = false
}

func (n *Node) checkMemory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	resident := residentKB(n.process.Process.Pid)
	n.peakKB = max(n.peakKB, resident)
	if float64(resident) > n.site.RAM*1024 {
		n.killed++
		n.record.Add("platform", n.Name, "killed for its memory", fmt.Sprintf("%d MB of %.0f MB, %.1f s after its start", resident>>10, n.site.RAM, time.Since(n.started).Seconds()))
		_ = n.process.Process.Kill()
	}
}

// residentKB returns the resident memory of a process in KiB, or 0.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

// Kill ends the process at once.
func (n *Node) Kill(why string) {
	n.mu.Lock()
	process, dead := n.process, n.dead
	n.mu.Unlock()
	if process == nil {
		return
	}
	n.record.Add("platform", n.Name, "killed", why)
	_ = process.Process.Kill()
	<-dead
}

// Freeze stops the process, and Resume lets it continue.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Add("platform", n.Name, "stands still", "")
	_ = n.process.Process.Signal(syscall.SIGSTOP)
}

// Resume lets a frozen process continue.
func (n *Node) Resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Add("platform", n.Name, "goes on", "")
	_ = n.process.Process.Signal(syscall.SIGCONT)
}

// KilledForMemory returns how often the platform killed the process for its memory, and the
// largest memory of the present process in MB.
func (n *Node) KilledForMemory() (times, peakMB int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed, n.peakKB >> 10
}

// Ready reports whether the health check succeeds.
func (n *Node) Ready() bool {
	return newCaller().call(http.MethodGet, "http://"+n.Public+"/ready", nil, time.Second, nil) == http.StatusOK
}
