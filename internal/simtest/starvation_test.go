package simtest

import (
	"fmt"
	"strings"
	"testing"
)

// TestStarvingIsNoticed checks that a class that cannot run all day is reported as starved:
// by class, by team and among its largest jobs.
func TestStarvingIsNoticed(t *testing.T) {
	out := play(t, `
		0s    machines 2 a
		0s    spare 0
		5s    submit n0 wk-1 service tasks=4 rank=critical
		5s    submit n1 wk-3 service tasks=4 rank=critical
		6s    submit n0 wk-2 array tasks=40 run=2 team=guest rank=idle class=visitors
		120s  expect served 50`, 1)
	for _, who := range []string{"team guest", "visitors", "largest of visitors"} {
		if out.Kind() != "starved" || !strings.Contains(out.Err.Error(), who+" was") {
			t.Errorf("%s is not among %v", who, out.Err)
		}
	}
}

// TestLargestBeginInTime checks that the largest jobs of a class are reported if they have
// not started within four minutes, although the class's other jobs run.
func TestLargestBeginInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		at    string
		want  string // part of the expected error; empty if no error is expected
	}{
		{"waiting for less than four minutes", 6, "240s", ""},
		{"waiting for more than four minutes", 6, "250s", "wk-1"},
		{"begun at once", 4, "250s", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := play(t, fmt.Sprintf(`
				0s    machines 4 a
				0s    spare 0
				5s    submit n0 wk-1 gang tasks=%d cpus=8 run=20 class=sheets
				6s    submit n1 wk-2 gang tasks=1 cpus=1 run=5 class=sheets
				%s  expect served 0`, c.tasks, c.at), 1)
			if (c.want == "") != (out.Err == nil) || (out.Err != nil && !strings.Contains(out.Err.Error(), c.want)) {
				t.Errorf("%d tasks, at %s: %v", c.tasks, c.at, out.Err)
			}
		})
	}
}
