package health

import "testing"

// The silence of a shard's machines counts as the controller's own fault if it has lost its
// links to the machines, and as a fault of the machines otherwise.
func TestSelfIsolatedTellsOwnFaultFromMachinesFault(t *testing.T) {
	home, takenOver := ShardSilence{Home: true, Reporting: 60, Silent: 58, Lost: 58}, ShardSilence{Reporting: 60, Silent: 60, Lost: 60}
	for name, c := range map[string]struct {
		shard ShardSilence
		all   []ShardSilence
		want  bool
	}{
		"home shard, all silent":                         {home, []ShardSilence{home}, true},
		"home shard, a quarter in contact":               {ShardSilence{Home: true, Reporting: 60, Silent: 45}, nil, false},
		"home shard, too few machines to tell":           {ShardSilence{Home: true, Reporting: 2, Silent: 2}, nil, false},
		"taken over, silent with the home shard":         {takenOver, []ShardSilence{home, takenOver}, true},
		"taken over, the home shard is in contact":       {takenOver, []ShardSilence{{Home: true, Reporting: 60, Silent: 3}, takenOver}, false},
		"taken over, never in contact since":             {ShardSilence{Reporting: 60, Silent: 60}, []ShardSilence{home, {Reporting: 60, Silent: 60}}, false},
		"taken over, the home shard has no machines yet": {takenOver, []ShardSilence{{Home: true, Reporting: 1}, takenOver}, true},
	} {
		if got := SelfIsolated(c.shard, c.all); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
