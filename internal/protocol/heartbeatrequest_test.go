package protocol

import "testing"

// TestHeartbeatRequestNamesNoJob guards against a request that begins a task that a user has submitted.
func TestHeartbeatRequestNamesNoJob(t *testing.T) {
	request := RequestHeartbeatCommand(7)
	if _, _, isTask := ParseTaskName(request.Task); isTask || !request.IsHeartbeatRequest() {
		t.Errorf("%v is a task of a job that can be submitted", request)
	}
	heartbeat := Heartbeat{Tasks: []TaskStatus{{Task: "wk-1/0", Attempt: 1}, {Task: request.Task, Attempt: 7}, {Task: "wk-1/1", Attempt: 1}}}
	if taken := heartbeat.TakeHeartbeatRequest(); taken != 7 || len(heartbeat.Tasks) != 2 || heartbeat.Tasks[1].Task != "wk-1/1" {
		t.Errorf("took attempt %d, left %v", taken, heartbeat.Tasks)
	}
	if taken := heartbeat.TakeHeartbeatRequest(); taken != 0 {
		t.Errorf("took attempt %d of a heartbeat without one", taken)
	}
}
