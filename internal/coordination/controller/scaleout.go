package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// scaleOut provisions machines for the work that neither free nor coming capacity can take.
func (c *Controller) scaleOut(now time.Time) {
	planner := provisioning.Planner{Market: c.market(now), Supply: c.supply(now)}
	urgent, arrays := c.demands(now)
	var offers []provisioning.Offer
	for _, demand := range urgent {
		offers = append(offers, planner.Fill(demand, math.Inf(1))...)
	}
	others, bestEffort := provisioning.SplitBestEffort(arrays)
	budget, bestEffortBudget := planner.ArrayBudget(others, bestEffort, c.runningLoad(), c.budgetPolicy())
	offers = append(offers, fillArrays(&planner, others, budget)...)
	offers = append(offers, fillArrays(&planner, bestEffort, bestEffortBudget)...)
	for _, provision := range c.groupOffers(offers, now) {
		c.recordProvision(provision)
	}
}

// fillArrays puts the demands of arrays into the supply and returns the machines to ask for
// within a budget of CPUs. An array that nothing there could ever run gets one machine all
// the same.
func fillArrays(planner *provisioning.Planner, arrays []provisioning.Demand, budget float64) []provisioning.Offer {
	const oneMachine = tolerance // any budget above 0 is good for one
	var offers []provisioning.Offer
	for _, demand := range arrays {
		if budget <= 0 && planner.IsUnservable(demand) {
			offers = append(offers, planner.Fill(demand, oneMachine)...)
			continue
		}
		filled := planner.Fill(demand, budget)
		for _, offer := range filled {
			budget -= offer.Type.CPUs
		}
		offers = append(offers, filled...)
	}
	return offers
}

// groupOffers makes one request for all machines of a kind, whatever their shards: the
// rates of the cloud and of the state service are too low for one of each for every
// machine. It stops at an offer for which there is no shard, without any request.
func (c *Controller) groupOffers(offers []provisioning.Offer, now time.Time) []*records.Provision {
	current := make(map[string]*records.Provision)
	var requests []*records.Provision
	for _, offer := range offers {
		shard := offer.Shard
		if shard == "" {
			shard = c.smallestShard(offer.Zone, offer.Type.Name)
		}
		if shard == "" {
			return nil
		}
		request := current[offer.Key()]
		if request == nil || request.Count == maxMachinesPerRequest {
			request = c.newProvision(replica.MachineKind{Type: offer.Type.Name, Zone: offer.Zone, Spot: offer.Spot}, now)
			current[offer.Key()] = request
			requests = append(requests, request)
			// smallestShard counts it from now on.
			c.view.Provisions[request.Name] = &replica.Provision{Name: request.Name, Busy: true}
		}
		request.Count++
		request.Allocate(shard)
		c.view.Provisions[request.Name].Record = *request
	}
	return requests
}

// newProvision returns a request for machines of a kind under a name of its own.
func (c *Controller) newProvision(kind replica.MachineKind, now time.Time) *records.Provision {
	c.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.startedAt.UnixMilli(), c.provisioner.requestCount)
	request := protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
	return &records.Provision{ProvisionRequest: request, RequestedAtMs: now.UnixMilli()}
}

// market returns what can be provisioned now.
func (c *Controller) market(now time.Time) provisioning.Market {
	machinesByZone := make(map[string]int)
	for _, shard := range c.view.Shards {
		for kind, count := range shard.Kinds {
			machinesByZone[kind.Zone] += count
		}
	}
	return provisioning.Market{
		Types: c.view.MachineTypes, RefusedUntil: c.provisioner.refusedUntil, MachinesByZone: machinesByZone, Now: now,
		IsPartitioned: func(zone string) bool { return c.isPartitioned(zone, now) },
		Unreliability: func(typeName, zone string) float64 { return c.unreliability(typeName, zone, now) },
	}
}

// budgetPolicy returns what operators set for the machines of arrays.
func (c *Controller) budgetPolicy() provisioning.BudgetPolicy {
	return provisioning.BudgetPolicy{ArrayWait: c.policy.ArrayWait, BestEffortWait: c.policy.BestEffortWait,
		BestEffortShare: c.policy.BestEffortProvisionShare, WarmShare: c.policy.WarmShare}
}

// runningLoad returns what arrays and services have placed, in all shards.
func (c *Controller) runningLoad() provisioning.RunningLoad {
	var load provisioning.RunningLoad
	for _, claim := range c.view.Claims {
		if claim.Record == nil || claim.Spec == nil {
			continue
		}
		switch cpus := float64(len(claim.Record.Placements)) * claim.Spec.CPUs; claim.Spec.Shape {
		case protocol.ShapeArray:
			load.Arrays += cpus
		case protocol.ShapeService:
			load.Services += cpus
		}
	}
	return load
}

// supply returns the capacity of all machines, there or coming, of every shard.
func (c *Controller) supply(now time.Time) []*placement.Capacity {
	var supply []*placement.Capacity
	for _, name := range c.view.ShardNames() {
		// Only the owner sees that a machine fails its tasks. Counted on by the leader, its
		// capacity would keep what waits for it from getting another machine.
		excluded := c.shardLoads.reported[name].Load.ExcludedHosts
		for _, machine := range c.view.Shards[name].Machines {
			if slices.Contains(excluded, machine.Host) {
				continue
			}
			if capacity := c.supplyOf(machine, now); capacity != nil {
				supply = append(supply, capacity)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.view.Provisions)) {
		request := c.view.Provisions[name].Record
		machineType := c.view.MachineTypes[request.Type]
		if machineType == nil {
			continue
		}
		for _, allocation := range request.Allocations {
			offer := provisioning.Offer{Type: machineType, Zone: request.Zone, Spot: request.Spot, Shard: allocation.Shard}
			for range allocation.Count {
				supply = append(supply, offer.Capacity())
			}
		}
	}
	return supply
}

// supplyOf returns the capacity of a machine as it counts for waiting work; nil: it does not.
func (c *Controller) supplyOf(machine *replica.Machine, now time.Time) *placement.Capacity {
	machineType := c.view.MachineTypes[machine.Record.Type]
	leaving := machine.Lifecycle.Returning || !machine.Agent.PreemptionNoticeAt.IsZero()
	if machineType == nil || machine.Quarantine.Active || leaving || c.isPartitioned(machine.Record.Zone, now) {
		return nil
	}
	return &placement.Capacity{Machine: machine, Host: machine.Host, TypeName: machine.Record.Type, Zone: machine.Record.Zone,
		Spot: machine.Record.Spot, Type: machineType, Shard: machine.Record.Shard, Free: c.view.FreeCapacity(machine)}
}

// maxDemandTasks bounds the tasks of one chunk that machines are sought for in one pass.
const maxDemandTasks = 2000

// warmReserveTasks is the least that the warm reserve has beside its share.
const warmReserveTasks = 2

// demands lists the work without machines, urgent first, and arrays apart: an array may
// wait a little for running tasks to end.
func (c *Controller) demands(now time.Time) (urgent, arrays []provisioning.Demand) {
	replicas := 0
	var service *protocol.Submission
	for _, job := range c.view.Jobs {
		if job.Record == nil || job.Record.Spec == nil || job.Record.IsFinal() {
			continue
		}
		spec := job.Spec()
		if spec.Shape == protocol.ShapeService {
			replicas += placedTasks(job)
			if service == nil || spec.JobID < service.JobID {
				service = spec // any will do, but the same one every time
			}
		}
		if spec.Shape == protocol.ShapeArray {
			arrays = append(arrays, c.demandsOf(job, now)...)
		} else {
			urgent = append(urgent, c.demandsOf(job, now)...)
		}
	}
	provisioning.SortByPriority(urgent)
	provisioning.SortByPriority(arrays)
	if service != nil && c.policy.WarmShare > 0 {
		tasks := int(math.Ceil(float64(replicas)*c.policy.WarmShare)) + warmReserveTasks
		skip := func(zone string) bool { return c.isPartitioned(zone, now) }
		urgent = append(urgent, provisioning.WarmReserve(service, tasks, c.settings.Zones, skip)...)
	}
	return urgent, arrays
}

// placedTasks counts the recorded placements of a job, of all its chunks.
func placedTasks(job *replica.Job) int {
	count := 0
	for _, claim := range job.Claims {
		count += claim.PlacedCount()
	}
	return count
}

// demandsOf lists the chunks of an open job that lack machines.
func (c *Controller) demandsOf(job *replica.Job, now time.Time) []provisioning.Demand {
	if now.Before(job.NotBefore) || job.OnProbation(now) {
		return nil
	}
	spec := job.Spec()
	allowance := math.MaxInt
	if c.isLimited(spec) {
		// No machines for what the team's limit keeps waiting anyway.
		allowance = c.allowance(spec)
	}
	var demands []provisioning.Demand
	for chunk := range job.Chunks {
		entry := placement.QueueEntry{Job: job, Claim: c.view.ClaimOf(job, chunk), Chunk: chunk, Spec: spec}
		demand := provisioning.Demand{Spec: spec, Count: min(entry.PlaceableTasks(), allowance, maxDemandTasks),
			Runtime: c.estimateRuntime(spec), SubmittedAt: job.SubmittedAt()}
		if demand.Count <= 0 {
			continue
		}
		if entry.Claim != nil && entry.Claim.Record != nil {
			demand.Shard, demand.TakenZones = entry.Claim.Record.Shard, c.view.ZonesOf(entry.Claim)
		}
		if entry.StartsTogether() && demand.Shard == "" && len(job.Record.Shards) > 0 {
			demand.Shard = job.Record.Shards[0] // a gang needs its machines side by side
		}
		allowance -= demand.Count
		demands = append(demands, demand)
	}
	return demands
}
