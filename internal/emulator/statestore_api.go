package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// minLeaseMs is the shortest time to live of a lease, in milliseconds.
const minLeaseMs = 100

// jsonResponse returns a response with a value as its JSON body.
func jsonResponse(status int, body any) (int, []byte) {
	raw, _ := json.Marshal(body)
	return status, raw
}

// handle answers a request to the state service's API. The status is 0 if the context of a
// watch ends.
func (s *StateService) handle(ctx context.Context, method, target string, body []byte) (int, []byte) {
	u, err := url.Parse(target)
	if err != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 503, nil
	case !s.requestLimiter.Allow():
		return 429, nil
	case method == "GET" && u.Path == protocol.PathWatch:
		s.mu.Unlock() // unlocked while the watch waits
		defer s.mu.Lock()
		return s.watch(ctx, u.Query())
	case method == "GET" && u.Path == protocol.PathKeys:
		return s.list(u.Query())
	case method == "GET" && strings.HasPrefix(u.Path, protocol.PathKeys+"/"):
		return s.get(strings.TrimPrefix(u.Path, protocol.PathKeys+"/"))
	case u.Path == protocol.PathTransactions:
		return s.commit(body)
	case u.Path == protocol.PathLeases:
		return s.grantLease(body)
	case strings.HasSuffix(u.Path, "/extend"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		return s.extendLease(id)
	}
	return 404, nil
}

// keyResponse is a key with its value and version in a response.
type keyResponse struct {
	Key     string          `json:"key"`
	Version uint64          `json:"stamp"`
	Value   json.RawMessage `json:"value"`
}

// revisionResponse is a response that contains the revision only.
type revisionResponse struct {
	Revision uint64 `json:"epoch"`
}

// leaseResponse is the response to a request to grant or extend a lease.
type leaseResponse struct {
	LeaseID uint64 `json:"permit"`
}

// get answers a request for one key. The service's lock is held by the caller.
func (s *StateService) get(key string) (int, []byte) {
	stored, ok := s.keys[key]
	if !ok {
		return jsonResponse(404, revisionResponse{s.revision})
	}
	return jsonResponse(200, keyResponse{Key: key, Version: stored.version, Value: stored.value})
}

// list answers with a page of the keys under a prefix, in order. The service's lock is held
// by the caller.
func (s *StateService) list(query url.Values) (int, []byte) {
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("from") {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	limit, _ := strconv.Atoi(query.Get("most"))
	truncated := limit > 0 && len(names) > limit
	if truncated {
		names = names[:limit]
	}
	items := []keyResponse{}
	for _, key := range names {
		items = append(items, keyResponse{Key: key, Version: s.keys[key].version, Value: s.keys[key].value})
	}
	return jsonResponse(200, struct {
		Revision  uint64        `json:"epoch"`
		Items     []keyResponse `json:"items"`
		Truncated bool          `json:"truncated"`
	}{s.revision, items, truncated})
}

// grantLease answers a request for a new lease. The service's lock is held by the caller.
func (s *StateService) grantLease(body []byte) (int, []byte) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &request) != nil || request.TTLMs < minLeaseMs {
		return 400, nil
	}
	s.lastLeaseID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	return jsonResponse(200, leaseResponse{s.lastLeaseID})
}

// extendLease answers a request to extend a lease. The service's lock is held by the
// caller.
func (s *StateService) extendLease(id uint64) (int, []byte) {
	lease := s.leases[id]
	if lease == nil {
		return 404, nil
	}
	lease.expires = time.Now().Add(lease.ttl)
	return jsonResponse(200, leaseResponse{id})
}

// transaction is the body of a request to PathTransactions.
type transaction struct {
	Compares []struct {
		Key     string `json:"key"`
		Version uint64 `json:"stamp"`
	} `json:"if"`
	Ops []transactionOp `json:"writes"`
}

// transactionOp sets or deletes a key.
type transactionOp struct {
	Set     string          `json:"set"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"value"`
	LeaseID uint64          `json:"permit"`
}

// withinLimits reports whether a transaction and its values are within the limits on sizes.
func (t *transaction) withinLimits(limits SizeLimits) bool {
	if limits.Changes > 0 && (len(t.Ops) > limits.Changes || len(t.Compares) > 4*limits.Changes) {
		return false
	}
	for _, op := range t.Ops {
		if limits.ValueBytes > 0 && len(op.Value) > limits.ValueBytes {
			return false
		}
	}
	return true
}

// firstKey returns the first key that a transaction changes, under which refused
// transactions are counted.
func (t *transaction) firstKey() string {
	if len(t.Ops) == 0 {
		return "no change"
	}
	return t.Ops[0].Set + t.Ops[0].Delete
}

// commit answers a transaction: either all of its changes are made, or none, if a compare
// fails, a lease has ended or a limit is exceeded. The service's lock is held by the
// caller.
func (s *StateService) commit(body []byte) (int, []byte) {
	var txn transaction
	if json.Unmarshal(body, &txn) != nil {
		return 400, nil
	}
	if !txn.withinLimits(s.sizeLimits) {
		s.refusedForSize[txn.firstKey()]++
		return jsonResponse(400, map[string]string{"error": "too large"})
	}
	if len(txn.Ops) > 0 && !s.writeLimiter.AllowN(time.Now(), len(txn.Ops)) {
		return 429, nil
	}
	for _, op := range txn.Ops {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return jsonResponse(400, map[string]string{"error": "no such lease"})
		}
	}
	if failed := s.failedCompares(&txn); len(failed) > 0 {
		if len(txn.Ops) > 0 {
			s.counts.Refused++
		}
		return jsonResponse(409, map[string]any{"failed": failed, "epoch": s.revision})
	}
	s.apply(txn.Ops)
	return jsonResponse(200, revisionResponse{s.revision})
}

// failedCompares lists the keys whose version differs from the one that a transaction
// requires. The service's lock is held by the caller.
func (s *StateService) failedCompares(txn *transaction) []string {
	var failed []string
	for _, compare := range txn.Compares {
		if s.keys[compare.Key].version != compare.Version {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// apply makes changes, all at one new revision. The deletion of a key that does not exist
// is not reported to watches. The service's lock is held by the caller.
func (s *StateService) apply(ops []transactionOp) {
	if len(ops) > 0 {
		s.revision++
		s.counts.Changes += len(ops)
	}
	for _, op := range ops {
		if op.Set != "" {
			s.keys[op.Set] = storedValue{op.Value, s.revision, op.LeaseID}
			s.appendChange(keyChange{Set: op.Set, Value: op.Value, Version: s.revision})
			if s.onShardOwnerChange != nil && strings.HasPrefix(op.Set, shardKeyPrefix) {
				go s.onShardOwnerChange()
			}
		} else if _, ok := s.keys[op.Delete]; ok {
			delete(s.keys, op.Delete)
			s.appendChange(keyChange{Deleted: op.Delete, Version: s.revision})
		}
	}
	s.notifyWatches()
}

// watchResponse contains the changes up to a revision.
type watchResponse struct {
	Revision uint64      `json:"epoch"`
	Changes  []keyChange `json:"news"`
}

// watch answers with the changes after a revision, or waits for changes up to the time that
// the request states. The status is 410 if the changes are no longer kept. During an outage
// an open watch reports no changes.
func (s *StateService) watch(ctx context.Context, query url.Values) (int, []byte) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMs, _ := strconv.Atoi(query.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(blockMs) * time.Millisecond)
	unchanged := watchResponse{from, []keyChange{}}
	for {
		s.mu.Lock()
		changes := []keyChange{}
		revision, changed := s.revision, s.changed
		if !s.down {
			if from < s.compactedAt {
				s.mu.Unlock()
				return 410, nil
			}
			changes = append(changes, s.changesAfter(from)...)
		}
		s.mu.Unlock()
		if len(changes) > 0 {
			return jsonResponse(200, watchResponse{revision, changes})
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return jsonResponse(200, unchanged)
		}
		select {
		case <-changed:
		case <-time.After(remaining):
			return jsonResponse(200, unchanged)
		case <-ctx.Done():
			return 0, nil
		}
	}
}

// changesAfter lists the changes after a revision. The service's lock is held by the
// caller.
func (s *StateService) changesAfter(revision uint64) []keyChange {
	index, _ := slices.BinarySearchFunc(s.history, revision+1, func(c keyChange, version uint64) int { return cmp.Compare(c.Version, version) })
	return s.history[index:]
}
