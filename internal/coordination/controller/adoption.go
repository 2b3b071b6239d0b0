package controller

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// unrecordedHost is a machine that exists but has no record.
type unrecordedHost struct {
	firstSeen time.Time
	recording bool   // a record that assigns the machine to the shard below is being committed
	shard     string // the shard that the record assigns the machine to; empty: no record is being committed
	kind      replica.MachineKind
}

const (
	// provisionAnswerGrace is how long a machine without a record is not adopted while provision
	// requests are unanswered: the answer that names the machine, and so assigns it to a shard,
	// may be in transit.
	provisionAnswerGrace  = 3 * time.Second
	adoptionCommitTimeout = 5 * time.Second
)

// addUnrecorded adds a machine without a record to those to be adopted, if this controller is the
// leader. Only the leader records such machines: several controllers that choose shards at the
// same time, independently of each other, would all choose the same shard.
func (c *Controller) addUnrecorded(host, typeName, zone string, spot bool) {
	if _, seen := c.provisioner.unrecorded[host]; !seen && c.isLeader() {
		c.provisioner.unrecorded[host] = unrecordedHost{firstSeen: time.Now(), kind: replica.MachineKind{Type: typeName, Zone: zone, Spot: spot}}
	}
}

// adoptMachines records the machines to be adopted whose grace has passed, grouped by kind.
func (c *Controller) adoptMachines(now time.Time) {
	grace := time.Duration(0)
	if len(c.view.Provisions) > 0 {
		grace = provisionAnswerGrace
	}
	hosts := make(map[replica.MachineKind][]string)
	for host, unrecorded := range c.provisioner.unrecorded {
		due := !unrecorded.recording && now.Sub(unrecorded.firstSeen) >= grace
		if due && c.view.MachineTypes[unrecorded.kind.Type] != nil {
			hosts[unrecorded.kind] = append(hosts[unrecorded.kind], host)
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

// adoptGroup commits one record for several machines of a kind.
func (c *Controller) adoptGroup(kind replica.MachineKind, hosts []string, now time.Time) {
	record := c.newProvision(kind, now)
	record.Count = len(hosts)
	c.allocateAdopted(record, kind, hosts)
	key := records.ProvisionPrefix + record.Name
	compares := []kv.Compare{c.leaderCompare(), {Key: key, Version: 0}}
	ops := []kv.Op{{Key: key, Value: record}}
	compares, ops = c.excludeAnswers(kind, compares, ops)
	if len(ops) > c.settings.RecordLimits().MaxTxnOps {
		c.dropUnrecorded(hosts) // the machines are added again later; once fewer provision requests are unanswered, the transaction is small enough
		return
	}
	c.commit(kv.PriorityLease, compares, ops, adoptionCommitTimeout, func(err error) {
		if err == nil {
			c.log.Info("unrecorded machines adopted", "machines", len(hosts), "type", kind.Type, "zone", kind.Zone, "shards", record.Allocations)
		}
		c.dropUnrecorded(hosts)
	})
}

// dropUnrecorded removes machines from those to be adopted. They are added again if they still
// have no record.
func (c *Controller) dropUnrecorded(hosts []string) {
	for _, host := range hosts {
		delete(c.provisioner.unrecorded, host)
	}
}

// allocateAdopted chooses a shard for each machine and adds the machines to a record in the
// order of their shards.
func (c *Controller) allocateAdopted(record *records.Provision, kind replica.MachineKind, hosts []string) {
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
}

// excludeAnswers adds a condition and a write for each unanswered provision request of the kind to
// the transaction of an adoption: the machines may have been provisioned by one of these
// requests. If the answer to the request is committed first, the adoption fails. If the
// adoption is committed first, the request's record gets a new version, and a commit of the
// answer based on the old version fails. This prevents a machine from being assigned to two
// shards with two owners.
func (c *Controller) excludeAnswers(kind replica.MachineKind, compares []kv.Compare, ops []kv.Op) ([]kv.Compare, []kv.Op) {
	for _, name := range slices.Sorted(maps.Keys(c.view.Provisions)) {
		provision := c.view.Provisions[name]
		if provision.Version != 0 && kindOf(&provision.Record) == kind {
			unchanged := provision.Record
			compares = append(compares, kv.Compare{Key: records.ProvisionPrefix + provision.Name, Version: provision.Version})
			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + provision.Name, Value: &unchanged})
		}
	}
	return compares, ops
}

// kindOf returns the kind of machine that a provision record is for.
func kindOf(record *records.Provision) replica.MachineKind {
	return replica.MachineKind{Type: record.Type, Zone: record.Zone, Spot: record.Spot}
}

// shardSizes is the size of each shard, machines that are being provisioned or adopted included:
// the CPUs of all its machines, and the number of its machines of one zone and type.
type shardSizes struct {
	zone, typeName string
	cpus           map[string]float64
	matching       map[string]int
}

// add adds machines of a kind to a shard.
func (s *shardSizes) add(shard string, kind replica.MachineKind, count int, cpus float64) {
	s.cpus[shard] += cpus * float64(count)
	if kind.Zone == s.zone && kind.Type == s.typeName {
		s.matching[shard] += count
	}
}

// isSmaller reports whether a shard has fewer machines of the zone and type than another,
// or as many and fewer CPUs.
func (s *shardSizes) isSmaller(shard, other string) bool {
	return s.matching[shard] < s.matching[other] || (s.matching[shard] == s.matching[other] && s.cpus[shard] < s.cpus[other])
}

// smallestShard returns the shard with the fewest machines of a zone and type, among several of
// these the one with the fewest CPUs, or "" if there is no shard. Unowned shards count as well,
// which prevents the first shard that is acquired from getting every machine.
func (c *Controller) smallestShard(zone, typeName string) string {
	sizes := shardSizes{zone: zone, typeName: typeName, cpus: make(map[string]float64), matching: make(map[string]int)}
	for _, shard := range c.view.Shards {
		for kind, count := range shard.Kinds {
			sizes.add(shard.Name, kind, count, c.view.MachineType(kind.Type).CPUs)
		}
	}
	for _, provision := range c.view.Provisions {
		for _, allocation := range provision.Record.Allocations {
			sizes.add(allocation.Shard, kindOf(&provision.Record), allocation.Count, c.view.MachineType(provision.Record.Type).CPUs)
		}
	}
	for _, unrecorded := range c.provisioner.unrecorded {
		if unrecorded.recording {
			sizes.add(unrecorded.shard, unrecorded.kind, 1, c.view.MachineType(unrecorded.kind.Type).CPUs)
		}
	}
	best := ""
	for _, name := range c.view.ShardNames() {
		if best == "" || sizes.isSmaller(name, best) {
			best = name
		}
	}
	return best
}
