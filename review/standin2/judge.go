package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// leaseEnded is why the tasks of a worker end whose lease has ended.
const leaseEnded = "lease ended"

// Job is a job as its user submits it.
type Job struct {
	Ref        string   `json:"ref"`
	Class      string   `json:"jobclass"`
	Owner      string   `json:"owner"`
	Shape      string   `json:"shape"`
	Rank       string   `json:"rank"`
	Shards     int      `json:"shards"`
	CPUs       float64  `json:"cpus"`
	Cards      float64  `json:"cards"`
	MemGB      float64  `json:"memGb"`
	Bundle     string   `json:"bundle"`
	SizeGB     float64  `json:"sizeGb"`
	Flavours   []string `json:"flavours"`
	Hall       *string  `json:"hall"`
	SamePlace  bool     `json:"samePlace"`
	Spread     bool     `json:"spread"`
	Loaner     bool     `json:"loaner"`
	ExpectS    float64  `json:"expectS"`
	SnapEveryS float64  `json:"snapshotEveryS"`
	SnapS      float64  `json:"snapshotS"`
	DueS       *float64 `json:"dueS"`

	runs time.Duration // how long a task runs
}

// Judge keeps what the users were told and what runs, and checks the rules as they are written.
type Judge struct {
	record  *Record
	cancelS float64

	mu        sync.Mutex
	jobs      map[string]*Job
	cancelled map[string]time.Time            // by job: when its user was told
	running   map[string]map[*Worker]*task    // by task name
	began     map[string]int                  // by job: tasks that began
	gang      map[string]map[string]time.Time // by job and attempt: tasks that are on a machine
	done      map[string]int                  // by job: tasks that completed
	lost      map[string]int                  // by job: tasks that were killed as a lease ended
	broken    []string
}

// Judge returns the judge of the cluster's case.
func (c *Cluster) Judge() *Judge { return c.judge }

func newJudge(record *Record, cancelS float64) *Judge {
	return &Judge{record: record, cancelS: cancelS, jobs: make(map[string]*Job), cancelled: make(map[string]time.Time),
		running: make(map[string]map[*Worker]*task), began: make(map[string]int), done: make(map[string]int), lost: make(map[string]int), gang: make(map[string]map[string]time.Time)}
}

// Break records a broken rule.
func (j *Judge) Break(rule, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakLocked(rule, how)
}

func (j *Judge) breakLocked(rule, how string) {
	j.broken = append(j.broken, rule+": "+how)
	j.record.Add("judge", "RULE BROKEN", rule, how)
}

// Broken returns the rules that were broken.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}

// Job returns a job that was submitted, or nil.
func (j *Judge) Job(ref string) *Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.jobs[ref]
}

// Began is called when a task has its image and so is on its machine.
func (j *Judge) Began(w *Worker, t *task) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.Add("worker", w.Host, "task on the machine", fmt.Sprintf("%s attempt %d", t.name, t.attempt))
	if j.running[t.name] == nil {
		j.running[t.name] = make(map[*Worker]*task)
	}
	for other := range j.running[t.name] {
		if other != w {
			j.breakLocked("ran_twice", fmt.Sprintf("%s attempt %d begins on %s while it is on %s", t.name, t.attempt, w.Host, other.Host))
		}
	}
	if at, ok := j.cancelled[t.job.Ref]; ok && time.Since(at).Seconds() > j.cancelS {
		j.breakLocked("ran_cancelled", fmt.Sprintf("%s begins on %s %.1f s after its user was told", t.name, w.Host, time.Since(at).Seconds()))
	}
	j.running[t.name][w] = t
	j.checkPlace(w, t)
	j.began[t.job.Ref]++
	key := fmt.Sprintf("%s#%d", t.job.Ref, t.attempt)
	if j.gang[key] == nil {
		j.gang[key] = make(map[string]time.Time)
	}
	j.gang[key][t.name] = time.Now()
}

// checkPlace checks the rules on places and limits for a task that has just begun.
func (j *Judge) checkPlace(w *Worker, t *task) {
	inZone, others, cpus := 0, 0, 0.0
	for name, on := range j.running {
		for other, running := range on {
			if running.job.Owner == "tight" {
				cpus += running.job.CPUs
			}
			if strings.HasPrefix(name, t.job.Ref+"/") {
				if other.zone == w.zone {
					inZone++
				} else {
					others++
				}
			}
		}
	}
	if t.job.Spread && inZone > (t.job.Shards+1)/2 {
		j.breakLocked("wrong_place", fmt.Sprintf("%s: %d of %d tasks in zone %s", t.name, inZone, t.job.Shards, w.zone))
	}
	if t.job.SamePlace && others > 0 {
		j.breakLocked("wrong_place", fmt.Sprintf("%s begins in zone %s, %d tasks are elsewhere", t.name, w.zone, others))
	}
	if cpus > 24.001 {
		j.breakLocked("quota", fmt.Sprintf("tight uses %.1f CPUs of 24 as %s begins", cpus, t.name))
	}
}

// Ended is called when a task is no longer on its machine.
func (j *Judge) Ended(w *Worker, t *task, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[t.name][w] == nil {
		return
	}
	delete(j.running[t.name], w)
	switch why {
	case "done":
		j.done[t.job.Ref]++
	case leaseEnded:
		j.lost[t.job.Ref]++
	}
	j.record.Add("worker", w.Host, "task ended", fmt.Sprintf("%s attempt %d, %s", t.name, t.attempt, why))
	if at, ok := j.cancelled[t.job.Ref]; ok && time.Since(at).Seconds() > j.cancelS {
		j.breakLocked("ran_cancelled", fmt.Sprintf("%s was on %s until %.1f s after its user was told", t.name, w.Host, time.Since(at).Seconds()))
	}
	delete(j.gang[fmt.Sprintf("%s#%d", t.job.Ref, t.attempt)], t.name)
}

// GangComplete reports whether all tasks of a gang's attempt are on their machines.
func (j *Judge) GangComplete(t *task) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.gang[fmt.Sprintf("%s#%d", t.job.Ref, t.attempt)]) >= t.job.Shards
}

// GangDone reports whether a task of a gang's attempt has completed: then all have.
func (j *Judge) GangDone(t *task) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return t.job.Shape == "group" && j.done[t.job.Ref] > 0
}

// BeganTasks returns how many tasks of a job began.
func (j *Judge) BeganTasks(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.began[ref]
}

// DoneTasks returns how many tasks of a job completed.
func (j *Judge) DoneTasks(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[ref]
}

// LostByLease returns how many tasks of a job were killed as the lease of their worker ended.
func (j *Judge) LostByLease(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lost[ref]
}

// IsCancelled reports whether a job's user was told that it is cancelled.
func (j *Judge) IsCancelled(ref string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.cancelled[ref].IsZero()
}

// RunningTasks returns how many tasks of a job are on machines.
func (j *Judge) RunningTasks(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name, on := range j.running {
		if strings.HasPrefix(name, ref+"/") && len(on) > 0 {
			count++
		}
	}
	return count
}

// Submit submits a job at a node, and repeats that as users do until it is answered. It returns
// the last status.
func (c *Cluster) Submit(node *Node, job *Job) int {
	c.judge.mu.Lock()
	c.judge.jobs[job.Ref] = job
	c.judge.mu.Unlock()
	body, _ := json.Marshal(job)
	return c.repeat("submit "+job.Ref, http.MethodPost, "/submissions", body, node, func(status int, _ jobAnswer) bool {
		return status == http.StatusOK || status == http.StatusCreated || status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	})
}

// Abort cancels a job at a node, and repeats that as users do until it is answered.
func (c *Cluster) Abort(node *Node, ref string) int {
	return c.repeat("abort "+ref, http.MethodPost, "/submissions/"+ref+"/abort", nil, node, func(status int, got jobAnswer) bool {
		if status == http.StatusOK && got.Phase == "cancelled" {
			c.judge.mu.Lock()
			c.judge.cancelled[ref] = time.Now()
			c.judge.mu.Unlock()
		}
		return status == http.StatusOK
	})
}

type jobAnswer struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

const userPatience = 60 * time.Second

func (c *Cluster) repeat(what, method, path string, body []byte, node *Node, done func(int, jobAnswer) bool) int {
	until := time.Now().Add(userPatience)
	for at := slices.Index(c.Nodes, node); ; at++ {
		var got jobAnswer
		status := c.users.call(method, "http://"+c.Nodes[at%len(c.Nodes)].Public+path, body, 5*time.Second, &got)
		c.Record.Add("user", what, fmt.Sprintf("status %d", status), fmt.Sprintf("at %s: %s", c.Nodes[at%len(c.Nodes)].Name, got.Phase))
		if done(status, got) || time.Now().After(until) {
			return status
		}
		time.Sleep(time.Second)
	}
}

// Poll asks a node about a job once, as users do, and returns the status and the phase.
func (c *Cluster) Poll(node *Node, ref string) (int, string) {
	var got jobAnswer
	status := c.users.call(http.MethodGet, "http://"+node.Public+"/submissions/"+ref, nil, 2*time.Second, &got)
	return status, got.Phase
}
