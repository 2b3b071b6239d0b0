package controller

import (
	"context"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// fleetLoop works off the difference between the machines there should be and
// those there are: owners return what is idle, the leader hires.
func (c *Controller) fleetLoop(ctx context.Context) {
	for c.pause(ctx, 700*time.Millisecond+41*time.Nanosecond) {
		c.mu.Lock()
		if c.view.Loaded && len(c.view.MachineTypes) > 0 {
			now := time.Now()
			for _, name := range c.view.ShardNames() {
				if shard := c.view.Shards[name]; c.view.IsActive(shard) {
					c.scaleIn(shard, now)
					c.consolidate(shard, now)
				}
			}
			if c.isLeader() {
				c.adoptMachines(now)
				c.retryProvisions(now)
				c.scaleOut(now)
				c.dropGoneGroups()
			}
		}
		c.mu.Unlock()
	}
}

// scaleIn gives back machines that have had nothing to do for a while and
// are not part of the warm room, those that never came up, and sick ones.
func (c *Controller) scaleIn(shard *replica.Shard, now time.Time) {
	held := make(map[string]bool)
	services := 0.0
	for claim := range shard.Claims {
		if claim.Record != nil && claim.Spec != nil && claim.Spec.Shape == protocol.ShapeService {
			services += claim.Spec.CPUs * float64(len(claim.Record.Placements))
		}
	}
	for _, reservation := range c.view.GangReservations {
		if hold := reservation.Holds[shard.Name]; hold != nil && hold.Version != 0 && reservation.Version != 0 {
			for host := range hold.Record.TasksByHost {
				held[host] = true // held for a wide job about to start
			}
		}
	}
	wanted := c.kindsInDemand(shard, now)
	spare := 0.0
	capacities := c.capacities(shard, now)
	for _, capacity := range capacities {
		if capacity.Usable && !capacity.Spot && capacity.Type.GPUs == 0 {
			spare += capacity.Free.CPUs
		}
	}
	keep := services * c.policy.WarmShare
	for _, machine := range shard.Machines {
		if machine.Lifecycle.Returning {
			continue
		}
		machineType := c.view.MachineType(machine.Record.Type)
		if machine.Agent.Heartbeat == nil {
			age := machine.Age(now)
			if age > c.provisioner.bootStats.Expired(bootKindOf(machine), machineType.BootTime(), now) && now.Sub(machine.AdoptedAt) > machineType.BootTime()+c.settings.Workers.LeaseDuration {
				c.log.Info("machine boot expired", "host", machine.Host, "type", machine.Record.Type, "zone", machine.Record.Zone, "age", age.Round(time.Second))
				c.returnMachine(shard, machine)
			}
			continue
		}
		inDemand := wanted[replica.MachineKind{Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot}] && !machine.Quarantine.Active && machine.Lifecycle.DrainingSince.IsZero()
		if len(machine.Use.Slots) > 0 || inDemand || held[machine.Host] || machine.RunsTasks() || now.Sub(machine.AdoptedAt) < c.policy.IdleMachineTTL {
			machine.Lifecycle.IdleSince = time.Time{}
			continue
		}
		if machine.Lifecycle.IdleSince.IsZero() {
			machine.Lifecycle.IdleSince = now
		}
		if (machine.Quarantine.Active && now.Sub(machine.Quarantine.ChangedAt) > quarantineGrace) || !machine.Lifecycle.DrainingSince.IsZero() {
			c.returnMachine(shard, machine)
			continue
		}
		if now.Sub(machine.Lifecycle.IdleSince) < c.policy.IdleMachineTTL {
			continue
		}
		if !machine.Record.Spot && machineType.GPUs == 0 {
			if spare-machineType.CPUs < keep {
				continue
			}
			spare -= machineType.CPUs
		}
		c.log.Info("idle machine returned", "host", machine.Host)
		c.returnMachine(shard, machine)
	}
}

// kindsInDemand tells which kinds of machine the shard's queue could use. While
// the state service is short of budget, work waits beside idle machines; to
// return them and hire others just after would be paid twice.
func (c *Controller) kindsInDemand(shard *replica.Shard, now time.Time) map[replica.MachineKind]bool {
	wanted := make(map[replica.MachineKind]bool)
	queue := c.queue(shard, now)
	for kind := range shard.Kinds {
		if machineType := c.view.MachineTypes[kind.Type]; machineType != nil {
			wanted[kind] = slices.ContainsFunc(queue, func(entry *placement.QueueEntry) bool {
				return placement.FitsEmpty(entry.Spec, machineType) && placement.Allowed(entry.Spec, kind.Type, kind.Zone, kind.Spot) && !c.exceedsLimit(entry)
			})
		}
	}
	return wanted
}
