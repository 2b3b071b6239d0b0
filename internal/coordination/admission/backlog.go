package admission

import (
	"math"
	"time"
)

// Backlog describes the queued operations of a rate-limited service.
type Backlog struct {
	Pending     int     // queued operations that are executed before a new one
	Rate        float64 // operations per second that the budget allows
	Unavailable bool    // the service has executed nothing for a while
}

// DrainTime returns how long a new operation would be queued, or the longest duration if the
// rate is not above 0.
func (b Backlog) DrainTime() time.Duration {
	if b.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(b.Pending) / b.Rate * float64(time.Second))
}

const (
	// minRetryAfter is the shortest retry time, and the unit to which retry times are
	// rounded.
	minRetryAfter = time.Second
	// unavailableRetryAfter is the shortest retry time while the service executes no
	// operations.
	unavailableRetryAfter = 2 * time.Second
	// maxRetryAfter is the longest retry time. Clients retry for a minute in all, so 20 s
	// leaves every client several attempts.
	maxRetryAfter = 20 * time.Second
)

// RetryAfter returns the time after which a refused client should retry: the drain time of
// the backlog, in whole seconds from 1 s to 20 s. spread, from 0 up to but not including 1
// and different for each client, lengthens the time to less than twice its value, which
// prevents clients that were refused together from retrying together.
func (b Backlog) RetryAfter(spread float64) time.Duration {
	wait := min(b.DrainTime(), maxRetryAfter/2)
	if b.Unavailable {
		wait = max(wait, unavailableRetryAfter)
	}
	wait += time.Duration(spread * float64(wait))
	return min(max(minRetryAfter, wait.Round(minRetryAfter)), maxRetryAfter)
}

// ShouldShed reports whether a new operation would be queued for longer than its client
// waits. Such a request should be refused at once.
func (b Backlog) ShouldShed(within time.Duration) bool { return b.DrainTime() > within }
