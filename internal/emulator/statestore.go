package emulator

import (
	"cmp"
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

// storedValue is the value of a key.
type storedValue struct {
	value   json.RawMessage
	version uint64 // the revision of its latest change
	leaseID uint64 // of the lease with which the key ends; 0 for none
}

// keyChange is a change of a key, as watches tell of it.
type keyChange struct {
	Set     string          `json:"set,omitempty"`
	Deleted string          `json:"drop,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"stamp"`
}

// Change is a key as a transaction, or the end of a lease, left it.
type Change struct {
	Key     string
	Value   json.RawMessage // nil if the key was deleted
	Version uint64          // the same for all changes of a transaction
}

// Observe has every change from now on passed to observe, in order and at its instant. The
// state service's lock is held meanwhile: observe must not call it.
func (s *StateService) Observe(observe func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// lease keeps keys for as long as it is extended.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StateService is the consensus-backed key-value store: compare-and-swap transactions,
// watches, leases, limits of rate and size. It is safe for concurrent use.
type StateService struct {
	mu                 sync.Mutex
	keys               map[string]storedValue
	history            []keyChange
	minHistory         int    // how many changes a watch can go back, at least
	compactedAt        uint64 // the newest change that is no longer kept
	revision           uint64
	leases             map[uint64]*lease
	lastLeaseID        uint64
	changed            chan struct{} // closed and replaced at every change
	down               bool
	requestLimiter     *rate.Limiter
	writeLimiter       *rate.Limiter
	counts             Counts
	onShardOwnerChange func()       // called on a goroutine of its own as a shard gets a new fencing token
	observe            func(Change) // told of every change, if set
	sizeLimits         SizeLimits
	refusedForSize     map[string]int // transactions refused for their size, by the first key
}

// SizeLimits bound values and transactions; 0 is no bound. Four times as many compares as
// changes may be in a transaction.
type SizeLimits struct{ ValueBytes, Changes int }

// SetSizeLimits sets the bounds on sizes from now on. What is stored stays readable.
func (s *StateService) SetSizeLimits(limits SizeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeLimits = limits
}

// RefusedForSize is how many transactions were refused for their size, by the first
// key that each changes.
func (s *StateService) RefusedForSize() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusedForSize)
}

// Counts is what transactions with changes have come to.
type Counts struct{ Changes, Refused int }

// Counts is how many changes were carried out, and transactions refused by a compare.
func (s *StateService) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// newStateService makes an empty store without limits.
func newStateService() *StateService {
	return &StateService{keys: make(map[string]storedValue), minHistory: 10_000, leases: make(map[uint64]*lease), changed: make(chan struct{}),
		refusedForSize: make(map[string]int), requestLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits sets the limits of requests and of changes a second; both allow bursts of one second's worth.
func (s *StateService) SetRateLimits(requestRate, writeRate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(requestRate), int(requestRate))
	s.writeLimiter = rate.NewLimiter(rate.Limit(writeRate), int(writeRate))
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

// expireLease ends a lease and deletes its keys, each at a revision of its own. The
// service's lock is held by the caller.
func (s *StateService) expireLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[key].leaseID == id {
			s.revision++
			delete(s.keys, key)
			s.appendChange(keyChange{Deleted: key, Version: s.revision})
		}
	}
	s.notifyWatches()
}

// appendChange keeps a change for watches, and of the older ones as many as they may go
// back. The service's lock is held by the caller.
func (s *StateService) appendChange(c keyChange) {
	if s.observe != nil {
		s.observe(Change{Key: cmp.Or(c.Set, c.Deleted), Value: c.Value, Version: c.Version})
	}
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

// notifyWatches has open watches look for changes. The service's lock is held by the caller.
func (s *StateService) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage; after it every lease has its full time.
func (s *StateService) setOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, lease := range s.leases {
		lease.expires = time.Now().Add(lease.ttl)
	}
	s.notifyWatches()
}
