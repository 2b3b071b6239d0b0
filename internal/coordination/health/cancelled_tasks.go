package health

import "time"

// CancelledTask is what the owner of a machine's shard knows of a task there whose job is
// cancelled and which may still run.
//
// The limit that its methods take is the longest time that a task may run after its user
// has been told of the cancellation.
type CancelledTask struct {
	Age      time.Duration // since the user was told of the cancellation
	Silent   bool          // the machine is silent and did not answer a probe
	Heard    bool          // the machine was heard since the owner began to act for it
	OwnedFor time.Duration // since the owner began to act for the machine
}

// Escalation returns the age from which the limit leaves no time to wait for anything.
func Escalation(limit time.Duration) time.Duration { return limit * 7 / 10 }

// stopGrace returns the age up to which a machine that is heard may still stop the task by
// itself.
func stopGrace(limit time.Duration) time.Duration { return limit * 2 / 5 }

// outageRecordDeadline returns the age from which a machine is returned without a record
// while the state service accepts none.
func outageRecordDeadline(limit time.Duration) time.Duration { return limit / 2 }

// slowRecordDeadline returns the same age while the state service accepts records slowly.
func slowRecordDeadline(limit time.Duration) time.Duration { return limit * 3 / 4 }

// contactHeartbeats is how many heartbeat timeouts a machine has to be heard in by an owner
// that has just begun to act for it.
const contactHeartbeats = 2

// ShouldFence reports whether the machine has to be returned to keep the limit.
// heartbeatTimeout is the time within which every healthy machine is heard.
//
// After a restart or a takeover an owner finds cancellations that are old already, and has
// heard none of the machines. Most of them stop the task with their first heartbeat. They
// have two heartbeat timeouts for it, if the limit leaves as much, which prevents a new
// owner from fencing many machines at once with all that they run.
func (t CancelledTask) ShouldFence(limit, heartbeatTimeout time.Duration) bool {
	if t.Silent || t.Age > Escalation(limit) {
		return true
	}
	return t.Age > stopGrace(limit) && (t.Heard || t.OwnedFor > contactHeartbeats*heartbeatTimeout)
}

// ReturnUnrecorded reports whether the return of a machine that should be fenced must not
// wait for its record any longer. isStateDown tells that the state service accepts no record.
func (t CancelledTask) ReturnUnrecorded(limit time.Duration, stateDown bool) bool {
	if stateDown {
		return t.Age > outageRecordDeadline(limit)
	}
	return t.Age > slowRecordDeadline(limit)
}
