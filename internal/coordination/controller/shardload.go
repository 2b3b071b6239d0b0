package controller

import (
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// loadCacheTTL is how long the owner of a shard reuses a computed load of the shard.
const loadCacheTTL = 200 * time.Millisecond

// shardLoads holds the load of each shard, by which the shards of a new job are chosen.
type shardLoads struct {
	reported    map[string]replica.ReportedLoad // by shard: the load that its owner reported last, or that this controller computed as owner
	queuedSince map[string]float64              // by shard: CPUs of the jobs that this controller queued at the shard since its load was last reported
}

func newShardLoads() shardLoads {
	return shardLoads{reported: make(map[string]replica.ReportedLoad), queuedSince: make(map[string]float64)}
}

// observeLoads records the loads of the sender's shards, and gives up shards that the sender
// has acquired from this controller.
func (c *Controller) observeLoads(message *protocol.PeerMessage, now time.Time) {
	for _, load := range message.Loads {
		if shard := c.view.Shards[load.Shard]; shard != nil {
			c.yieldToNewOwner(shard, message.From, load.FencingToken)
		}
		c.shardLoads.reported[load.Shard] = replica.ReportedLoad{Load: load, At: now}
		c.shardLoads.queuedSince[load.Shard] = 0
	}
}

// shardLoad returns the load of a shard that this controller owns, at most loadCacheTTL old.
func (c *Controller) shardLoad(shard *replica.Shard) protocol.ShardLoad {
	now := time.Now()
	if now.Sub(shard.Load.At) < loadCacheTTL && shard.Load.Load.FencingToken == shard.FencingToken {
		return shard.Load.Load
	}
	load := protocol.ShardLoad{Shard: shard.Name, FencingToken: shard.FencingToken, FreeCPUsByImage: make(protocol.Amounts)}
	c.addCapacities(&load, shard, now)
	load.ExcludedHosts = append(load.ExcludedHosts, c.overdueMachines(shard, now)...)
	for kind, factor := range c.provisioner.bootStats.UnreliableKinds(now) {
		if load.Unreliability == nil {
			load.Unreliability = make(protocol.Amounts)
		}
		load.Unreliability[kind.Type+"/"+kind.Zone] = factor
	}
	for _, entry := range c.queue(shard, now) {
		load.QueuedCPUs += entry.Spec.CPUs * float64(entry.UnplacedTasks())
	}
	shard.Load = replica.ReportedLoad{Load: load, At: now}
	c.shardLoads.reported[shard.Name] = shard.Load
	c.shardLoads.queuedSince[shard.Name] = 0
	return load
}

// addCapacities adds to a shard's load the CPUs of its machines, the CPUs in use, for each
// cached image the most CPUs that are free on one machine with the image, and the quarantined
// machines.
func (c *Controller) addCapacities(load *protocol.ShardLoad, shard *replica.Shard, now time.Time) {
	for _, capacity := range c.capacities(shard, now) {
		load.CPUs += capacity.Type.CPUs
		load.UsedCPUs += capacity.Type.CPUs - capacity.Free.CPUs
		if capacity.Machine.Quarantine.Active {
			load.ExcludedHosts = append(load.ExcludedHosts, capacity.Host)
		}
		if !capacity.Usable {
			continue
		}
		for _, cached := range capacity.Machine.Images {
			if capacity.Free.CPUs > load.FreeCPUsByImage[cached.Name] {
				load.FreeCPUsByImage[cached.Name] = capacity.Free.CPUs
			}
		}
	}
}
