package health

import "time"

// MisplacedTask is what a controller that may not act for a machine's shard knows of a
// task there whose job is cancelled. The owner of the shard may not know of the
// cancellation: if the state service refuses the owner alone, the owner reads nothing, and
// in an outage after that nobody can take its shard over.
//
// The limit that its methods take is the longest time that a task may run after its user
// has been told of the cancellation.
type MisplacedTask struct {
	Age           time.Duration // since the user was told of the cancellation
	OwnerNotified bool          // the owner has confirmed this controller's notice, or reads records itself
	SinceProbe    time.Duration // since the machine was last probed
	Finding       Finding       // what the machine has shown since the cancellation
	Unanswered    bool          // the machine did not answer the last probe
}

// Finding is what a machine shows of a cancelled task.
type Finding int

// The findings of a cancelled task.
const (
	NotHeard Finding = iota // the machine has shown nothing since the cancellation
	Absent                  // the task is not there; a start command may still be in transit
	Present                 // the task runs
	Ended                   // the task has exited; while the machine lists it, its owner cannot start it again
)

// probeInterval is the shortest time between two probes of a machine. They are repeated
// since a stop command may be lost.
const probeInterval = 2 * time.Second

// unnotifiedProbeDelay is the age from which a machine is probed whose owner may not know
// of the cancellation.
const unnotifiedProbeDelay = probeInterval / 2

// ownerPrecedence returns the age up to which the cancellation is left to an owner that
// knows of it.
func ownerPrecedence(limit time.Duration) time.Duration { return limit / 5 }

// endedProbeInterval returns the interval between probes once the task has ended or the
// limit has passed.
func endedProbeInterval(limit time.Duration) time.Duration { return limit / 5 }

// ShouldProbe reports whether to probe the machine, and to stop the task if the machine
// shows it. Stopping is safe at any time: a cancelled task stays cancelled, and its name is
// not used again.
func (t MisplacedTask) ShouldProbe(limit time.Duration) bool {
	delay, interval := ownerPrecedence(limit), probeInterval
	if !t.OwnerNotified {
		delay = unnotifiedProbeDelay // nobody else may know and act
	}
	// The owner can start an ended task again once the agent epoch has ended, so the probes
	// go on, less often.
	if t.Finding == Ended || t.Age > limit {
		interval = endedProbeInterval(limit)
	}
	return t.Age >= delay && t.SinceProbe >= interval
}

// ShouldReturn reports whether the machine has to be returned without a record, which is
// the last resort. A machine that does not answer is returned from half of the limit in an
// outage of the state service (isStateDown), and from the escalation age in any case. One
// that answers is returned from the escalation age in an outage alone: while records can be
// written, the present or next owner of the shard returns the machine with a record.
func (t MisplacedTask) ShouldReturn(limit time.Duration, stateDown bool) bool {
	escalated := t.Age > Escalation(limit)
	switch {
	case t.Finding == Ended:
		return false
	case t.Unanswered:
		return escalated || (stateDown && t.Age > outageRecordDeadline(limit))
	case t.Finding == Absent && t.OwnerNotified:
		return false // an owner that knows of the cancellation tracks its own commands
	}
	return stateDown && escalated
}
