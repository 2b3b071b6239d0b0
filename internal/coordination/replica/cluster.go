package replica

import (
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

type NodeInfo struct {
	Version           uint64
	Since             time.Time
	QuotaVersion      int    // of what it understands of limits
	DependencyVersion int    // of what it understands of jobs that wait for others
	TeamsHash         uint64 // hash of the limits it was given
}

type ReportedLoad struct {
	Load protocol.ShardLoad
	At   time.Time
}

func (v *View) ApplyNode(name string, record *records.Node, version uint64) {
	if record == nil {
		delete(v.Nodes, name)
	} else {
		seen := v.Nodes[name]
		if seen.Version == 0 {
			seen.Since = time.Now()
		}
		seen.Version, seen.QuotaVersion, seen.TeamsHash, seen.DependencyVersion = version, record.QuotaVersion, record.TeamsHash, record.DependencyVersion
		v.Nodes[name] = seen
	}
	v.observer.NodesChanged()
}

// LiveNodes are the controllers whose lease holds, in order.
func (v *View) LiveNodes() []string {
	names := make([]string, 0, len(v.Nodes))
	for name := range v.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
