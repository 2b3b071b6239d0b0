package kv

import (
	"sync"
	"time"

	"madderslip/internal/protocol"
)

// limits are what the state service takes, as far as this client knows. The service may
// lower them at some moment without notice; which ones it will have then is known from
// the settings. A refusal of what only the lower limits exclude proves that the moment
// has come. The rate is found from its refusals alone.
type limits struct {
	mu      sync.Mutex
	now     protocol.StateLimits
	next    protocol.StateLimits
	lowered bool
	rate    float64 // part of the announced rate of changes that the service takes
	at      time.Time
}

const (
	leastRate   = 0.5                    // of the announced rate, unless a lower one is announced
	slowBy      = 0.95                   // what a refusal leaves of the rate
	slowGap     = 250 * time.Millisecond // between refusals that count; those of one burst are one
	fasterEvery = 50 * time.Second       // in which a rate that is not refused grows by the whole
)

func newLimits(now protocol.StateLimits) *limits { return &limits{now: now, next: now, rate: 1} }

// expect takes the limits that the service will have.
func (l *limits) expect(next protocol.StateLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = l.now.LoweredBy(next)
}

// sizes are the limits on values and transactions.
func (l *limits) sizes() protocol.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered {
		return l.next
	}
	return l.now
}

// proves takes note of a refused request: if only the next limits exclude it, they hold
// from now on. It tells whether that is new.
func (l *limits) proves(refused *Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered || refused.fitsIn(l.next) || !refused.fitsIn(l.now) {
		return false
	}
	l.lowered = true
	return true
}

// condsPerOp is how many conditions a transaction may have for each change that it may.
const condsPerOp = 4

// writeRate is how many changes a second the service takes from all controllers.
func (l *limits) writeRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recover(now)
	return l.base() * l.rate
}

// tooMany notes that the service refused changes for their rate.
func (l *limits) tooMany(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) < slowGap {
		return
	}
	l.recover(now)
	least := leastRate
	if l.next.WriteRate < l.now.WriteRate {
		least = l.next.WriteRate / l.base()
	}
	l.rate = max(least, l.rate*slowBy)
}

func (l *limits) base() float64 {
	if l.lowered {
		return l.next.WriteRate
	}
	return l.now.WriteRate
}

func (l *limits) recover(now time.Time) {
	if !l.at.IsZero() {
		l.rate = min(1, l.rate+now.Sub(l.at).Seconds()/fasterEvery.Seconds())
	}
	l.at = now
}
