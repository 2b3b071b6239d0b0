package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// court is some jobs and machines, and a story told to them line by line.
type court struct {
	now      time.Time
	jobs     map[string]*JobEvidence
	machines map[string]*MachineEvidence
}

func newCourt() *court {
	return &court{now: time.Unix(1000, 0), jobs: make(map[string]*JobEvidence), machines: make(map[string]*MachineEvidence)}
}

func (c *court) job(ref string) *JobEvidence {
	if c.jobs[ref] == nil {
		c.jobs[ref] = &JobEvidence{}
	}
	return c.jobs[ref]
}

func (c *court) machine(host string) *MachineEvidence {
	if c.machines[host] == nil {
		c.machines[host] = &MachineEvidence{}
	}
	return c.machines[host]
}

// fails has a task of a job that ran for a second fail on machines.
func (c *court) fails(ref string, hosts ...string) {
	for _, host := range hosts {
		c.job(ref).RecordFailure(host, sec, 0.5, c.now)
		c.machine(host).RecordFailure(ref, c.now.Add(-sec), c.now)
	}
}

func (c *court) runsWell(ref, host string) {
	if c.job(ref).OutlastsFailures(20 * sec) {
		c.job(ref).Succeeded(c.now)
	}
	c.machine(host).Succeeded(c.now.Add(-20 * sec))
}

func (c *court) sick() (out []string) {
	for _, host := range []string{"a", "b", "c", "d"} {
		if _, sick := c.machine(host).Quarantine(func(ref string) Verdict { return c.job(ref).Verdict(c.now) }, c.now); sick {
			out = append(out, host)
		}
	}
	return out
}

// Who is to blame: each story ends with the machines that are set aside and the
// jobs that are suspected.
func TestBlame(t *testing.T) {
	for name, c := range map[string]struct {
		story func(*court)
		want  string
	}{
		"a broken array fails all over": {func(c *court) { c.fails("broken", "a", "b", "c", "d") }, "[] broken"},
		// Each of two broken jobs had failed on fewer than three machines when they met
		// on one: it was set aside, and it was healthy.
		"two broken jobs meet on a machine": {func(c *court) { c.fails("broken", "a"); c.fails("wrong", "a") }, "[]"},
		"three, and their next tries elsewhere fail as well": {func(c *court) {
			for _, ref := range []string{"broken", "wrong", "bad"} {
				c.fails(ref, "a")
			}
			for _, ref := range []string{"broken", "wrong", "bad"} {
				c.fails(ref, "b", "c")
			}
		}, "[] bad broken wrong"},
		"a sick machine, the job goes well elsewhere": {func(c *court) {
			c.fails("good", "a")
			c.runsWell("good", "b")
			c.fails("other", "a")
		}, "[a]"},
		"a sick machine and one job alone, again and again": {func(c *court) {
			c.fails("good", "a")
			c.runsWell("good", "b")
			c.now = c.now.Add(40 * sec)
			c.fails("good", "a")
		}, "[a]"},
		"a sick machine while broken jobs run": {func(c *court) {
			c.fails("broken", "a", "b", "c")
			c.fails("wrong", "a", "d", "c")
			c.fails("good", "a")
			c.runsWell("good", "d")
			c.fails("fine", "a")
			c.runsWell("fine", "d")
		}, "[a] broken wrong"},
		"a machine that has recovered": {func(c *court) {
			c.fails("good", "a")
			c.fails("other", "a")
			c.fails("third", "a")
			c.now = c.now.Add(25 * sec)
			c.runsWell("fine", "a")
		}, "[]"},
		"what a job began before its machine fell sick says nothing for it": {func(c *court) {
			for _, ref := range []string{"x", "y", "z"} {
				c.fails(ref, "a")
			}
			c.runsWell("old", "a")
		}, "[a]"},
		"old failures": {func(c *court) {
			c.fails("good", "a", "b")
			c.fails("other", "a")
			c.now = c.now.Add(3 * time.Minute)
		}, "[]"},
		"a job that went well once and fails ever since": {func(c *court) {
			c.fails("late", "a")
			c.runsWell("late", "b")
			for range 4 {
				c.now = c.now.Add(50 * sec)
				c.fails("late", "a", "b", "c")
			}
		}, "[] late"},
		"a job that is well again": {func(c *court) {
			c.fails("late", "a", "b", "c")
			c.runsWell("late", "d")
		}, "[]"},
	} {
		court := newCourt()
		c.story(court)
		got := fmt.Sprint(court.sick())
		for _, ref := range []string{"bad", "broken", "good", "late", "other", "wrong"} {
			if court.job(ref).Verdict(court.now) == Suspect {
				got += " " + ref
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, wanted %s", name, got, c.want)
		}
	}
}

// A job that fails wherever it runs is tried more and more rarely, up to a bound,
// and at once again when something of it went well.
func TestTriesBecomeRarer(t *testing.T) {
	now := time.Unix(1000, 0)
	var j JobEvidence
	var pauses []time.Duration
	for i := range 9 {
		j.RecordFailure(fmt.Sprint("m", i), sec, 0.5, now)
		j.RecordFailure(fmt.Sprint("n", i), sec, 0.5, now) // of the same try
		if !j.InBackoff(now) || j.InBackoff(j.retryAt) {
			t.Fatal("a try is not put off until its time")
		}
		pauses = append(pauses, j.retryAt.Sub(now))
		now = j.retryAt
	}
	if got, want := fmt.Sprint(pauses), "[2s 4s 8s 16s 30s 30s 30s 30s 30s]"; got != want {
		t.Errorf("pauses %s, wanted %s", got, want)
	}
	if early, late := (&JobEvidence{}), (&JobEvidence{}); true {
		early.RecordFailure("a", sec, 0, now)
		late.RecordFailure("a", sec, 0.99, now)
		if late.retryAt.Sub(early.retryAt) < sec {
			t.Error("jobs that fail together are tried together")
		}
	}
	j.Succeeded(now)
	if j.InBackoff(now) || j.Verdict(now) != Healthy {
		t.Error("a job that went well still waits")
	}
}
