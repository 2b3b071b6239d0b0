package controller

import (
	"time"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
)

// recordBoot notes a machine's first account. It tells how long the boot took only if the
// shard was this process's all along.
func (c *Controller) recordBoot(machine *replica.Machine, now time.Time) {
	if shard := c.view.Shards[machine.Record.Shard]; c.view.IsActive(shard) && shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
		c.provisioner.bootStats.Booted(bootKindOf(machine), machine.Age(now), now)
	}
	if machine.Lifecycle.Overdue {
		c.log.Info("overdue machine booted", "host", machine.Host, "age", machine.Age(now).Round(time.Second))
	}
}

// overdueMachines lists the machines of a shard that are late in coming up and do not count
// for the work that waits. Those that come after all are used, or returned as idle.
func (c *Controller) overdueMachines(shard *replica.Shard, now time.Time) (out []string) {
	late, coming := 0, 0
	for _, machine := range shard.Machines {
		// Only those that were rented while this process had the shard: what an earlier
		// owner has heard is not known here, and a new owner took all for late.
		if machine.Agent.Heartbeat != nil || machine.Lifecycle.Returning || !shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
			continue
		}
		coming++
		machineType := c.view.MachineType(machine.Record.Type)
		if machine.Age(now) < c.provisioner.bootStats.Overdue(bootKindOf(machine), machineType.BootTime(), now) {
			continue
		}
		late++
		if !machine.Lifecycle.Overdue {
			machine.Lifecycle.Overdue = true
			c.provisioner.bootStats.Failed(bootKindOf(machine), now)
			c.log.Info("machine boot overdue", "host", machine.Host, "type", machine.Record.Type, "zone", machine.Record.Zone, "age", machine.Age(now).Round(time.Second))
		}
		out = append(out, machine.Host)
	}
	return out[:provisioning.ReplacementCount(late, coming)]
}

// unreliability is how many times as dear as it is a kind should seem, by what any shard's owner
// has seen of late.
func (c *Controller) unreliability(typeName, zone string, now time.Time) float64 {
	most := c.provisioner.bootStats.Unreliability(provisioning.MachineKind{Type: typeName, Zone: zone}, now)
	for _, reported := range c.shardLoads.reported {
		if now.Sub(reported.At) < peerStatusTTL {
			most = max(most, reported.Load.Unreliability[typeName+"/"+zone])
		}
	}
	return most
}

// bootKindOf is what a machine's boot is expected to be like.
func bootKindOf(machine *replica.Machine) provisioning.MachineKind {
	return provisioning.MachineKind{Type: machine.Record.Type, Zone: machine.Record.Zone}
}
