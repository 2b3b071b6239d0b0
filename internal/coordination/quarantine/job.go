package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Verdict is whether a job is known to run without failing.
type Verdict int

// The verdicts on a job.
const (
	Unknown Verdict = iota // no task of it has succeeded since a failure
	Healthy                // a task of it has succeeded since a failure
	Suspect                // it fails on every machine it runs on
)

const (
	// suspectMachines is on how many machines a job has to fail, and succeed on none, before
	// the job is suspected. One machine may be faulty, and the next attempt is elsewhere.
	suspectMachines = 2
	// evidenceTTL is the age from which a failure or success no longer counts, for a job or
	// a machine. A suspected job that found no capacity for an attempt starts anew then.
	evidenceTTL = 2 * time.Minute
	// A task's run counts as a success once it lasts longer than the longest failed run by
	// successFactor and successMargin: failures do not all take the same time.
	successFactor = 2
	successMargin = 5 * time.Second

	minRetryPause, maxRetryPause, retryMultiplier = 2 * time.Second, 30 * time.Second, 2
)

// JobEvidence is what is known of one job. The zero value is a job that never failed.
type JobEvidence struct {
	failedOn       map[string]time.Time // last failure, by host
	longestFailure time.Duration        // longest run of a task that failed
	succeededAt    time.Time            // last success after a failure
	retryBackoff   *backoff.ExponentialBackOff
	retryAt        time.Time
}

// RecordFailure records that a task failed on a host after it ran for so long. Unless the
// job is healthy it is in backoff from then on, for a pause that grows from 2 s to 30 s with
// each attempt. spread, from 0 up to 1, sets the pause between a half and one and a half of
// that, so that jobs that failed together are not retried together.
func (j *JobEvidence) RecordFailure(host string, ran time.Duration, spread float64, now time.Time) {
	j.prune(now)
	if j.failedOn == nil {
		j.failedOn = make(map[string]time.Time)
	}
	j.failedOn[host], j.longestFailure = now, max(j.longestFailure, ran)
	sameAttempt := now.Before(j.retryAt)
	if j.healthy(now) || sameAttempt {
		return // if healthy, the machine is at fault, and other tasks go on
	}
	if j.retryBackoff == nil {
		j.retryBackoff = newRetryBackoff()
	}
	wait := j.retryBackoff.NextBackOff()
	j.retryAt = now.Add(wait/2 + time.Duration(spread*float64(wait)))
}

// newRetryBackoff returns the pauses of a job that fails. They have no random part: the
// spread is an argument of RecordFailure, so that a run can be repeated.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minRetryPause, maxRetryPause, retryMultiplier
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// OutlastsFailures reports whether a task that has run for so long counts as a success.
func (j *JobEvidence) OutlastsFailures(ran time.Duration) bool {
	return ran >= successFactor*j.longestFailure+successMargin
}

// Failing reports whether the job has failed lately and has not succeeded since.
func (j *JobEvidence) Failing(now time.Time) bool { return len(j.failedOn) > 0 && !j.healthy(now) }

// healthy reports whether a task of the job has succeeded lately. A success expires, so that
// a job that goes on failing is judged anew: only its later tasks may read what is wrong.
func (j *JobEvidence) healthy(now time.Time) bool {
	return !j.succeededAt.IsZero() && now.Sub(j.succeededAt) <= evidenceTTL
}

// Succeeded records that a task of the job succeeded, which ends its backoff.
func (j *JobEvidence) Succeeded(now time.Time) {
	if len(j.failedOn) == 0 {
		return
	}
	j.succeededAt, j.retryAt = now, time.Time{}
	if j.retryBackoff != nil {
		j.retryBackoff.Reset()
	}
}

// Exonerate drops the job's failure on a host whose machine is known to be faulty.
func (j *JobEvidence) Exonerate(host string) {
	if _, ok := j.failedOn[host]; !ok {
		return
	}
	if delete(j.failedOn, host); len(j.failedOn) < suspectMachines {
		j.retryAt = time.Time{}
	}
}

// Verdict returns what is known of the job now.
func (j *JobEvidence) Verdict(now time.Time) Verdict {
	j.prune(now)
	switch {
	case j.healthy(now):
		return Healthy
	case len(j.failedOn) >= suspectMachines:
		return Suspect
	}
	return Unknown
}

// InBackoff reports whether no task of the job should start yet.
func (j *JobEvidence) InBackoff(now time.Time) bool { return now.Before(j.retryAt) }

// FailedHosts returns the hosts on which the job has failed lately, in order.
func (j *JobEvidence) FailedHosts() []string { return slices.Sorted(maps.Keys(j.failedOn)) }

// prune drops failures older than evidenceTTL, and everything once none is left.
func (j *JobEvidence) prune(now time.Time) {
	for host, at := range j.failedOn {
		if now.Sub(at) > evidenceTTL {
			delete(j.failedOn, host)
		}
	}
	if len(j.failedOn) == 0 {
		j.succeededAt, j.longestFailure = time.Time{}, 0
		if j.retryBackoff != nil {
			j.retryBackoff.Reset()
		}
	}
}
