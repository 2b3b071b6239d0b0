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

// scaleOut provisions machines for work that fits neither the free capacity nor the capacity
// that is being provisioned.
func (c *Controller) scaleOut(now time.Time) {
	planner := provisioning.Planner{Market: c.market(now), Supply: c.supply(now)}
	urgent, arrays := c.demands(now)
	var offers []provisioning.Offer
	for _, demand := range urgent {
		offers = append(offers, planner.Fill(demand, math.Inf(1))...)
	}
	others, bestEffort := provisioning.SplitBestEffort(arrays)
	budget, bestEffortBudget := planner.ArrayBudget(others, bestEffort, c.runningLoad(&planner), c.budgetPolicy())
	offers = append(offers, fillArrays(&planner, others, budget)...)
	offers = append(offers, fillArrays(&planner, bestEffort, bestEffortBudget)...)
	for _, provision := range c.groupOffers(offers, now) {
		c.recordProvision(provision)
	}
}

// fillArrays allocates the demands of arrays from the supply and returns the machines to
// request for the rest, within a budget of CPUs. An array that no machine of the supply can
// ever run gets one machine even without budget.
func fillArrays(planner *provisioning.Planner, arrays []provisioning.Demand, budget float64) []provisioning.Offer {
	const oneMachineBudget = tolerance // any budget above 0 permits one machine
	var offers []provisioning.Offer
	for _, demand := range arrays {
		if budget <= 0 && planner.IsUnservable(demand) {
			offers = append(offers, planner.Fill(demand, oneMachineBudget)...)
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

// groupOffers combines the offers of each kind of machine into requests, across shards. The
// request rates of the cloud and of the state service are too low for a request and a record
// per machine. If there is no shard for an offer, groupOffers returns no request at all.
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
			// From now on smallestShard counts the machines of this request.
			c.view.Provisions[request.Name] = &replica.Provision{Name: request.Name, Busy: true}
		}
		request.Count++
		request.Allocate(shard)
		c.view.Provisions[request.Name].Record = *request
	}
	return requests
}

// newProvision returns a request, with a unique name, for machines of a kind.
func (c *Controller) newProvision(kind replica.MachineKind, now time.Time) *records.Provision {
	c.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.startedAt.UnixMilli(), c.provisioner.requestCount)
	request := protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
	return &records.Provision{ProvisionRequest: request, RequestedAtMs: now.UnixMilli()}
}

// market returns which kinds of machine can be provisioned now, and on which terms.
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

// budgetPolicy returns the operators' settings for machines that are provisioned for arrays.
func (c *Controller) budgetPolicy() provisioning.BudgetPolicy {
	return provisioning.BudgetPolicy{ArrayWait: c.policy.ArrayWait, BestEffortWait: c.policy.BestEffortWait,
		BestEffortShare: c.policy.BestEffortProvisionShare, WarmShare: c.policy.WarmShare}
}

// runningLoad returns the CPUs for which the placed tasks of arrays and services count, in all shards.
func (c *Controller) runningLoad(planner *provisioning.Planner) provisioning.RunningLoad {
	var load provisioning.RunningLoad
	for _, claim := range c.view.Claims {
		if claim.Record == nil || claim.Spec == nil {
			continue
		}
		placed := float64(len(claim.Record.Placements))
		switch claim.Spec.Shape {
		case protocol.ShapeArray:
			load.Arrays += placed * planner.TaskCPUs(claim.Spec)
		case protocol.ShapeService:
			load.Services += placed * claim.Spec.CPUs
		}
	}
	return load
}

// supply returns the capacity of the machines of every shard, including those that are being
// provisioned.
func (c *Controller) supply(now time.Time) []*placement.Capacity {
	var supply []*placement.Capacity
	for _, name := range c.view.ShardNames() {
		// Only the shard's owner observes that a machine fails its tasks or does not boot in
		// time. If the leader counted such a machine as supply, it would provision no other
		// one for the work that the machine cannot run.
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

// supplyOf returns the capacity that a machine supplies to queued work, or nil if the machine
// does not count as supply.
func (c *Controller) supplyOf(machine *replica.Machine, now time.Time) *placement.Capacity {
	machineType := c.view.MachineTypes[machine.Record.Type]
	leaving := machine.Lifecycle.Returning || !machine.Agent.PreemptionNoticeAt.IsZero()
	if machineType == nil || machine.Quarantine.Active || leaving || c.isPartitioned(machine.Record.Zone, now) {
		return nil
	}
	free := c.view.FreeCapacity(machine) // also counts the machine's tasks
	return &placement.Capacity{Machine: machine, Host: machine.Host, TypeName: machine.Record.Type, Zone: machine.Record.Zone,
		Spot: machine.Record.Spot, Type: machineType, Shard: machine.Record.Shard, Free: free, Tasks: machine.Capacity.Tasks}
}

// maxDemandTasks bounds the tasks of one chunk for which machines are provisioned in one
// pass.
const maxDemandTasks = 2000

// warmReserveTasks is the number of tasks that the warm reserve has room for in addition to
// its share of the placed replicas.
const warmReserveTasks = 2

// demands lists the work that lacks machines, by priority. Arrays are listed apart from all
// other work (urgent), since an array may wait a short time for running tasks to end.
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
				service = spec // the warm reserve is sized in tasks of one service; any service can stand for all, but must be the same one in every pass, whatever the order of the map
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
		// No machines are provisioned for tasks that the team's limit keeps queued.
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
			demand.Shard = job.Record.Shards[0] // a gang's machines are provisioned in one shard, so that the gang fits there
		}
		allowance -= demand.Count
		demands = append(demands, demand)
	}
	return demands
}
