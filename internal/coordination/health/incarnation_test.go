package health

import "testing"

// Messages are ordered within one incarnation. A heartbeat at a lower position indicates a
// restart of the machine. Only an answer to a direct call proves the restart, since a late
// heartbeat of the former incarnation can have a lower position too.
func TestOnlyDirectAnswerProvesRestart(t *testing.T) {
	newest := MessagePosition{AgentEpoch: 1, Sequence: 88, FencingToken: 41}
	for name, c := range map[string]struct {
		message                                  MessagePosition
		supersedes, mayBeRestarted, hasRestarted bool
	}{
		"the next heartbeat":                                  {MessagePosition{1, 89, 41}, true, false, false},
		"the next heartbeat, under a newer token":             {MessagePosition{1, 89, 50}, true, false, false},
		"the first heartbeat after its lease has expired":     {MessagePosition{2, 1, 41}, true, false, false},
		"a heartbeat overtaken in transit by answers":         {MessagePosition{1, 86, 41}, false, false, true},
		"the first heartbeat after a restart":                 {MessagePosition{1, 1, 0}, false, true, true},
		"the third heartbeat after a restart, with the token": {MessagePosition{1, 3, 41}, false, true, true},
		"more heartbeats than before the restart":             {MessagePosition{1, 90, 0}, true, true, true},
		"a later sequence number of the same epoch":           {MessagePosition{1, 95, 41}, true, false, false},
		"a heartbeat of an agent epoch that has ended since":  {MessagePosition{0, 300, 41}, false, true, true},
		"the newest message a second time":                    {newest, false, false, true},
	} {
		if got := c.message.Supersedes(newest); got != c.supersedes {
			t.Errorf("%s: supersedes %v", name, got)
		}
		if got := MayBeRestarted(newest, c.message); got != c.mayBeRestarted {
			t.Errorf("%s: may be restarted %v", name, got)
		}
		if got := HasRestarted(newest, c.message); got != c.hasRestarted {
			t.Errorf("%s, as an answer: has restarted %v", name, got)
		}
	}
	if (MessagePosition{1, 300, 41}).Valid(41) || !(MessagePosition{1, 3, 42}).Valid(41) || !newest.Valid(0) {
		t.Error("a message is valid only with a token above the floor, or without a floor")
	}
}
