package replica

import "madderslip/internal/storage/records"

// Observer is notified of changes of a view. Its methods are called synchronously while the
// change is applied, with the owner's lock held. The view is consistent then, except for the
// change that the method reports.
type Observer interface {
	// VersionObserved is called for every version of a key that is newer than the cached one.
	VersionObserved(key string, version uint64, exists bool)
	// ShardChanged is called instead of applying a shard's record, since the view's owner
	// handles the ownership of shards. A nil record means that there is none.
	ShardChanged(shard string, record *records.Shard, version uint64)
	// LeaderChanged is called instead of applying the leader's record, since leadership
	// depends on the process, not on the record alone. A nil record means that there is none.
	LeaderChanged(record *records.Leader, version uint64)
	// NodesChanged is called after a controller's record was applied.
	NodesChanged()
	// MachineRecorded is called when the first record of a host is applied.
	MachineRecorded(host string)
	// JobChanged is called after the record of a job in View.Jobs was applied, and before
	// the job's claims are marked dirty.
	JobChanged(job *Job)
	// RevisionReached is called when the view has become complete up to a later revision,
	// or the watch has confirmed the present one.
	RevisionReached()
	// RecordsChanged is called after each applied record.
	RecordsChanged()
}
