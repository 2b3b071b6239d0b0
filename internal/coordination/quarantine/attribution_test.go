package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// scenario holds the evidence about some jobs and machines, filled by the steps of a test.
type scenario struct {
	now      time.Time
	jobs     map[string]*JobEvidence
	machines map[string]*MachineEvidence
}

func newScenario() *scenario {
	return &scenario{now: time.Unix(1000, 0), jobs: make(map[string]*JobEvidence), machines: make(map[string]*MachineEvidence)}
}

// job returns a job's evidence, which is empty on first use.
func (s *scenario) job(jobID string) *JobEvidence {
	if s.jobs[jobID] == nil {
		s.jobs[jobID] = &JobEvidence{}
	}
	return s.jobs[jobID]
}

// machine returns a machine's evidence, which is empty on first use.
func (s *scenario) machine(host string) *MachineEvidence {
	if s.machines[host] == nil {
		s.machines[host] = &MachineEvidence{}
	}
	return s.machines[host]
}

// fails records that a task of a job failed on each of the hosts after one second.
func (s *scenario) fails(jobID string, hosts ...string) {
	for _, host := range hosts {
		s.job(jobID).RecordFailure(host, sec, 0.5, s.now)
		s.machine(host).RecordFailure(jobID, s.now.Add(-sec), s.now)
	}
}

// succeeds records that a task of a job succeeded on a host after 20 seconds.
func (s *scenario) succeeds(jobID, host string) {
	if s.job(jobID).OutlastsFailures(20 * sec) {
		s.job(jobID).RecordSuccess(s.now)
	}
	s.machine(host).RecordSuccess(s.now.Add(-20 * sec))
}

// quarantined returns the hosts whose machines are quarantined now.
func (s *scenario) quarantined() (out []string) {
	for _, host := range []string{"a", "b", "c", "d"} {
		if _, quarantined := s.machine(host).ShouldQuarantine(func(jobID string) Verdict { return s.job(jobID).Verdict(s.now) }, s.now); quarantined {
			out = append(out, host)
		}
	}
	return out
}

// Failures of a broken job must not quarantine healthy machines, and a faulty machine must be
// quarantined although broken jobs fail there too. Each scenario ends with the machines that
// are quarantined and the jobs that are suspected.
func TestFailuresAreAttributedToMachineOrJob(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(*scenario)
		want  string
	}{
		"a broken array fails on every machine": {func(s *scenario) { s.fails("broken", "a", "b", "c", "d") }, "[] broken"},
		// A healthy machine on which two broken jobs fail must not be quarantined, although
		// each of the jobs has failed on few machines only.
		"two broken jobs fail on one machine": {func(s *scenario) { s.fails("broken", "a"); s.fails("wrong", "a") }, "[]"},
		"three broken jobs fail on one machine, then on two others": {func(s *scenario) {
			for _, jobID := range []string{"broken", "wrong", "bad"} {
				s.fails(jobID, "a")
			}
			for _, jobID := range []string{"broken", "wrong", "bad"} {
				s.fails(jobID, "b", "c")
			}
		}, "[] bad broken wrong"},
		"a faulty machine, the job succeeds elsewhere": {func(s *scenario) {
			s.fails("good", "a")
			s.succeeds("good", "b")
			s.fails("other", "a")
		}, "[a]"},
		"a faulty machine and one healthy job, in two attempts": {func(s *scenario) {
			s.fails("good", "a")
			s.succeeds("good", "b")
			s.now = s.now.Add(40 * sec)
			s.fails("good", "a")
		}, "[a]"},
		"a faulty machine while broken jobs run": {func(s *scenario) {
			s.fails("broken", "a", "b", "c")
			s.fails("wrong", "a", "d", "c")
			s.fails("good", "a")
			s.succeeds("good", "d")
			s.fails("fine", "a")
			s.succeeds("fine", "d")
		}, "[a] broken wrong"},
		"a machine that has recovered": {func(s *scenario) {
			s.fails("good", "a")
			s.fails("other", "a")
			s.fails("third", "a")
			s.now = s.now.Add(25 * sec)
			s.succeeds("fine", "a")
		}, "[]"},
		"a task started before the fault does not clear its machine": {func(s *scenario) {
			for _, jobID := range []string{"x", "y", "z"} {
				s.fails(jobID, "a")
			}
			s.succeeds("old", "a")
		}, "[a]"},
		"old failures": {func(s *scenario) {
			s.fails("good", "a", "b")
			s.fails("other", "a")
			s.now = s.now.Add(3 * time.Minute)
		}, "[]"},
		"a job that succeeded once and fails ever since": {func(s *scenario) {
			s.fails("late", "a")
			s.succeeds("late", "b")
			for range 4 {
				s.now = s.now.Add(50 * sec)
				s.fails("late", "a", "b", "c")
			}
		}, "[] late"},
		"a job that succeeds again": {func(s *scenario) {
			s.fails("late", "a", "b", "c")
			s.succeeds("late", "d")
		}, "[]"},
	} {
		s := newScenario()
		c.steps(s)
		got := fmt.Sprint(s.quarantined())
		for _, jobID := range []string{"bad", "broken", "good", "late", "other", "wrong"} {
			if s.job(jobID).Verdict(s.now) == Suspect {
				got += " " + jobID
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, wanted %s", name, got, c.want)
		}
	}
}
