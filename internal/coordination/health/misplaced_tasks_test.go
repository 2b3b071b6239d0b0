package health

import "testing"

// A controller that may not act for a machine first leaves the machine's cancelled tasks to
// an owner that has been notified. It then probes repeatedly, since a stop command may be
// lost or followed by another start, and has the machine returned only as the last resort.
func TestMisplacedTaskIsProbedThenReturned(t *testing.T) {
	const limit = 47 * sec
	for name, c := range map[string]struct {
		task            MisplacedTask
		stateDown       bool
		probe, returned bool
	}{
		"left to its owner at first":                  {MisplacedTask{Age: 4 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, false, false},
		"the owner may not be notified":               {MisplacedTask{Age: 4 * sec, SinceProbe: 60 * sec}, true, true, false},
		"its owner has had its time":                  {MisplacedTask{Age: 10 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, true, false},
		"probed just now":                             {MisplacedTask{Age: 10 * sec, SinceProbe: sec, Finding: Present}, true, false, false},
		"its stop command may be lost":                {MisplacedTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, false},
		"not there: its start may be in transit":      {MisplacedTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"ended, and listed until that is recorded":    {MisplacedTask{Age: 20 * sec, SinceProbe: 3 * sec, Finding: Ended}, true, false, false},
		"its agent epoch may have ended since":        {MisplacedTask{Age: 20 * sec, SinceProbe: 10 * sec, Finding: Ended}, true, true, false},
		"no answer for half of the limit":             {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Present, Unanswered: true}, true, true, true},
		"no answer, and not heard before":             {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, true, true, true},
		"its next owner returns it with a record":     {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, false},
		"unless that does not come":                   {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, true},
		"no answer since its task has ended":          {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Ended, Unanswered: true}, true, false, false},
		"it keeps the task, no time is left":          {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, true},
		"the state service serves, its owner can act": {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, false, true, false},
		"a start of which only its owner knows":       {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, true},
		"the owner knows of that start":               {MisplacedTask{Age: 34 * sec, OwnerNotified: true, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"nobody can reach it":                         {MisplacedTask{Age: 34 * sec, SinceProbe: 60 * sec}, true, true, true},
	} {
		if probe, returned := c.task.ShouldProbe(limit), c.task.ShouldReturn(limit, c.stateDown); probe != c.probe || returned != c.returned {
			t.Errorf("%s: probes %v, returns %v", name, probe, returned)
		}
	}
}
