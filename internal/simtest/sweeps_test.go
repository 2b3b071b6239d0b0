package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sweep is a script that is played repeatedly, with the time of one event varied over an
// interval in steps.
type sweep struct {
	from, to, step time.Duration
	script         string // %s is the varied time
}

var sweeps = map[string]sweep{
	"all controllers end in a fence": {31 * time.Second, 35 * time.Second, 210 * time.Millisecond, `
		0s      machines 4 a
		11s     submit n0 wk-1 service tasks=4
		27500ms vm @wk-1 hang for 60s
		28s     abort n1 wk-1
		%s      kill all for 4s
		57900ms expect wk-1 running 0
		90s     calm`},
	"the machine goes on as its return is sent": {31 * time.Second, 35 * time.Second, 210 * time.Millisecond, `
		0s      machines 4 a
		11s     submit n0 wk-1 service tasks=4
		12s     submit n1 wk-2 array tasks=8 run=40
		27500ms vm @wk-1 hang
		28s     abort n1 wk-1
		%s      vm @wk-1 resume
		57900ms expect wk-1 running 0
		90s     calm`},
	"an outage begins while two machines of a gang are fenced": {27 * time.Second, 36 * time.Second, 450 * time.Millisecond, `
		0s      machines 6 a
		11s     submit n0 wk-1 gang tasks=2 cpus=8 run=200
		26s     vm @wk-1 hang for 80s
		26500ms vm @wk-1 hang for 80s
		27s     abort n1 wk-1
		%s      outage on
		56900ms expect wk-1 running 0
		80s     outage off
		100s    calm`},
	"the node that answers an abort ends": {27900 * time.Millisecond, 28060 * time.Millisecond, 8 * time.Millisecond, `
		0s      machines 4 a
		11s     submit n0 wk-1 service tasks=4
		27s     vm @wk-1 hang for 40s
		27980ms user n1 abort wk-1
		%s      kill n1 for 3s
		28500ms outage on for 45s    # the rule holds if it was answered
		90s     calm`},
}

// TestRulesHoldWheneverAnEventComes plays each script with one event at every time of an
// interval in steps: between any two writes of a fence, and before and after its call to
// the cloud.
func TestRulesHoldWheneverAnEventComes(t *testing.T) {
	for name, s := range sweeps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := s.from; at < s.to; at += s.step {
				// The varied time may be before or after the times of the neighbouring lines.
				script := sortedLines(strings.Split(fmt.Sprintf(s.script, at), "\n"))
				if out := play(t, script, 1); out.Kind() != "" {
					t.Errorf("at %v: %s", at, out)
				}
			}
		})
	}
}
