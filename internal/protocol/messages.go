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
	ShapeArray   Shape = "sweep"
	ShapeGang    Shape = "group"
	ShapeService Shape = "service"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100_000

// Submission is a job as users submit it.
//
//easyjson:json
type Submission struct {
	JobID               string   `json:"ref"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Shape               Shape    `json:"shape"`
	PriorityClass       string   `json:"rank"`
	Tasks               int      `json:"shards"`
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memGb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"sizeGb"`
	MachineTypes        []string `json:"flavours,omitempty"`
	Zone                string   `json:"hall,omitempty"`
	SameZone            bool     `json:"samePlace,omitempty"`
	SpreadZones         bool     `json:"spread,omitempty"`
	AllowSpot           bool     `json:"loaner,omitempty"`
	RunEstimateS        float64  `json:"expectS"`
	CheckpointIntervalS float64  `json:"snapshotEveryS,omitempty"`
	CheckpointS         float64  `json:"snapshotS,omitempty"`
	DeadlineS           *float64 `json:"dueS,omitempty"`
	// Awaits names the jobs that must be done before a task of this one starts. It is
	// checked and without duplicates; a job's record keeps it apart from the description.
	Dependencies []string `json:"awaits,omitempty"`
}

// priorityClasses are spelled as on the wire, the lowest first.
var priorityClasses = []string{"idle", "normal", "high", "critical"}

// ParsePriority orders ranks: higher goes first. Unknown ranks give false.
func ParsePriority(rank string) (int, bool) {
	priority := slices.Index(priorityClasses, rank)
	return max(0, priority), priority >= 0
}

// PriorityClassOf is the rank of a priority.
func PriorityClassOf(priority int) string {
	return priorityClasses[min(max(0, priority), len(priorityClasses)-1)]
}

// RunEstimate is the owner's estimate of a task's run time.
func (s *Submission) RunEstimate() time.Duration { return Seconds(s.RunEstimateS) }

// CheckpointInterval is the progress between checkpoints; 0: never saves.
func (s *Submission) CheckpointInterval() time.Duration { return Seconds(s.CheckpointIntervalS) }

// CheckpointDuration is the time a stopped task needs to save.
func (s *Submission) CheckpointDuration() time.Duration { return Seconds(s.CheckpointS) }

// Deadline is the deadline after submission; 0 means none.
func (s *Submission) Deadline() time.Duration {
	if s.DeadlineS == nil {
		return 0
	}
	return Seconds(*s.DeadlineS)
}

// Priority is the priority of a checked submission.
func (s *Submission) Priority() int { p, _ := ParsePriority(s.PriorityClass); return p }

// ErrMalformed is wrapped by every reason to answer 400.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// ValidJobID tells whether a job id has the form that users give ids.
func ValidJobID(ref string) bool {
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

// ParseJobID reads only the id of a submission, so that a known job is recognised
// whatever else its retry holds.
func ParseJobID(body []byte) (string, error) {
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
	if w.Ref == nil || !ValidJobID(*w.Ref) {
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
	if _, ok := ParsePriority(s.PriorityClass); !ok {
		return nil, malformed("rank")
	}
	due := 0.0
	if s.DeadlineS != nil {
		due = *s.DeadlineS
	}
	amounts := []struct {
		key string
		v   float64
	}{{"cpus", s.CPUs}, {"cards", s.GPUs}, {"memGb", s.MemoryGB}, {"sizeGb", s.ImageGB}, {"expectS", s.RunEstimateS},
		{"snapshotEveryS", s.CheckpointIntervalS}, {"snapshotS", s.CheckpointS}, {"dueS", due}}
	for _, a := range amounts {
		// A bound keeps sums and Durations far from overflow.
		if !(a.v >= 0) || math.IsInf(a.v, 0) || a.v > 1e9 {
			return nil, malformed("%s is out of range", a.key)
		}
	}
	switch {
	case !ValidJobID(s.JobID):
		return nil, malformed("ref")
	case s.Shape != ShapeArray && s.Shape != ShapeGang && s.Shape != ShapeService:
		return nil, malformed("shape")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return nil, malformed("shards is out of range")
	case s.Class == "" || len(s.Class) > 200 || s.Team == "" || len(s.Team) > 200:
		return nil, malformed("jobclass or owner")
	case s.Image == "" || len(s.Image) > 200 || len(s.Zone) > 200 || len(s.MachineTypes) > 64:
		return nil, malformed("bundle, hall or flavours")
	}
	for _, t := range s.MachineTypes {
		if t == "" || len(t) > 200 {
			return nil, malformed("flavours")
		}
	}
	if err := s.checkDependencies(); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkDependencies checks the jobs that a submission waits for and drops repeated names.
func (s *Submission) checkDependencies() error {
	for _, ref := range s.Dependencies {
		if !ValidJobID(ref) {
			return malformed("awaits names %q, which is no job id", ref)
		}
		if ref == s.JobID {
			return malformed("awaits names the job itself")
		}
	}
	slices.Sort(s.Dependencies)
	s.Dependencies = slices.Compact(s.Dependencies)
	return nil
}

// JobStatus is what users are told of a job.
//
//easyjson:json
type JobStatus struct {
	JobID        string `json:"ref"`
	Phase        string `json:"phase"`
	DoneTasks    int    `json:"done"`
	RunningTasks int    `json:"running"`
}

// Phases of a job, as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// States of a task on a worker, and why it exited.
const (
	TaskFetching       = "fetching"
	TaskWaitingForGang = "gathering"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "exited"
	CauseDone          = "done"
	CauseError         = "error"
	// CauseGangTimeout: a gang's task waited too long for the others.
	CauseGangTimeout = "incomplete"
	CauseNoCapacity  = "no_room"
	CauseUnknownJob  = "no_such"
	CauseBusy        = "busy"
	MachineFailed    = "failed"
)

// TaskStatus is a task as its worker reports it.
//
//easyjson:json
type TaskStatus struct {
	Task         string `json:"shard"`
	Attempt      uint64 `json:"try"`
	Phase        string `json:"phase"`
	Cause        string `json:"cause"`
	Checkpointed bool   `json:"kept"`
}

// Heartbeat is a worker's own account of its machine.
//
//easyjson:json
type Heartbeat struct {
	Host              string       `json:"host"`
	Address           string       `json:"address"`
	Type              string       `json:"flavour"`
	Zone              string       `json:"hall"`
	Spot              bool         `json:"loaner"`
	AgentEpoch        uint64       `json:"tenure"`
	Sequence          uint64       `json:"tick"`
	FencingToken      uint64       `json:"baton"`
	PreemptionNoticeS *float64     `json:"warningS"`
	Tasks             []TaskStatus `json:"shards"`
}

// ParseHeartbeat checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := r.UnmarshalJSON(body); err != nil {
		return nil, malformed("%v", err)
	}
	if r.Host == "" || len(r.Host) > 100 || strings.ContainsAny(r.Host, " /") || r.AgentEpoch == 0 {
		return nil, malformed("host or tenure")
	}
	return &r, nil
}

// Command is one order to a worker.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shard"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// StartCommand is the command that begins an attempt of a task.
func StartCommand(task string, try uint64) Command {
	return Command{Verb: "start", Task: task, Attempt: try}
}

// StopCommand is the command that ends a task's attempt within a grace period.
func StopCommand(task string, try uint64, grace time.Duration) Command {
	g := grace.Seconds()
	return Command{Verb: "stop", Task: task, Attempt: try, GraceS: &g}
}

// ReapCommand is the command that removes an exited task from the worker's memory.
func ReapCommand(task string, try uint64) Command {
	return Command{Verb: "reap", Task: task, Attempt: try}
}

// HeartbeatResponse answers a report.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is the body of a call of /commands.
//
//easyjson:json
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// Redirect tells a worker which node to report to.
type Redirect struct {
	Node string `json:"steward,omitempty"`
}

// MachineType is a kind of machine the cloud rents.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"cards"`
	MemoryGB      float64  `json:"memGb"`
	ImageCacheGB  float64  `json:"cacheGb"`
	ImagePullGBps float64  `json:"pullGbPerS"`
	Price         float64  `json:"hourly"`
	SpotPrice     float64  `json:"marketPrice"`
	BootS         float64  `json:"bootS"`
	Zones         []string `json:"halls"`
}

// BootTime is the nominal time from the rental to the first report.
func (t *MachineType) BootTime() time.Duration { return Seconds(t.BootS) }

// MachineTypes is the cloud's list of types.
type MachineTypes struct {
	Types []MachineType `json:"flavours"`
}

// ProvisionRequest is a rental request; its name is never used again.
type ProvisionRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"flavour"`
	Zone  string `json:"hall"`
	Spot  bool   `json:"loaner"`
	Count int    `json:"howMany"`
}

// HostList lists machines, as a rental's answer and as a return's body.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Host    string  `json:"ref"`
	Address string  `json:"address"`
	Type    string  `json:"flavour"`
	Zone    string  `json:"hall"`
	Spot    bool    `json:"loaner"`
	Phase   string  `json:"phase"`
	AgeS    float64 `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Hosts     []ListedMachine `json:"hosts"`
	Truncated bool            `json:"truncated"`
}

// TaskName is how workers name a task: the job's id and the task's number.
func TaskName(ref string, task int) string { return ref + "/" + strconv.Itoa(task) }

// ParseTaskName undoes TaskName.
func ParseTaskName(name string) (ref string, task int, ok bool) {
	ref, num, found := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	return ref, n, found && err == nil && n >= 0 && ValidJobID(ref)
}
