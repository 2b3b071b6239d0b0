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

// shardKeys is what the keys of shards' owners begin with.
const shardKeys = "madderslip/s/"

type kv struct {
	value json.RawMessage
	stamp uint64
	grant uint64
}

type change struct {
	Set   string          `json:"set,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// Change is a key as a transaction, or the end of a lease, left it.
type Change struct {
	Key     string
	Value   json.RawMessage // nil if the key was dropped
	Version uint64          // the same for all changes of a transaction
}

// Observe has every change from now on told to observe, in order and at its instant.
// The state service's lock is held meanwhile: observe must not call it.
func (s *StateService) Observe(observe func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

// StateService is the state service.
type StateService struct {
	mu      sync.Mutex
	keys    map[string]kv
	log     []change
	keep    int    // how many changes a watch can go back, at least
	dropped uint64 // the newest change that is no longer kept
	epoch   uint64
	grants  map[uint64]*grant
	nextID  uint64
	changed chan struct{}
	down    bool
	reqs    *rate.Limiter
	writes  *rate.Limiter
	done    Counts
	onShard func() // told, on its own, of a shard's new token
	observe func(Change)
	most    SizeLimits
	refused map[string]int // transactions refused for their size, by the first key
}

// SizeLimits bound values and transactions; 0 is no bound. Four times as many conditions as
// changes may be in a transaction.
type SizeLimits struct{ ValueBytes, Changes int }

// SetSizeLimits sets the bounds on sizes from now on. What is stored stays readable.
func (s *StateService) SetSizeLimits(most SizeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// RefusedForSize tells how many transactions were refused for their size, by the first
// key that each changes.
func (s *StateService) RefusedForSize() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refused)
}

// Counts is what transactions with changes have come to.
type Counts struct{ Changes, Refused int }

// Counts tells how many changes were carried out, and transactions refused.
func (s *StateService) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func newState() *StateService {
	return &StateService{keys: make(map[string]kv), keep: 10_000, grants: make(map[uint64]*grant), changed: make(chan struct{}),
		refused: make(map[string]int), reqs: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits sets the budgets; both allow bursts of one second's worth.
func (s *StateService) SetRateLimits(rps, writeRPS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reqs = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.writes = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// run ends leases until the context does. They end as much as 100 ms late, but
// never early.
func (s *StateService) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(50*time.Millisecond + 41*time.Nanosecond):
		}
		s.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(s.grants)) {
			late := time.Duration(id%3) * 45 * time.Millisecond
			if !s.down && time.Now().After(s.grants[id].ends.Add(late)) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *StateService) end(id uint64) {
	delete(s.grants, id)
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[key].grant == id {
			s.epoch++
			delete(s.keys, key)
			s.record(change{Drop: key, Stamp: s.epoch})
		}
	}
	s.wake()
}

func (s *StateService) record(c change) {
	if s.observe != nil {
		s.observe(Change{Key: cmp.Or(c.Set, c.Drop), Value: c.Value, Version: c.Stamp})
	}
	if s.log = append(s.log, c); len(s.log) > 2*s.keep {
		s.dropped = s.log[len(s.log)-s.keep-1].Stamp
		s.log = slices.Clone(s.log[len(s.log)-s.keep:])
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
		out[key] = v.stamp
	}
	return out
}

func (s *StateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown begins or ends an outage; after it every lease has its full time.
func (s *StateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, g := range s.grants {
		g.ends = time.Now().Add(g.ttl)
	}
	s.wake()
}

func reply(status int, v any) (int, []byte) {
	b, _ := json.Marshal(v)
	return status, b
}

func (s *StateService) do(ctx context.Context, method, target string, body []byte) (int, []byte) {
	u, err := url.Parse(target)
	if err != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 503, nil
	}
	if !s.reqs.Allow() {
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
			return reply(404, map[string]uint64{"epoch": s.epoch})
		}
		return reply(200, map[string]any{"key": key, "value": v.value, "stamp": v.stamp})
	case u.Path == "/multi":
		return s.multi(body)
	case u.Path == "/grants":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 100 {
			return 400, nil
		}
		s.nextID++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.grants[s.nextID] = &grant{ttl, time.Now().Add(ttl)}
		return reply(200, map[string]uint64{"permit": s.nextID})
	case strings.HasSuffix(u.Path, "/extend"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		g := s.grants[id]
		if g == nil {
			return 404, nil
		}
		g.ends = time.Now().Add(g.ttl)
		return reply(200, map[string]uint64{"permit": id})
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
		items = append(items, map[string]any{"key": key, "value": s.keys[key].value, "stamp": s.keys[key].stamp})
	}
	return reply(200, map[string]any{"items": items, "truncated": truncated, "epoch": s.epoch})
}

// transaction is the body of a call of /multi.
type transaction struct {
	If []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Writes []struct {
		Set    string          `json:"set"`
		Drop   string          `json:"drop"`
		Value  json.RawMessage `json:"value"`
		Permit uint64          `json:"permit"`
	} `json:"writes"`
}

func (t *transaction) within(most SizeLimits) bool {
	if most.Changes > 0 && (len(t.Writes) > most.Changes || len(t.If) > 4*most.Changes) {
		return false
	}
	for _, w := range t.Writes {
		if most.ValueBytes > 0 && len(w.Value) > most.ValueBytes {
			return false
		}
	}
	return true
}

func (s *StateService) multi(body []byte) (int, []byte) {
	var in transaction
	if json.Unmarshal(body, &in) != nil {
		return 400, nil
	}
	if !in.within(s.most) {
		key := "no change"
		if len(in.Writes) > 0 {
			key = in.Writes[0].Set + in.Writes[0].Drop
		}
		s.refused[key]++
		return reply(400, map[string]string{"error": "too large"})
	}
	if len(in.Writes) > 0 && !s.writes.AllowN(time.Now(), len(in.Writes)) {
		return 429, nil
	}
	for _, w := range in.Writes {
		if w.Permit != 0 && s.grants[w.Permit] == nil {
			return reply(400, map[string]string{"error": "no such lease"})
		}
	}
	var failed []string
	for _, c := range in.If {
		if s.keys[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		if len(in.Writes) > 0 {
			s.done.Refused++
		}
		return reply(409, map[string]any{"failed": failed, "epoch": s.epoch})
	}
	if len(in.Writes) > 0 {
		s.epoch++
		s.done.Changes += len(in.Writes)
	}
	for _, w := range in.Writes {
		if w.Set != "" {
			s.keys[w.Set] = kv{w.Value, s.epoch, w.Permit}
			s.record(change{Set: w.Set, Value: w.Value, Stamp: s.epoch})
			if s.onShard != nil && strings.HasPrefix(w.Set, shardKeys) {
				go s.onShard()
			}
		} else if _, ok := s.keys[w.Drop]; ok {
			delete(s.keys, w.Drop)
			s.record(change{Drop: w.Drop, Stamp: s.epoch})
		}
	}
	s.wake()
	return reply(200, map[string]uint64{"epoch": s.epoch})
}

func (s *StateService) watch(ctx context.Context, q url.Values) (int, []byte) {
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		news := []change{}
		epoch, changed := s.epoch, s.changed
		if !s.down {
			at, _ := slices.BinarySearchFunc(s.log, from+1, func(c change, stamp uint64) int { return cmp.Compare(c.Stamp, stamp) })
			news = append(news, s.log[at:]...)
			if from < s.dropped {
				s.mu.Unlock()
				return 410, nil
			}
		}
		s.mu.Unlock()
		if len(news) > 0 {
			return reply(200, map[string]any{"epoch": epoch, "news": news})
		}
		left := time.Until(deadline)
		if left <= 0 {
			return reply(200, map[string]any{"epoch": from, "news": news})
		}
		select {
		case <-changed:
		case <-time.After(left):
			return reply(200, map[string]any{"epoch": from, "news": news})
		case <-ctx.Done():
			return 0, nil
		}
	}
}
