package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Verdict is the assessment of a job by the recent failures and successes of its tasks.
type Verdict int

// The verdicts on a job.
const (
	Unknown Verdict = iota // no recent success, and failures on too few machines to suspect the job
	Healthy                // a task succeeded recently, after a failure of the job
	Suspect                // the job fails on every machine that it runs on
)

const (
	// suspectMinMachines is the number of machines on which a job has to fail, and succeed on
	// none, before the job is suspected. A single machine may itself be faulty, and the next
	// attempt is made on another one.
	suspectMinMachines = 2
	// evidenceTTL is the age from which a failure or success no longer counts, for a job or
	// a machine. A suspected job that found no capacity for another attempt by then is
	// Unknown again.
	evidenceTTL = 2 * time.Minute
	// A running task counts as a success once it has run for successFactor times the longest
	// failed run plus successMargin: failures do not all take the same time.
	successFactor = 2
	successMargin = 5 * time.Second

	minRetryPause, maxRetryPause, retryMultiplier = 2 * time.Second, 30 * time.Second, 2
)

// JobEvidence holds the recent failures and successes of one job. The zero value is a job
// that never failed.
type JobEvidence struct {
	failedOn       map[string]time.Time // time of the job's last failure, by host
	longestFailure time.Duration        // longest run time of a task that failed
	succeededAt    time.Time            // time of the job's last success after a failure
	retryBackoff   *backoff.ExponentialBackOff
	retryAt        time.Time
}

// RecordFailure records that a task failed on a host after it had run for runTime. Unless
// the job is healthy, the job then backs off for a pause that grows from 2 s to 30 s with
// each attempt. jitter, from 0 up to 1, scales the pause to between 0.5 and 1.5 times its
// length, so that jobs that failed together are not retried together.
func (j *JobEvidence) RecordFailure(host string, runTime time.Duration, jitter float64, now time.Time) {
	j.prune(now)
	if j.failedOn == nil {
		j.failedOn = make(map[string]time.Time)
	}
	j.failedOn[host], j.longestFailure = now, max(j.longestFailure, runTime)
	sameAttempt := now.Before(j.retryAt)
	if j.healthy(now) || sameAttempt {
		return // a healthy job does not back off, since the machine is at fault; further failures of the same attempt do not lengthen the pause
	}
	if j.retryBackoff == nil {
		j.retryBackoff = newRetryBackoff()
	}
	wait := j.retryBackoff.NextBackOff()
	j.retryAt = now.Add(wait/2 + time.Duration(jitter*float64(wait)))
}

// newRetryBackoff returns the backoff for the retries of a failing job. The pauses have no
// random part: jitter is an argument of RecordFailure, so that a run is reproducible.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minRetryPause, maxRetryPause, retryMultiplier
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// OutlastsFailures reports whether a task that has run for runTime counts as a success.
func (j *JobEvidence) OutlastsFailures(runTime time.Duration) bool {
	return runTime >= successFactor*j.longestFailure+successMargin
}

// Failing reports whether the job has recent failures and no recent success.
func (j *JobEvidence) Failing(now time.Time) bool { return len(j.failedOn) > 0 && !j.healthy(now) }

// healthy reports whether a task of the job has succeeded within evidenceTTL. A success
// expires so that a job that keeps failing is assessed again: possibly only its later tasks
// read the input that makes them fail.
func (j *JobEvidence) healthy(now time.Time) bool {
	return !j.succeededAt.IsZero() && now.Sub(j.succeededAt) <= evidenceTTL
}

// RecordSuccess records that a task of the job succeeded, which ends its backoff.
func (j *JobEvidence) RecordSuccess(now time.Time) {
	if len(j.failedOn) == 0 {
		return
	}
	j.succeededAt, j.retryAt = now, time.Time{}
	if j.retryBackoff != nil {
		j.retryBackoff.Reset()
	}
}

// DropFailure drops the job's failure on a host whose machine is known to be faulty. The
// backoff ends if fewer than suspectMinMachines machines with a failure of the job remain.
func (j *JobEvidence) DropFailure(host string) {
	if _, ok := j.failedOn[host]; !ok {
		return
	}
	if delete(j.failedOn, host); len(j.failedOn) < suspectMinMachines {
		j.retryAt = time.Time{}
	}
}

// Verdict returns the verdict on the job by the evidence that has not expired.
func (j *JobEvidence) Verdict(now time.Time) Verdict {
	j.prune(now)
	switch {
	case j.healthy(now):
		return Healthy
	case len(j.failedOn) >= suspectMinMachines:
		return Suspect
	}
	return Unknown
}

// InBackoff reports whether no task of the job should start yet.
func (j *JobEvidence) InBackoff(now time.Time) bool { return now.Before(j.retryAt) }

// FailedHosts returns the hosts on which the job has failed recently, sorted.
func (j *JobEvidence) FailedHosts() []string { return slices.Sorted(maps.Keys(j.failedOn)) }

// prune drops failures older than evidenceTTL. Once no failure is left, it also drops the
// success and the longest failed run, and resets the backoff to the shortest pause.
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
