package provisioning

import (
	"strconv"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// Offer is a kind of machine that the cloud may provide.
type Offer struct {
	Type  *protocol.MachineType
	Zone  string
	Spot  bool
	Shard string // where it must go; empty: to the smallest
}

// OfferKey names a kind of machine, whatever its shard.
func OfferKey(typeName, zone string, spot bool) string {
	return typeName + "/" + zone + "/" + strconv.FormatBool(spot)
}

// Key names the offer's kind of machine.
func (o Offer) Key() string { return OfferKey(o.Type.Name, o.Zone, o.Spot) }

// Price returns what a machine costs an hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Capacity returns the capacity of a machine that the offer would bring.
func (o Offer) Capacity() *placement.Capacity {
	return &placement.Capacity{TypeName: o.Type.Name, Shard: o.Shard, Zone: o.Zone, Spot: o.Spot, Type: o.Type, Free: protocol.ResourcesOf(o.Type)}
}

// PriceOf returns what a machine costs an hour.
func PriceOf(capacity *placement.Capacity) float64 {
	return Offer{Type: capacity.Type, Zone: capacity.Zone, Spot: capacity.Spot}.Price()
}

// WastedPrice returns the part of a machine's price that buys nothing.
func WastedPrice(capacity *placement.Capacity) float64 {
	return PriceOf(capacity) * max(0, capacity.Free.CPUs) / max(capacity.Type.CPUs, 1)
}
