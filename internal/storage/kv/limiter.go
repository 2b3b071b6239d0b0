package kv

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/protocol"
)

// Minimum bursts of the budgets.
const (
	minRequestBurst = 4
	minWriteBurst   = 8 // minimum burst of writes: the largest number of changes in one transaction, with a margin
)

// Parts of the budgets that are reserved for more urgent uses.
const (
	usableShare       = 0.9  // part of the node's share that the limiter uses; the rest is for lease renewals, which bypass the limiter
	backgroundReserve = 0.5  // part of the write burst that background transactions leave unused
	completionReserve = 0.25 // part of the write burst that completions leave unused
)

// limiter holds this node's share of the budgets, requests and changes a second, and the
// limits of the state service. The rate limiters and the limits have their own locks; only
// setShare changes the rates. Lease calls bypass the limiter.
type limiter struct {
	requests *rate.Limiter
	writes   *rate.Limiter
	limits   *learnedLimits
}

// newLimiter returns a limiter with half of the budgets, which hold until setShare is called.
func newLimiter(initial protocol.StateLimits) *limiter {
	return &limiter{
		requests: rate.NewLimiter(rate.Limit(initial.RequestRate/2), max(minRequestBurst, int(initial.RequestRate/8))),
		writes:   rate.NewLimiter(rate.Limit(initial.WriteRate/2), max(minWriteBurst, int(initial.WriteRate/3))),
		limits:   newLearnedLimits(initial),
	}
}

// setShare sets this node's share of the budgets, from 0 to 1. Only usableShare of the share
// is used.
func (l *limiter) setShare(share float64) {
	share *= usableShare
	requests, changes := l.limits.effective().RequestRate, l.limits.writeRate(time.Now())
	l.requests.SetLimit(rate.Limit(requests * share))
	l.writes.SetLimit(rate.Limit(changes * share))
	l.requests.SetBurst(max(minRequestBurst, int(requests*share/2)))
	l.writes.SetBurst(max(minWriteBurst, int(changes*share)))
}

// waitForRequest waits until the request budget allows a request, and takes it from the
// budget.
func (l *limiter) waitForRequest(ctx context.Context) error {
	if err := l.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}

// requestDelay returns the time until the budget allows a request; 0 if it allows one now.
func (l *limiter) requestDelay(now time.Time) time.Duration {
	tokens := l.requests.TokensAt(now)
	if tokens >= 1 {
		return 0
	}
	return tokenDelay(1-tokens, l.requests.Limit())
}

// urgentReserve returns the part of the write budget that a transaction must leave to more
// urgent ones. No transaction waits forever because of this reserve, since waiting raises
// its effective priority.
func (l *limiter) urgentReserve(t *Txn, now time.Time) float64 {
	switch t.effectivePriority(now) {
	case PriorityBackground:
		return float64(l.writes.Burst()) * backgroundReserve
	case PriorityCompletion:
		return float64(l.writes.Burst()) * completionReserve
	}
	return 0
}

// tokenDelay returns the time until a budget has gained the missing tokens.
func tokenDelay(missing float64, limit rate.Limit) time.Duration {
	return time.Duration(missing/max(float64(limit), 0.1)*float64(time.Second)) + time.Millisecond
}

// Parameters by which the accepted write rate is inferred.
const (
	minRateFactor    = 0.5                    // lower bound of rateFactor; if a lower write rate is announced, the announced rate is the lower bound of the write rate instead
	rateDecrease     = 0.95                   // factor by which rateFactor is multiplied when the service refuses changes for their rate
	decreaseInterval = 250 * time.Millisecond // minimum time between decreases, so that a burst of refusals counts once
	recoveryPeriod   = 50 * time.Second       // time in which rateFactor grows by 1 without refusals
)

// learnedLimits are the limits of the state service, as inferred from its answers. The
// service may lower its limits at any time without notice, to the limits that the settings
// announce. When the service refuses a batch that exceeds only the announced limits, the
// announced limits take effect and remain in effect. The accepted write rate is inferred only from
// answers that refuse changes for their rate; it falls and recovers.
type learnedLimits struct {
	mu            sync.Mutex
	initial       protocol.StateLimits // guarded by mu, as are the fields below
	announced     protocol.StateLimits
	lowered       bool    // whether the announced limits are in effect
	rateFactor    float64 // part of fullWriteRate that the service accepts
	rateUpdatedAt time.Time
}

func newLearnedLimits(initial protocol.StateLimits) *learnedLimits {
	return &learnedLimits{initial: initial, announced: initial, rateFactor: 1}
}

// announce sets the limits that the service will have. Limits that are 0 or not lower than
// the initial ones change nothing.
func (l *learnedLimits) announce(next protocol.StateLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = l.initial.LoweredBy(next)
}

// effective returns the limits that are in effect. Its write rate is that of the limits, not
// the inferred one, which writeRate returns.
func (l *learnedLimits) effective() protocol.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered {
		return l.announced
	}
	return l.initial
}

// recordRefused records that the service refused a batch. merged holds all changes and
// conditions of the batch (see mergeBatch). If the batch exceeds only the announced limits,
// the announced limits are in effect from now on. The result reports whether this refusal put
// them into effect.
func (l *learnedLimits) recordRefused(merged *Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered || merged.fitsIn(l.announced) || !merged.fitsIn(l.initial) {
		return false
	}
	l.lowered = true
	return true
}

// writeRate returns how many changes a second the service accepts from all controllers
// together.
func (l *learnedLimits) writeRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoverRate(now)
	return l.fullWriteRate() * l.rateFactor
}

// recordRateLimited records that the service refused changes for their rate.
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

// fullWriteRate returns the write rate of the limits in effect. The caller holds the mutex.
func (l *learnedLimits) fullWriteRate() float64 {
	if l.lowered {
		return l.announced.WriteRate
	}
	return l.initial.WriteRate
}

// recoverRate raises the rate for the time since it was last updated. The caller holds the
// mutex.
func (l *learnedLimits) recoverRate(now time.Time) {
	if !l.rateUpdatedAt.IsZero() {
		l.rateFactor = min(1, l.rateFactor+now.Sub(l.rateUpdatedAt).Seconds()/recoveryPeriod.Seconds())
	}
	l.rateUpdatedAt = now
}
