package records

//go:generate go tool easyjson -output_filename provisioning_easyjson.go provisioning.go

import "madderslip/internal/protocol"

// Provision is a request for machines and, once the cloud has answered, the record of the
// machines that the cloud has provided. The leader writes it before it sends the request,
// conditional on its Leader record and on the absence of a record of the same name. After a
// crash the same request is therefore repeated under its name, instead of a second one being
// made. The write that records the answer is conditional on the known version. Machines that
// send heartbeats without being recorded are adopted by such a record as well. The record is
// deleted when the cloud refuses the request, or once all its machines are gone.
//
//easyjson:json
type Provision struct {
	protocol.ProvisionRequest
	Allocations   []Allocation `json:"p"`
	RequestedAtMs int64        `json:"b"`           // time of the request, Unix milliseconds
	Hosts         []string     `json:"m,omitempty"` // hosts in the answer, allocated to shards in the order of Allocations
}

// Allocation is the number of machines of a request that go to one shard.
//
//easyjson:json
type Allocation struct {
	Shard string `json:"h"`
	Count int    `json:"n"`
}

// Allocate allocates one more machine to a shard.
func (p *Provision) Allocate(shard string) {
	for i := range p.Allocations {
		if p.Allocations[i].Shard == shard {
			p.Allocations[i].Count++
			return
		}
	}
	p.Allocations = append(p.Allocations, Allocation{Shard: shard, Count: 1})
}

// ShardOf returns the shard of the machine at index i of Hosts; machines beyond the requested
// count go to the last shard. There must be at least one allocation.
func (p *Provision) ShardOf(i int) string {
	for _, allocation := range p.Allocations {
		if i < allocation.Count {
			return allocation.Shard
		}
		i -= allocation.Count
	}
	return p.Allocations[len(p.Allocations)-1].Shard
}
