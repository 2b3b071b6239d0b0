package replica

import (
	"testing"
	"time"

	"madderslip/internal/protocol"
)

// TestAnsweredStartIsConfirmedByLaterHeartbeat guards against a placement that counts as gone while the
// answer with its start is on its way.
func TestAnsweredStartIsConfirmedByLaterHeartbeat(t *testing.T) {
	now := time.Now()
	answered := &protocol.Heartbeat{AgentEpoch: 2, Sequence: 7, FencingToken: 10}
	for _, test := range []struct {
		name      string
		message   protocol.Heartbeat
		confirm   func(*CommandQueue, *protocol.Heartbeat)
		confirmed bool
	}{
		{"the same heartbeat once more", *answered, (*CommandQueue).ForgetAnswered, false},
		{"an earlier heartbeat", protocol.Heartbeat{AgentEpoch: 2, Sequence: 6, FencingToken: 10}, (*CommandQueue).ForgetAnswered, false},
		{"a heartbeat of an earlier epoch", protocol.Heartbeat{AgentEpoch: 1, Sequence: 90, FencingToken: 10}, (*CommandQueue).ForgetAnswered, false},
		{"the next heartbeat", protocol.Heartbeat{AgentEpoch: 2, Sequence: 8, FencingToken: 10}, (*CommandQueue).ForgetAnswered, true},
		{"a reply to a direct call", protocol.Heartbeat{AgentEpoch: 2, Sequence: 8, FencingToken: 10}, (*CommandQueue).ForgetRefused, false},
		{"a reply under a higher token", protocol.Heartbeat{AgentEpoch: 2, Sequence: 8, FencingToken: 11}, (*CommandQueue).ForgetRefused, true},
		{"a reply of a later epoch", protocol.Heartbeat{AgentEpoch: 3, Sequence: 1, FencingToken: 10}, (*CommandQueue).ForgetRefused, true},
	} {
		machine := &Machine{}
		machine.Commands.RecordAnsweredStarts([]protocol.Command{protocol.StartCommand("wk-1/0", 1)}, 10, answered, now)
		test.confirm(&machine.Commands, &test.message)
		if machine.HasUnconfirmedStart("wk-1/0", 1) == test.confirmed {
			t.Errorf("%s: confirmed %v", test.name, !test.confirmed)
		}
	}
}

// TestStartBecomesOverdue guards against tokens raised for starts whose outcome the next heartbeat shows.
func TestStartBecomesOverdue(t *testing.T) {
	now := time.Now()
	var queue CommandQueue
	queue.RecordAnsweredStarts([]protocol.Command{protocol.StartCommand("wk-1/0", 1)}, 10, &protocol.Heartbeat{AgentEpoch: 1, Sequence: 1}, now)
	if queue.HasOverdueStart(now.Add(answerTimeout)) || !queue.HasOverdueStart(now.Add(answerTimeout+time.Millisecond)) {
		t.Error("a start is not overdue exactly once the agent drops its answer")
	}
}

// TestOneHeartbeatRequestIsOutstanding guards against requests that pile up on a machine.
func TestOneHeartbeatRequestIsOutstanding(t *testing.T) {
	now := time.Now()
	request := HeartbeatRequest{Listed: 4}
	first, sent := request.Next(now)
	_, again := request.Next(now.Add(heartbeatRequestInterval))
	repeated, late := request.Next(now.Add(heartbeatRequestInterval + time.Millisecond))
	if first != 5 || !sent || again || repeated != first || !late {
		t.Errorf("attempt %d sent %v, at once again %v, later attempt %d sent %v", first, sent, again, repeated, late)
	}
	request.SentAt = time.Time{} // a heartbeat has followed
	if next, _ := request.Next(now.Add(time.Hour)); next != 6 {
		t.Errorf("attempt %d after a heartbeat, want 6", next)
	}
}
