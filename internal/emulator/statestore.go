package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// shardKeyPrefix is what the keys of shards' owners begin with.
const shardKeyPrefix = "madderslip/s/"

type storedValue struct {
	value   json.RawMessage
	version uint64
	leaseID uint64
}

type keyChange struct {
	Set     string          `json:"set,omitempty"`
	Deleted string          `json:"drop,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"stamp"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StateService is the state service.
type StateService struct {
	mu                 sync.Mutex
	keys               map[string]storedValue
	history            []keyChange
	minHistory         int    // how many changes a watch can go back, at least
	compactedAt        uint64 // the newest change that is no longer kept
	revision           uint64
	leases             map[uint64]*lease
	lastLeaseID        uint64
	changed            chan struct{}
	down               bool
	requestLimiter     *rate.Limiter
	writeLimiter       *rate.Limiter
	counts             Counts
	onShardOwnerChange func() // told, on its own, of a shard's new token
	sizeLimits         SizeLimits
	refusedForSize     map[string]int // transactions refused for their size, by the first key
}

// SizeLimits bound values and transactions; 0 is no bound. Four times as many conditions as
// changes may be in a transaction.
type SizeLimits struct{ ValueBytes, Changes int }

// SetSizeLimits sets the bounds on sizes from now on. What is stored stays readable.
func (s *StateService) SetSizeLimits(most SizeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeLimits = most
}

// RefusedForSize tells how many transactions were refused for their size, by the first
// key that each changes.
func (s *StateService) RefusedForSize() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusedForSize)
}

// Counts is what transactions with changes have come to.
type Counts struct{ Changes, Refused int }

// Counts tells how many changes were carried out, and transactions refused.
func (s *StateService) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func newStateService() *StateService {
	return &StateService{keys: make(map[string]storedValue), minHistory: 10_000, leases: make(map[uint64]*lease), changed: make(chan struct{}),
		refusedForSize: make(map[string]int), requestLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits sets the budgets; both allow bursts of one second's worth.
func (s *StateService) SetRateLimits(rps, writeRPS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// expireLeases ends leases until the context does. They end as much as 100 ms late, but
// never early.
func (s *StateService) expireLeases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(50*time.Millisecond + 41*time.Nanosecond):
		}
		s.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			late := time.Duration(id%3) * 45 * time.Millisecond
			if !s.down && time.Now().After(s.leases[id].expires.Add(late)) {
				s.expireLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *StateService) expireLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[key].leaseID == id {
			s.revision++
			delete(s.keys, key)
			s.appendChange(keyChange{Deleted: key, Version: s.revision})
		}
	}
	s.wakeWatches()
}

func (s *StateService) appendChange(c keyChange) {
	if s.history = append(s.history, c); len(s.history) > 2*s.minHistory {
		s.compactedAt = s.history[len(s.history)-s.minHistory-1].Version
		s.history = slices.Clone(s.history[len(s.history)-s.minHistory:])
	}
}

// Keys is what is stored, for checks once a test's work is over.
func (s *StateService) Keys() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]json.RawMessage, len(s.keys))
	for key, v := range s.keys {
		out[key] = v.value
	}
	return out
}

// Versions is the revision of each key's latest change.
func (s *StateService) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.keys))
	for key, v := range s.keys {
		out[key] = v.version
	}
	return out
}

func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage; after it every lease has its full time.
func (s *StateService) setOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, g := range s.leases {
		g.expires = time.Now().Add(g.ttl)
	}
	s.wakeWatches()
}
