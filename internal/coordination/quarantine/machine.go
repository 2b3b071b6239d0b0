package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// avoidDuration is for how long a job stays away from a machine that failed it.
	avoidDuration = 30 * time.Second
	// The weights of failures against a machine: of a job that goes well elsewhere,
	// of one that has done so again and again, and of one of which nothing is known.
	weightHealthy, weightRepeated, weightUnknown = 2, 3, 1
	// quarantineWeight is the weight that condemns. Two jobs of which nothing is known do not
	// reach it: both may have been submitted with a mistake.
	quarantineWeight = 3
)

// MachineEvidence is what is known of one machine. The zero value is one that never failed.
type MachineEvidence struct {
	failures map[string]jobFailures // by job
}

// jobFailures is a job's failures on a machine.
type jobFailures struct {
	lastFailure time.Time
	attempts    int // tries that failed, those of one moment counted once
}

// RecordFailure notes that a task of a job, begun at some time, failed there.
func (m *MachineEvidence) RecordFailure(ref string, began, now time.Time) {
	if m.failures == nil {
		m.failures = make(map[string]jobFailures)
	}
	s := m.failures[ref]
	if s.attempts == 0 || began.After(s.lastFailure) {
		s.attempts++
	}
	s.lastFailure = now
	m.failures[ref] = s
}

// Succeeded notes that a task that began at some time went well there. Only what began
// after a failure speaks for the machine: a sick one may well complete what it
// began before.
func (m *MachineEvidence) Succeeded(began time.Time) {
	maps.DeleteFunc(m.failures, func(_ string, s jobFailures) bool { return began.After(s.lastFailure) })
}

// Failing tells that some job has failed there and nothing went well since.
func (m *MachineEvidence) Failing() bool { return len(m.failures) > 0 }

// Avoids tells that a job failed there lately and should be tried elsewhere.
func (m *MachineEvidence) Avoids(ref string, now time.Time) bool {
	s, ok := m.failures[ref]
	return ok && now.Sub(s.lastFailure) < avoidDuration
}

// AvoidedBy lists the jobs that should be tried elsewhere.
func (m *MachineEvidence) AvoidedBy(now time.Time) []string {
	var out []string
	for _, ref := range slices.Sorted(maps.Keys(m.failures)) {
		if m.Avoids(ref, now) {
			out = append(out, ref)
		}
	}
	return out
}

// Quarantine weighs the failures by the standing of their jobs, and names the jobs on
// whose word the machine is condemned. It may be taken back when a job turns out to
// fail everywhere.
func (m *MachineEvidence) Quarantine(standing func(ref string) Verdict, now time.Time) ([]string, bool) {
	weight := 0
	var on []string
	for _, ref := range slices.Sorted(maps.Keys(m.failures)) {
		s := m.failures[ref]
		if now.Sub(s.lastFailure) > evidenceTTL {
			delete(m.failures, ref)
			continue
		}
		switch standing(ref) {
		case Suspect:
			continue
		case Unknown:
			weight += weightUnknown
		case Healthy:
			if weight += weightHealthy; s.attempts > 1 {
				weight += weightRepeated - weightHealthy
			}
		}
		on = append(on, ref)
	}
	return on, weight >= quarantineWeight
}
