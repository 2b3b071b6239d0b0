package health

import "testing"

// A controller that may not act for a machine leaves its cancelled tasks to the owner
// first, if that can know of them, asks again as long as a stop may be lost or followed
// by another start, and has the machine returned only when nothing else is left.
func TestStrayed(t *testing.T) {
	const limit = 47 * sec
	for name, c := range map[string]struct {
		s         MisplacedTask
		down      bool
		ask, back bool
	}{
		"its owner has it at first":                   {MisplacedTask{Age: 4 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, false, false},
		"nobody may have told the owner":              {MisplacedTask{Age: 4 * sec, SinceProbe: 60 * sec}, true, true, false},
		"its owner has had its time":                  {MisplacedTask{Age: 10 * sec, OwnerNotified: true, SinceProbe: 60 * sec}, true, true, false},
		"asked just now":                              {MisplacedTask{Age: 10 * sec, SinceProbe: sec, Finding: Present}, true, false, false},
		"its stop may be lost":                        {MisplacedTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, false},
		"not there: its start may be on its way":      {MisplacedTask{Age: 10 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"ended, and listed until that is booked":      {MisplacedTask{Age: 20 * sec, SinceProbe: 3 * sec, Finding: Ended}, true, false, false},
		"its session may have ended since":            {MisplacedTask{Age: 20 * sec, SinceProbe: 10 * sec, Finding: Ended}, true, true, false},
		"it answers no question for half of the time": {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Present, Unanswered: true}, true, true, true},
		"nor did it before":                           {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, true, true, true},
		"its next owner returns it with a record":     {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, false},
		"unless that does not come":                   {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Unanswered: true}, false, true, true},
		"mute since its task has ended":               {MisplacedTask{Age: 24 * sec, SinceProbe: 3 * sec, Finding: Ended, Unanswered: true}, true, false, false},
		"it keeps the task, no time is left":          {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, true, true, true},
		"the state service serves, its owner can act": {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Present}, false, true, false},
		"a start of which only its owner knows":       {MisplacedTask{Age: 34 * sec, SinceProbe: 3 * sec, Finding: Absent}, true, true, true},
		"the owner knows of that start":               {MisplacedTask{Age: 34 * sec, OwnerNotified: true, SinceProbe: 3 * sec, Finding: Absent}, true, true, false},
		"nobody knows where to ask it":                {MisplacedTask{Age: 34 * sec, SinceProbe: 60 * sec}, true, true, true},
	} {
		if ask, ret := c.s.ShouldProbe(limit), c.s.ShouldReturn(limit, c.down); ask != c.ask || ret != c.back {
			t.Errorf("%s: asks %v, returns %v", name, ask, ret)
		}
	}
}
