package admission

import (
	"math"
	"time"
)

// Backlog is the work that waits for a rate-limited budget.
type Backlog struct {
	Pending     int     // changes that are executed before a new one
	Rate        float64 // changes per second that the budget allows
	Unavailable bool    // nothing has been executed for a while
}

// DrainTime returns how long a new change would wait; without any rate, the longest
// duration.
func (b Backlog) DrainTime() time.Duration {
	if b.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(b.Pending) / b.Rate * float64(time.Second))
}

const (
	// minRetryAfter is the shortest time that a client is told to wait, and the unit to
	// which the time is rounded.
	minRetryAfter = time.Second
	// unavailableRetryAfter is the shortest time while the budget executes nothing.
	unavailableRetryAfter = 2 * time.Second
	// maxRetryAfter is the longest time. A client retries for a minute in all, so it is left
	// several attempts in any case.
	maxRetryAfter = 20 * time.Second
)

// RetryAfter returns when a refused client should retry: after the backlog should have
// drained, in whole seconds from 1 s to 20 s. spread, from 0 up to but not including 1 and
// different for each client, adds up to as much again, which prevents clients that were
// refused together from retrying together.
func (b Backlog) RetryAfter(spread float64) time.Duration {
	wait := min(b.DrainTime(), maxRetryAfter/2)
	if b.Unavailable {
		wait = max(wait, unavailableRetryAfter)
	}
	wait += time.Duration(spread * float64(wait))
	return min(max(minRetryAfter, wait.Round(minRetryAfter)), maxRetryAfter)
}

// ShouldShed reports whether a new change would not be executed within the time that its
// client waits, so that the request is better refused at once.
func (b Backlog) ShouldShed(within time.Duration) bool { return b.DrainTime() > within }
