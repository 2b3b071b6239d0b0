package controller

import (
	"time"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
)

// recordBoot records a machine's boot at its first heartbeat. The boot time enters the
// statistics only if this process has owned the shard since before the machine was
// provisioned; otherwise an earlier owner may have received heartbeats before.
func (c *Controller) recordBoot(machine *replica.Machine, now time.Time) {
	if shard := c.view.Shards[machine.Record.Shard]; c.view.IsActive(shard) && shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
		c.provisioner.bootStats.RecordBoot(bootKindOf(machine), machine.Age(now), now)
	}
	if machine.Lifecycle.Overdue {
		c.log.Info("overdue machine booted", "host", machine.Host, "age", machine.Age(now).Round(time.Second))
	}
}

// overdueMachines lists machines of a shard whose boot is overdue, a few at a time. The listed
// machines do not count as supply for queued work. A machine that boots later is used, or
// returned as idle.
func (c *Controller) overdueMachines(shard *replica.Shard, now time.Time) (overdue []string) {
	booting := 0
	for _, machine := range shard.Machines {
		// Only machines that were provisioned while this process owned the shard count. This
		// process does not have the heartbeats that an earlier owner received, and without
		// them all other machines would appear overdue.
		if machine.Agent.Heartbeat != nil || machine.Lifecycle.Returning || !shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
			continue
		}
		booting++
		machineType := c.view.MachineType(machine.Record.Type)
		if machine.Age(now) < c.provisioner.bootStats.OverdueAge(bootKindOf(machine), machineType.BootTime(), now) {
			continue
		}
		if !machine.Lifecycle.Overdue {
			machine.Lifecycle.Overdue = true
			c.provisioner.bootStats.RecordOverdue(bootKindOf(machine), now)
			c.log.Info("machine boot overdue", "host", machine.Host, "type", machine.Record.Type, "zone", machine.Record.Zone, "age", machine.Age(now).Round(time.Second))
		}
		overdue = append(overdue, machine.Host)
	}
	return overdue[:provisioning.ReplacementCount(len(overdue), booting)]
}

// unreliability returns the factor by which the price of a kind of machine is multiplied when
// kinds are compared, to account for failed boots. It is the highest factor that this
// controller or any shard's owner has observed recently.
func (c *Controller) unreliability(typeName, zone string, now time.Time) float64 {
	highest := c.provisioner.bootStats.Unreliability(provisioning.MachineKind{Type: typeName, Zone: zone}, now)
	for _, reported := range c.shardLoads.reported {
		if now.Sub(reported.At) < peerStatusTTL {
			highest = max(highest, reported.Load.Unreliability[typeName+"/"+zone])
		}
	}
	return highest
}

// bootKindOf returns the kind under which a machine's boot enters the boot statistics.
func bootKindOf(machine *replica.Machine) provisioning.MachineKind {
	return provisioning.MachineKind{Type: machine.Record.Type, Zone: machine.Record.Zone}
}
