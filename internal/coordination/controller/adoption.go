package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

type unrecordedHost struct {
	firstSeen time.Time
	recording bool // being recorded, in this shard
	shard     string
	kind      replica.MachineKind
}

// noteUnrecorded notes a machine that nobody expected. The leader alone records such
// machines: several nodes that choose shards at once, each blind to the others,
// would all put theirs into the same one.
func (n *Controller) noteUnrecorded(host, typ, zone string, loaner bool) {
	if _, seen := n.provisioner.unrecorded[host]; !seen && n.isLeader() {
		n.provisioner.unrecorded[host] = unrecordedHost{firstSeen: time.Now(), kind: replica.MachineKind{Type: typ, Zone: zone, Spot: loaner}}
	}
}

// adoptMachines records the machines noted, all of a kind together.
func (n *Controller) adoptMachines(now time.Time) {
	hosts := make(map[replica.MachineKind][]string)
	for host, u := range n.provisioner.unrecorded {
		// The answer to a hire may just be on its way; it knows better.
		patience := time.Duration(0)
		if len(n.view.Provisions) > 0 {
			patience = 3 * time.Second
		}
		if !u.recording && now.Sub(u.firstSeen) >= patience && n.view.MachineTypes[u.kind.Type] != nil {
			hosts[u.kind] = append(hosts[u.kind], host)
		}
	}
	for _, kind := range slices.SortedFunc(maps.Keys(hosts), replica.MachineKind.Compare) {
		list := hosts[kind]
		slices.Sort(list)
		for part := range slices.Chunk(list, maxMachinesPerRequest) {
			n.adoptGroup(kind, part, now)
		}
	}
}

func (n *Controller) adoptGroup(kind replica.MachineKind, hosts []string, now time.Time) {
	n.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", n.settings.NodeName, n.startedAt.UnixMilli(), n.provisioner.requestCount)
	rec := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: len(hosts)}, RequestedAtMs: now.UnixMilli()}
	byShard := make(map[string][]string)
	for _, host := range hosts {
		shard := n.smallestShard(kind.Zone, kind.Type)
		n.provisioner.unrecorded[host] = unrecordedHost{recording: true, shard: shard, kind: kind}
		byShard[shard] = append(byShard[shard], host)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		for _, host := range byShard[shard] {
			rec.Allocate(shard)
			rec.Hosts = append(rec.Hosts, host)
		}
	}
	// A hire that is still without an answer may have rented these. If its answer
	// is recorded first, this fails. If this comes first, the hire's record gets a
	// new version, and an answer that was about to be recorded, or is recorded
	// late, fails: else a machine is put into two shards, with two owners.
	conds := []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}}
	ops := []kv.Op{{Key: records.ProvisionPrefix + name, Value: rec}}
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		if h := n.view.Provisions[name]; h.Version != 0 && h.Record.Type == kind.Type && h.Record.Zone == kind.Zone && h.Record.Spot == kind.Spot {
			again := h.Record
			conds = append(conds, kv.Compare{Key: records.ProvisionPrefix + h.Name, Version: h.Version})
			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + h.Name, Value: &again})
		}
	}
	if len(ops) > n.settings.RecordLimits().MaxTxnOps {
		for _, host := range hosts {
			delete(n.provisioner.unrecorded, host) // until fewer hires are without an answer
		}
		return
	}
	n.commit(kv.PriorityLease, conds, ops, 5*time.Second, func(err error) {
		if err == nil {
			n.log.Info("machines adopted", "hosts", len(hosts), "type", kind.Type, "zone", kind.Zone, "parts", rec.Allocations)
		}
		for _, host := range hosts {
			delete(n.provisioner.unrecorded, host)
		}
	})
}

// smallestShard is the shard with the fewest machines of a zone and type, the
// one with the least room among equals.
func (n *Controller) smallestShard(zone, typ string) string {
	cpus, like := make(map[string]float64), make(map[string]int)
	for _, s := range n.view.Shards {
		for k, count := range s.Kinds {
			cpus[s.Name] += n.view.MachineType(k.Type).CPUs * float64(count)
			if k.Zone == zone && k.Type == typ {
				like[s.Name] += count
			}
		}
	}
	for _, h := range n.view.Provisions {
		for _, p := range h.Record.Allocations {
			cpus[p.Shard] += n.view.MachineType(h.Record.Type).CPUs * float64(p.Count)
			if h.Record.Zone == zone && h.Record.Type == typ {
				like[p.Shard] += p.Count
			}
		}
	}
	for _, u := range n.provisioner.unrecorded {
		if u.recording {
			cpus[u.shard] += n.view.MachineType(u.kind.Type).CPUs
			if u.kind.Zone == zone && u.kind.Type == typ {
				like[u.shard]++
			}
		}
	}
	best := ""
	// Shards that nobody owns yet count as well: at the first start the first
	// one to be acquired would otherwise get every machine.
	for _, name := range n.view.ShardNames() {
		if best == "" || like[name] < like[best] || (like[name] == like[best] && cpus[name] < cpus[best]) {
			best = name
		}
	}
	return best
}
