package protocol

// Messages that come by the hundred a second are read and written by generated
// code: reading them by reflection took a quarter of the processor time.
//
//go:generate go tool easyjson -output_filename messages_easyjson.go messages.go

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Shape says how a job's tasks belong together.
type Shape string

// The shapes, spelled as on the wire.
const (
	Array   Shape = "sweep"
	Gang    Shape = "group"
	Service Shape = "service"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100_000

// Submission is a job as users submit it.
//
//easyjson:json
type Submission struct {
	Ref            string   `json:"ref"`
	Class          string   `json:"jobclass"`
	Team           string   `json:"owner"`
	Shape          Shape    `json:"shape"`
	Rank           string   `json:"rank"`
	Tasks          int      `json:"shards"`
	CPUs           float64  `json:"cpus"`
	GPUs           float64  `json:"cards"`
	MemGB          float64  `json:"memGb"`
	Image          string   `json:"bundle"`
	ImageGB        float64  `json:"sizeGb"`
	Types          []string `json:"flavours,omitempty"`
	Zone           string   `json:"hall,omitempty"`
	SameZone       bool     `json:"samePlace,omitempty"`
	Spread         bool     `json:"spread,omitempty"`
	Spot           bool     `json:"loaner,omitempty"`
	ExpectS        float64  `json:"expectS"`
	SnapshotEveryS float64  `json:"snapshotEveryS,omitempty"`
	SnapshotS      float64  `json:"snapshotS,omitempty"`
	DueS           *float64 `json:"dueS,omitempty"`
	// Awaits names the jobs that must be done before a task of this one starts. It is
	// checked and without duplicates; a job's record keeps it apart from the description.
	Awaits []string `json:"awaits,omitempty"`
}

// ranks are spelled as on the wire, the lowest first.
var ranks = []string{"idle", "normal", "high", "critical"}

// Priority orders ranks: higher goes first. Unknown ranks give false.
func Priority(rank string) (int, bool) {
	priority := slices.Index(ranks, rank)
	return max(0, priority), priority >= 0
}

// RankOf is the rank of a priority.
func RankOf(priority int) string { return ranks[min(max(0, priority), len(ranks)-1)] }

// Expect is the owner's estimate of a task's run time.
func (s *Submission) Expect() time.Duration { return Seconds(s.ExpectS) }

// SnapshotEvery is the progress between checkpoints; 0: never saves.
func (s *Submission) SnapshotEvery() time.Duration { return Seconds(s.SnapshotEveryS) }

// Snapshot is the time a stopped task needs to save.
func (s *Submission) Snapshot() time.Duration { return Seconds(s.SnapshotS) }

// Due is the deadline after submission; 0 means none.
func (s *Submission) Due() time.Duration {
	if s.DueS == nil {
		return 0
	}
	return Seconds(*s.DueS)
}

// Prio is the priority of a checked submission.
func (s *Submission) Prio() int { p, _ := Priority(s.Rank); return p }

// ErrMalformed is wrapped by every reason to answer 400.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// ValidRef tells whether a job id has the form that users give ids.
func ValidRef(ref string) bool {
	digits, ok := strings.CutPrefix(ref, "wk-")
	if !ok || digits == "" || len(ref) > 40 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// RefOf reads only the id of a submission, so that a known job is recognised
// whatever else its retry holds.
func RefOf(body []byte) (string, error) {
	var w struct {
		Ref *string `json:"ref"`
	}
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return "", malformed("not an object")
	}
	if err := json.Unmarshal(body, &w); err != nil && w.Ref == nil {
		return "", malformed("not JSON")
	}
	if w.Ref == nil || !ValidRef(*w.Ref) {
		return "", malformed("ref")
	}
	return *w.Ref, nil
}

// ParseSubmission checks a submission's form.
func ParseSubmission(body []byte) (*Submission, error) {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(body, &present); err != nil || present == nil {
		return nil, malformed("not a JSON object")
	}
	// All but those that may be null, and may so be left out.
	for _, key := range []string{"ref", "jobclass", "owner", "shape", "rank", "shards", "cpus", "cards", "memGb", "bundle", "sizeGb",
		"samePlace", "spread", "loaner", "expectS", "snapshotEveryS", "snapshotS"} {
		if raw, ok := present[key]; !ok || string(raw) == "null" {
			return nil, malformed("%s is missing", key)
		}
	}
	var s Submission
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, malformed("%v", err)
	}
	if _, ok := Priority(s.Rank); !ok {
		return nil, malformed("rank")
	}
	due := 0.0
	if s.DueS != nil {
		due = *s.DueS
	}
	amounts := []struct {
		key string
		v   float64
	}{{"cpus", s.CPUs}, {"cards", s.GPUs}, {"memGb", s.MemGB}, {"sizeGb", s.ImageGB}, {"expectS", s.ExpectS},
		{"snapshotEveryS", s.SnapshotEveryS}, {"snapshotS", s.SnapshotS}, {"dueS", due}}
	for _, a := range amounts {
		// A bound keeps sums and Durations far from overflow.
		if !(a.v >= 0) || math.IsInf(a.v, 0) || a.v > 1e9 {
			return nil, malformed("%s is out of range", a.key)
		}
	}
	switch {
	case !ValidRef(s.Ref):
		return nil, malformed("ref")
	case s.Shape != Array && s.Shape != Gang && s.Shape != Service:
		return nil, malformed("shape")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return nil, malformed("shards is out of range")
	case s.Class == "" || len(s.Class) > 200 || s.Team == "" || len(s.Team) > 200:
		return nil, malformed("jobclass or owner")
	case s.Image == "" || len(s.Image) > 200 || len(s.Zone) > 200 || len(s.Types) > 64:
		return nil, malformed("bundle, hall or flavours")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > 200 {
			return nil, malformed("flavours")
		}
	}
	if err := s.checkAwaits(); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkAwaits checks the jobs that a submission waits for and drops repeated names.
func (s *Submission) checkAwaits() error {
	for _, ref := range s.Awaits {
		if !ValidRef(ref) {
			return malformed("awaits names %q, which is no job id", ref)
		}
		if ref == s.Ref {
			return malformed("awaits names the job itself")
		}
	}
	slices.Sort(s.Awaits)
	s.Awaits = slices.Compact(s.Awaits)
	return nil
}

// JobAnswer is what users are told of a job.
//
//easyjson:json
type JobAnswer struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Phases of a job, as users see them.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// States of a task on a worker, and why it exited.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "gathering"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"
	CauseDone    = "done"
	CauseError   = "error"
	// CauseIncomplete: a gang's task waited too long for the others.
	CauseIncomplete = "incomplete"
	CauseNoRoom     = "no_room"
	CauseNoSuch     = "no_such"
	CauseBusy       = "busy"
	MachineFailed   = "failed"
)

// TaskReport is a task as its worker reports it.
//
//easyjson:json
type TaskReport struct {
	Task  string `json:"shard"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause"`
	Saved bool   `json:"kept"`
}

// Report is a worker's own account of its machine.
//
//easyjson:json
type Report struct {
	Host     string       `json:"host"`
	Addr     string       `json:"address"`
	Type     string       `json:"flavour"`
	Zone     string       `json:"hall"`
	Spot     bool         `json:"loaner"`
	Session  uint64       `json:"tenure"`
	Seq      uint64       `json:"tick"`
	Token    uint64       `json:"baton"`
	WarningS *float64     `json:"warningS"`
	Tasks    []TaskReport `json:"shards"`
}

// ParseReport checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := r.UnmarshalJSON(body); err != nil {
		return nil, malformed("%v", err)
	}
	if r.Host == "" || len(r.Host) > 100 || strings.ContainsAny(r.Host, " /") || r.Session == 0 {
		return nil, malformed("host or tenure")
	}
	return &r, nil
}

// Command is one order to a worker.
//
//easyjson:json
type Command struct {
	Verb  string   `json:"verb"`
	Task  string   `json:"shard"`
	Try   uint64   `json:"try"`
	Grace *float64 `json:"windDownS,omitempty"`
}

// Start is the command that begins an attempt of a task.
func Start(task string, try uint64) Command { return Command{Verb: "start", Task: task, Try: try} }

// Stop is the command that ends a task's attempt within a grace period.
func Stop(task string, try uint64, grace time.Duration) Command {
	g := grace.Seconds()
	return Command{Verb: "stop", Task: task, Try: try, Grace: &g}
}

// Reap is the command that removes an exited task from the worker's memory.
func Reap(task string, try uint64) Command { return Command{Verb: "reap", Task: task, Try: try} }

// ReportAnswer answers a report.
//
//easyjson:json
type ReportAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// DirectCommands is the body of a call of /commands.
//
//easyjson:json
type DirectCommands struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"tenure"`
	Commands []Command `json:"orders"`
}

// Steward tells a worker which node to report to.
type Steward struct {
	Node string `json:"steward,omitempty"`
}

// MachineType is a kind of machine the cloud rents.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"cards"`
	MemGB     float64  `json:"memGb"`
	CacheGB   float64  `json:"cacheGb"`
	PullGBps  float64  `json:"pullGbPerS"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"marketPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"halls"`
}

// Boot is the nominal time from the rental to the first report.
func (t *MachineType) Boot() time.Duration { return Seconds(t.BootS) }

// MachineTypes is the cloud's list of types.
type MachineTypes struct {
	Types []MachineType `json:"flavours"`
}

// Hire is a rental request; its name is never used again.
type Hire struct {
	Name  string `json:"hire"`
	Type  string `json:"flavour"`
	Zone  string `json:"hall"`
	Spot  bool   `json:"loaner"`
	Count int    `json:"howMany"`
}

// HostNames lists machines, as a rental's answer and as a return's body.
type HostNames struct {
	Hosts []string `json:"hosts"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Host  string  `json:"ref"`
	Addr  string  `json:"address"`
	Type  string  `json:"flavour"`
	Zone  string  `json:"hall"`
	Spot  bool    `json:"loaner"`
	Phase string  `json:"phase"`
	HeldS float64 `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Hosts     []ListedMachine `json:"hosts"`
	Truncated bool            `json:"truncated"`
}

// TaskName is how workers name a task: the job's id and the task's number.
func TaskName(ref string, task int) string { return ref + "/" + strconv.Itoa(task) }

// SplitTask undoes TaskName.
func SplitTask(name string) (ref string, task int, ok bool) {
	ref, num, found := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	return ref, n, found && err == nil && n >= 0 && ValidRef(ref)
}
