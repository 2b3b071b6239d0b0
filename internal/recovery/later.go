package recovery

import (
	"math"
	"time"
)

// Backlog is what waits for a budget.
type Backlog struct {
	Waiting int     // changes that go before a new one
	Rate    float64 // changes a second that the budget allows
	Down    bool    // nothing has been executed for a while
}

// Wait is how long something new would wait.
func (b Backlog) Wait() time.Duration {
	if b.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(b.Waiting) / b.Rate * float64(time.Second))
}

// longest is the longest that a client is sent away for. It asks for a minute in
// all, so that it has several tries left whatever it is told.
const longest = 20 * time.Second

// ComeBack is what a client is told that is turned away: when the backlog should
// have been worked off, in whole seconds, one at least. The spread, from 0 up to 1
// and different for each client, keeps those that were turned away together from
// coming back together.
func (b Backlog) ComeBack(spread float64) time.Duration {
	wait := min(b.Wait(), longest/2)
	if b.Down {
		wait = max(wait, 2*time.Second)
	}
	wait += time.Duration(spread * float64(wait))
	return min(max(time.Second, wait.Round(time.Second)), longest)
}

// Refuse tells that something new would not be served in the time that its
// client waits. It is better told so at once than in the end.
func (b Backlog) Refuse(within time.Duration) bool { return b.Wait() > within }
