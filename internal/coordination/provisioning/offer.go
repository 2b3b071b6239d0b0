package provisioning

import (
	"strconv"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// Offer is a kind of machine that may be provisioned.
type Offer struct {
	Type  *protocol.MachineType
	Zone  string
	Spot  bool
	Shard string // shard that the machine must join; empty: the smallest shard
}

// OfferKey returns the key of a kind of machine, which is the same for all shards.
func OfferKey(typeName, zone string, spot bool) string {
	return typeName + "/" + zone + "/" + strconv.FormatBool(spot)
}

// Key returns the key of the offer's kind of machine.
func (o Offer) Key() string { return OfferKey(o.Type.Name, o.Zone, o.Spot) }

// Price returns the price of a machine per hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Capacity returns the capacity of a machine of the offer, all of it free.
func (o Offer) Capacity() *placement.Capacity {
	return &placement.Capacity{TypeName: o.Type.Name, Shard: o.Shard, Zone: o.Zone, Spot: o.Spot, Type: o.Type, Free: protocol.ResourcesOf(o.Type)}
}

// PriceOf returns the price per hour of the machine of a capacity.
func PriceOf(capacity *placement.Capacity) float64 {
	return Offer{Type: capacity.Type, Zone: capacity.Zone, Spot: capacity.Spot}.Price()
}

// WastedPrice returns the part of a machine's price per hour that pays for unused CPUs.
func WastedPrice(capacity *placement.Capacity) float64 {
	return PriceOf(capacity) * max(0, capacity.Free.CPUs) / max(capacity.Type.CPUs, 1)
}
