package kv

import (
	"fmt"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Compare is a condition that a key has a version; with version 0, that it does not exist.
type Compare struct {
	Key     string
	Version uint64
}

// Op is a change: it sets a key, or deletes it if Value is nil.
type Op struct {
	Key   string
	Value any
	Lease LeaseID // the key is deleted when this lease ends; 0: no lease
}

// LeaseID identifies a lease of the state service; 0 means no lease.
type LeaseID uint64

// Priority orders the queued transactions when the budgets do not suffice for all. Lower
// values are sent first.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityLease Priority = iota
	PriorityUser
	PriorityClaim
	PriorityArrayClaim // claims of array jobs, which tolerate a short delay that other claims do not
	PriorityCompletion
	PriorityBackground
	priorityCount
)

// agingInterval is the time after which a queued transaction's effective priority rises by
// one. Aging keeps a steady load of urgent transactions from starving the others.
const agingInterval = 3 * time.Second

// Txn is a small transaction: all of Ops are applied if all of Compares hold, else none. A
// transaction without Ops is called a read. Several transactions are sent in one batch; a
// failed condition of one does not fail the others. Each must be conditional on versions that
// make it harmless when it is applied late or twice.
//
// The caller sets the exported fields and does not change them after Submit. The other fields
// belong to the current holder of the transaction: the queue, or the batch that it was moved
// into.
type Txn struct {
	Compares []Compare
	Ops      []Op
	Priority Priority
	Deadline time.Time
	OnResult func(Result)

	encodedOps     []wireOp
	queuedAt       time.Time
	sequence       uint64 // order of submission, for transactions queued at the same instant
	bytes          int    // approximate size that the transaction adds to a request
	maxValueBytes  int    // size of the transaction's largest value
	sendAlone      bool   // the transaction was in a batch that was refused although the batch kept the limits
	outcomeUnknown bool   // an earlier attempt got no answer
}

// Result is the result of a transaction. Err is nil or an *Error. After ErrCompareFailed or
// ErrOutcomeUnknown the caller has to read the keys again before it decides how to go on.
type Result struct {
	Err        error
	Revision   uint64
	FailedKeys []string
}

// overheadBytes is the approximate size that a change or a condition adds to a request beside
// its key and value.
const overheadBytes = 48

// encode encodes the changes for the state service and computes the sizes of the transaction.
// An error is returned with the key whose value cannot be encoded.
func (t *Txn) encode() (key string, err error) {
	for _, op := range t.Ops {
		encoded := wireOp{}
		if op.Value == nil {
			encoded.Delete = keyPrefix + op.Key
		} else {
			value, err := protocol.Encode(op.Value)
			if err != nil {
				return op.Key, err
			}
			t.maxValueBytes = max(t.maxValueBytes, len(value))
			encoded.Set, encoded.Value, encoded.Lease = keyPrefix+op.Key, value, uint64(op.Lease)
		}
		t.bytes += len(encoded.Value) + len(op.Key) + overheadBytes
		t.encodedOps = append(t.encodedOps, encoded)
	}
	for _, compare := range t.Compares {
		t.bytes += len(compare.Key) + overheadBytes
	}
	return "", nil
}

// isRead reports whether the transaction makes no changes and only compares versions.
func (t *Txn) isRead() bool { return len(t.Ops) == 0 }

// fitsIn reports whether the transaction, sent alone, keeps the limits.
func (t *Txn) fitsIn(limits protocol.StateLimits) bool {
	return len(t.Ops) <= limits.MaxTxnOps &&
		len(t.Compares) <= comparesPerOp*limits.MaxTxnOps &&
		t.maxValueBytes <= limits.MaxValueBytes
}

// effectivePriority returns the transaction's priority, raised by one for each agingInterval
// that it has waited, but no further than PriorityClaim.
func (t *Txn) effectivePriority(now time.Time) Priority {
	if t.Priority <= PriorityClaim {
		return t.Priority
	}
	return max(PriorityClaim, t.Priority-Priority(now.Sub(t.queuedAt)/agingInterval))
}

// dependsOnOlder reports whether the transaction is conditional on a version of key that is
// older than the observed one and therefore fails. If key was observed as deleted, a
// condition that it does not exist still holds.
func (t *Txn) dependsOnOlder(key string, version uint64, exists bool) bool {
	return slices.ContainsFunc(t.Compares, func(compare Compare) bool {
		return compare.Version < version && compare.Key == key && (exists || compare.Version != 0)
	})
}

// usesLease reports whether the transaction attaches a key to a lease.
func (t *Txn) usesLease() bool {
	return slices.ContainsFunc(t.Ops, func(op Op) bool { return op.Lease != 0 })
}

// failedKeys returns the keys of the transaction's conditions that are among the failed keys of
// an answer, which include keyPrefix.
func (t *Txn) failedKeys(failed []string) []string {
	var keys []string
	for _, compare := range t.Compares {
		if slices.Contains(failed, keyPrefix+compare.Key) {
			keys = append(keys, compare.Key)
		}
	}
	return keys
}

// opKeys returns the keys that the transaction changes.
func (t *Txn) opKeys() []string {
	keys := make([]string, 0, len(t.Ops))
	for _, op := range t.Ops {
		keys = append(keys, op.Key)
	}
	return keys
}

// firstKey returns the key by which errors identify the transaction.
func (t *Txn) firstKey() string {
	switch {
	case len(t.Ops) > 0:
		return t.Ops[0].Key
	case len(t.Compares) > 0:
		return t.Compares[0].Key
	}
	return ""
}

// fail delivers a result with an error, to which it adds the first failed key, or else the
// first key of the transaction.
func (t *Txn) fail(result Result) {
	key := t.firstKey()
	if len(result.FailedKeys) > 0 {
		key = result.FailedKeys[0]
	}
	result.Err = wrapError(opCommit, key, result.Err)
	t.OnResult(result)
}

// refuse ends a transaction that the latest attempt did not apply. An earlier attempt without
// an answer may have applied it: the error then wraps ErrOutcomeUnknown as well, so that the
// caller reads the keys again before it decides how to go on.
func (t *Txn) refuse(err error) {
	if t.outcomeUnknown {
		err = fmt.Errorf("%w; earlier attempt: %w", err, ErrOutcomeUnknown)
	}
	t.fail(Result{Err: err})
}

// abandon ends a transaction that is not sent, or not sent again. Its outcome is unknown if an
// earlier attempt got no answer.
func (t *Txn) abandon() {
	err := ErrNotExecuted
	if t.outcomeUnknown {
		err = ErrOutcomeUnknown
	}
	t.fail(Result{Err: err})
}
