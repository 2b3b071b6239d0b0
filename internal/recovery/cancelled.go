package recovery

import "time"

// Cancelled is what an owner knows of a machine that may keep a task of a
// cancelled job.
type Cancelled struct {
	Age    time.Duration // since its user was told
	Silent bool          // it has been silent, and did not answer when asked
	Heard  bool          // it was heard since its owner began to act for it
	Acting time.Duration // for how long the owner has
}

// LastResort is the age from which a bound leaves no more time to wait for anything.
func LastResort(limit time.Duration) time.Duration { return limit * 7 / 10 }

// Fence tells whether the machine has to be returned for the sake of the bound.
//
// An owner that has just begun, after a restart or a takeover, finds cancellations
// that are old already and has heard none of the machines. Most stop what they
// should with their first report; fenced at first sight, twenty at a time lost all
// that they ran. So they have two beats to be heard, if the bound leaves as much.
func (c Cancelled) Fence(limit, beat time.Duration) bool {
	if c.Silent || c.Age > LastResort(limit) {
		return true
	}
	return c.Age > limit*2/5 && (c.Heard || c.Acting > 2*beat)
}

// Bare tells whether that must not wait for a record any longer: from half of the
// bound if the state service takes none, and later if it does and is only slow.
func (c Cancelled) Bare(limit time.Duration, stateDown bool) bool {
	if stateDown {
		return c.Age > limit/2
	}
	return c.Age > limit*3/4
}
