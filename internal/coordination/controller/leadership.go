package controller

import (
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// leadership is what the leader's record says, and whether this process seeks it.
type leadership struct {
	node        string // empty: no leader
	version     uint64 // of the record; 0: there is none
	isSelf      bool   // this very process leads, not an earlier one of the same node
	campaigning bool   // a commit to become leader is under way
}

// campaign seeks the lead when nobody has it. The record hangs on the node's
// lease, so it goes when its holder does.
func (c *Controller) campaign() {
	if c.leadership.version != 0 || c.leadership.campaigning {
		return
	}
	c.leadership.campaigning = true
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: records.LeaderKey, Version: 0}},
		[]kv.Op{{Key: records.LeaderKey, Value: &records.Leader{Node: c.settings.NodeName, StartedAtMs: c.startedAt.UnixMilli()}, Lease: c.membership.lease}}, 2*time.Second,
		func(error) { c.leadership.campaigning = false })
}

// applyLeader takes the record of who leads. It tells the process as well as the
// node: one left by an earlier process of this node goes with that one's lease,
// and one made by this process counts even if its commit's answer was lost. A
// leader that waited for the answer did not lead, and nobody else could.
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

// isLeader tells whether this process leads, and knows all that earlier leaders
// recorded.
func (c *Controller) isLeader() bool {
	return c.leadership.isSelf && c.membership.lease != 0 && c.view.Revision >= c.leadership.version
}
