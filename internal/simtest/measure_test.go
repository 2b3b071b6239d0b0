package simtest

import (
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

// sample is the use of each team at one time.
type sample struct {
	at    time.Duration
	teams map[string]protocol.Resources
}

// measurement holds the samples of one play and the last counts of the state service.
type measurement struct {
	samples []sample
	counts  emulator.Counts // counts of the state service at the last sample
}

// playSampled plays a script and samples the use of teams until the cluster ends. It fails
// the test if the script fails.
func playSampled(t *testing.T, what, script string, seed uint64) *measurement {
	m := &measurement{}
	synctest.Test(t, func(*testing.T) {
		if out := playObserved(script, seed, m.sample); out.Kind() != "" {
			t.Error(what, out.Kind(), out.Err)
		}
	})
	return m
}

// sample samples every 100 ms, at times slightly apart from those of other timers.
func (m *measurement) sample(c *cluster) {
	for time.Sleep(100*time.Millisecond + 17*time.Nanosecond); c.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		m.samples = append(m.samples, sample{time.Since(c.began), c.world.TeamUse()})
		m.counts = c.world.State.Counts()
	}
}

// meanUse returns the mean CPU use of the team "busy" while tasks of the team are queued: from
// 1 s after the first start until 2 s before the last sample with at least 100 CPUs in use. By
// then only the last 200 tasks are left, as many as run at once on 400 CPUs.
func (m *measurement) meanUse() float64 {
	from := slices.IndexFunc(m.samples, func(s sample) bool { return s.teams["busy"].CPUs > 0 })
	if from < 0 {
		return 0
	}
	upTo := from
	for i, s := range m.samples {
		if s.teams["busy"].CPUs >= 100 {
			upTo = i
		}
	}
	sum, count := 0.0, 0
	for _, s := range m.samples[from+10 : max(from+11, upTo-20)] {
		sum += s.teams["busy"].CPUs
		count++
	}
	return sum / float64(count)
}

// measuredFault is a fault under which the measurements are repeated.
type measuredFault struct{ name, lines string }

// controllerCounts returns the numbers of controllers to measure with. A single controller
// is measured only without faults, because the faults need other controllers.
func (f measuredFault) controllerCounts() []int {
	if f.name == "calm" {
		return []int{1, 3, 5, 7}
	}
	return []int{3, 5, 7}
}

const (
	limitArrays     = 42
	limitArrayTasks = 40
)

// limitScript submits 42 arrays of 40 tasks of 2 CPUs and 3 s, 20 ms apart, from users
// spread over the controllers. Their team has a limit of the given number of CPUs, or none
// if it is 0.
func limitScript(controllers, machines, limit int, fault string) string {
	team := "team busy cpus=0"
	if limit > 0 {
		team = fmt.Sprintf("team busy most=%d", limit)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "0s controllers %d\n0s %s\n0s machines %d a\n", controllers, team, machines)
	for i := range limitArrays {
		fmt.Fprintf(&b, "%v user n%d submit wk-%d array tasks=%d run=3 team=busy\n", 15*time.Second+time.Duration(i)*20*time.Millisecond, i%controllers, i+1, limitArrayTasks)
	}
	b.WriteString(fault)
	b.WriteString("80s expect busy 0\n")
	return b.String()
}

// TestMeasureLimits prints how well a limit of 400 CPUs is used on machines with 800,
// compared with machines with 400 CPUs and no limit.
func TestMeasureLimits(t *testing.T) {
	if *measure == 0 {
		t.Skip("no -measure")
	}
	for _, fault := range []measuredFault{
		{"calm", ""}, {"a kill", "20s kill n1 for 5s\n"}, {"a freeze", "20s freeze n1 on for 12s\n"}, {"refused alone", "20s refuse n1 on for 20s\n"},
	} {
		for _, controllers := range fault.controllerCounts() {
			printLimitUse(t, fault, controllers, "allotted", limitScript(controllers, 100, 400, fault.lines))
			printLimitUse(t, fault, controllers, "one record", "0s allot off\n"+limitScript(controllers, 100, 400, fault.lines))
			printLimitUse(t, fault, controllers, "no limit", limitScript(controllers, 50, 0, fault.lines))
		}
	}
}

// printLimitUse prints the averages over the plays of a script with -measure seeds.
func printLimitUse(t *testing.T, fault measuredFault, controllers int, name, script string) {
	mean, refused, changes := 0.0, 0, 0
	for seed := range *measure {
		m := playSampled(t, fmt.Sprint(fault.name, controllers, name), script, uint64(seed+1))
		mean += m.meanUse() / float64(*measure)
		refused += m.counts.Refused
		changes += m.counts.Changes
	}
	tasks := float64(limitArrays * limitArrayTasks * *measure)
	fmt.Printf("%-14s %d controllers  %-10s mean %5.0f  refused %5.1f a run  changes a task %.2f\n", fault.name, controllers, name, mean, float64(refused)/float64(*measure), float64(changes)/tasks)
}

// guaranteeClaimedAt is when the measured team claims its guarantee.
const guaranteeClaimedAt = 30 * time.Second

// guaranteeScript makes a team claim its guarantee of 40 CPUs on machines with 400 that
// another team has filled.
func guaranteeScript(controllers int, job, fault string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "0s controllers %d\n0s team due cpus=40\n0s team lend cpus=80\n0s machines 50 a\n", controllers)
	for i := range 14 {
		fmt.Fprintf(&b, "%dms user n%d submit wk-%d array tasks=40 run=400 team=lend\n", 8000+10*i, i%controllers, i+1)
	}
	for i := range 28 {
		fmt.Fprintf(&b, "%v user n%d submit wk-%d %s team=due\n", guaranteeClaimedAt, i%controllers, i+20, job)
	}
	return sortedLines(append(strings.Split(b.String(), "\n"), strings.Split(fault, "\n")...)) + "\n70s expect busy 0\n"
}

// guaranteeResult is how soon a claimed guarantee was met, and the CPU use of both teams.
type guaranteeResult struct {
	metAfter    []float64 // seconds, one per seed; 40 if the guarantee was not met
	claimantMax float64   // highest CPU use of the claiming team
	lenderMin   float64   // lowest CPU use of the other team, from 1 s before the claim
}

// add adds the samples of one play up to 60 s.
func (r *guaranteeResult) add(m *measurement) {
	metAfter := 40.0
	for _, s := range m.samples {
		if s.at > 60*time.Second {
			break
		}
		if s.teams["due"].CPUs >= 40 {
			metAfter = min(metAfter, s.at.Seconds()-guaranteeClaimedAt.Seconds())
		}
		r.claimantMax = max(r.claimantMax, s.teams["due"].CPUs)
		if s.at > guaranteeClaimedAt-time.Second {
			r.lenderMin = min(r.lenderMin, s.teams["lend"].CPUs)
		}
	}
	r.metAfter = append(r.metAfter, metAfter)
}

// TestMeasureGuarantees prints how soon a team gets its guarantee of 40 CPUs on machines
// with 400 that another team has filled, and how much both teams use from then on.
func TestMeasureGuarantees(t *testing.T) {
	if *measure == 0 {
		t.Skip("no -measure")
	}
	jobs := []struct{ name, line string }{{"gangs", "gang tasks=4 cpus=2 run=300"}, {"services", "service tasks=4 cpus=2"}, {"arrays", "array tasks=20 cpus=2 run=300"}}
	for _, fault := range []measuredFault{
		{"calm", ""}, {"slow state service", "29500ms trouble slow on for 8s\n"}, {"a kill", "30200ms kill n1 for 5s\n"}, {"a freeze", "30200ms freeze n1 on for 12s\n"}, {"a cut", "30200ms zone b cut for 10s\n"},
	} {
		for _, job := range jobs {
			for _, controllers := range fault.controllerCounts() {
				result := &guaranteeResult{lenderMin: 400}
				for seed := range *measure {
					script := guaranteeScript(controllers, job.line, fault.lines)
					result.add(playSampled(t, fmt.Sprint(fault.name, controllers, job.name), script, uint64(seed+1)))
				}
				met := slices.Sorted(slices.Values(result.metAfter))
				fmt.Printf("%-18s %-8s %d controllers  met after %.1f s (median), %.1f s (p95); at most %3.0f of 40; lender at least %3.0f\n", fault.name, job.name, controllers,
					met[len(met)/2], met[min(len(met)-1, len(met)*95/100)], result.claimantMax, result.lenderMin)
			}
		}
	}
}
