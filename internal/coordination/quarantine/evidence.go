package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Verdict is what is known of a job's soundness.
type Verdict int

const (
	Unknown Verdict = iota // nothing of it has gone well since a failure
	Healthy                // a task of it went well on another machine since
	Suspect                // it fails wherever it runs
)

const (
	// suspectMachines is on how many machines a job must fail, and go well on none, before
	// the job is suspected. One may be sick, and the job's next try is elsewhere.
	suspectMachines = 2
	// evidenceTTL is when a failure says nothing any more, of a job or of a machine. A
	// suspected job that found no room to be tried in begins anew then.
	evidenceTTL = 2 * time.Minute
	// successMargin is by how much a task must outlast those that failed to speak for
	// its job: they do not all fail after the same time.
	successMargin = 5 * time.Second

	minRetryPause, maxRetryPause = 2 * time.Second, 30 * time.Second
)

// JobEvidence is what is known of one job. The zero value is a job that never failed.
type JobEvidence struct {
	failedOn       map[string]time.Time // machines on which it failed, and when last
	longestFailure time.Duration        // the longest that a failing task ran
	succeededAt    time.Time            // when something of it last went well after a failure
	retryBackoff   *backoff.ExponentialBackOff
	retryAt        time.Time
}

// RecordFailure notes that a task ran for so long on a machine and failed. spread, from 0
// up to 1, keeps jobs that failed together from being tried together. Jobs that are
// suspected, or fail on one machine only, are tried again after a pause that grows.
func (j *JobEvidence) RecordFailure(host string, ran time.Duration, spread float64, now time.Time) {
	j.prune(now)
	if j.failedOn == nil {
		j.failedOn = make(map[string]time.Time)
	}
	j.failedOn[host], j.longestFailure = now, max(j.longestFailure, ran)
	if j.healthy(now) || now.Before(j.retryAt) {
		return // of the same try, or the machine's fault: others go on
	}
	if j.retryBackoff == nil {
		j.retryBackoff = backoff.NewExponentialBackOff()
		j.retryBackoff.InitialInterval, j.retryBackoff.MaxInterval, j.retryBackoff.Multiplier = minRetryPause, maxRetryPause, 2
		j.retryBackoff.RandomizationFactor = 0 // the spread comes from outside, so that it can be repeated
		j.retryBackoff.Reset()
	}
	wait := j.retryBackoff.NextBackOff()
	j.retryAt = now.Add(wait/2 + time.Duration(spread*float64(wait)))
}

// OutlastsFailures tells whether a task that has run for so long speaks for its job.
func (j *JobEvidence) OutlastsFailures(ran time.Duration) bool {
	return ran >= 2*j.longestFailure+successMargin
}

// Failing tells that the job has failed lately and nothing of it went well since.
func (j *JobEvidence) Failing(now time.Time) bool { return len(j.failedOn) > 0 && !j.healthy(now) }

// healthy tells that something of it went well not long ago. One that goes on failing is
// judged anew: a mistake may be in what only its later tasks read.
func (j *JobEvidence) healthy(now time.Time) bool {
	return !j.succeededAt.IsZero() && now.Sub(j.succeededAt) <= evidenceTTL
}

// Succeeded notes that a task of the job went well. All pauses end.
func (j *JobEvidence) Succeeded(now time.Time) {
	if len(j.failedOn) == 0 {
		return
	}
	j.succeededAt, j.retryAt = now, time.Time{}
	if j.retryBackoff != nil {
		j.retryBackoff.Reset()
	}
}

// Exonerate takes a machine's word against the job back: the machine is sick.
func (j *JobEvidence) Exonerate(host string) {
	if _, ok := j.failedOn[host]; !ok {
		return
	}
	if delete(j.failedOn, host); len(j.failedOn) < suspectMachines {
		j.retryAt = time.Time{}
	}
}

// Verdict is what is known of the job now.
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

// InBackoff tells that no task of the job should start yet.
func (j *JobEvidence) InBackoff(now time.Time) bool { return now.Before(j.retryAt) }

// FailedHosts lists the machines that speak against the job, in order.
func (j *JobEvidence) FailedHosts() []string { return slices.Sorted(maps.Keys(j.failedOn)) }

// prune drops what is too old to say anything.
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
