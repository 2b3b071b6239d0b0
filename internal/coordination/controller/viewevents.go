package controller

import (
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/records"
)

// viewEvents passes the view's events on to its controller. It implements replica.Observer;
// the view calls it with the controller's lock held.
type viewEvents struct{ controller *Controller }

func (e viewEvents) VersionObserved(key string, version uint64, exists bool) {
	e.controller.store.ObserveVersion(key, version, exists)
}

func (e viewEvents) ShardChanged(shard string, record *records.Shard, version uint64) {
	e.controller.applyShard(shard, record, version)
}

func (e viewEvents) LeaderChanged(record *records.Leader, version uint64) {
	e.controller.applyLeader(record, version)
}

func (e viewEvents) NodesChanged() { e.controller.shareStateBudget(time.Now()) }

func (e viewEvents) MachineRecorded(host string) { delete(e.controller.provisioner.unrecorded, host) }

func (e viewEvents) JobChanged(job *replica.Job) { e.controller.inheritUrgency(job) }

func (e viewEvents) RevisionReached() { e.controller.sendPendingReplies(time.Now()) }

func (e viewEvents) RecordsChanged() { e.controller.wake() }
