package records

//go:generate go tool easyjson -output_filename provisioning_easyjson.go provisioning.go

import "madderslip/internal/protocol"

// Provision is a request for machines and, once the cloud has answered, the record of all
// machines that it brought. The leader writes it before it sends the request, on its
// Leader record and that there is none of this name, so that after a crash the same
// request is repeated and not made twice. The answer is recorded on the version known.
// A machine that reports without being recorded is adopted by such a record as well. It is
// deleted when the cloud refuses the request, or once all its machines are gone.
//
//easyjson:json
type Provision struct {
	protocol.ProvisionRequest
	Allocations   []Allocation `json:"p"`
	RequestedAtMs int64        `json:"b"`           // Unix milliseconds
	Hosts         []string     `json:"m,omitempty"` // of the answer; allocated to shards in the order of Allocations
}

// Allocation is how many machines of a request go to one shard.
//
//easyjson:json
type Allocation struct {
	Shard string `json:"h"`
	Count int    `json:"n"`
}

// Allocate gives a shard one machine more.
func (p *Provision) Allocate(shard string) {
	for i := range p.Allocations {
		if p.Allocations[i].Shard == shard {
			p.Allocations[i].Count++
			return
		}
	}
	p.Allocations = append(p.Allocations, Allocation{Shard: shard, Count: 1})
}

// ShardOf returns the shard of the i-th machine; machines beyond the request go to the
// last shard. There must be an allocation.
func (p *Provision) ShardOf(i int) string {
	for _, allocation := range p.Allocations {
		if i < allocation.Count {
			return allocation.Shard
		}
		i -= allocation.Count
	}
	return p.Allocations[len(p.Allocations)-1].Shard
}
