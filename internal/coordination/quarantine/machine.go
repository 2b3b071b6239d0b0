package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// avoidDuration is how long a job avoids a machine on which it failed.
	avoidDuration = 30 * time.Second
	// The weights of a job's failures against a machine: of a job that succeeds elsewhere,
	// of one that does and has failed there in several attempts, and of one of which
	// nothing is known.
	weightHealthy, weightRepeated, weightUnknown = 2, 3, 1
	// quarantineWeight is the weight from which a machine is quarantined. Two jobs of which
	// nothing is known do not reach it: both may have been submitted with a mistake.
	quarantineWeight = 3
)

// MachineEvidence is what is known of one machine. The zero value is one that never failed.
type MachineEvidence struct {
	failures map[string]jobFailures // by job ID
}

// jobFailures is a job's failures on a machine.
type jobFailures struct {
	lastFailure time.Time
	attempts    int // failed attempts; tasks that ran at the same time are one
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

// Succeeded records that a task started at startedAt succeeded on the machine, which drops
// the failures before that instant. Later failures stay: a faulty machine may well complete
// what it started before the fault.
func (m *MachineEvidence) Succeeded(startedAt time.Time) {
	maps.DeleteFunc(m.failures, func(_ string, f jobFailures) bool { return startedAt.After(f.lastFailure) })
}

// Failing reports whether a job has failed on the machine and none has succeeded since.
func (m *MachineEvidence) Failing() bool { return len(m.failures) > 0 }

// Avoids reports whether a job failed on the machine lately and should be placed elsewhere.
func (m *MachineEvidence) Avoids(jobID string, now time.Time) bool {
	f, ok := m.failures[jobID]
	return ok && now.Sub(f.lastFailure) < avoidDuration
}

// AvoidedBy returns the IDs of the jobs that should be placed elsewhere, in order.
func (m *MachineEvidence) AvoidedBy(now time.Time) []string {
	var jobIDs []string
	if len(m.failures) == 0 {
		return nil // of most machines, each of which is asked in every pass
	}
	for _, jobID := range slices.Sorted(maps.Keys(m.failures)) {
		if m.Avoids(jobID, now) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}

// Quarantine weighs the failures on the machine by the verdicts on their jobs. It returns
// the IDs of the jobs that count against the machine, in order, and reports whether it
// should be quarantined. A later call may report false again, when a job turns out to fail
// on every machine. Failures older than evidenceTTL are dropped.
func (m *MachineEvidence) Quarantine(verdict func(jobID string) Verdict, now time.Time) ([]string, bool) {
	weight := 0
	var against []string
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
		against = append(against, jobID)
	}
	return against, weight >= quarantineWeight
}
