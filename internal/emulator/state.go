package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
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

func jsonResponse(status int, v any) (int, []byte) {
	b, _ := json.Marshal(v)
	return status, b
}

func (s *StateService) handle(ctx context.Context, method, target string, body []byte) (int, []byte) {
	u, err := url.Parse(target)
	if err != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 503, nil
	}
	if !s.requestLimiter.Allow() {
		return 429, nil
	}
	if method == "GET" && u.Path == "/watch" {
		s.mu.Unlock()
		defer s.mu.Lock()
		return s.watch(ctx, u.Query())
	}
	switch {
	case method == "GET" && u.Path == "/keys":
		return s.list(u.Query())
	case method == "GET" && strings.HasPrefix(u.Path, "/keys/"):
		key := strings.TrimPrefix(u.Path, "/keys/")
		v, ok := s.keys[key]
		if !ok {
			return jsonResponse(404, map[string]uint64{"epoch": s.revision})
		}
		return jsonResponse(200, map[string]any{"key": key, "value": v.value, "stamp": v.version})
	case u.Path == "/multi":
		return s.commit(body)
	case u.Path == "/grants":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 100 {
			return 400, nil
		}
		s.lastLeaseID++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
		return jsonResponse(200, map[string]uint64{"permit": s.lastLeaseID})
	case strings.HasSuffix(u.Path, "/extend"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		g := s.leases[id]
		if g == nil {
			return 404, nil
		}
		g.expires = time.Now().Add(g.ttl)
		return jsonResponse(200, map[string]uint64{"permit": id})
	}
	return 404, nil
}

func (s *StateService) list(q url.Values) (int, []byte) {
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("from") {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	most, _ := strconv.Atoi(q.Get("most"))
	truncated := most > 0 && len(names) > most
	if truncated {
		names = names[:most]
	}
	items := []map[string]any{}
	for _, key := range names {
		items = append(items, map[string]any{"key": key, "value": s.keys[key].value, "stamp": s.keys[key].version})
	}
	return jsonResponse(200, map[string]any{"items": items, "truncated": truncated, "epoch": s.revision})
}

// transaction is the body of a call of /multi.
type transaction struct {
	Compares []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Ops []struct {
		Set    string          `json:"set"`
		Drop   string          `json:"drop"`
		Value  json.RawMessage `json:"value"`
		Permit uint64          `json:"permit"`
	} `json:"writes"`
}

func (t *transaction) withinLimits(most SizeLimits) bool {
	if most.Changes > 0 && (len(t.Ops) > most.Changes || len(t.Compares) > 4*most.Changes) {
		return false
	}
	for _, w := range t.Ops {
		if most.ValueBytes > 0 && len(w.Value) > most.ValueBytes {
			return false
		}
	}
	return true
}

func (s *StateService) commit(body []byte) (int, []byte) {
	var in transaction
	if json.Unmarshal(body, &in) != nil {
		return 400, nil
	}
	if !in.withinLimits(s.sizeLimits) {
		key := "no change"
		if len(in.Ops) > 0 {
			key = in.Ops[0].Set + in.Ops[0].Drop
		}
		s.refusedForSize[key]++
		return jsonResponse(400, map[string]string{"error": "too large"})
	}
	if len(in.Ops) > 0 && !s.writeLimiter.AllowN(time.Now(), len(in.Ops)) {
		return 429, nil
	}
	for _, w := range in.Ops {
		if w.Permit != 0 && s.leases[w.Permit] == nil {
			return jsonResponse(400, map[string]string{"error": "no such lease"})
		}
	}
	var failed []string
	for _, c := range in.Compares {
		if s.keys[c.Key].version != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		if len(in.Ops) > 0 {
			s.counts.Refused++
		}
		return jsonResponse(409, map[string]any{"failed": failed, "epoch": s.revision})
	}
	if len(in.Ops) > 0 {
		s.revision++
		s.counts.Changes += len(in.Ops)
	}
	for _, w := range in.Ops {
		if w.Set != "" {
			s.keys[w.Set] = storedValue{w.Value, s.revision, w.Permit}
			s.appendChange(keyChange{Set: w.Set, Value: w.Value, Version: s.revision})
			if s.onShardOwnerChange != nil && strings.HasPrefix(w.Set, shardKeyPrefix) {
				go s.onShardOwnerChange()
			}
		} else if _, ok := s.keys[w.Drop]; ok {
			delete(s.keys, w.Drop)
			s.appendChange(keyChange{Deleted: w.Drop, Version: s.revision})
		}
	}
	s.wakeWatches()
	return jsonResponse(200, map[string]uint64{"epoch": s.revision})
}

func (s *StateService) watch(ctx context.Context, q url.Values) (int, []byte) {
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		news := []keyChange{}
		epoch, changed := s.revision, s.changed
		if !s.down {
			at, _ := slices.BinarySearchFunc(s.history, from+1, func(c keyChange, stamp uint64) int { return cmp.Compare(c.Version, stamp) })
			news = append(news, s.history[at:]...)
			if from < s.compactedAt {
				s.mu.Unlock()
				return 410, nil
			}
		}
		s.mu.Unlock()
		if len(news) > 0 {
			return jsonResponse(200, map[string]any{"epoch": epoch, "news": news})
		}
		left := time.Until(deadline)
		if left <= 0 {
			return jsonResponse(200, map[string]any{"epoch": from, "news": news})
		}
		select {
		case <-changed:
		case <-time.After(left):
			return jsonResponse(200, map[string]any{"epoch": from, "news": news})
		case <-ctx.Done():
			return 0, nil
		}
	}
}
