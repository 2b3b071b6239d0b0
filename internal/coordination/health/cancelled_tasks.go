package health

import "time"

// CancelledTask describes a task whose job is cancelled and which may still run, as observed
// by the owner of the shard of the task's machine.
//
// The limit that its methods take is the longest time that a task may run after the
// cancellation was confirmed to the user.
type CancelledTask struct {
	Age        time.Duration // time since the cancellation was confirmed to the user
	Silent     bool          // the machine is silent while others are not, and did not answer a probe
	TokenShown bool          // the machine's newest heartbeat has the owner's fencing token
	OwnedFor   time.Duration // time since the owner began to act for the machine
	// Unanswered is set if the machine has not been in contact since the owner began to act for it
	// and did not answer a probe, while others of its zone are in contact.
	Unanswered bool
	SinceProbe time.Duration // time since the owner last probed the machine because of the task
}

// escalationAge returns the age of a cancellation from which a machine is fenced or returned
// without waiting any longer for the task to stop, so that the task ends before the age
// reaches limit.
func escalationAge(limit time.Duration) time.Duration { return limit * 7 / 10 }

// stopGrace returns the age of a cancellation up to which a machine in contact is given time
// to stop the task before it is fenced.
func stopGrace(limit time.Duration) time.Duration { return limit * 2 / 5 }

// outageRecordDeadline returns the age of a cancellation from which a machine is returned
// before the return is recorded, while the state service accepts no records.
func outageRecordDeadline(limit time.Duration) time.Duration { return limit / 2 }

// slowRecordDeadline returns the age of a cancellation from which a machine is returned before
// the return is recorded, while the state service accepts records, but slowly.
func slowRecordDeadline(limit time.Duration) time.Duration { return limit * 3 / 4 }

// contactTimeouts is the number of heartbeat timeouts within which a machine has to come
// into contact with an owner that has just begun to act for its shard.
const contactTimeouts = 2

// ShouldFence reports whether the machine has to be returned to keep the limit.
// heartbeatTimeout is the time within which a heartbeat arrives from every healthy machine.
//
// After a restart or a takeover an owner may find old cancellations before any machine has
// come into contact. Most machines stop the task upon their first heartbeat, so each is
// given two heartbeat timeouts if the limit leaves that time. This prevents a new owner from
// fencing many machines at once, with all tasks that run there. A machine that does not answer a
// probe while others do gets no more time: the owner may end before the limit leaves none, and
// its successors as well.
func (t CancelledTask) ShouldFence(limit, heartbeatTimeout time.Duration) bool {
	if t.Silent || t.Age > escalationAge(limit) {
		return true
	}
	hadTime := t.TokenShown || t.Unanswered || t.OwnedFor > contactTimeouts*heartbeatTimeout
	return t.Age > stopGrace(limit) && hadTime
}

// ShouldProbe reports whether a new owner probes a machine that has not shown its token yet, as soon
// as an earlier owner would have fenced the machine.
func (t CancelledTask) ShouldProbe(limit time.Duration) bool {
	return t.Age > stopGrace(limit) && !t.TokenShown && !t.Unanswered && t.SinceProbe >= probeInterval
}

// ShouldReturnUnrecorded reports whether a machine that should be fenced has to be returned
// although its return is not recorded yet. stateDown means that the state service accepts no
// record.
func (t CancelledTask) ShouldReturnUnrecorded(limit time.Duration, stateDown bool) bool {
	if stateDown {
		return t.Age > outageRecordDeadline(limit)
	}
	return t.Age > slowRecordDeadline(limit)
}
