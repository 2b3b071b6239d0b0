package provisioning

import (
	"maps"
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// maxOffersPerDemand bounds the machines that one demand asks for in one pass.
const maxOffersPerDemand = 50

// zoneBalanceCost is by how much each machine in a zone makes another one there seem dearer.
const zoneBalanceCost = 0.01

// Market is what can be had, and on which terms.
type Market struct {
	Types          map[string]*protocol.MachineType
	RefusedUntil   map[string]time.Time // by OfferKey: not to be asked for before
	MachinesByZone map[string]int
	// IsPartitioned reports whether what is provided in a zone could not be reached.
	IsPartitioned func(zone string) bool
	// Unreliability is the factor by which a kind seems dearer than it is.
	Unreliability func(typeName, zone string) float64
	Now           time.Time
}

// Planner puts demands into the capacity that is there or coming, and collects the offers
// to ask for.
type Planner struct {
	Market Market
	// Supply is the capacity of all machines. Demands are allocated from it.
	Supply []*placement.Capacity
}

// Fill puts a demand into the supply and returns the machines to ask for what is left. It
// adds no machine once those of this demand have the CPUs of the budget.
func (p *Planner) Fill(demand Demand, budgetCPUs float64) []Offer {
	var offers []Offer
	usedCPUs := 0.0
	zones := placement.NewZoneConstraint(demand.Spec, demand.TakenZones)
	next := 0 // capacity that did not do for a task does not do for the next one either
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

// serves reports whether one more task of a demand may be put on a machine.
func serves(capacity *placement.Capacity, demand Demand, zones *placement.ZoneConstraint) bool {
	return capacity.Fits(demand.Spec) && mayServe(capacity, demand, zones) && (demand.Zone == "" || demand.Zone == capacity.Zone)
}

// mayServe reports whether tasks of a demand may run on a machine, capacity left aside.
func mayServe(capacity *placement.Capacity, demand Demand, zones *placement.ZoneConstraint) bool {
	rightShard := demand.Shard == "" || capacity.Shard == "" || demand.Shard == capacity.Shard
	return placement.Allowed(demand.Spec, capacity.TypeName, capacity.Zone, capacity.Spot) && zones.Permits(capacity.Zone) && rightShard
}

// IsUnservable reports whether no machine, there or coming, could ever run a task of an
// array's: none is of a kind that may, or replicas, which do not end, leave too little of
// it. The budget counts capacity of every shard and kind alike, so that arrays which only
// some of it can take, those with GPUs or with their chunk in a shard that has lost its
// machines, would wait for ever beside it.
func (p *Planner) IsUnservable(demand Demand) bool {
	zones := placement.NewZoneConstraint(demand.Spec, demand.TakenZones)
	return !slices.ContainsFunc(p.Supply, func(capacity *placement.Capacity) bool {
		return mayServe(capacity, demand, &zones) && withoutReplicas(capacity).Fits(demand.Spec)
	})
}

// withoutReplicas returns what a machine has beside the replicas of services on it.
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

// bestOffer returns the kind of machine that runs so many tasks at the least cost.
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

// isAvailable reports whether an offer may be asked for and serves a demand.
func (p *Planner) isAvailable(offer Offer, demand Demand, zones *placement.ZoneConstraint) bool {
	return placement.Allowed(demand.Spec, offer.Type.Name, offer.Zone, offer.Spot) && zones.Permits(offer.Zone) &&
		(demand.Zone == "" || demand.Zone == offer.Zone) && !p.Market.Now.Before(p.Market.RefusedUntil[offer.Key()])
}

// costOf returns what one task costs an hour on an offer that runs as many of them as fit,
// with what speaks against its zone and kind.
func (p *Planner) costOf(offer Offer, demand Demand, tasks int) float64 {
	perMachine := placement.TasksPerMachine(demand.Spec, offer.Type)
	cost := offer.Price() / float64(min(perMachine, tasks))
	cost *= (1 + zoneBalanceCost*float64(p.Market.MachinesByZone[offer.Zone])) * p.Market.Unreliability(offer.Type.Name, offer.Zone)
	return cost
}
