package controller

import (
	"time"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
)

// recordBoot notes a machine's first account. It tells how long the boot took only if the
// shard was this process's all along.
func (n *Controller) recordBoot(m *replica.Machine, now time.Time) {
	if s := n.view.Shards[m.Record.Shard]; n.view.IsActive(s) && s.OwnedSince.Before(time.UnixMilli(m.Record.RentedAtMs)) {
		n.provisioner.bootStats.Booted(bootKindOf(m), m.Age(now), now)
	}
	if m.Lifecycle.Overdue {
		n.log.Info("a late machine has come up", "host", m.Host, "after", m.Age(now).Round(time.Second))
	}
}

// overdueMachines lists the machines of a shard that are late in coming up and do not count
// for the work that waits. Those that come after all are used, or returned as idle.
func (n *Controller) overdueMachines(s *replica.Shard, now time.Time) (out []string) {
	late, coming := 0, 0
	for _, m := range s.Machines {
		// Only those that were rented while this process had the shard: what an earlier
		// owner has heard is not known here, and a new owner took all for late.
		if m.Agent.Heartbeat != nil || m.Lifecycle.Returning || !s.OwnedSince.Before(time.UnixMilli(m.Record.RentedAtMs)) {
			continue
		}
		coming++
		t := n.view.MachineType(m.Record.Type)
		if m.Age(now) < n.provisioner.bootStats.Overdue(bootKindOf(m), t.BootTime(), now) {
			continue
		}
		late++
		if !m.Lifecycle.Overdue {
			m.Lifecycle.Overdue = true
			n.provisioner.bootStats.Failed(bootKindOf(m), now)
			n.log.Info("a machine is late, others are rented for what waits for it", "host", m.Host, "type", m.Record.Type, "zone", m.Record.Zone, "age", m.Age(now).Round(time.Second))
		}
		out = append(out, m.Host)
	}
	return out[:provisioning.ReplacementCount(late, coming)]
}

// unreliability is how many times as dear as it is a kind should seem, by what any shard's owner
// has seen of late.
func (n *Controller) unreliability(typ, zone string, now time.Time) float64 {
	most := n.provisioner.bootStats.Unreliability(provisioning.MachineKind{Type: typ, Zone: zone}, now)
	for _, l := range n.shardLoads.reported {
		if now.Sub(l.At) < peerStatusTTL {
			most = max(most, l.Load.Unreliability[typ+"/"+zone])
		}
	}
	return most
}

// bootKindOf is what a machine's boot is expected to be like.
func bootKindOf(m *replica.Machine) provisioning.MachineKind {
	return provisioning.MachineKind{Type: m.Record.Type, Zone: m.Record.Zone}
}
