package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is the platform's small consistent store, by its published protocol.
type stateService struct {
	limits  stateLimits
	delayOf func(call stateCall) time.Duration // by how much an answer is late; nil: not at all
	// lose tells whether a transaction gets no answer, and by how much it is carried out late;
	// nil: none does.
	lose func() (lost bool, late time.Duration)

	mu       sync.Mutex
	epoch    uint64
	keys     map[string]*storedKey
	sorted   []string // the keys in order
	changes  []storedChange
	changed  chan struct{} // closed and replaced with each change, and when an outage ends
	leases   map[uint64]*storedLease
	lastID   uint64
	down     bool
	refused  map[int]bool // controllers that alone get 503; their open watches wait
	requests bucket
	writes   bucket
}

type stateLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

// stateCall describes an answer that is about to be sent.
type stateCall struct {
	node   int // the controller that called
	method string
	path   string
	status int
	writes []string // keys that the transaction changes
	body   []byte
	answer []byte
}

type storedKey struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type storedChange struct {
	key   string
	value json.RawMessage // nil: dropped
	stamp uint64
}

type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

const keptChanges = 10_000

// bucket allows a rate, with bursts of the given number of seconds' worth.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, seconds float64) bucket {
	return bucket{rate: rate, burst: rate * seconds, tokens: rate * seconds, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(limits stateLimits) *stateService {
	s := &stateService{limits: limits, keys: make(map[string]*storedKey), changed: make(chan struct{}), leases: make(map[uint64]*storedLease), refused: make(map[int]bool),
		requests: newBucket(limits.rps, 1), writes: newBucket(limits.writeRPS, 1)}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.endLeases()
		}
	}()
	return s
}

// serve listens for one controller's calls.
func (s *stateService) serve(node int, g *gate) string {
	listener := listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) })}
	go func() {
		_ = server.Serve(gatedListener{listener, func(net.Conn) (*gate, bool) { return g, true }})
	}()
	return listener.Addr().String()
}

// setDown begins or ends an outage. When it ends, every lease has its full time again.
func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.ttl)
		}
		s.signal()
	}
}

// refuse begins or ends to refuse one controller alone.
func (s *stateService) refuse(node int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.signal()
}

// signal wakes the watches. The caller holds the lock.
func (s *stateService) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	now := time.Now()
	for id, lease := range s.leases {
		if now.Before(lease.expires) {
			continue
		}
		delete(s.leases, id)
		var attached []string
		for key, stored := range s.keys {
			if stored.permit == id {
				attached = append(attached, key)
			}
		}
		if len(attached) == 0 {
			continue
		}
		slices.Sort(attached)
		s.epoch++
		for _, key := range attached {
			s.drop(key)
		}
		note("state: lease %d ended, dropped %v", id, attached)
		s.signal()
	}
}

// drop removes a key at the present epoch. The caller holds the lock.
func (s *stateService) drop(key string) {
	if at, found := slices.BinarySearch(s.sorted, key); found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
	delete(s.keys, key)
	s.log(storedChange{key: key, stamp: s.epoch})
}

// set stores a key. The caller holds the lock.
func (s *stateService) set(key string, stored *storedKey) {
	if s.keys[key] == nil {
		at, _ := slices.BinarySearch(s.sorted, key)
		s.sorted = slices.Insert(s.sorted, at, key)
	}
	s.keys[key] = stored
}

// preload stores a key that was written long ago.
func (s *stateService) preload(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.set(key, &storedKey{value: json.RawMessage(value), stamp: s.epoch})
	s.log(storedChange{key, json.RawMessage(value), s.epoch})
}

func (s *stateService) log(change storedChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > keptChanges+1000 {
		s.changes = slices.Clone(s.changes[len(s.changes)-keptChanges:])
	}
}

func (s *stateService) handle(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := stateCall{node: node, method: r.Method, path: r.URL.Path, body: body}
	lost := false
	if s.lose != nil && call.path == "/multi" {
		var late time.Duration
		if lost, late = s.lose(); lost {
			time.Sleep(late)
		}
	}
	status, answer := s.execute(r, &call, body)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if lost {
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	call.status, call.answer = status, encode(answer)
	if s.delayOf != nil {
		if delay := s.delayOf(call); delay > 0 {
			time.Sleep(delay)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(call.answer)
}

func encode(v any) []byte {
	if raw, ok := v.(json.RawMessage); ok {
		return raw
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

type object map[string]any

// execute carries out a request and returns the status and the answer; 0 if the caller left.
func (s *stateService) execute(r *http.Request, call *stateCall, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refused[call.node] {
		return 503, object{"error": "trouble"}
	}
	if !s.requests.take(1) {
		return 429, object{}
	}
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/watch":
		return s.watch(call.node, r)
	case r.Method == "GET" && path == "/keys":
		return s.list(r.URL.Query())
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		stored := s.keys[key]
		if stored == nil {
			return 404, object{"epoch": s.epoch}
		}
		return 200, object{"key": key, "value": stored.value, "stamp": stored.stamp, "permit": stored.permit}
	case r.Method == "POST" && path == "/multi":
		return s.transact(call, body)
	case r.Method == "POST" && path == "/grants":
		var request struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTLMs < 100 || request.TTLMs > 600_000 {
			return 400, object{}
		}
		s.lastID++
		ttl := time.Duration(request.TTLMs) * time.Millisecond
		s.leases[s.lastID] = &storedLease{ttl, time.Now().Add(ttl)}
		return 200, object{"permit": s.lastID}
	case r.Method == "POST" && strings.HasPrefix(path, "/grants/") && strings.HasSuffix(path, "/extend"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/extend"), 10, 64)
		lease := s.leases[id]
		if lease == nil {
			return 404, object{}
		}
		lease.expires = time.Now().Add(lease.ttl)
		return 200, object{"permit": id}
	}
	return 400, object{}
}

func (s *stateService) list(query url.Values) (int, any) {
	most, _ := strconv.Atoi(query.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	under, from := query.Get("under"), query.Get("from")
	at, found := slices.BinarySearch(s.sorted, max(under, from))
	if found && from != "" {
		at++
	}
	page, items, size, truncated := []byte(`{"items":[`), 0, 0, false
	for _, key := range s.sorted[at:] {
		if !strings.HasPrefix(key, under) {
			break
		}
		stored := s.keys[key]
		size += len(stored.value) + len(key) + 64
		if items == most || size > 512<<10 {
			truncated = true
			break
		}
		if items++; items > 1 {
			page = append(page, ',')
		}
		page = fmt.Appendf(page, `{"key":%q,"value":%s,"stamp":%d}`, key, stored.value, stored.stamp)
	}
	return 200, json.RawMessage(fmt.Appendf(page, `],"truncated":%t,"epoch":%d}`, truncated, s.epoch))
}

// watch waits for changes. Open watches stay open, and silent, through an outage.
func (s *stateService) watch(node int, r *http.Request) (int, any) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMs, _ := strconv.ParseInt(query.Get("blockMs"), 10, 64)
	deadline := time.Now().Add(time.Duration(min(blockMs, 60_000)) * time.Millisecond)
	for {
		if !s.down && !s.refused[node] {
			if len(s.changes) >= keptChanges && from+1 < s.changes[0].stamp {
				return 410, object{}
			}
			news := []object{}
			for _, change := range s.changes {
				switch {
				case change.stamp <= from || !strings.HasPrefix(change.key, query.Get("under")):
				case change.value == nil:
					news = append(news, object{"drop": change.key, "stamp": change.stamp})
				default:
					news = append(news, object{"set": change.key, "value": change.value, "stamp": change.stamp})
				}
			}
			if len(news) > 0 || !time.Now().Before(deadline) {
				return 200, object{"epoch": s.epoch, "news": news}
			}
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(max(time.Until(deadline), 50*time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			s.mu.Lock()
			return 0, nil
		}
		timer.Stop()
		s.mu.Lock()
	}
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

func (s *stateService) transact(call *stateCall, body []byte) (int, any) {
	var txn transaction
	if len(body) > 64<<10 || json.Unmarshal(body, &txn) != nil || len(txn.Writes) > s.limits.txnOps || len(txn.If) > 4*s.limits.txnOps {
		return 400, object{"error": "malformed"}
	}
	for _, write := range txn.Writes {
		key := write.Set + write.Drop
		if key == "" || len(key) > 200 || strings.Contains(key, " ") || len(write.Value) > s.limits.valueBytes {
			return 400, object{"error": "malformed"}
		}
		if write.Permit != 0 && s.leases[write.Permit] == nil {
			return 400, object{"error": "no such lease"}
		}
		call.writes = append(call.writes, key)
	}
	if len(txn.Writes) > 0 && !s.writes.take(float64(len(txn.Writes))) {
		return 429, object{}
	}
	failed := []string{}
	for _, condition := range txn.If {
		stamp := uint64(0)
		if stored := s.keys[condition.Key]; stored != nil {
			stamp = stored.stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return 409, object{"failed": failed, "epoch": s.epoch}
	}
	if len(txn.Writes) == 0 {
		return 200, object{"epoch": s.epoch}
	}
	s.epoch++
	for _, write := range txn.Writes {
		if write.Drop != "" {
			s.drop(write.Drop)
			continue
		}
		s.set(write.Set, &storedKey{write.Value, s.epoch, write.Permit})
		s.log(storedChange{write.Set, write.Value, s.epoch})
	}
	s.signal()
	return 200, object{"epoch": s.epoch}
}
