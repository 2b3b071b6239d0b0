package kv

import (
	"fmt"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Compare requires a key to have a version; 0: that it does not exist.
type Compare struct {
	Key     string
	Version uint64
}

// Op sets a key, or drops it when Value is nil.
type Op struct {
	Key   string
	Value any
	Lease LeaseID // with which the key ends; 0: none
}

// LeaseID names a lease of the store; 0 is none.
type LeaseID uint64

// Priority orders transactions while the store's rates are short. The lower one goes first.
type Priority int

// The priorities, the first most urgent.
const (
	PriorityLease Priority = iota
	PriorityUser
	PriorityClaim
	PriorityArrayClaim // claims of arrays, which may wait a little where others may not
	PriorityCompletion
	PriorityBackground
	priorityCount // how many there are
)

// agingInterval is how long a transaction waits until it counts as one priority more
// urgent. It keeps a steady load of the urgent from holding others up for ever.
const agingInterval = 3 * time.Second

// Txn is one small transaction. Several are sent together; a failed condition
// of one does not sink its neighbours. Each must be conditional on versions
// that make it harmless when it is applied late or twice.
//
// The exported fields are the caller's, who leaves them alone after Submit. The others
// belong to whoever holds the transaction: the queue, or the batch that it was taken into.
type Txn struct {
	Compares []Compare
	Ops      []Op
	Priority Priority
	Deadline time.Time
	OnResult func(Result)

	encodedOps     []wireOp
	queuedAt       time.Time
	sequence       uint64 // of submission, which orders those of an instant
	bytes          int    // about how much it adds to a request
	maxValueBytes  int    // of its largest value
	sendAlone      bool   // was part of a batch refused as malformed
	outcomeUnknown bool   // an earlier sending got no answer
}

// Result tells what became of a transaction. Err is nil or an *Error. After ErrCompareFailed
// or ErrOutcomeUnknown the caller reads the keys again and decides anew.
type Result struct {
	Err        error
	Revision   uint64
	FailedKeys []string
}

// overheadBytes is about what a change or a condition adds to a request beside key and
// value.
const overheadBytes = 48

// encode writes the changes as the state service reads them and measures the transaction.
// An error comes with the key whose value cannot be written.
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

// isRead reports whether the transaction changes nothing and only compares versions.
func (t *Txn) isRead() bool { return len(t.Ops) == 0 }

// fitsIn reports whether a transaction alone keeps limits.
func (t *Txn) fitsIn(limits protocol.StateLimits) bool {
	return len(t.Ops) <= limits.MaxTxnOps &&
		len(t.Compares) <= comparesPerOp*limits.MaxTxnOps &&
		t.maxValueBytes <= limits.MaxValueBytes
}

// effectivePriority is a transaction's priority, raised by waiting as far as a claim's.
func (t *Txn) effectivePriority(now time.Time) Priority {
	if t.Priority <= PriorityClaim {
		return t.Priority
	}
	return max(PriorityClaim, t.Priority-Priority(now.Sub(t.queuedAt)/agingInterval))
}

// dependsOnOlder reports whether a condition of the transaction fails since key was seen at
// version. A key that has gone suits those that want it absent.
func (t *Txn) dependsOnOlder(key string, version uint64, exists bool) bool {
	return slices.ContainsFunc(t.Compares, func(compare Compare) bool {
		return compare.Version < version && compare.Key == key && (exists || compare.Version != 0)
	})
}

// usesLease reports whether the transaction attaches a key to a lease.
func (t *Txn) usesLease() bool {
	return slices.ContainsFunc(t.Ops, func(op Op) bool { return op.Lease != 0 })
}

// failedKeys are the keys of the conditions that the state service names as failed, which
// it does with the prefix.
func (t *Txn) failedKeys(failed []string) []string {
	var keys []string
	for _, compare := range t.Compares {
		if slices.Contains(failed, keyPrefix+compare.Key) {
			keys = append(keys, compare.Key)
		}
	}
	return keys
}

// opKeys are the keys that the transaction changes.
func (t *Txn) opKeys() []string {
	keys := make([]string, 0, len(t.Ops))
	for _, op := range t.Ops {
		keys = append(keys, op.Key)
	}
	return keys
}

// firstKey is the key by which an error names the transaction.
func (t *Txn) firstKey() string {
	switch {
	case len(t.Ops) > 0:
		return t.Ops[0].Key
	case len(t.Compares) > 0:
		return t.Compares[0].Key
	}
	return ""
}

// fail gives the transaction a result that is an error, named by the key that failed it.
func (t *Txn) fail(result Result) {
	key := t.firstKey()
	if len(result.FailedKeys) > 0 {
		key = result.FailedKeys[0]
	}
	result.Err = wrapError(opCommit, key, result.Err)
	t.OnResult(result)
}

// refuse ends a transaction that this sending did not carry out. An earlier one without an
// answer may have been: its caller then reads the keys again before it decides anew.
func (t *Txn) refuse(err error) {
	if t.outcomeUnknown {
		err = fmt.Errorf("%w; an earlier sending got %w", err, ErrOutcomeUnknown)
	}
	t.fail(Result{Err: err})
}

// abandon ends a transaction that is not sent, or not sent again.
func (t *Txn) abandon() {
	err := ErrNotExecuted
	if t.outcomeUnknown {
		err = ErrOutcomeUnknown
	}
	t.fail(Result{Err: err})
}
