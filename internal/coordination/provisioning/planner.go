package provisioning

import (
	"maps"
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// maxOffersPerDemand bounds the machines that are provisioned for one demand in one pass.
const maxOffersPerDemand = 50

// zoneBalanceCost is the fraction by which each machine in a zone raises the cost of an offer
// in that zone. It balances the machines over the zones.
const zoneBalanceCost = 0.01

// Market describes the machines that can be provisioned, and what affects their cost.
type Market struct {
	Types          map[string]*protocol.MachineType
	RefusedUntil   map[string]time.Time // by OfferKey: time before which a kind that the cloud refused is not requested again
	MachinesByZone map[string]int
	// IsPartitioned reports whether machines provisioned in a zone would be unreachable.
	IsPartitioned func(zone string) bool
	// Unreliability returns the factor by which the price of a kind is multiplied.
	Unreliability func(typeName, zone string) float64
	Now           time.Time
}

// Planner allocates demands from existing and expected capacity, and selects the machines to
// provision for the tasks that this capacity cannot run.
type Planner struct {
	Market Market
	// Supply is the capacity of all machines, expected ones included. Fill allocates demands
	// from it and appends the machines that it selects.
	Supply []*placement.Capacity
}

// Fill allocates a demand from the supply and returns the machines to provision for the tasks
// that the supply cannot run. No further machine is added once the machines added for this
// demand have budgetCPUs CPUs in total.
func (p *Planner) Fill(demand Demand, budgetCPUs float64) []Offer {
	var offers []Offer
	usedCPUs := 0.0
	zones := placement.NewZoneConstraint(demand.Spec, demand.TakenZones)
	next := 0 // index in Supply; a machine without capacity for one task of the demand has none for a later task either
	for filled := 0; filled < demand.Count; filled++ {
		for next < len(p.Supply) && !serves(p.Supply[next], demand, &zones) {
			next++
		}
		if next == len(p.Supply) {
			offer, found := p.bestOffer(demand, demand.Count-filled, &zones)
			if !found || usedCPUs >= budgetCPUs || len(offers) >= maxOffersPerDemand {
				break
			}
			usedCPUs += offer.Type.CPUs
			offers = append(offers, offer)
			p.Supply = append(p.Supply, offer.Capacity())
		}
		capacity := p.Supply[next]
		capacity.Allocate(demand.Spec)
		zones.Add(demand.Spec, capacity.Zone)
	}
	return offers
}

// serves reports whether one more task of a demand may be allocated on a machine.
func serves(capacity *placement.Capacity, demand Demand, zones *placement.ZoneConstraint) bool {
	return capacity.Fits(demand.Spec) && mayServe(capacity, demand, zones) && (demand.Zone == "" || demand.Zone == capacity.Zone)
}

// mayServe reports whether tasks of a demand may run on a machine, regardless of its free
// capacity.
func mayServe(capacity *placement.Capacity, demand Demand, zones *placement.ZoneConstraint) bool {
	shardMatches := demand.Shard == "" || capacity.Shard == "" || demand.Shard == capacity.Shard
	return placement.Allowed(demand.Spec, capacity.TypeName, capacity.Zone, capacity.Spot) && zones.Permits(capacity.Zone) && shardMatches
}

// IsUnservable reports whether no existing or expected machine could ever run a task of an
// array: no machine is of a permitted kind and shard, or replicas of services, which do not
// end, leave too little capacity on the machines of a permitted kind and shard. ArrayBudget
// counts capacity of all shards and kinds together. An array that only part of this capacity
// can serve (an array with GPUs, or with its chunk in a shard that has lost its machines)
// would therefore wait forever while the budget is 0.
func (p *Planner) IsUnservable(demand Demand) bool {
	zones := placement.NewZoneConstraint(demand.Spec, demand.TakenZones)
	return !slices.ContainsFunc(p.Supply, func(capacity *placement.Capacity) bool {
		return mayServe(capacity, demand, &zones) && withoutReplicas(capacity).Fits(demand.Spec)
	})
}

// withoutReplicas returns the resources of a machine that replicas of services do not use.
func withoutReplicas(capacity *placement.Capacity) protocol.MachineResources {
	free := protocol.ResourcesOf(capacity.Type)
	if capacity.Machine == nil {
		return free
	}
	for _, slot := range capacity.Machine.Use.Slots {
		if spec := slot.Claim.Spec; spec != nil && spec.Shape == protocol.ShapeService {
			free = free.Minus(spec, 1)
		}
	}
	return free
}

// bestOffer returns the available offer that runs the given number of a demand's tasks at the
// lowest cost, and reports whether there is such an offer.
func (p *Planner) bestOffer(demand Demand, tasks int, zones *placement.ZoneConstraint) (best Offer, found bool) {
	bestCost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(p.Market.Types)) {
		machineType := p.Market.Types[name]
		if !placement.FitsEmpty(demand.Spec, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if p.Market.IsPartitioned(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				offer := Offer{Type: machineType, Zone: zone, Spot: spot, Shard: demand.Shard}
				if !p.isAvailable(offer, demand, zones) {
					continue
				}
				if cost := p.costOf(offer, demand, tasks); cost < bestCost {
					best, bestCost = offer, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// isAvailable reports whether an offer may be requested now and serves a demand.
func (p *Planner) isAvailable(offer Offer, demand Demand, zones *placement.ZoneConstraint) bool {
	return placement.Allowed(demand.Spec, offer.Type.Name, offer.Zone, offer.Spot) && zones.Permits(offer.Zone) &&
		(demand.Zone == "" || demand.Zone == offer.Zone) && !p.Market.Now.Before(p.Market.RefusedUntil[offer.Key()])
}

// costOf returns the price per hour and task of a machine that runs as many of the tasks as
// fit. The price is raised for each machine in the zone, which balances the machines over the
// zones, and for the unreliability of the machine's kind.
func (p *Planner) costOf(offer Offer, demand Demand, tasks int) float64 {
	perMachine := placement.TasksPerMachine(demand.Spec, offer.Type)
	cost := offer.Price() / float64(min(perMachine, tasks))
	cost *= (1 + zoneBalanceCost*float64(p.Market.MachinesByZone[offer.Zone])) * p.Market.Unreliability(offer.Type.Name, offer.Zone)
	return cost
}
