package protocol

import (
	"slices"
	"strings"
	"time"
)

//go:generate go tool easyjson -output_filename agents_easyjson.go agents.go

// Phases of a task on a worker.
const (
	TaskFetching       = "fetching"  // the worker pulls the container image
	TaskWaitingForGang = "gathering" // the other tasks of its gang have not all started
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing" // the task was stopped and saves a checkpoint
	TaskExited         = "exited"   // the task has ended; the worker keeps its status in memory until a reap command
)

// Causes of a task's exit.
const (
	CauseDone        = "done"
	CauseError       = "error"
	CauseGangTimeout = "incomplete" // the other tasks of the gang did not start in time
	CauseNoCapacity  = "no_room"    // the machine lacks capacity for the task
	CauseUnknownJob  = "no_such"    // the worker has no such job or task
	CauseBusy        = "busy"
)

// TaskStatus is the status of one task in a worker's Heartbeat.
//
//easyjson:json
type TaskStatus struct {
	Task         string `json:"shard"` // see TaskName
	Attempt      uint64 `json:"try"`
	Phase        string `json:"phase"` // one of TaskFetching to TaskExited
	Cause        string `json:"cause"` // cause of the task's exit; empty before the exit
	Checkpointed bool   `json:"kept"`  // the task saved a checkpoint when it was stopped
}

// Heartbeat is sent by a worker's agent to the controller that owns the machine, about
// every WorkerSettings.HeartbeatInterval, and in response to a CommandRequest or to a probe
// at PathStatus.
//
//easyjson:json
type Heartbeat struct {
	Host         string `json:"host"`
	Address      string `json:"address"` // IP address and port of the agent
	Type         string `json:"flavour"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"loaner"`
	AgentEpoch   uint64 `json:"tenure"` // increases when the agent's lease expires, 1 after a restart; never 0
	Sequence     uint64 `json:"tick"`   // increases with each heartbeat within an agent epoch
	FencingToken uint64 `json:"baton"`  // the highest fencing token that the agent has received
	// PreemptionNoticeS is the time in seconds until the cloud preempts a spot machine; nil
	// if the cloud has given no notice.
	PreemptionNoticeS *float64     `json:"warningS"`
	Tasks             []TaskStatus `json:"shards"`
}

// maxHostBytes is the longest host name; host names are part of record keys.
const maxHostBytes = 100

// ParseHeartbeat decodes and validates a worker's heartbeat. Errors wrap ErrMalformed.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := heartbeat.UnmarshalJSON(body); err != nil {
		return nil, malformed("%v", err)
	}
	if !validHost(heartbeat.Host) || heartbeat.AgentEpoch == 0 {
		return nil, malformed("host or tenure")
	}
	return &heartbeat, nil
}

// validHost reports whether a host name can be part of a record key.
func validHost(host string) bool {
	return host != "" && len(host) <= maxHostBytes && !strings.ContainsAny(host, " /")
}

// Verbs of a Command.
const (
	VerbStart = "start" // begin an attempt of a task
	VerbStop  = "stop"  // end an attempt within a grace period
	VerbReap  = "reap"  // remove an exited task from the worker's memory
)

// Command is a controller's command to a worker, sent in a HeartbeatResponse or a
// CommandRequest.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`  // VerbStart, VerbStop or VerbReap
	Task    string   `json:"shard"` // see TaskName
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"` // seconds until a stopped task is killed; set for VerbStop only
}

// StartCommand returns the command that begins an attempt of a task.
func StartCommand(task string, attempt uint64) Command {
	return Command{Verb: VerbStart, Task: task, Attempt: attempt}
}

// StopCommand returns the command that ends an attempt of a task within a grace period.
func StopCommand(task string, attempt uint64, grace time.Duration) Command {
	graceS := grace.Seconds()
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// ReapCommand returns the command that removes an exited task from the worker's memory.
func ReapCommand(task string, attempt uint64) Command {
	return Command{Verb: VerbReap, Task: task, Attempt: attempt}
}

// heartbeatRequestTask is the task of the command that RequestHeartbeatCommand returns. Its job
// cannot be submitted, since the job's id does not have the form of a job id.
const heartbeatRequestTask = "wk-heartbeat/0"

// RequestHeartbeatCommand returns a command that begins nothing and makes a worker send its next
// heartbeat at once: the start of a task of a job that cannot exist. The worker refuses it, and
// reports the refused attempt as a change of its tasks. The attempt must differ from the one
// that the worker lists, or nothing changes.
func RequestHeartbeatCommand(attempt uint64) Command {
	return StartCommand(heartbeatRequestTask, attempt)
}

// ReapHeartbeatRequestCommand returns the command that removes the refused attempt of a
// RequestHeartbeatCommand from the worker's memory.
func ReapHeartbeatRequestCommand(attempt uint64) Command {
	return ReapCommand(heartbeatRequestTask, attempt)
}

// IsHeartbeatRequest reports whether a command is a RequestHeartbeatCommand.
func (c *Command) IsHeartbeatRequest() bool {
	return c.Verb == VerbStart && c.Task == heartbeatRequestTask
}

// TakeHeartbeatRequest removes the refused attempt of a RequestHeartbeatCommand from the tasks of
// a heartbeat and returns the attempt, or 0 if the heartbeat lists none.
func (h *Heartbeat) TakeHeartbeatRequest() uint64 {
	index := slices.IndexFunc(h.Tasks, func(status TaskStatus) bool { return status.Task == heartbeatRequestTask })
	if index < 0 {
		return 0
	}
	attempt := h.Tasks[index].Attempt
	h.Tasks = slices.Delete(h.Tasks, index, index+1)
	return attempt
}

// HeartbeatResponse is sent by a controller to a worker in response to a Heartbeat. It
// renews the worker's lease and carries commands.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is sent by a controller to a worker at PathCommands, when commands can't
// wait for the next heartbeat. The worker responds with a Heartbeat.
//
//easyjson:json
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"` // epoch of the agent for which the commands are meant
	Commands     []Command `json:"orders"`
}

// Redirect is sent by a controller to a worker with HTTP status 421. It names the controller
// to which the worker's heartbeats should go instead. If Node is empty, the worker tries the
// next controller.
type Redirect struct {
	Node string `json:"steward,omitempty"`
}
