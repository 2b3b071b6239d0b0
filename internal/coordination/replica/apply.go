package replica

import (
	"maps"
	"slices"
	"strings"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// recordKind is a kind of record: the prefix of its keys, the type that its values decode
// into, and the function that applies a record to the view.
type recordKind struct {
	prefix    string
	wholeKey  bool // the prefix is the whole key
	newRecord func() any
	apply     func(v *View, key string, record any, version uint64)
}

// recordKinds lists the kinds of records. No prefix begins with another one, so a key
// matches at most one kind.
var recordKinds = []recordKind{
	byName(records.JobPrefix, (*View).ApplyJob),
	byKey(records.ClaimPrefix, (*View).ApplyClaim),
	byName(records.MachinePrefix, (*View).ApplyMachine),
	byName(records.ShardPrefix, func(v *View, name string, record *records.Shard, version uint64) {
		v.observer.ShardChanged(name, record, version)
	}),
	byName(records.NodePrefix, (*View).ApplyNode),
	byName(records.TeamUsagePrefix, (*View).applyTeamUsage),
	byName(records.TeamLimitPrefix, func(v *View, name string, record *records.TeamLimit, version uint64) {
		v.Quota.ApplyLimit(name, record, version)
	}),
	byName(records.AllotmentPrefix, func(v *View, name string, record *records.Allotment, version uint64) {
		v.Quota.ApplyAllotment(name, record, version)
	}),
	byName(records.ReservationPrefix, func(v *View, name string, record *records.Reservations, version uint64) {
		v.Quota.ApplyReservations(name, record, version)
	}),
	byName(records.ProvisionPrefix, (*View).ApplyProvision),
	byKey(records.ImagePrefix, func(v *View, key string, record *records.ImageLocations, _ uint64) {
		v.ApplyImages(key, record)
	}),
	byName(records.GangReservationPrefix, (*View).ApplyGangReservation),
	byName(records.GangHoldPrefix, (*View).ApplyGangHold),
	single(records.LeaderKey, func(v *View, _ string, record *records.Leader, version uint64) {
		v.observer.LeaderChanged(record, version)
	}),
}

// byKey returns a kind whose records are applied by their whole key. A record that is nil, or
// of another type, is applied as a nil *T.
func byKey[T any](prefix string, apply func(v *View, key string, record *T, version uint64)) recordKind {
	return recordKind{
		prefix:    prefix,
		newRecord: func() any { return new(T) },
		apply: func(v *View, key string, record any, version uint64) {
			typed, _ := record.(*T)
			apply(v, key, typed, version)
		},
	}
}

// byName returns a kind whose records are applied by the part of their key that follows the
// prefix.
func byName[T any](prefix string, apply func(v *View, name string, record *T, version uint64)) recordKind {
	return byKey(prefix, func(v *View, key string, record *T, version uint64) {
		apply(v, strings.TrimPrefix(key, prefix), record, version)
	})
}

// single returns a kind that has only one record, under the given key.
func single[T any](key string, apply func(v *View, key string, record *T, version uint64)) recordKind {
	kind := byKey(key, apply)
	kind.wholeKey = true
	return kind
}

// kindOf returns the kind of the record under a key, or nil if no kind has such keys.
func kindOf(key string) *recordKind {
	for i := range recordKinds {
		kind := &recordKinds[i]
		if strings.HasPrefix(key, kind.prefix) && (!kind.wholeKey || key == kind.prefix) {
			return kind
		}
	}
	return nil
}

// NewRecord returns an empty record of the type that is stored under a key, or nil if no
// kind of record has such keys.
func NewRecord(key string) any {
	if kind := kindOf(key); kind != nil {
		return kind.newRecord()
	}
	return nil
}

// Apply applies a record to the cache; a nil record means that the key has none. Versions
// that are not newer than the cached one are ignored, since the results of the watch, of the
// controller's own commits and of its reads arrive in any order.
func (v *View) Apply(key string, record any, version uint64) {
	if version <= v.Versions[key] {
		return
	}
	v.Versions[key] = version
	v.observer.VersionObserved(key, version, record != nil)
	if kind := kindOf(key); kind != nil {
		kind.apply(v, key, record, version)
	}
	v.observer.RecordsChanged()
}

// ApplyItem decodes an item of the state service and applies it. An item that can't be
// decoded is logged and ignored.
func (v *View) ApplyItem(item kv.Item) {
	if item.Version <= v.Versions[item.Key] {
		return
	}
	var record any
	if item.Value != nil {
		record = NewRecord(item.Key)
		if record == nil {
			return
		}
		if err := protocol.Decode(item.Value, record); err != nil {
			v.log.Error("record undecodable", "key", item.Key, "err", err)
			return
		}
	}
	v.Apply(item.Key, record, item.Version)
}

// ReachRevision records that the watch is complete up to a revision. Cancelled jobs that
// were kept only because the watch could still deliver claims of them are dropped.
func (v *View) ReachRevision(revision uint64) {
	v.Revision = max(v.Revision, revision)
	for _, jobID := range slices.Sorted(maps.Keys(v.EarlyCancellations)) {
		if job := v.EarlyCancellations[jobID]; !v.mayReceiveClaims(job.Record, job.Version) {
			delete(v.EarlyCancellations, jobID)
			v.dropIfFinal(job)
		}
	}
	v.observer.RevisionReached()
}
