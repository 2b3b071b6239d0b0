package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in for the state service. Each controller calls it at an address of its own,
// so that a case can treat the controllers differently; Link describes that treatment.
type State struct {
	Limits StateLimits

	mu       sync.Mutex
	revision uint64
	keys     map[string]stored
	sorted   []string // all keys, in order; rebuilt when stale
	stale    bool
	log      []event // the latest changes
	dropped  uint64  // revision up to which changes are no longer kept
	changed  chan struct{}
	leases   map[uint64]*lease
	nextID   uint64
	down     bool // an outage: every call gets 503, and watches stay open
	requests tokens
	writes   tokens
}

// StateLimits are the limits of the state service, as the settings give them.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// Link is one controller's link to the state service.
type Link struct {
	mu      sync.Mutex
	Refuse  bool   // the state service answers this controller with 503
	watched uint64 // revision from which the controller watched last
}

// Watched returns the revision up to which the controller has read the changes.
func (l *Link) Watched() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watched
}

func (l *Link) setWatched(from uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched = from
}

func (l *Link) refused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Refuse
}

// SetRefuse begins or ends the refusal of one controller.
func (l *Link) SetRefuse(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Refuse = on
}

type stored struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type event struct {
	key     string
	value   json.RawMessage
	stamp   uint64
	deleted bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// tokens is a rate limit with a burst of one second's worth.
type tokens struct {
	rate, left float64
	at         time.Time
}

func (t *tokens) take(n float64, now time.Time) bool {
	if t.rate <= 0 {
		return true
	}
	if t.at.IsZero() {
		t.left = t.rate
	} else {
		t.left = min(t.rate, t.left+now.Sub(t.at).Seconds()*t.rate)
	}
	t.at = now
	if t.left < n {
		return false
	}
	t.left -= n
	return true
}

const (
	keptChanges  = 10_000
	maxListBytes = 512 << 10
	maxListItems = 1000
	maxTxnBytes  = 64 << 10
)

// NewState returns an empty state service. Expired leases end until stop is closed.
func NewState(limits StateLimits, stop <-chan struct{}) *State {
	s := &State{Limits: limits, revision: 1, keys: make(map[string]stored), changed: make(chan struct{}), leases: make(map[uint64]*lease),
		requests: tokens{rate: limits.RPS}, writes: tokens{rate: limits.WriteRPS}}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.endLeases()
			}
		}
	}()
	return s
}

// SetDown begins or ends an outage. After it every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.ttl)
	}
}

func (s *State) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		if len(l.keys) == 0 {
			continue
		}
		s.revision++
		for key := range l.keys {
			s.remove(key)
		}
		s.announce()
	}
}

// remove deletes a key at the present revision.
func (s *State) remove(key string) {
	old, ok := s.keys[key]
	if !ok {
		return
	}
	if l := s.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.keys, key)
	s.stale = true
	s.log = append(s.log, event{key: key, stamp: s.revision, deleted: true})
}

// put writes a key at the present revision.
func (s *State) put(key string, value json.RawMessage, leaseID uint64) {
	old, existed := s.keys[key]
	if l := s.leases[old.lease]; existed && l != nil {
		delete(l.keys, key)
	}
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	s.keys[key] = stored{value, s.revision, leaseID}
	s.stale = s.stale || !existed
	s.log = append(s.log, event{key: key, value: value, stamp: s.revision})
}

// announce wakes the open watches and forgets the oldest changes.
func (s *State) announce() {
	if extra := len(s.log) - keptChanges; extra > keptChanges/4 {
		s.dropped = s.log[extra-1].stamp
		s.log = append([]event(nil), s.log[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Import writes keys as other callers of the state service would: each in a change of its own.
func (s *State) Import(keys []string, value func(key string) json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.revision++
		s.put(key, value(key), 0)
	}
	s.announce()
}

// Revision returns the present revision.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Under returns the keys and values with a prefix.
func (s *State) Under(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]string)
	for key, kept := range s.keys {
		if strings.HasPrefix(key, prefix) {
			found[key] = string(kept.value)
		}
	}
	return found
}

// Handler serves one controller.
func (s *State) Handler(link *Link) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readAll(r)
		if err != nil {
			return
		}
		if s.isDown() || link.refused() {
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
			return
		}
		s.mu.Lock()
		allowed := s.requests.take(1, time.Now())
		s.mu.Unlock()
		if !allowed {
			answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
			return
		}
		s.route(w, r, body, link)
	})
}

func (s *State) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *State) route(w http.ResponseWriter, r *http.Request, body []byte, link *Link) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/keys/"):
		s.get(w, strings.TrimPrefix(path, "/keys/"))
	case r.Method == http.MethodGet && path == "/keys":
		s.list(w, r.URL.Query())
	case r.Method == http.MethodGet && path == "/watch":
		s.watch(w, r, link)
	case r.Method == http.MethodPost && path == "/multi":
		s.transact(w, body)
	case strings.HasPrefix(path, "/grants"):
		s.grant(w, r, body)
	default:
		answer(w, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	kept, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"epoch": revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": key, "value": kept.value, "stamp": kept.stamp, "permit": kept.lease})
}

type listItem struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

func (s *State) list(w http.ResponseWriter, query url.Values) {
	prefix, from := query.Get("under"), query.Get("from")
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most <= 0 || most > maxListItems {
		most = maxListItems
	}
	s.mu.Lock()
	if s.stale {
		s.sorted = s.sorted[:0]
		for key := range s.keys {
			s.sorted = append(s.sorted, key)
		}
		slices.Sort(s.sorted)
		s.stale = false
	}
	at := sort.SearchStrings(s.sorted, prefix)
	if from != "" {
		at = sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i] > from })
	}
	items, size, truncated := []listItem{}, 0, false
	for ; at < len(s.sorted) && strings.HasPrefix(s.sorted[at], prefix); at++ {
		kept := s.keys[s.sorted[at]]
		size += len(kept.value) + len(s.sorted[at]) + 64
		if len(items) == most || size > maxListBytes {
			truncated = true
			break
		}
		items = append(items, listItem{s.sorted[at], kept.value, kept.stamp})
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "epoch": revision})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request, link *Link) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	until := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	link.setWatched(from)
	for {
		s.mu.Lock()
		if from < s.dropped {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]string{"error": "too old"})
			return
		}
		news := s.changesAfter(from, query.Get("under"))
		revision, changed, waits := s.revision, s.changed, s.down || link.refused()
		s.mu.Unlock()
		expired := !time.Now().Before(until)
		if (len(news) > 0 && !waits) || expired {
			if waits {
				news, revision = nil, from
			}
			if news == nil {
				news = []map[string]any{}
			}
			answer(w, http.StatusOK, map[string]any{"epoch": revision, "news": news})
			return
		}
		wait := time.Until(until)
		if waits {
			wait = min(wait, 50*time.Millisecond)
			changed = nil
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *State) changesAfter(from uint64, prefix string) []map[string]any {
	at := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > from })
	var news []map[string]any
	for _, e := range s.log[at:] {
		if !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if e.deleted {
			news = append(news, map[string]any{"drop": e.key, "stamp": e.stamp})
		} else {
			news = append(news, map[string]any{"set": e.key, "value": e.value, "stamp": e.stamp})
		}
	}
	return news
}

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

func (s *State) transact(w http.ResponseWriter, body []byte) {
	var t transaction
	if len(body) > maxTxnBytes || json.Unmarshal(body, &t) != nil || len(t.Writes) > s.Limits.TxnOps || len(t.If) > 4*s.Limits.TxnOps {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range t.Writes {
		if float64(len(write.Value)) > s.Limits.ValueKB*1024 {
			answer(w, http.StatusBadRequest, map[string]string{"error": "value too large"})
			return
		}
		if write.Permit != 0 && s.leases[write.Permit] == nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	if !s.writes.take(float64(len(t.Writes)), time.Now()) {
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
		return
	}
	failed := []string{}
	for _, condition := range t.If {
		if s.keys[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision})
		return
	}
	if len(t.Writes) > 0 {
		s.revision++
		for _, write := range t.Writes {
			if write.Drop != "" {
				s.remove(write.Drop)
			} else {
				s.put(write.Set, write.Value, write.Permit)
			}
		}
		s.announce()
	}
	answer(w, http.StatusOK, map[string]uint64{"epoch": s.revision})
}

func (s *State) grant(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/grants" && r.Method == http.MethodPost {
		var request struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTL < 100 || request.TTL > 600_000 {
			answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
			return
		}
		s.nextID++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl: ttl, ends: time.Now().Add(ttl), keys: make(map[string]bool)}
		answer(w, http.StatusOK, map[string]uint64{"permit": s.nextID})
		return
	}
	rest, extends := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend")
	id, _ := strconv.ParseUint(rest, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
	case extends:
		l.ends = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]uint64{"permit": id})
	default:
		l.ends = time.Now()
		answer(w, http.StatusOK, map[string]uint64{"permit": id})
	}
}
