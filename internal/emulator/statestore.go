package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// shardKeyPrefix is the prefix of the keys of shard owners.
const shardKeyPrefix = "madderslip/s/"

// storedValue is the stored value of a key.
type storedValue struct {
	value   json.RawMessage
	version uint64 // the revision of the key's latest change
	leaseID uint64 // lease whose end deletes the key; 0 for none
}

// keyChange is a change of a key in the response to a watch.
type keyChange struct {
	Set     string          `json:"set,omitempty"`
	Deleted string          `json:"drop,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"stamp"`
}

// Change is the state of a key after a transaction, or after the end of the lease that
// deleted the key.
type Change struct {
	Key     string
	Value   json.RawMessage // nil if the key was deleted
	Version uint64          // the revision, the same for all changes of a transaction
}

// Observe passes every later change to observe, in order and at the instant of the change.
// The state service's lock is held during each call: observe must not call the service.
func (s *StateService) Observe(observe func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// lease keeps its keys stored until it expires; extending the lease postpones that.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StateService simulates the consensus-backed key-value store: compare-and-swap
// transactions, watches, leases, limits on rates and sizes. It is safe for concurrent use.
type StateService struct {
	mu                 sync.Mutex
	keys               map[string]storedValue
	history            []keyChange
	minHistory         int    // minimum number of changes kept for watches
	compactedAt        uint64 // revision of the newest change that is no longer kept
	revision           uint64
	leases             map[uint64]*lease
	lastLeaseID        uint64
	changed            chan struct{} // closed and replaced at every change
	down               bool
	downSince          time.Time
	requestLimiter     *rate.Limiter
	writeLimiter       *rate.Limiter
	counts             Counts
	onShardOwnerChange func()       // called on a new goroutine when a shard gets a new fencing token
	observe            func(Change) // called with every change, if set
	sizeLimits         SizeLimits
	refusedForSize     map[string]int // number of transactions refused for their size, by the first key that each transaction changes
}

// SizeLimits are the maximum size of a value and the maximum number of changes in a
// transaction; 0 means no limit. A transaction may have four times as many compares as
// changes.
type SizeLimits struct{ ValueBytes, Changes int }

// SetSizeLimits sets the limits on sizes from now on. Stored values that exceed them stay
// readable.
func (s *StateService) SetSizeLimits(limits SizeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeLimits = limits
}

// RefusedForSize returns the number of transactions refused for their size, by the first
// key that each changes.
func (s *StateService) RefusedForSize() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusedForSize)
}

// Counts are the number of changes carried out and of transactions with changes that a
// compare refused.
type Counts struct{ Changes, Refused int }

// Counts returns the counts since the state service was created.
func (s *StateService) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// newStateService returns an empty store without limits.
func newStateService() *StateService {
	return &StateService{keys: make(map[string]storedValue), minHistory: 10_000, leases: make(map[uint64]*lease), changed: make(chan struct{}),
		refusedForSize: make(map[string]int), requestLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits limits the requests and the changes per second; both limits allow bursts of
// one second's worth.
func (s *StateService) SetRateLimits(requestRate, writeRate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(requestRate), int(requestRate))
	s.writeLimiter = rate.NewLimiter(rate.Limit(writeRate), int(writeRate))
}

// expireLeases ends expired leases until the context ends. Leases end up to 140 ms late (90
// ms by their ID, 50 ms by the interval of the checks) but never early.
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

// appendChange passes a change to the observer and appends it to the history for watches,
// of which at least the latest minHistory changes are kept. The service's lock is held by
// the caller.
func (s *StateService) appendChange(c keyChange) {
	if s.observe != nil {
		s.observe(Change{Key: cmp.Or(c.Set, c.Deleted), Value: c.Value, Version: c.Version})
	}
	if s.history = append(s.history, c); len(s.history) > 2*s.minHistory {
		s.compactedAt = s.history[len(s.history)-s.minHistory-1].Version
		s.history = slices.Clone(s.history[len(s.history)-s.minHistory:])
	}
}

// DownSince returns when the outage that lasts has begun, or the zero time if there is none.
func (s *StateService) DownSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return time.Time{}
	}
	return s.downSince
}

// Keys returns the stored values by key, for checks at the end of a test.
func (s *StateService) Keys() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]json.RawMessage, len(s.keys))
	for key, v := range s.keys {
		out[key] = v.value
	}
	return out
}

// ValueAt returns the value that a key got by the change of a revision, nil if that change deleted
// it. isKnown is false if the change is no longer kept. A key that a kept revision did not change
// is an error.
func (s *StateService) ValueAt(key string, revision uint64) (value json.RawMessage, isKnown bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.compactedAt {
		return nil, false, nil
	}
	for _, change := range s.changesAfter(revision - 1) {
		if change.Version != revision {
			break
		}
		if change.Set == key {
			return change.Value, true, nil
		}
		if change.Deleted == key {
			return nil, true, nil
		}
	}
	return nil, false, fmt.Errorf("revision %d did not change %s", revision, key)
}

// ChangesOf returns the kept changes of a key in their order.
func (s *StateService) ChangesOf(key string) (changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if cmp.Or(c.Set, c.Deleted) == key {
			changes = append(changes, Change{Key: key, Value: c.Value, Version: c.Version})
		}
	}
	return changes
}

// Versions returns the revision of each key's latest change.
func (s *StateService) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.keys))
	for key, v := range s.keys {
		out[key] = v.version
	}
	return out
}

// notifyWatches makes open watches check for changes. The service's lock is held by the
// caller.
func (s *StateService) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage. After an outage every lease has its full time to live
// again.
func (s *StateService) setOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		s.downSince = time.Now()
	}
	s.down = down
	for _, lease := range s.leases {
		lease.expires = time.Now().Add(lease.ttl)
	}
	s.notifyWatches()
}
