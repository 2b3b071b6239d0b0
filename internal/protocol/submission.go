package protocol

import (
	"encoding/json"
	"slices"
	"time"
)

// Messages that arrive hundreds of times per second are decoded and encoded by generated
// code: decoding them by reflection took a quarter of the processor time.
//
//go:generate go tool easyjson -output_filename submission_easyjson.go submission.go

// Shape is the kind of a job's task group: array, gang or service.
type Shape string

// The shapes, with their names on the wire.
const (
	ShapeArray   Shape = "sweep"   // tasks are independent and run to completion
	ShapeGang    Shape = "group"   // tasks start and run all together or not at all
	ShapeService Shape = "service" // replicas run until the job is cancelled
)

// Bounds of a submission.
const (
	// MaxTasks is the largest number of tasks of one job.
	MaxTasks = 100_000

	// maxAmount bounds each amount, so that sums of amounts and amounts of seconds as
	// Durations are far from overflow.
	maxAmount       = 1e9
	maxNameBytes    = 200
	maxMachineTypes = 64
)

// Submission is the description of a job that a user sends to a controller. Amounts are per
// task.
//
//easyjson:json
type Submission struct {
	JobID               string   `json:"ref"` // chosen by the user; a submission with a known id is a retry
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Shape               Shape    `json:"shape"`
	PriorityClass       string   `json:"rank"`   // name of the priority class, one of those that ParsePriority accepts
	Tasks               int      `json:"shards"` // the number of tasks
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memGb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"sizeGb"`
	MachineTypes        []string `json:"flavours,omitempty"` // machine types on which the job may run; empty: any type
	Zone                string   `json:"hall,omitempty"`     // zone in which the job must run; empty: any zone
	SameZone            bool     `json:"samePlace,omitempty"`
	SpreadZones         bool     `json:"spread,omitempty"`
	AllowSpot           bool     `json:"loaner,omitempty"`
	RunEstimateS        float64  `json:"expectS"`                  // see RunEstimate
	CheckpointIntervalS float64  `json:"snapshotEveryS,omitempty"` // see CheckpointInterval
	CheckpointS         float64  `json:"snapshotS,omitempty"`      // see CheckpointDuration
	DeadlineS           *float64 `json:"dueS,omitempty"`           // see Deadline
	// Dependencies are the ids of the jobs that must be done before a task of this job
	// starts. ParseSubmission sorts them and removes duplicates. A job's record holds its
	// dependencies separately from its description.
	Dependencies []string `json:"awaits,omitempty"`
}

// requiredKeys are the keys of a submission that may be neither missing nor null.
var requiredKeys = []string{
	"ref",
	"jobclass",
	"owner",
	"shape",
	"rank",
	"shards",
	"cpus",
	"cards",
	"memGb",
	"bundle",
	"sizeGb",
	"samePlace",
	"spread",
	"loaner",
	"expectS",
	"snapshotEveryS",
	"snapshotS",
}

// priorityClasses are the priority classes by their names on the wire, the lowest first.
var priorityClasses = []string{"idle", "normal", "high", "critical"}

// ParsePriority returns the priority of a priority class, and reports whether the class is
// known. The lowest priority is 0; jobs of higher priority go first.
func ParsePriority(class string) (int, bool) {
	priority := slices.Index(priorityClasses, class)
	return max(0, priority), priority >= 0
}

// PriorityClassOf returns the priority class of a priority, or the nearest class if the
// priority is out of range.
func PriorityClassOf(priority int) string {
	return priorityClasses[min(max(0, priority), len(priorityClasses)-1)]
}

// RunEstimate returns the user's estimate of a task's run time.
func (s *Submission) RunEstimate() time.Duration { return Seconds(s.RunEstimateS) }

// CheckpointInterval returns the progress between two checkpoints of a task, as run time; 0
// means that tasks save no checkpoints.
func (s *Submission) CheckpointInterval() time.Duration { return Seconds(s.CheckpointIntervalS) }

// CheckpointDuration returns the time that a stopped task needs to save a checkpoint.
func (s *Submission) CheckpointDuration() time.Duration { return Seconds(s.CheckpointS) }

// Deadline returns the time from the submission to the deadline; 0 means none.
func (s *Submission) Deadline() time.Duration { return Seconds(s.deadlineS()) }

// deadlineS returns the deadline in seconds; 0 means none.
func (s *Submission) deadlineS() float64 {
	if s.DeadlineS == nil {
		return 0
	}
	return *s.DeadlineS
}

// Priority returns the priority of a validated submission.
func (s *Submission) Priority() int {
	priority, _ := ParsePriority(s.PriorityClass)
	return priority
}

// ParseSubmission decodes a submission and validates its form: keys, values and ranges, but
// not whether the team or the machine types exist. Errors wrap ErrMalformed and name the key
// of the first invalid value as on the wire.
func ParseSubmission(body []byte) (*Submission, error) {
	if err := checkRequiredKeys(body); err != nil {
		return nil, err
	}
	var s Submission
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, malformed("%v", err)
	}
	if _, ok := ParsePriority(s.PriorityClass); !ok {
		return nil, malformed("rank")
	}
	for _, check := range []func() error{s.checkAmounts, s.checkForm, s.checkMachineTypes, s.checkDependencies} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return &s, nil
}

// checkRequiredKeys checks that a body is an object with all required keys. Without this
// check a job whose samePlace is missing, for example, would run in zones that its user did
// not want.
func checkRequiredKeys(body []byte) error {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(body, &present); err != nil || present == nil {
		return malformed("not a JSON object")
	}
	for _, key := range requiredKeys {
		if value, ok := present[key]; !ok || string(value) == "null" {
			return malformed("%s is missing", key)
		}
	}
	return nil
}

// checkAmounts checks that no amount is negative, infinite, or above maxAmount.
func (s *Submission) checkAmounts() error {
	amounts := []struct {
		key   string
		value float64
	}{
		{"cpus", s.CPUs},
		{"cards", s.GPUs},
		{"memGb", s.MemoryGB},
		{"sizeGb", s.ImageGB},
		{"expectS", s.RunEstimateS},
		{"snapshotEveryS", s.CheckpointIntervalS},
		{"snapshotS", s.CheckpointS},
		{"dueS", s.deadlineS()},
	}
	for _, amount := range amounts {
		// NaN fails both comparisons, an infinity fails one of them.
		if !(amount.value >= 0 && amount.value <= maxAmount) {
			return malformed("%s is out of range", amount.key)
		}
	}
	return nil
}

// checkForm checks the job id, the shape (array, gang or service), the number of tasks, and
// the lengths of names and of the list of machine types.
func (s *Submission) checkForm() error {
	switch {
	case !ValidJobID(s.JobID):
		return malformed("ref")
	case s.Shape != ShapeArray && s.Shape != ShapeGang && s.Shape != ShapeService:
		return malformed("shape")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return malformed("shards is out of range")
	case !validName(s.Class) || !validName(s.Team):
		return malformed("jobclass or owner")
	case !validName(s.Image) || len(s.Zone) > maxNameBytes || len(s.MachineTypes) > maxMachineTypes:
		return malformed("bundle, hall or flavours")
	}
	return nil
}

// checkMachineTypes checks the names of the machine types on which the job may run.
func (s *Submission) checkMachineTypes() error {
	for _, machineType := range s.MachineTypes {
		if !validName(machineType) {
			return malformed("flavours")
		}
	}
	return nil
}

// validName reports whether a name is not empty and at most maxNameBytes long.
func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkDependencies checks the ids of the jobs that a submission depends on, sorts them and
// removes duplicates.
func (s *Submission) checkDependencies() error {
	for _, jobID := range s.Dependencies {
		if !ValidJobID(jobID) {
			return malformed("awaits names %q, which is no job id", jobID)
		}
		if jobID == s.JobID {
			return malformed("awaits names the job itself")
		}
	}
	slices.Sort(s.Dependencies)
	s.Dependencies = slices.Compact(s.Dependencies)
	return nil
}
