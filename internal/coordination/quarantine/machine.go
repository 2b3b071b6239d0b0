package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// avoidDuration is how long a job avoids a machine on which it failed.
	avoidDuration = 30 * time.Second
	// The weights of a job's failures against a machine: of a healthy job, which succeeds
	// elsewhere, of a healthy job that has failed there in several attempts, and of a job with
	// the verdict Unknown.
	weightHealthy, weightRepeated, weightUnknown = 2, 3, 1
	// quarantineWeight is the weight from which a machine is quarantined. The failures of two
	// jobs with the verdict Unknown stay below this weight, since both jobs may be broken.
	quarantineWeight = 3
)

// MachineEvidence holds the recent failures of jobs on one machine. The zero value is a
// machine on which no task has failed.
type MachineEvidence struct {
	failures map[string]jobFailures // by job ID
}

// jobFailures holds the failures of one job on a machine.
type jobFailures struct {
	lastFailure time.Time
	attempts    int // failed attempts; tasks that ran at the same time count as one
}

// RecordFailure records that a task of a job, started at startedAt, failed on the machine.
func (m *MachineEvidence) RecordFailure(jobID string, startedAt, now time.Time) {
	if m.failures == nil {
		m.failures = make(map[string]jobFailures)
	}
	f := m.failures[jobID]
	if f.attempts == 0 || startedAt.After(f.lastFailure) {
		f.attempts++
	}
	f.lastFailure = now
	m.failures[jobID] = f
}

// RecordSuccess records that a task started at startedAt succeeded on the machine, which
// drops the failures before that instant. Later failures stay: a faulty machine may still
// complete tasks that it started before the fault.
func (m *MachineEvidence) RecordSuccess(startedAt time.Time) {
	maps.DeleteFunc(m.failures, func(_ string, f jobFailures) bool { return startedAt.After(f.lastFailure) })
}

// Failing reports whether a job has failed on the machine and no task that started later has
// succeeded there.
func (m *MachineEvidence) Failing() bool { return len(m.failures) > 0 }

// IsAvoidedBy reports whether a job failed on the machine within avoidDuration and should be
// placed elsewhere.
func (m *MachineEvidence) IsAvoidedBy(jobID string, now time.Time) bool {
	f, ok := m.failures[jobID]
	return ok && now.Sub(f.lastFailure) < avoidDuration
}

// AvoidedBy returns the IDs of the jobs whose tasks should be placed on other machines,
// sorted.
func (m *MachineEvidence) AvoidedBy(now time.Time) []string {
	var jobIDs []string
	if len(m.failures) == 0 {
		return nil // fast path: most machines have no failures, and every machine is checked in each pass
	}
	for _, jobID := range slices.Sorted(maps.Keys(m.failures)) {
		if m.IsAvoidedBy(jobID, now) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}

// ShouldQuarantine weighs the failures on the machine by the verdicts on their jobs. It
// returns the IDs of the jobs that count against the machine, sorted, and reports whether
// the machine should be quarantined. A later call may report false again: a job that counted
// may turn out to fail on every machine. Failures older than evidenceTTL are dropped.
func (m *MachineEvidence) ShouldQuarantine(verdict func(jobID string) Verdict, now time.Time) ([]string, bool) {
	weight := 0
	var countedJobs []string
	for _, jobID := range slices.Sorted(maps.Keys(m.failures)) {
		f := m.failures[jobID]
		if now.Sub(f.lastFailure) > evidenceTTL {
			delete(m.failures, jobID)
			continue
		}
		switch verdict(jobID) {
		case Suspect:
			continue
		case Unknown:
			weight += weightUnknown
		case Healthy:
			if weight += weightHealthy; f.attempts > 1 {
				weight += weightRepeated - weightHealthy
			}
		}
		countedJobs = append(countedJobs, jobID)
	}
	return countedJobs, weight >= quarantineWeight
}
