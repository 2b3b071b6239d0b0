package controller

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// recordingHTTP keeps the command requests that are sent directly, and reaches no agent.
type recordingHTTP struct {
	requests []protocol.CommandRequest
}

func (h *recordingHTTP) Do(_ context.Context, _, _, _ string, body []byte) (int, []byte, error) {
	var request protocol.CommandRequest
	if json.Unmarshal(body, &request) == nil {
		h.requests = append(h.requests, request)
	}
	return 0, nil, errors.New("no route")
}

// begins reports whether a request has a start of a task of a job that can exist.
func begins(request protocol.CommandRequest) bool {
	return slices.ContainsFunc(request.Commands, func(command protocol.Command) bool {
		_, _, isTask := protocol.ParseTaskName(command.Task)
		return command.Verb == protocol.VerbStart && isTask
	})
}

// answerTo returns the answer to a heartbeat.
func answerTo(t *testing.T, controller *Controller, heartbeat *protocol.Heartbeat) protocol.HeartbeatResponse {
	t.Helper()
	var answer protocol.HeartbeatResponse
	if response := controller.respondToHeartbeat(heartbeat); response.Status != 200 || json.Unmarshal(response.Body, &answer) != nil {
		t.Fatalf("status %d", response.Status)
	}
	return answer
}

// inFleetWithLostTask runs a test with a machine and one of the tasks that are placed there, which the
// machine does not show. lost returns a heartbeat that lists the machine's other tasks alone.
func inFleetWithLostTask(t *testing.T, test func(controller *Controller, machine *replica.Machine, slot *replica.Slot, lost func(sequence uint64) *protocol.Heartbeat)) {
	t.Helper()
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		controller.httpClient = unreachableHTTP{}
		machine := controller.view.Shards["n0"].Machines[0]
		name := heartbeatOf(machine, 88).Tasks[0].Task
		test(controller, machine, machine.Use.Slots[name], func(sequence uint64) *protocol.Heartbeat {
			heartbeat := heartbeatOf(machine, sequence)
			heartbeat.Tasks = slices.DeleteFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool { return status.Task == name })
			return heartbeat
		})
	})
}

// TestStartsAreSentOnlyInAnswers guards against direct starts, which a copy would execute again on a machine that has restarted.
func TestStartsAreSentOnlyInAnswers(t *testing.T) {
	inFleetWithLostTask(t, func(controller *Controller, machine *replica.Machine, slot *replica.Slot, lost func(uint64) *protocol.Heartbeat) {
		calls := &recordingHTTP{}
		controller.httpClient = calls
		shard := controller.view.Shards["n0"]
		controller.observeHeartbeat(machine, lost(88))
		controller.runPass(time.Now())
		controller.mu.Unlock()
		synctest.Wait()
		controller.mu.Lock()
		if len(calls.requests) != 1 || slices.ContainsFunc(calls.requests, begins) || !calls.requests[0].Commands[0].IsHeartbeatRequest() {
			t.Errorf("sent directly: %v", calls.requests)
		}
		want := []protocol.Command{protocol.StartCommand(slot.TaskName, slot.Attempt)}
		if answer := answerTo(t, controller, lost(89)); !reflect.DeepEqual(answer.Commands, want) || answer.FencingToken != machine.CommandToken(shard) {
			t.Errorf("answered %v, want %v", answer, want)
		}
		if !machine.HasUnconfirmedStart(slot.TaskName, slot.Attempt) {
			t.Error("the outcome of the start counts as known")
		}
		controller.observeHeartbeat(machine, lost(90)) // a reply to a direct call
		if !machine.HasUnconfirmedStart(slot.TaskName, slot.Attempt) {
			t.Error("a reply to a direct call counts as the next heartbeat")
		}
	})
}

// TestAnswersWithoutStarts guards against starts that were right when a heartbeat was requested and are not when it is answered.
func TestAnswersWithoutStarts(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(controller *Controller, machine *replica.Machine, slot *replica.Slot)
		message func(lost func(uint64) *protocol.Heartbeat) *protocol.Heartbeat
	}{
		{"nothing, so that the start is due", nil, nil},
		{"a copy of the heartbeat answered last", nil, func(lost func(uint64) *protocol.Heartbeat) *protocol.Heartbeat { return lost(88) }},
		{"an earlier heartbeat", nil, func(lost func(uint64) *protocol.Heartbeat) *protocol.Heartbeat { return lost(86) }},
		{"the first heartbeat after a restart", nil, func(lost func(uint64) *protocol.Heartbeat) *protocol.Heartbeat {
			heartbeat := lost(1)
			heartbeat.FencingToken, heartbeat.Tasks = 0, nil
			return heartbeat
		}},
		{"a change of the claim is being committed", func(controller *Controller, _ *replica.Machine, slot *replica.Slot) {
			controller.view.SetPending(slot.Claim, slot.Claim.Record.Clone())
		}, nil},
		{"the job is cancelled", func(controller *Controller, _ *replica.Machine, slot *replica.Slot) {
			job := *controller.view.Jobs[slot.Claim.JobID].Record
			job.State = protocol.JobCancelled
			controller.view.Apply(records.JobPrefix+slot.Claim.JobID, &job, 900)
		}, nil},
		{"the shard has a later token", func(controller *Controller, _ *replica.Machine, _ *replica.Slot) {
			controller.view.Shards["n0"].FencingToken = 900
		}, nil},
		{"the machine is being returned", func(_ *Controller, machine *replica.Machine, _ *replica.Slot) {
			machine.Record.State = records.MachineReturning
		}, nil},
	} {
		inFleetWithLostTask(t, func(controller *Controller, machine *replica.Machine, slot *replica.Slot, lost func(uint64) *protocol.Heartbeat) {
			answerTo(t, controller, heartbeatOf(machine, 88))
			controller.observeHeartbeat(machine, lost(89)) // a reply to a direct call, which does not list the task
			if test.prepare != nil {
				test.prepare(controller, machine, slot)
			}
			heartbeat := lost(90)
			if test.message != nil {
				heartbeat = test.message(lost)
			}
			var answer protocol.HeartbeatResponse
			_ = json.Unmarshal(controller.respondToHeartbeat(heartbeat).Body, &answer)
			isDue := test.prepare == nil && test.message == nil
			starts := slices.ContainsFunc(answer.Commands, func(command protocol.Command) bool { return command.Verb == protocol.VerbStart })
			if starts != isDue {
				t.Errorf("%s: answered %v", test.name, answer.Commands)
			}
		})
	}
}

// TestReapKeepsToken guards against reaps under a raised token, which would refuse the stops of a call in progress.
func TestReapKeepsToken(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		shard := controller.view.Shards["n0"]
		machine := shard.Machines[0]
		before := machine.CommandToken(shard)
		heartbeat := heartbeatOf(machine, 88)
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: "wk-77/0", Attempt: 1, Phase: protocol.TaskExited, Cause: protocol.CauseDone})
		machine.Commands.Sending = true
		answer := answerTo(t, controller, heartbeat)
		if want := []protocol.Command{protocol.ReapCommand("wk-77/0", 1)}; !reflect.DeepEqual(answer.Commands, want) || answer.FencingToken != before {
			t.Errorf("answered %v under token %d, want %v under %d", answer.Commands, answer.FencingToken, want, before)
		}
	})
}

// TestHeartbeatRequestLeavesNoTrace guards against refused requests that count as tasks or stay listed.
func TestHeartbeatRequestLeavesNoTrace(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		machine := controller.view.Shards["n0"].Machines[0]
		heartbeat := heartbeatOf(machine, 88)
		tasks := len(heartbeat.Tasks)
		request := protocol.RequestHeartbeatCommand(3)
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: request.Task, Attempt: request.Attempt, Phase: protocol.TaskExited, Cause: protocol.CauseUnknownJob})
		answer := answerTo(t, controller, heartbeat)
		if want := []protocol.Command{protocol.ReapHeartbeatRequestCommand(3)}; !reflect.DeepEqual(answer.Commands, want) {
			t.Errorf("answered %v, want %v", answer.Commands, want)
		}
		if len(machine.Agent.Tasks) != tasks || machine.Agent.Tasks[request.Task] != nil {
			t.Errorf("%d tasks are recorded of %d", len(machine.Agent.Tasks), tasks)
		}
	})
}
