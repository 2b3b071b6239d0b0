package protocol

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

//go:generate go tool easyjson -output_filename jobs_easyjson.go jobs.go

// JobStatus is sent by controllers to users, in response to a submission, a status query or
// a cancellation.
//
//easyjson:json
type JobStatus struct {
	JobID        string `json:"ref"`
	Phase        string `json:"phase"`   // one of JobPending to JobCancelled
	DoneTasks    int    `json:"done"`    // tasks that have completed, which is final
	RunningTasks int    `json:"running"` // tasks that are running
}

// Phases of a job, as reported to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

const (
	jobIDPrefix   = "wk-"
	maxJobIDBytes = 40
)

// ValidJobID reports whether a job id has the required form: "wk-" and digits, 40 bytes at
// most.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || digits == "" || len(id) > maxJobIDBytes {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// ParseJobID decodes only the job id of a submission. A retry for a job that was accepted
// before is thereby recognised even if the rest of the submission is invalid. Errors wrap
// ErrMalformed.
func ParseJobID(body []byte) (string, error) {
	var message struct {
		JobID *string `json:"ref"`
	}
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return "", malformed("not an object")
	}
	if err := json.Unmarshal(body, &message); err != nil && message.JobID == nil {
		return "", malformed("not JSON")
	}
	if message.JobID == nil || !ValidJobID(*message.JobID) {
		return "", malformed("ref")
	}
	return *message.JobID, nil
}

// TaskName returns the name of a task in messages to and from workers: the job's id and the
// task's index, from 0.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// ParseTaskName parses a name that TaskName has returned; ok reports whether the name has
// that form.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, digits, found := strings.Cut(name, "/")
	task, err := strconv.Atoi(digits)
	return jobID, task, found && err == nil && task >= 0 && ValidJobID(jobID)
}
