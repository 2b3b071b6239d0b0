package protocol

import (
	"encoding/json"
	"slices"
	"time"
)

// Messages that come by the hundred a second are read and written by generated
// code: reading them by reflection took a quarter of the processor time.
//
//go:generate go tool easyjson -output_filename submission_easyjson.go submission.go

// Shape says how a job's tasks belong together.
type Shape string

// The shapes, spelled as on the wire.
const (
	ShapeArray   Shape = "sweep"   // tasks are independent and end by themselves
	ShapeGang    Shape = "group"   // tasks start, and run, all together or not at all
	ShapeService Shape = "service" // replicas run until the job is cancelled
)

// Bounds of a submission.
const (
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 100_000

	// maxAmount keeps sums of amounts, and Durations of seconds, far from overflow.
	maxAmount       = 1e9
	maxNameBytes    = 200
	maxMachineTypes = 64
)

// Submission is a job as users send it to a controller. Amounts are those of one task.
//
//easyjson:json
type Submission struct {
	JobID               string   `json:"ref"` // the user's; a repeated one is the same job
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Shape               Shape    `json:"shape"`
	PriorityClass       string   `json:"rank"`   // see ParsePriority
	Tasks               int      `json:"shards"` // how many
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memGb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"sizeGb"`
	MachineTypes        []string `json:"flavours,omitempty"` // that will do; empty: any
	Zone                string   `json:"hall,omitempty"`     // where it must run; empty: anywhere
	SameZone            bool     `json:"samePlace,omitempty"`
	SpreadZones         bool     `json:"spread,omitempty"`
	AllowSpot           bool     `json:"loaner,omitempty"`
	RunEstimateS        float64  `json:"expectS"`                  // see RunEstimate
	CheckpointIntervalS float64  `json:"snapshotEveryS,omitempty"` // see CheckpointInterval
	CheckpointS         float64  `json:"snapshotS,omitempty"`      // see CheckpointDuration
	DeadlineS           *float64 `json:"dueS,omitempty"`           // see Deadline
	// Dependencies names the jobs that must be done before a task of this one starts. They
	// are checked, in order and without duplicates; a job's record keeps them apart from
	// the description.
	Dependencies []string `json:"awaits,omitempty"`
}

// requiredKeys are the keys of a submission that may be neither left out nor null.
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

// priorityClasses are spelled as on the wire, the lowest first.
var priorityClasses = []string{"idle", "normal", "high", "critical"}

// ParsePriority returns the priority of a class: from 0, higher goes first. It reports
// whether the class is known.
func ParsePriority(class string) (int, bool) {
	priority := slices.Index(priorityClasses, class)
	return max(0, priority), priority >= 0
}

// PriorityClassOf is the class of a priority; one out of range gives the nearest.
func PriorityClassOf(priority int) string {
	return priorityClasses[min(max(0, priority), len(priorityClasses)-1)]
}

// RunEstimate is the user's estimate of a task's run time.
func (s *Submission) RunEstimate() time.Duration { return Seconds(s.RunEstimateS) }

// CheckpointInterval is the progress between checkpoints; 0: it never saves.
func (s *Submission) CheckpointInterval() time.Duration { return Seconds(s.CheckpointIntervalS) }

// CheckpointDuration is the time a stopped task needs to save.
func (s *Submission) CheckpointDuration() time.Duration { return Seconds(s.CheckpointS) }

// Deadline is the time from the submission to the deadline; 0 means none.
func (s *Submission) Deadline() time.Duration { return Seconds(s.deadlineS()) }

// deadlineS is the deadline in seconds; 0 means none.
func (s *Submission) deadlineS() float64 {
	if s.DeadlineS == nil {
		return 0
	}
	return *s.DeadlineS
}

// Priority is the priority of a checked submission.
func (s *Submission) Priority() int {
	priority, _ := ParsePriority(s.PriorityClass)
	return priority
}

// ParseSubmission reads and checks a submission's form: keys, spellings and ranges, not
// whether the team or the machine types exist. Errors wrap ErrMalformed and name the first
// fault, in the wire's words.
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

// checkRequiredKeys checks that a body is an object with all required keys: a job that
// lacks samePlace would run where its user did not want it.
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
		// A NaN fails both comparisons, an infinity one of them.
		if !(amount.value >= 0 && amount.value <= maxAmount) {
			return malformed("%s is out of range", amount.key)
		}
	}
	return nil
}

// checkForm checks the id, the shape, the number of tasks and the names.
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

// checkMachineTypes checks the names of the machine types that will do.
func (s *Submission) checkMachineTypes() error {
	for _, machineType := range s.MachineTypes {
		if !validName(machineType) {
			return malformed("flavours")
		}
	}
	return nil
}

// validName reports whether a name is there and no longer than maxNameBytes.
func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkDependencies checks the jobs that a submission waits for, orders them and drops
// repeated ones.
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
