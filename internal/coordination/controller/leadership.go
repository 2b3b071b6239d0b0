package controller

import (
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// leadership is the cached leader record and the state of this process's own campaign.
type leadership struct {
	node        string // the leader's node; empty: no leader
	version     uint64 // version of the leader record; 0: the record does not exist
	isSelf      bool   // the leader is this process, not an earlier process of the same node
	campaigning bool   // a commit of this process's leader record is in progress
}

// leaderCommitTimeout bounds the commit of the leader record.
const leaderCommitTimeout = 2 * time.Second

// campaign commits a leader record that names this process, if no leader record exists. The
// record is attached to this node's lease, so it is deleted when the lease expires.
func (c *Controller) campaign() {
	if c.leadership.version != 0 || c.leadership.campaigning {
		return
	}
	c.leadership.campaigning = true
	record := &records.Leader{Node: c.settings.NodeName, StartedAtMs: c.startedAt.UnixMilli()}
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: records.LeaderKey, Version: 0}},
		[]kv.Op{{Key: records.LeaderKey, Value: record, Lease: c.membership.lease}}, leaderCommitTimeout,
		func(error) { c.leadership.campaigning = false })
}

// applyLeader applies the leader record, which names the process as well as the node. The
// record of an earlier process of this node is deleted when that process's lease expires.
// The record of this process makes it the leader even if the answer to its commit was lost.
// Otherwise this process would wait for that answer while no other controller can become
// leader.
func (c *Controller) applyLeader(record *records.Leader, version uint64) {
	c.leadership.node, c.leadership.version, c.leadership.isSelf = "", 0, false
	if record == nil {
		return
	}
	c.leadership.node, c.leadership.version = record.Node, version
	if c.leadership.isSelf = record.Node == c.settings.NodeName && record.StartedAtMs == c.startedAt.UnixMilli(); c.leadership.isSelf {
		c.log.Info("leadership acquired")
	}
}

// isLeader reports whether this process is the leader, has registered its node, and has
// cached everything that earlier leaders committed.
func (c *Controller) isLeader() bool {
	return c.leadership.isSelf && c.membership.lease != 0 && c.view.Revision >= c.leadership.version
}

// leaderCompare returns the condition that the leader record has not changed. The leader adds
// it to transactions that are valid only while this process is still the leader.
func (c *Controller) leaderCompare() kv.Compare {
	return kv.Compare{Key: records.LeaderKey, Version: c.leadership.version}
}
