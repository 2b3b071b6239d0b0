package health

import "testing"

// Whose fault silence is: the controller's that lost the workers, or the machines'.
func TestAlone(t *testing.T) {
	home, quiet := ShardSilence{Home: true, Reporting: 60, Silent: 58, Lost: 58}, ShardSilence{Reporting: 60, Silent: 60, Lost: 60}
	for name, c := range map[string]struct {
		s    ShardSilence
		all  []ShardSilence
		want bool
	}{
		"its own, all silent":                   {home, []ShardSilence{home}, true},
		"its own, a quarter heard":              {ShardSilence{Home: true, Reporting: 60, Silent: 45}, nil, false},
		"its own, too few to tell":              {ShardSilence{Home: true, Reporting: 2, Silent: 2}, nil, false},
		"another's, silent with its own":        {quiet, []ShardSilence{home, quiet}, true},
		"another's, its own are heard":          {quiet, []ShardSilence{{Home: true, Reporting: 60, Silent: 3}, quiet}, false},
		"another's, never heard since":          {ShardSilence{Reporting: 60, Silent: 60}, []ShardSilence{home, {Reporting: 60, Silent: 60}}, false},
		"another's alone, its own has none yet": {quiet, []ShardSilence{{Home: true, Reporting: 1}, quiet}, true},
	} {
		if got := SelfIsolated(c.s, c.all); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
