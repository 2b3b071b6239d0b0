package health

import "time"

// CancelledTask is what an owner knows of a machine that may keep a task of a
// cancelled job.
type CancelledTask struct {
	Age      time.Duration // since its user was told
	Silent   bool          // it has been silent, and did not answer when asked
	Heard    bool          // it was heard since its owner began to act for it
	OwnedFor time.Duration // for how long the owner has
}

// Escalation is the age from which a bound leaves no more time to wait for anything.
func Escalation(limit time.Duration) time.Duration { return limit * 7 / 10 }

// ShouldFence tells whether the machine has to be returned for the sake of the bound.
//
// An owner that has just begun, after a restart or a takeover, finds cancellations
// that are old already and has heard none of the machines. Most stop what they
// should with their first report; fenced at first sight, twenty at a time lost all
// that they ran. So they have two beats to be heard, if the bound leaves as much.
func (c CancelledTask) ShouldFence(limit, beat time.Duration) bool {
	if c.Silent || c.Age > Escalation(limit) {
		return true
	}
	return c.Age > limit*2/5 && (c.Heard || c.OwnedFor > 2*beat)
}

// ReturnUnrecorded tells whether that must not wait for a record any longer: from half of the
// bound if the state service takes none, and later if it does and is only slow.
func (c CancelledTask) ReturnUnrecorded(limit time.Duration, stateDown bool) bool {
	if stateDown {
		return c.Age > limit/2
	}
	return c.Age > limit*3/4
}

// MisplacedTask is what a controller that may not act for a machine's shard knows of a
// cancelled task there. The shard's owner need not know of the cancellation: refused
// by the state service alone it reads nothing, and in an outage after that nobody can
// take its shard.
type MisplacedTask struct {
	Age           time.Duration // since its user was told
	OwnerNotified bool          // the owner has just taken this controller's word of it, or is served itself
	SinceProbe    time.Duration // since the machine was last asked
	Finding       Finding       // what it showed then
	Unanswered    bool          // it did not answer
}

// Finding is what a machine shows of a task.
type Finding int

const (
	NotHeard Finding = iota // it has shown nothing since the cancellation
	Absent                  // not there; its start may still be on its way
	Present
	Ended // and its owner cannot begin it again, for it is listed until that is booked
)

// ownerPrecedence is the part of the bound that an owner has to itself before others ask.
const ownerPrecedence = 5

// probeInterval is how far apart a machine is asked: its stop may be lost.
const probeInterval = 2 * time.Second

// ShouldProbe tells whether to ask the machine, and to stop the task if it shows it. That is
// right at any time: what is cancelled stays so, and the name is not used again.
func (s MisplacedTask) ShouldProbe(limit time.Duration) bool {
	first, again := limit/ownerPrecedence, probeInterval
	if !s.OwnerNotified {
		first = probeInterval / 2 // nobody else may know and act
	}
	if s.Finding == Ended || s.Age > limit {
		again = limit / ownerPrecedence // its session may end, and its owner begin it again
	}
	return s.Age >= first && s.SinceProbe >= again
}

// ShouldReturn tells whether its machine has to be returned without a record, the last
// resort: one that does not answer from half of the bound, and from the age that
// leaves no more time what an outage keeps everybody else from ending. While records
// can be made, whoever owns the shard or takes it next does this with one.
func (s MisplacedTask) ShouldReturn(limit time.Duration, stateDown bool) bool {
	last := s.Age > Escalation(limit)
	switch {
	case s.Finding == Ended:
		return false
	case s.Unanswered:
		return last || (stateDown && s.Age > limit/2)
	case s.Finding == Absent && s.OwnerNotified:
		return false // an owner that knows minds its own commands
	}
	return stateDown && last
}
