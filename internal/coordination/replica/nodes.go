package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// NodeInfo is a live controller, as its own record describes it.
type NodeInfo struct {
	Version           uint64
	Since             time.Time // when this process first read the controller's record
	QuotaVersion      int       // version of the quota protocol that the controller supports
	DependencyVersion int       // version of job dependencies that the controller supports
	TeamsHash         uint64    // hash of the team limits in the controller's settings
}

// ReportedLoad is a shard's load with the time at which this controller computed it, as the
// shard's owner, or received it.
type ReportedLoad struct {
	Load protocol.ShardLoad
	At   time.Time
}

// ApplyNode applies a controller's record. A nil record means that its lease has expired.
func (v *View) ApplyNode(name string, record *records.Node, version uint64) {
	if record == nil {
		delete(v.Nodes, name)
	} else {
		node := v.Nodes[name]
		if node.Version == 0 {
			node.Since = time.Now()
		}
		node.Version, node.TeamsHash = version, record.TeamsHash
		node.QuotaVersion, node.DependencyVersion = record.QuotaVersion, record.DependencyVersion
		v.Nodes[name] = node
	}
	v.observer.NodesChanged()
}

// LiveNodes lists the names of the controllers whose leases have not expired, sorted.
func (v *View) LiveNodes() []string {
	names := make([]string, 0, len(v.Nodes))
	for name := range v.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
