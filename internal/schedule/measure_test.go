package schedule

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/standin"
)

var measure = flag.Int("measure", 0, "print the tables of docs/measurements/quota.md, from so many seeds (minutes)")

// used is what each team's tasks take, by the second half of a second.
type sample struct {
	at    time.Duration
	teams map[string][2]float64
}

// watchUse samples what teams use until the cluster ends.
func watchUse(into *[]sample, last *standin.Counts) func(*cluster) {
	return func(c *cluster) {
		for time.Sleep(100*time.Millisecond + 17*time.Nanosecond); c.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			*into = append(*into, sample{time.Since(c.began), c.w.TeamUse()})
			*last = c.w.State.Counts()
		}
	}
}

// burst is 42 arrays of 40 tasks of 2 CPUs and 3 s, users spread over the controllers.
func burst(controllers, machines int, most int, trouble string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "0s controllers %d\n0s team busy most=%d\n0s machines %d a\n", controllers, most, machines)
	if most == 0 {
		b.Reset()
		fmt.Fprintf(&b, "0s controllers %d\n0s team busy cpus=0\n0s machines %d a\n", controllers, machines)
	}
	for i := range 42 {
		fmt.Fprintf(&b, "%v user n%d submit wk-%d array tasks=40 run=3 team=busy\n", 15*time.Second+time.Duration(i)*20*time.Millisecond, i%controllers, i+1)
	}
	b.WriteString(trouble)
	b.WriteString("80s expect busy 0\n")
	return b.String()
}

// meanUse is the mean while work waits: until the last 200 tasks are left.
func meanUse(s []sample) float64 {
	from := slices.IndexFunc(s, func(x sample) bool { return x.teams["busy"][0] > 0 })
	if from < 0 {
		return 0
	}
	upTo := from
	for i := range s {
		if s[i].teams["busy"][0] >= 100 {
			upTo = i
		}
	}
	sum, k := 0.0, 0
	for _, x := range s[from+10 : max(from+11, upTo-20)] {
		sum += x.teams["busy"][0]
		k++
	}
	return sum / float64(k)
}

// TestMeasureLimits prints how well a limit of 400 CPUs is used on 800, beside a
// fleet of 400 without one.
func TestMeasureLimits(t *testing.T) {
	if *measure == 0 {
		t.Skip("no -measure")
	}
	troubles := []struct{ name, text string }{
		{"calm", ""}, {"a kill", "20s kill n1 for 5s\n"}, {"a freeze", "20s freeze n1 on for 12s\n"}, {"refused alone", "20s refuse n1 on for 20s\n"},
	}
	for _, tr := range troubles {
		for _, n := range []int{1, 3, 5, 7} {
			if n == 1 && tr.name != "calm" {
				continue
			}
			for _, w := range []struct {
				name           string
				machines, most int
				plain          bool
			}{{"allotted", 100, 400, false}, {"one record", 100, 400, true}, {"no limit", 50, 0, false}} {
				mean, refused, changes := 0.0, 0, 0
				for seed := range *measure {
					var s []sample
					var counts standin.Counts
					script := burst(n, w.machines, w.most, tr.text)
					if w.plain {
						script = "0s allot off\n" + script
					}
					synctest.Test(t, func(*testing.T) {
						if out := playWatched(script, uint64(seed+1), watchUse(&s, &counts)); out.Kind() != "" {
							t.Error(tr.name, n, w.name, out.Kind(), out.Err)
						}
					})
					mean += meanUse(s) / float64(*measure)
					refused += counts.Refused
					changes += counts.Changes
				}
				tasks := float64(42 * 40 * *measure)
				fmt.Printf("%-14s %d controllers  %-10s mean %5.0f  refused %5.1f a run  changes a task %.2f\n", tr.name, n, w.name, mean, float64(refused)/float64(*measure), float64(changes)/tasks)
			}
		}
	}
}

var _ = protocol.Array
