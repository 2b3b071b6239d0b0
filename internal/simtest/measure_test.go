package simtest

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

var measure = flag.Int("measure", 0, "print the tables of docs/measurements/quota.md, from so many seeds (minutes)")

// used is what each team's tasks take, by the second half of a second.
type sample struct {
	at    time.Duration
	teams map[string]protocol.Resources
}

// watchUse samples what teams use until the cluster ends.
func watchUse(into *[]sample, last *emulator.Counts) func(*cluster) {
	return func(c *cluster) {
		for time.Sleep(100*time.Millisecond + 17*time.Nanosecond); c.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			*into = append(*into, sample{time.Since(c.began), c.world.TeamUse()})
			*last = c.world.State.Counts()
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
	from := slices.IndexFunc(s, func(x sample) bool { return x.teams["busy"].CPUs > 0 })
	if from < 0 {
		return 0
	}
	upTo := from
	for i := range s {
		if s[i].teams["busy"].CPUs >= 100 {
			upTo = i
		}
	}
	sum, k := 0.0, 0
	for _, x := range s[from+10 : max(from+11, upTo-20)] {
		sum += x.teams["busy"].CPUs
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
					var counts emulator.Counts
					script := burst(n, w.machines, w.most, tr.text)
					if w.plain {
						script = "0s allot off\n" + script
					}
					synctest.Test(t, func(*testing.T) {
						if out := playObserved(script, uint64(seed+1), watchUse(&s, &counts)); out.Kind() != "" {
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

// TestMeasureGuarantees prints how soon a team has its guarantee of 40 CPUs on a fleet
// of 400 that another has filled, and what it and the lender hold then.
func TestMeasureGuarantees(t *testing.T) {
	if *measure == 0 {
		t.Skip("no -measure")
	}
	jobs := []struct{ name, text string }{{"gangs", "gang tasks=4 cpus=2 run=300"}, {"services", "service tasks=4 cpus=2"}, {"arrays", "array tasks=20 cpus=2 run=300"}}
	troubles := []struct{ name, text string }{
		{"calm", ""}, {"slow state service", "29500ms trouble slow on for 8s\n"}, {"a kill", "30200ms kill n1 for 5s\n"}, {"a freeze", "30200ms freeze n1 on for 12s\n"}, {"a cut", "30200ms zone b cut for 10s\n"},
	}
	for _, tr := range troubles {
		for _, kind := range jobs {
			for _, n := range []int{1, 3, 5, 7} {
				if n == 1 && tr.name != "calm" {
					continue
				}
				var met []float64
				most, least := 0.0, 400.0
				for seed := range *measure {
					var b strings.Builder
					fmt.Fprintf(&b, "0s controllers %d\n0s team due cpus=40\n0s team lend cpus=80\n0s machines 50 a\n", n)
					for i := range 14 {
						fmt.Fprintf(&b, "%dms user n%d submit wk-%d array tasks=40 run=400 team=lend\n", 8000+10*i, i%n, i+1)
					}
					for i := range 28 {
						fmt.Fprintf(&b, "30s user n%d submit wk-%d %s team=due\n", i%n, i+20, kind.text)
					}
					lines := append(strings.Split(b.String(), "\n"), strings.Split(tr.text, "\n")...)
					slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(when(a), when(b)) })
					var s []sample
					var counts emulator.Counts
					synctest.Test(t, func(*testing.T) {
						if out := playObserved(strings.Join(lines, "\n")+"\n70s expect busy 0\n", uint64(seed+1), watchUse(&s, &counts)); out.Kind() != "" {
							t.Error(tr.name, n, kind.name, out.Kind(), out.Err)
						}
					})
					at := 40.0 // not met
					for _, x := range s {
						if x.at > 60*time.Second {
							break // the end of the run
						}
						if x.teams["due"].CPUs >= 40 {
							at = min(at, x.at.Seconds()-30)
						}
						most = max(most, x.teams["due"].CPUs)
						if x.at > 29*time.Second {
							least = min(least, x.teams["lend"].CPUs)
						}
					}
					met = append(met, at)
				}
				slices.Sort(met)
				fmt.Printf("%-18s %-8s %d controllers  met after %.1f s (median), %.1f s (p95); at most %3.0f of 40; lender at least %3.0f\n", tr.name, kind.name, n,
					met[len(met)/2], met[min(len(met)-1, len(met)*95/100)], most, least)
			}
		}
	}
}
