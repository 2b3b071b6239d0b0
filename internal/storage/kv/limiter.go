package kv

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/protocol"
)

// Smallest bursts of the budgets.
const (
	minRequestBurst = 4
	minWriteBurst   = 8 // the most that one transaction changes, with a margin
)

// Parts of the budgets that are left to what is more urgent.
const (
	usableShare       = 0.9  // of a node's share; the rest is for lease renewals, which do not wait
	backgroundReserve = 0.5  // of the burst, that background changes leave
	completionReserve = 0.25 // of the burst, that completions leave
)

// limiter holds this node's share of the budgets, requests and changes a second, and what
// the state service takes. The rate limiters and the limits have their own locks; only
// setShare changes the rates. Leases do not pass here.
type limiter struct {
	requests *rate.Limiter
	writes   *rate.Limiter
	limits   *learnedLimits
}

// newLimiter starts with half of the budgets, until the node knows its share.
func newLimiter(initial protocol.StateLimits) *limiter {
	return &limiter{
		requests: rate.NewLimiter(rate.Limit(initial.RequestRate/2), max(minRequestBurst, int(initial.RequestRate/8))),
		writes:   rate.NewLimiter(rate.Limit(initial.WriteRate/2), max(minWriteBurst, int(initial.WriteRate/3))),
		limits:   newLearnedLimits(initial),
	}
}

// setShare sets this node's part of the budgets, from 0 to 1, a tenth of which stays
// unused.
func (l *limiter) setShare(share float64) {
	share *= usableShare
	requestRate, writeRate := l.limits.effective().RequestRate, l.limits.writeRate(time.Now())
	l.requests.SetLimit(rate.Limit(requestRate * share))
	l.writes.SetLimit(rate.Limit(writeRate * share))
	l.requests.SetBurst(max(minRequestBurst, int(requestRate*share/2)))
	l.writes.SetBurst(max(minWriteBurst, int(writeRate*share)))
}

// waitForRequest waits until the budget allows a request, and takes it.
func (l *limiter) waitForRequest(ctx context.Context) error {
	if err := l.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}

// requestDelay is how long it takes until the budget allows a request; 0 if it does now.
func (l *limiter) requestDelay(now time.Time) time.Duration {
	tokens := l.requests.TokensAt(now)
	if tokens >= 1 {
		return 0
	}
	return tokenDelay(1-tokens, l.requests.Limit())
}

// urgentReserve is the budget that a transaction leaves to more urgent ones. None
// waits for that for ever, since waiting makes it more urgent.
func (l *limiter) urgentReserve(t *Txn, now time.Time) float64 {
	switch t.effectivePriority(now) {
	case PriorityBackground:
		return float64(l.writes.Burst()) * backgroundReserve
	case PriorityCompletion:
		return float64(l.writes.Burst()) * completionReserve
	}
	return 0
}

// tokenDelay is how long it takes until a budget has so much more than now.
func tokenDelay(missing float64, limit rate.Limit) time.Duration {
	return time.Duration(missing/max(float64(limit), 0.1)*float64(time.Second)) + time.Millisecond
}

// Constants by which the rate of changes is found.
const (
	minRateFactor    = 0.5                    // of the announced rate, unless a lower one is announced
	rateDecrease     = 0.95                   // what a refusal leaves of the rate
	decreaseInterval = 250 * time.Millisecond // between refusals that count; those of one burst are one
	recoveryPeriod   = 50 * time.Second       // in which a rate that is not refused grows by the whole
)

// learnedLimits are what the state service takes, as far as this client knows. The service
// may lower them at some moment without notice; which ones it will have then is known from
// the settings. A refusal of what only the lower limits exclude proves that the moment
// has come. The rate is found from its refusals alone. Limits once lowered stay so; the
// rate falls and recovers.
type learnedLimits struct {
	mu            sync.Mutex
	initial       protocol.StateLimits // guarded by mu, as all below
	announced     protocol.StateLimits
	lowered       bool
	rateFactor    float64 // part of the announced rate of changes that the service takes
	rateUpdatedAt time.Time
}

func newLearnedLimits(initial protocol.StateLimits) *learnedLimits {
	return &learnedLimits{initial: initial, announced: initial, rateFactor: 1}
}

// announce takes the limits that the service will have.
func (l *learnedLimits) announce(next protocol.StateLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = l.initial.LoweredBy(next)
}

// effective are the limits on values and transactions.
func (l *learnedLimits) effective() protocol.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered {
		return l.announced
	}
	return l.initial
}

// recordRefused takes note of a refused request: if only the announced limits exclude it,
// they hold from now on. It reports whether that is new.
func (l *learnedLimits) recordRefused(merged *Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered || merged.fitsIn(l.announced) || !merged.fitsIn(l.initial) {
		return false
	}
	l.lowered = true
	return true
}

// writeRate is how many changes a second the service takes from all controllers.
func (l *learnedLimits) writeRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoverRate(now)
	return l.fullWriteRate() * l.rateFactor
}

// recordRateLimited takes note that the service refused changes for their rate.
func (l *learnedLimits) recordRateLimited(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.rateUpdatedAt) < decreaseInterval {
		return
	}
	l.recoverRate(now)
	minFactor := minRateFactor
	if l.announced.WriteRate < l.initial.WriteRate {
		minFactor = l.announced.WriteRate / l.fullWriteRate()
	}
	l.rateFactor = max(minFactor, l.rateFactor*rateDecrease)
}

// fullWriteRate is the rate of changes of the limits that hold. The mutex is held by the
// caller.
func (l *learnedLimits) fullWriteRate() float64 {
	if l.lowered {
		return l.announced.WriteRate
	}
	return l.initial.WriteRate
}

// recoverRate lets the rate grow for the time since it was last updated. The mutex is held
// by the caller.
func (l *learnedLimits) recoverRate(now time.Time) {
	if !l.rateUpdatedAt.IsZero() {
		l.rateFactor = min(1, l.rateFactor+now.Sub(l.rateUpdatedAt).Seconds()/recoveryPeriod.Seconds())
	}
	l.rateUpdatedAt = now
}
