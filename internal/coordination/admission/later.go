package admission

import (
	"math"
	"time"
)

// Backlog is what waits for a budget.
type Backlog struct {
	Pending     int     // changes that go before a new one
	Rate        float64 // changes a second that the budget allows
	Unavailable bool    // nothing has been executed for a while
}

// DrainTime is how long something new would wait.
func (b Backlog) DrainTime() time.Duration {
	if b.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(b.Pending) / b.Rate * float64(time.Second))
}

// maxRetryAfter is the longest that a client is sent away for. It asks for a minute in
// all, so that it has several tries left whatever it is told.
const maxRetryAfter = 20 * time.Second

// RetryAfter is what a client is told that is turned away: when the backlog should
// have been worked off, in whole seconds, one at least. The spread, from 0 up to 1
// and different for each client, keeps those that were turned away together from
// coming back together.
func (b Backlog) RetryAfter(spread float64) time.Duration {
	wait := min(b.DrainTime(), maxRetryAfter/2)
	if b.Unavailable {
		wait = max(wait, 2*time.Second)
	}
	wait += time.Duration(spread * float64(wait))
	return min(max(time.Second, wait.Round(time.Second)), maxRetryAfter)
}

// ShouldShed tells that something new would not be served in the time that its
// client waits. It is better told so at once than in the end.
func (b Backlog) ShouldShed(within time.Duration) bool { return b.DrainTime() > within }
