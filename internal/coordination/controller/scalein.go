package controller

import (
	"context"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// fleetLoopInterval has extra nanoseconds so that the loop does not compete with the other
// loops for the lock in every iteration (see loopStagger).
const fleetLoopInterval = 700*time.Millisecond + 41*time.Nanosecond

// fleetLoop reconciles the machines with the demand for them: shard owners return idle
// machines, the leader provisions new ones.
func (c *Controller) fleetLoop(ctx context.Context) {
	for c.pause(ctx, fleetLoopInterval) {
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

// idlePolicy determines which idle machines of a shard are kept in one pass.
type idlePolicy struct {
	inDemand map[replica.MachineKind]bool // kinds that can run work of the queue
	held     map[string]bool              // hosts that are held for gangs about to start
	spare    float64                      // free CPUs of on-demand machines without GPUs
	reserve  float64                      // how many of the spare CPUs stay free for services
}

// scaleIn returns machines that have been idle for the policy's IdleMachineTTL and are not
// needed for the warm reserve, machines that have not booted in time, and unused machines
// that are quarantined or being drained.
func (c *Controller) scaleIn(shard *replica.Shard, now time.Time) {
	policy := idlePolicy{reserve: serviceCPUs(shard) * c.policy.WarmShare, held: c.hostsHeldForGangs(shard)}
	policy.inDemand = c.kindsInDemand(shard, now)
	policy.spare = spareCPUs(c.capacities(shard, now))
	for _, machine := range shard.Machines {
		switch {
		case machine.Lifecycle.Returning:
		case machine.Agent.Heartbeat == nil:
			c.returnExpiredBoot(shard, machine, now)
		case c.isInUse(machine, &policy, now):
			machine.Lifecycle.IdleSince = time.Time{}
		default:
			c.returnIdle(shard, machine, &policy, now)
		}
	}
}

// serviceCPUs returns the CPUs of the service replicas that a shard has placed.
func serviceCPUs(shard *replica.Shard) float64 {
	cpus := 0.0
	for claim := range shard.Claims {
		if claim.Record != nil && claim.Spec != nil && claim.Spec.Shape == protocol.ShapeService {
			cpus += claim.Spec.CPUs * float64(len(claim.Record.Placements))
		}
	}
	return cpus
}

// hostsHeldForGangs returns the hosts of a shard that are held for gangs that span several
// shards.
func (c *Controller) hostsHeldForGangs(shard *replica.Shard) map[string]bool {
	held := make(map[string]bool)
	for _, reservation := range c.view.GangReservations {
		if hold := reservation.Holds[shard.Name]; hold != nil && hold.Version != 0 && reservation.Version != 0 {
			for host := range hold.Record.TasksByHost {
				held[host] = true
			}
		}
	}
	return held
}

// spareCPUs returns the free CPUs of usable on-demand machines without GPUs.
func spareCPUs(capacities []*placement.Capacity) float64 {
	spare := 0.0
	for _, capacity := range capacities {
		if capacity.Usable && !capacity.Spot && capacity.Type.GPUs == 0 {
			spare += capacity.Free.CPUs
		}
	}
	return spare
}

// returnExpiredBoot returns a machine that has not booted in time. After a takeover of its
// shard, a machine has the time of a boot and a worker lease to send the new owner a
// heartbeat.
func (c *Controller) returnExpiredBoot(shard *replica.Shard, machine *replica.Machine, now time.Time) {
	machineType := c.view.MachineType(machine.Record.Type)
	bootTime := machineType.BootTime()
	age := machine.Age(now)
	expired := age > c.provisioner.bootStats.ExpiryAge(bootKindOf(machine), bootTime, now)
	if expired && now.Sub(machine.AdoptedAt) > bootTime+c.settings.Workers.LeaseDuration {
		c.log.Info("machine boot expired", "host", machine.Host, "type", machine.Record.Type, "zone", machine.Record.Zone, "age", age.Round(time.Second))
		c.returnMachine(shard, machine)
	}
}

// isInUse reports whether a machine has placements or running tasks, is in demand or held, or
// was adopted less than the policy's IdleMachineTTL ago.
func (c *Controller) isInUse(machine *replica.Machine, policy *idlePolicy, now time.Time) bool {
	inDemand := policy.inDemand[machine.Kind()] && !machine.Quarantine.Active && machine.Lifecycle.DrainingSince.IsZero()
	wanted := inDemand || policy.held[machine.Host]
	return len(machine.Use.Slots) > 0 || wanted || machine.RunsTasks() || now.Sub(machine.AdoptedAt) < c.policy.IdleMachineTTL
}

// returnIdle returns a machine that is not in use: a drained machine at once, a quarantined
// machine after quarantineGrace, and any other once it has been idle for the policy's
// IdleMachineTTL, unless the warm reserve needs it.
func (c *Controller) returnIdle(shard *replica.Shard, machine *replica.Machine, policy *idlePolicy, now time.Time) {
	if machine.Lifecycle.IdleSince.IsZero() {
		machine.Lifecycle.IdleSince = now
	}
	quarantined := machine.Quarantine.Active && now.Sub(machine.Quarantine.ChangedAt) > quarantineGrace
	if quarantined || !machine.Lifecycle.DrainingSince.IsZero() {
		c.returnMachine(shard, machine)
		return
	}
	if now.Sub(machine.Lifecycle.IdleSince) < c.policy.IdleMachineTTL {
		return
	}
	if machineType := c.view.MachineType(machine.Record.Type); !machine.Record.Spot && machineType.GPUs == 0 {
		if policy.spare-machineType.CPUs < policy.reserve {
			return
		}
		policy.spare -= machineType.CPUs
	}
	c.log.Info("idle machine returned", "host", machine.Host)
	c.returnMachine(shard, machine)
}

// kindsInDemand returns which kinds of machine can run work of the shard's queue. While the
// state service's request budget is short, work stays queued although machines are idle.
// Returning these machines and provisioning others soon after would cost twice.
func (c *Controller) kindsInDemand(shard *replica.Shard, now time.Time) map[replica.MachineKind]bool {
	inDemand := make(map[replica.MachineKind]bool)
	queue := c.queue(shard, now)
	for kind := range shard.Kinds {
		if machineType := c.view.MachineTypes[kind.Type]; machineType != nil {
			inDemand[kind] = slices.ContainsFunc(queue, func(entry *placement.QueueEntry) bool {
				return placement.FitsEmpty(entry.Spec, machineType) && placement.Allowed(entry.Spec, kind.Type, kind.Zone, kind.Spot) && !c.exceedsLimit(entry)
			})
		}
	}
	return inDemand
}
