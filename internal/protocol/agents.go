package protocol

import (
	"strings"
	"time"
)

//go:generate go tool easyjson -output_filename agents_easyjson.go agents.go

// Phases of a task on a worker.
const (
	TaskFetching       = "fetching"  // its image is pulled
	TaskWaitingForGang = "gathering" // the other tasks of its gang have not all started
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing" // it was stopped and saves its progress
	TaskExited         = "exited"   // kept in the worker's memory until it is reaped
)

// Causes of a task's exit.
const (
	CauseDone        = "done"
	CauseError       = "error"
	CauseGangTimeout = "incomplete" // a gang's task waited too long for the others
	CauseNoCapacity  = "no_room"    // the machine could not hold it
	CauseUnknownJob  = "no_such"    // the worker knows no such job
	CauseBusy        = "busy"
)

// TaskStatus is a task as its worker reports it, in a Heartbeat to a controller.
//
//easyjson:json
type TaskStatus struct {
	Task         string `json:"shard"` // see TaskName
	Attempt      uint64 `json:"try"`
	Phase        string `json:"phase"` // TaskFetching and the like
	Cause        string `json:"cause"` // of the exit; empty before
	Checkpointed bool   `json:"kept"`  // it saved its progress as it stopped
}

// Heartbeat is sent by a worker's agent to the controller that owns its machine, every
// WorkerSettings.HeartbeatInterval or so, and in answer to a probe of PathStatus.
//
//easyjson:json
type Heartbeat struct {
	Host         string `json:"host"`
	Address      string `json:"address"` // of the agent, IP address and port
	Type         string `json:"flavour"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"loaner"`
	AgentEpoch   uint64 `json:"tenure"` // grows when the agent begins again; never 0
	Sequence     uint64 `json:"tick"`   // grows with each heartbeat of an epoch
	FencingToken uint64 `json:"baton"`  // the highest that the agent has seen
	// PreemptionNoticeS is the time left, in seconds, until the cloud takes a spot machine
	// back; absent without a notice.
	PreemptionNoticeS *float64     `json:"warningS"`
	Tasks             []TaskStatus `json:"shards"`
}

// maxHostBytes bounds a host's name, which is part of keys.
const maxHostBytes = 100

// ParseHeartbeat reads and checks a worker's heartbeat. Errors wrap ErrMalformed.
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

// validHost reports whether a host's name can be part of a key.
func validHost(host string) bool {
	return host != "" && len(host) <= maxHostBytes && !strings.ContainsAny(host, " /")
}

// Verbs of a Command.
const (
	VerbStart = "start" // begin an attempt of a task
	VerbStop  = "stop"  // end an attempt within a grace period
	VerbReap  = "reap"  // forget an exited task
)

// Command is one order of a controller to a worker, in a HeartbeatResponse or a
// CommandRequest.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`  // VerbStart, VerbStop or VerbReap
	Task    string   `json:"shard"` // see TaskName
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"` // seconds until a stopped task is killed; of VerbStop alone
}

// StartCommand is the command that begins an attempt of a task.
func StartCommand(task string, attempt uint64) Command {
	return Command{Verb: VerbStart, Task: task, Attempt: attempt}
}

// StopCommand is the command that ends a task's attempt within a grace period.
func StopCommand(task string, attempt uint64, grace time.Duration) Command {
	graceS := grace.Seconds()
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// ReapCommand is the command that removes an exited task from the worker's memory.
func ReapCommand(task string, attempt uint64) Command {
	return Command{Verb: VerbReap, Task: task, Attempt: attempt}
}

// HeartbeatResponse is sent by a controller to a worker in answer to a Heartbeat. It renews
// the worker's lease and carries what is to be done.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is sent by a controller to a worker at PathCommands, when commands
// can't wait for the next heartbeat. The worker answers with a Heartbeat.
//
//easyjson:json
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"` // that the commands are meant for
	Commands     []Command `json:"orders"`
}

// Redirect is sent by a controller to a worker with status 421: which controller to send
// heartbeats to instead. Without a node the worker tries the next one.
type Redirect struct {
	Node string `json:"steward,omitempty"`
}
