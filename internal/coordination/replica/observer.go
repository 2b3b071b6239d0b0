package replica

import "madderslip/internal/storage/records"

// Observer is notified of changes of a view. Its methods are called within the owner's call
// that applies the change, with the owner's lock held: the view is consistent but for what
// the method is about.
type Observer interface {
	// VersionObserved is called for every version of a key that is new to the view.
	VersionObserved(key string, version uint64, exists bool)
	// ShardChanged is called in place of applying a shard's record: ownership is its
	// owner's concern. A nil record means that there is none.
	ShardChanged(shard string, record *records.Shard, version uint64)
	// LeaderChanged is called in place of applying the leader's record: leadership depends
	// on the process, not on the record alone. A nil record means that there is none.
	LeaderChanged(record *records.Leader, version uint64)
	// NodesChanged is called after a controller's record was applied.
	NodesChanged()
	// MachineRecorded is called when a host gets its first record.
	MachineRecorded(host string)
	// JobChanged is called when an open job's record was applied, before its claims are
	// marked dirty.
	JobChanged(job *Job)
	// RevisionReached is called when the view has become complete up to a later revision, or the watch has
	// confirmed the present one.
	RevisionReached()
	// RecordsChanged is called after each applied record.
	RecordsChanged()
}
