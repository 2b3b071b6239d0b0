package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// timing are the workers' intervals, as in the settings.
type timing struct {
	report, lease, gangWait, gangPeer, cancel time.Duration
}

// submission is what a user sends.
type submission struct {
	Ref            string   `json:"ref"`
	Jobclass       string   `json:"jobclass"`
	Owner          string   `json:"owner"`
	Shape          string   `json:"shape"`
	Rank           string   `json:"rank"`
	Shards         int      `json:"shards"`
	CPUs           float64  `json:"cpus"`
	Cards          float64  `json:"cards"`
	MemGb          float64  `json:"memGb"`
	Bundle         string   `json:"bundle"`
	SizeGb         float64  `json:"sizeGb"`
	Flavours       []string `json:"flavours"`
	Hall           *string  `json:"hall"`
	SamePlace      bool     `json:"samePlace"`
	Spread         bool     `json:"spread"`
	Loaner         bool     `json:"loaner"`
	ExpectS        float64  `json:"expectS"`
	SnapshotEveryS float64  `json:"snapshotEveryS"`
	SnapshotS      float64  `json:"snapshotS"`
	DueS           *float64 `json:"dueS"`
	Awaits         []string `json:"awaits,omitempty"`
}

// job is a job with the run time of its tasks, which only the workers know.
type job struct {
	spec submission
	run  time.Duration
}

// node is one controller with its process.
type node struct {
	name, zone           string
	publicAddr, peerAddr string
	settings, log        string
	old                  string // the program of an older version that is started instead; empty: none

	mu  sync.Mutex
	cmd *exec.Cmd
}

type world struct {
	timing      timing
	controllers []*node
	state       *stateService
	cloud       *cloud
	links       map[string]*gate // by pair of zones or names
	dir         string
	// loseCommand tells whether a direct command gets no answer, and by how much it is carried
	// out late; nil: none does.
	loseCommand func() (lost bool, late time.Duration)
	// copyReport tells whether a copy of a report arrives again, and after which time; nil: none
	// does.
	copyReport func() (copied bool, late time.Duration)

	mu   sync.Mutex
	jobs map[string]*job
	on   map[string][]presence // by task: where it is
	ran  []string              // violations of ran_twice, as they were seen
	// completed holds the tasks whose results are kept.
	completed map[string]bool
	// gangs holds, by job and attempt, the tasks of gangs that wait or run. If a task of a gang
	// that runs is gone, the others exit with "peers".
	gangs map[string]*gang
}

// presence is a task on a machine.
type presence struct {
	host    string
	attempt uint64
	since   time.Time
}

func newWorld(t timing) *world {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	w := &world{timing: t, links: make(map[string]*gate), dir: dir, jobs: make(map[string]*job), on: make(map[string][]presence), completed: make(map[string]bool), gangs: make(map[string]*gang)}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	return w
}

// link returns the gate between two places; nil, which is always open, within one.
func (w *world) link(a, b string) *gate {
	if a == b {
		return nil
	}
	if a > b {
		a, b = b, a
	}
	key := a + "|" + b
	if w.links[key] == nil {
		w.links[key] = newGate()
	}
	return w.links[key]
}

func (w *world) job(ref string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref]
}

// taskOn records that a task is on a machine from now on.
func (w *world) taskOn(k *worker, t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	note("run: %s begins on %s", t, k.machine.ref)
	for _, other := range w.on[t.name] {
		if other.host != k.machine.ref {
			w.ran = append(w.ran, fmt.Sprintf("%s starts on %s while try %d of it is on %s", t, k.machine.ref, other.attempt, other.host))
			note("RULE ran_twice: %s", w.ran[len(w.ran)-1])
		}
	}
	w.on[t.name] = append(w.on[t.name], presence{k.machine.ref, t.attempt, time.Now()})
}

// gang is one attempt of a gang: what to do for each task when all wait, and when one is lost.
type gang struct {
	begin, lose map[string]func()
	runs        bool
}

func gangKey(t *workerTask) string { return fmt.Sprintf("%s#%d", t.job.spec.Ref, t.attempt) }

// gather adds a task that waits for its gang. Once all tasks of the attempt wait, all begin.
func (w *world) gather(t *workerTask, begin, lose func()) {
	w.mu.Lock()
	g := w.gangs[gangKey(t)]
	if g == nil {
		g = &gang{begin: make(map[string]func()), lose: make(map[string]func())}
		w.gangs[gangKey(t)] = g
	}
	g.begin[t.name], g.lose[t.name] = begin, lose
	var all []func()
	if len(g.begin) == t.job.spec.Shards && !g.runs {
		g.runs = true
		for _, begin := range g.begin {
			all = append(all, begin)
		}
	}
	w.mu.Unlock()
	for _, begin := range all {
		begin()
	}
}

// leaveGang removes a task that is gone from its gang. The caller holds the lock.
func (w *world) leaveGang(t *workerTask, why string) {
	g := w.gangs[gangKey(t)]
	if g == nil || g.begin[t.name] == nil {
		return
	}
	delete(g.begin, t.name)
	delete(g.lose, t.name)
	if g.runs && why != "done" {
		for _, lose := range g.lose {
			time.AfterFunc(time.Duration(rand.Int64N(int64(w.timing.gangPeer))), lose)
		}
	}
}

// taskOff records that a task is no longer on a machine.
func (w *world) taskOff(k *worker, t *workerTask, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	note("run: %s ends on %s: %s", t, k.machine.ref, why)
	if t.job.spec.Shape == "group" {
		w.leaveGang(t, why)
	}
	list := w.on[t.name]
	for i, p := range list {
		if p.host == k.machine.ref && p.attempt == t.attempt {
			w.on[t.name] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// complete records that a task has completed. Its result is kept.
func (w *world) complete(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed[task] = true
}

func (w *world) isCompleted(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completed[task]
}

// tasksOf lists where the tasks of a job are.
func (w *world) tasksOf(ref string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name, list := range w.on {
		for _, p := range list {
			if strings.HasPrefix(name, ref+"/") {
				out = append(out, name+" on "+p.host)
			}
		}
	}
	return out
}

// hostOf returns the machine of a task, or "".
func (w *world) hostOf(task string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list := w.on[task]; len(list) > 0 {
		return list[0].host
	}
	return ""
}

// deployRun returns the program and the arguments that start a controller, from the deploy
// file.
func deployRun() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	cannotRun("the deploy file has no run line")
	return nil
}

// addNodes adds controllers, whose addresses are chosen now and which are started later.
func (w *world) addNodes(zones ...string) {
	for i, zone := range zones {
		c := &node{name: fmt.Sprintf("slipnode-%d", i), zone: zone, publicAddr: freeAddress(), peerAddr: freeAddress()}
		c.settings, c.log = filepath.Join(w.dir, c.name+".toml"), filepath.Join(w.dir, c.name+".log")
		w.controllers = append(w.controllers, c)
	}
}

// writeSettings writes a controller's settings file. cluster is the part that all have in
// common.
func (w *world) writeSettings(c *node, stateAddr, cloudAddr, cluster string) {
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\narea = %q\npublic_addr = %q\npeer_bind = %q\n", c.name, c.zone, c.publicAddr, c.peerAddr)
	for _, other := range w.controllers {
		if other != c {
			endpoint := proxy(other.peerAddr, w.link(c.zone, other.zone))
			fmt.Fprintf(&text, "\n[[others]]\nnode = %q\narea = %q\nendpoint = %q\n", other.name, other.zone, endpoint)
		}
	}
	fmt.Fprintf(&text, "\n[outside]\ncloud = %q\nstate = %q\n\n%s", cloudAddr, stateAddr, cluster)
	if err := os.WriteFile(c.settings, []byte(text.String()), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts a controller's process.
func (c *node) start(run []string) {
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = log.Close() }()
	program := run[0]
	if c.old != "" {
		program = c.old
	}
	cmd := exec.Command(program, append(run[1:len(run):len(run)], c.settings)...)
	cmd.Stderr = log
	level := os.Getenv("STANDIN_LOG")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	if err := cmd.Start(); err != nil {
		cannotRun("start of %s: %v", c.name, err)
	}
	c.mu.Lock()
	c.cmd = cmd
	c.mu.Unlock()
	note("%s started, process %d", c.name, cmd.Process.Pid)
}

// kill ends a controller's process.
func (c *node) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
		c.cmd = nil
	}
}

func (w *world) pids() []int {
	pids := make([]int, len(w.controllers))
	for i, c := range w.controllers {
		c.mu.Lock()
		if c.cmd != nil {
			pids[i] = c.cmd.Process.Pid
		}
		c.mu.Unlock()
	}
	return pids
}

// startAll starts all controllers and waits until they are ready.
func (w *world) startAll() {
	run := deployRun()
	cleanups = append(cleanups, w.keepLogs)
	for _, c := range w.controllers {
		cleanups = append(cleanups, c.kill)
		c.start(run)
	}
	for _, c := range w.controllers {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if status, _ := w.ask(c, "GET", "/ready", nil, time.Second); status == 200 {
				break
			}
			if time.Now().After(deadline) {
				cannotRun("%s does not become ready", c.name)
			}
		}
	}
}

// keepLogs copies the controllers' logs into the record.
func (w *world) keepLogs() {
	if keep := os.Getenv("STANDIN_KEEP"); keep != "" {
		for _, c := range w.controllers {
			if raw, err := os.ReadFile(c.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, c.name+".log"), raw, 0o600)
			}
		}
	}
	for _, c := range w.controllers {
		raw, err := os.ReadFile(c.log)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		if len(lines) > 400 {
			lines = lines[len(lines)-400:]
		}
		note("log of %s:", c.name)
		for _, line := range lines {
			if !strings.Contains(line, "level=DEBUG") {
				note("  %s", line)
			}
		}
	}
}

// ask sends a user's request to a controller. A status of 0 means that no answer came in time.
func (w *world) ask(c *node, method, path string, body []byte, within time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.publicAddr+path, bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

type jobAnswer struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// submit submits a job, repeating the request as users do. It returns when it was accepted.
func (w *world) submit(c *node, spec submission, run time.Duration) (jobAnswer, bool) {
	w.mu.Lock()
	w.jobs[spec.Ref] = &job{spec, run}
	w.mu.Unlock()
	body := encode(spec)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		status, answer := w.ask(c, "POST", "/submissions", body, 5*time.Second)
		note("user -> %s: POST /submissions %s: %d %s", c.name, spec.Ref, status, answer)
		if status == 200 || status == 201 {
			var a jobAnswer
			_ = json.Unmarshal(answer, &a)
			return a, true
		}
		if status == 400 || status == 422 {
			return jobAnswer{}, false
		}
	}
	return jobAnswer{}, false
}

// poll asks for a job's status.
func (w *world) poll(c *node, ref string) (int, jobAnswer) {
	status, answer := w.ask(c, "GET", "/submissions/"+ref, nil, 2*time.Second)
	var a jobAnswer
	_ = json.Unmarshal(answer, &a)
	return status, a
}

// waitFor waits until a condition holds; the case can't run if it does not in time.
func waitFor(what string, within time.Duration, holds func() bool) {
	for deadline := time.Now().Add(within); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			cannotRun("not in %v: %s", within, what)
		}
	}
	note("reached: %s", what)
}
