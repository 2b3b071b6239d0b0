package health

import "testing"

// What a machine says is weighed by its place in the order of one life. A report that
// counts lower is doubted; only an answer to a question proves that the machine began
// again, since a late report of its former life looks the same.
func TestMachineBeganAgain(t *testing.T) {
	now := Incarnation{AgentEpoch: 1, Sequence: 88, FencingToken: 41}
	for name, c := range map[string]struct {
		said                  Incarnation
		newer, doubted, again bool
	}{
		"the next report":                         {Incarnation{1, 89, 41}, true, false, false},
		"the same, under a newer token":           {Incarnation{1, 89, 50}, true, false, false},
		"after its lease has ended":               {Incarnation{2, 1, 41}, true, false, false},
		"overtaken on its way by answers":         {Incarnation{1, 86, 41}, false, false, true},
		"the first report of a later life":        {Incarnation{1, 1, 0}, false, true, true},
		"one a little later, the token is shown":  {Incarnation{1, 3, 41}, false, true, true},
		"it has reported more often than before":  {Incarnation{1, 90, 0}, true, true, true},
		"its session ended in its former life":    {Incarnation{1, 95, 41}, true, false, false},
		"of a session that has ended since":       {Incarnation{0, 300, 41}, false, true, true},
		"the very account that was taken already": {now, false, false, true},
	} {
		if got := c.said.Supersedes(now); got != c.newer {
			t.Errorf("%s: newer %v", name, got)
		}
		if got := MayBeRestarted(now, c.said); got != c.doubted {
			t.Errorf("%s: doubted %v", name, got)
		}
		if got := HasRestarted(now, c.said); got != c.again {
			t.Errorf("%s, as an answer: began again %v", name, got)
		}
	}
	if (Incarnation{1, 300, 41}).Valid(41) || !(Incarnation{1, 3, 42}).Valid(41) || !now.Valid(0) {
		t.Error("an account counts from the first token that its former life can't have seen")
	}
}
