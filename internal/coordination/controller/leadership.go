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
func (n *Controller) campaign() {
	if n.leadership.version != 0 || n.leadership.campaigning {
		return
	}
	n.leadership.campaigning = true
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.LeaderKey, Version: 0}},
		[]kv.Op{{Key: records.LeaderKey, Value: &records.Leader{Node: n.settings.NodeName, StartedAtMs: n.startedAt.UnixMilli()}, Lease: n.membership.lease}}, 2*time.Second,
		func(error) { n.leadership.campaigning = false })
}

// applyLeader takes the record of who leads. It tells the process as well as the
// node: one left by an earlier process of this node goes with that one's lease,
// and one made by this process counts even if its commit's answer was lost. A
// leader that waited for the answer did not lead, and nobody else could.
func (n *Controller) applyLeader(r *records.Leader, stamp uint64) {
	n.leadership.node, n.leadership.version, n.leadership.isSelf = "", 0, false
	if r == nil {
		return
	}
	n.leadership.node, n.leadership.version = r.Node, stamp
	if n.leadership.isSelf = r.Node == n.settings.NodeName && r.StartedAtMs == n.startedAt.UnixMilli(); n.leadership.isSelf {
		n.log.Info("leading")
	}
}

// isLeader tells whether this process leads, and knows all that earlier leaders
// recorded.
func (n *Controller) isLeader() bool {
	return n.leadership.isSelf && n.membership.lease != 0 && n.view.Revision >= n.leadership.version
}
