package controller

import (
	"time"

	"madderslip/internal/coordination/provisioning"
)

// Package boots decides what to expect of machines that are not up yet. The owner of
// a shard sees them come up; the leader, who rents, is told of the late ones and of
// kinds in trouble with the shard's load.

func (m *machine) bootKind() provisioning.MachineKind {
	return provisioning.MachineKind{Type: m.rec.Type, Zone: m.rec.Zone}
}

// bootedFor is how long ago a machine was rented.
func (m *machine) bootedFor(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(m.rec.RentedAtMs))
}

// cameUp notes a machine's first account. It tells how long the boot took only if the
// shard was this process's all along.
func (n *Controller) cameUp(m *machine, now time.Time) {
	if s := n.shards[m.rec.Shard]; n.active(s) && s.since.Before(time.UnixMilli(m.rec.RentedAtMs)) {
		n.boots.Booted(m.bootKind(), m.bootedFor(now), now)
	}
	if m.late {
		n.log.Info("a late machine has come up", "host", m.host, "after", m.bootedFor(now).Round(time.Second))
	}
}

// lateBoots lists the machines of a shard that are late in coming up and do not count
// for the work that waits. Those that come after all are used, or returned as idle.
func (n *Controller) lateBoots(s *shard, now time.Time) (out []string) {
	late, coming := 0, 0
	for _, m := range s.machines {
		// Only those that were rented while this process had the shard: what an earlier
		// owner has heard is not known here, and a new owner took all for late.
		if m.rep != nil || m.returning || !s.since.Before(time.UnixMilli(m.rec.RentedAtMs)) {
			continue
		}
		coming++
		t := n.typeOf(m.rec.Type)
		if m.bootedFor(now) < n.boots.Overdue(m.bootKind(), t.BootTime(), now) {
			continue
		}
		late++
		if !m.late {
			m.late = true
			n.boots.Failed(m.bootKind(), now)
			n.log.Info("a machine is late, others are rented for what waits for it", "host", m.host, "type", m.rec.Type, "zone", m.rec.Zone, "age", m.bootedFor(now).Round(time.Second))
		}
		out = append(out, m.host)
	}
	return out[:provisioning.ReplacementCount(late, coming)]
}

// shy is how many times as dear as it is a kind should seem, by what any shard's owner
// has seen of late.
func (n *Controller) shy(typ, zone string, now time.Time) float64 {
	most := n.boots.Unreliability(provisioning.MachineKind{Type: typ, Zone: zone}, now)
	for _, l := range n.loads {
		if now.Sub(l.at) < sayEvery {
			most = max(most, l.load.Unreliability[typ+"/"+zone])
		}
	}
	return most
}
