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
func (c *Controller) noteUnrecorded(host, typeName, zone string, loaner bool) {
	if _, seen := c.provisioner.unrecorded[host]; !seen && c.isLeader() {
		c.provisioner.unrecorded[host] = unrecordedHost{firstSeen: time.Now(), kind: replica.MachineKind{Type: typeName, Zone: zone, Spot: loaner}}
	}
}

// adoptMachines records the machines noted, all of a kind together.
func (c *Controller) adoptMachines(now time.Time) {
	hosts := make(map[replica.MachineKind][]string)
	for host, u := range c.provisioner.unrecorded {
		// The answer to a hire may just be on its way; it knows better.
		patience := time.Duration(0)
		if len(c.view.Provisions) > 0 {
			patience = 3 * time.Second
		}
		if !u.recording && now.Sub(u.firstSeen) >= patience && c.view.MachineTypes[u.kind.Type] != nil {
			hosts[u.kind] = append(hosts[u.kind], host)
		}
	}
	for _, kind := range slices.SortedFunc(maps.Keys(hosts), replica.MachineKind.Compare) {
		list := hosts[kind]
		slices.Sort(list)
		for part := range slices.Chunk(list, maxMachinesPerRequest) {
			c.adoptGroup(kind, part, now)
		}
	}
}

func (c *Controller) adoptGroup(kind replica.MachineKind, hosts []string, now time.Time) {
	c.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.startedAt.UnixMilli(), c.provisioner.requestCount)
	record := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: len(hosts)}, RequestedAtMs: now.UnixMilli()}
	byShard := make(map[string][]string)
	for _, host := range hosts {
		shard := c.smallestShard(kind.Zone, kind.Type)
		c.provisioner.unrecorded[host] = unrecordedHost{recording: true, shard: shard, kind: kind}
		byShard[shard] = append(byShard[shard], host)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		for _, host := range byShard[shard] {
			record.Allocate(shard)
			record.Hosts = append(record.Hosts, host)
		}
	}
	// A hire that is still without an answer may have rented these. If its answer
	// is recorded first, this fails. If this comes first, the hire's record gets a
	// new version, and an answer that was about to be recorded, or is recorded
	// late, fails: else a machine is put into two shards, with two owners.
	compares := []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}}
	ops := []kv.Op{{Key: records.ProvisionPrefix + name, Value: record}}
	for _, name := range slices.Sorted(maps.Keys(c.view.Provisions)) {
		if provision := c.view.Provisions[name]; provision.Version != 0 && provision.Record.Type == kind.Type && provision.Record.Zone == kind.Zone && provision.Record.Spot == kind.Spot {
			again := provision.Record
			compares = append(compares, kv.Compare{Key: records.ProvisionPrefix + provision.Name, Version: provision.Version})
			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + provision.Name, Value: &again})
		}
	}
	if len(ops) > c.settings.RecordLimits().MaxTxnOps {
		for _, host := range hosts {
			delete(c.provisioner.unrecorded, host) // until fewer hires are without an answer
		}
		return
	}
	c.commit(kv.PriorityLease, compares, ops, 5*time.Second, func(err error) {
		if err == nil {
			c.log.Info("unrecorded machines adopted", "machines", len(hosts), "type", kind.Type, "zone", kind.Zone, "shards", record.Allocations)
		}
		for _, host := range hosts {
			delete(c.provisioner.unrecorded, host)
		}
	})
}

// smallestShard is the shard with the fewest machines of a zone and type, the
// one with the least room among equals.
func (c *Controller) smallestShard(zone, typeName string) string {
	cpus, like := make(map[string]float64), make(map[string]int)
	for _, shard := range c.view.Shards {
		for k, count := range shard.Kinds {
			cpus[shard.Name] += c.view.MachineType(k.Type).CPUs * float64(count)
			if k.Zone == zone && k.Type == typeName {
				like[shard.Name] += count
			}
		}
	}
	for _, provision := range c.view.Provisions {
		for _, p := range provision.Record.Allocations {
			cpus[p.Shard] += c.view.MachineType(provision.Record.Type).CPUs * float64(p.Count)
			if provision.Record.Zone == zone && provision.Record.Type == typeName {
				like[p.Shard] += p.Count
			}
		}
	}
	for _, u := range c.provisioner.unrecorded {
		if u.recording {
			cpus[u.shard] += c.view.MachineType(u.kind.Type).CPUs
			if u.kind.Zone == zone && u.kind.Type == typeName {
				like[u.shard]++
			}
		}
	}
	best := ""
	// Shards that nobody owns yet count as well: at the first start the first
	// one to be acquired would otherwise get every machine.
	for _, name := range c.view.ShardNames() {
		if best == "" || like[name] < like[best] || (like[name] == like[best] && cpus[name] < cpus[best]) {
			best = name
		}
	}
	return best
}
