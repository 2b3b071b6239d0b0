package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (l *Loopback) handle(t *Traffic, do func(*http.Request, []byte) (int, []byte)) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := do(r, body)
		if status == 0 {
			panic(http.ErrAbortHandler) // no answer at all
		}
		t.add(len(body), len(answer))
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(answer)
	})
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
