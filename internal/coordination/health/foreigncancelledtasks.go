package health

import "time"

// ForeignCancelledTask describes a task whose job is cancelled, as observed by a controller
// that may not act for the shard of the task's machine. The owner of the shard may not have
// received the cancellation: if the state service refuses only the owner's requests, the
// owner reads no records, and in an outage after that no other controller can take over its
// shard.
//
// The limit that its methods take is the longest time that a task may run after the
// cancellation was confirmed to the user.
type ForeignCancelledTask struct {
	Age           time.Duration // time since the cancellation was confirmed to the user
	OwnerNotified bool          // the owner has confirmed this controller's notice, or reads records itself
	SinceProbe    time.Duration // time since this controller last probed the machine
	Finding       Finding       // state of the task according to the messages of the machine since the cancellation
	Unanswered    bool          // a probe has failed since the cancellation, and no message has arrived after it
}

// Finding is the state of a cancelled task on a machine, according to the messages of the
// machine.
type Finding int

// The findings of a cancelled task.
const (
	NoMessage Finding = iota // no message of the machine has arrived since the cancellation
	Absent                   // the machine does not run the task; a start command may still be in transit
	Present                  // the machine lists the task, which has not exited
	Ended                    // the task has exited; while the machine lists it, the shard owner cannot start it again
)

// probeInterval is the shortest time between two probes of a machine. Probes are repeated
// because a stop command may be lost.
const probeInterval = 2 * time.Second

// unnotifiedProbeDelay is the age of a cancellation from which a machine is probed whose
// owner may not have been notified.
const unnotifiedProbeDelay = probeInterval / 2

// ownerGrace returns the age of a cancellation up to which stopping the task is left to
// an owner that has been notified.
func ownerGrace(limit time.Duration) time.Duration { return limit / 5 }

// endedProbeInterval returns the interval between probes once the task has ended or the
// limit has passed.
func endedProbeInterval(limit time.Duration) time.Duration { return limit / 5 }

// ShouldProbe reports whether to probe the machine; the caller stops the task if the answer
// shows that the task runs. A stop is safe at any time: a cancelled task stays cancelled, and
// its name is not used again.
func (t ForeignCancelledTask) ShouldProbe(limit time.Duration) bool {
	delay, interval := ownerGrace(limit), probeInterval
	if !t.OwnerNotified {
		delay = unnotifiedProbeDelay // possibly no other controller acts on the cancellation
	}
	// The owner can start an ended task again once the agent epoch has ended, so probing
	// continues at a longer interval.
	if t.Finding == Ended || t.Age > limit {
		interval = endedProbeInterval(limit)
	}
	return t.Age >= delay && t.SinceProbe >= interval
}

// ShouldReturn reports whether the machine has to be returned without a record, which is
// the last resort. A machine that does not answer is returned from half of the limit in an
// outage of the state service (stateDown), and from the escalation age in any case. A
// machine that answers is returned only in an outage, from the escalation age: while records
// can be written, the present or next owner of the shard returns the machine with a record.
func (t ForeignCancelledTask) ShouldReturn(limit time.Duration, stateDown bool) bool {
	escalated := t.Age > escalationAge(limit)
	switch {
	case t.Finding == Ended:
		return false
	case t.Unanswered:
		return escalated || (stateDown && t.Age > outageRecordDeadline(limit))
	case t.Finding == Absent && t.OwnerNotified:
		return false // a notified owner accounts for the start commands that it has sent
	}
	return stateDown && escalated
}
