package records

//go:generate go tool easyjson -output_filename cluster_easyjson.go cluster.go

// Node shows that a controller is alive and what it understands, so that controllers of
// two versions can be restarted one after the other. The controller itself writes it, on
// the version that it knows, and attaches it to its lease: when the lease expires the
// record goes.
type Node struct {
	StartedAtMs       int64  `json:"b"`           // Unix milliseconds; tells processes of one node apart
	QuotaVersion      int    `json:"v,omitempty"` // 1: allots limits
	TeamsHash         uint64 `json:"q,omitempty"` // hash of the teams' limits in its settings
	DependencyVersion int    `json:"p,omitempty"` // 1: understands jobs that wait for others
}

// Shard is the ownership of one shard of machines. The version of its key is the fencing
// token that workers obey, so tokens only rise.
//
// Every change is conditional on the version that the writer knows. The owner writes it
// to raise the token, and to hand the shard to a controller that lives; another
// controller takes the shard on condition that the owner's Node record is gone. A
// process that starts writes the shards that its node owns anew, which voids its
// predecessor's commands.
type Shard struct {
	Owner       string `json:"o"`
	Changes     int    `json:"e"`           // counts the changes, so that no two versions are equal
	AwayUntilMs int64  `json:"w,omitempty"` // Unix milliseconds; until then it is not handed back to its home node, which gave it away
}

// Leader names the controller that provisions machines, divides limits and reserves gangs
// across shards. A controller writes it on condition that there is none, attached to its
// lease: when the lease expires the record goes.
type Leader struct {
	Node        string `json:"o"`
	StartedAtMs int64  `json:"b,omitempty"` // the process of that node, as in its Node record
}

// Machine is a rented machine. As a record of its own it exists once the machine is being
// returned; until then its Provision stands for it. The shard's owner writes it, on its
// fencing token and the version that it knows.
//
//easyjson:json
type Machine struct {
	Shard      string `json:"h"` // for as long as it is rented
	Type       string `json:"t"`
	Zone       string `json:"z"`
	Spot       bool   `json:"s,omitempty"`
	State      string `json:"x,omitempty"` // MachineInUse, MachineReturning or MachineGone
	RentedAtMs int64  `json:"b,omitempty"` // Unix milliseconds; used only to judge how long it takes to boot
}

// States of a machine. All but the first are final: nothing is placed there any more,
// whoever owns the shard.
const (
	MachineInUse     = ""
	MachineReturning = "r" // recorded before the cloud is asked to take it back
	MachineGone      = "g" // the cloud has confirmed it
)
