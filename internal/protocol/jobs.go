package protocol

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

//go:generate go tool easyjson -output_filename jobs_easyjson.go jobs.go

// JobStatus is sent by controllers to users, in answer to a submission, a query or a
// cancellation.
//
//easyjson:json
type JobStatus struct {
	JobID        string `json:"ref"`
	Phase        string `json:"phase"`   // JobPending and the like
	DoneTasks    int    `json:"done"`    // tasks that are done for good
	RunningTasks int    `json:"running"` // tasks that run now
}

// Phases of a job, as users see them.
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

// ValidJobID reports whether a job id has the form that users give ids: "wk-" and
// digits, 40 bytes at most.
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

// ParseJobID reads only the id of a submission, so that a known job is recognised
// whatever else its retry holds. Errors wrap ErrMalformed.
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

// TaskName is how workers name a task: the job's id and the task's number, from 0.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// ParseTaskName undoes TaskName; ok reports whether the name has its form.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, digits, found := strings.Cut(name, "/")
	task, err := strconv.Atoi(digits)
	return jobID, task, found && err == nil && task >= 0 && ValidJobID(jobID)
}
