package health

import "testing"

// A controller that may not act for a machine first leaves the machine's cancelled tasks to an
// owner that has been notified. The controller then probes the machine repeatedly, since a
// stop command may be lost or followed by another start, and has the machine returned only as
// the last resort.
func TestForeignCancelledTaskIsProbedThenReturned(t *testing.T) {
	const limit = 47 * sec
	for name, c := range map[string]struct {
		task            ForeignCancelledTask
		stateDown       bool
		probe, returned bool
	}{
		"left to a notified owner at first":                           {ForeignCancelledTask{Age: 4 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, false, false},
		"the owner may not be notified":                               {ForeignCancelledTask{Age: 4 * sec, SinceProbe: 60 * sec}, true, true, false},
		"a notified owner has had its time to act":                    {ForeignCancelledTask{Age: 10 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, true, false},
		"probed just now":                                             {ForeignCancelledTask{Age: 10 * sec, SinceProbe: sec, Finding: Present}, true, false, false},
		"its stop command may be lost":                                {ForeignCancelledTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, false},
		"absent, its start command may be in transit":                 {ForeignCancelledTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"ended, listed until its end is recorded":                     {ForeignCancelledTask{Age: 20 * sec, SinceProbe: 3 * sec, Finding: Ended}, true, false, false},
		"ended, its agent epoch may have ended since":                 {ForeignCancelledTask{Age: 20 * sec, SinceProbe: 10 * sec, Finding: Ended}, true, true, false},
		"no answer for half of the limit":                             {ForeignCancelledTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Present, Unanswered: true}, true, true, true},
		"no answer, and no message since the cancellation":            {ForeignCancelledTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, true, true, true},
		"no answer, the next owner returns the machine with a record": {ForeignCancelledTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, false},
		"no answer, and the machine has not been returned in time":    {ForeignCancelledTask{Age: 34 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, true},
		"no answer since its task has ended":                          {ForeignCancelledTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Ended, Unanswered: true}, true, false, false},
		"the machine keeps the task, no time is left":                 {ForeignCancelledTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, true},
		"the state service serves, its owner can act":                 {ForeignCancelledTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, false, true, false},
		"absent, an owner that is not notified may have sent a start": {ForeignCancelledTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, true},
		"absent, a notified owner accounts for its start commands":    {ForeignCancelledTask{Age: 34 * sec, OwnerNotified: true, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"no probe and no message, no time is left":                    {ForeignCancelledTask{Age: 34 * sec, SinceProbe: 60 * sec}, true, true, true},
	} {
		if probe, returned := c.task.ShouldProbe(limit), c.task.ShouldReturn(limit, c.stateDown); probe != c.probe || returned != c.returned {
			t.Errorf("%s: probes %v, returns %v", name, probe, returned)
		}
	}
}
