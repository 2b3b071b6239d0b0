package controller

import (
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// leadership is what the leader's record says, and whether this process campaigns.
type leadership struct {
	node        string // empty: no leader
	version     uint64 // of the record; 0: there is none
	isSelf      bool   // this very process is the leader, not an earlier one of the same node
	campaigning bool   // a commit to become leader is under way
}

// leaderCommitTimeout bounds the commit to become leader.
const leaderCommitTimeout = 2 * time.Second

// campaign seeks to become leader while there is none. The record hangs on this node's
// lease, so it is deleted when the lease expires.
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

// applyLeader applies the leader's record, which names the process as well as the node. One
// that an earlier process of this node left is deleted with that one's lease. One made by
// this process counts even if its commit's answer was lost, which prevents a leader from
// waiting for that answer while nobody else can lead.
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

// isLeader reports whether this process is the leader and has seen all that earlier leaders
// recorded.
func (c *Controller) isLeader() bool {
	return c.leadership.isSelf && c.membership.lease != 0 && c.view.Revision >= c.leadership.version
}

// leaderCompare is the condition that this process is still the leader.
func (c *Controller) leaderCompare() kv.Compare {
	return kv.Compare{Key: records.LeaderKey, Version: c.leadership.version}
}
