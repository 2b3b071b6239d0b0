package records

//go:generate go tool easyjson -output_filename cluster_easyjson.go cluster.go

// Node shows that a controller is alive and which features it supports, so that controllers of
// two versions can run side by side during a rolling restart. The controller itself writes
// it, conditional on the known version, and attaches it to its lease: the record is deleted
// when the lease expires.
type Node struct {
	StartedAtMs       int64  `json:"b"`           // Unix milliseconds; identifies the process among those of its node
	QuotaVersion      int    `json:"v,omitempty"` // 1: supports allotments of team limits
	TeamsHash         uint64 `json:"q,omitempty"` // hash of the team limits in its settings
	DependencyVersion int    `json:"p,omitempty"` // 1: supports jobs that depend on other jobs
}

// Shard is the ownership of one shard of machines. The version of its key is the fencing
// token, which agents check, so the tokens of a shard only increase.
//
// Every write is conditional on the known version. The owner writes the record to raise the
// token, and to hand the shard over to a live controller; another controller takes the shard
// over on condition that the owner's Node record does not exist. A starting process rewrites
// the records of the shards that its node owns, which invalidates the commands of the node's
// previous process.
type Shard struct {
	Owner             string `json:"o"`
	Changes           int    `json:"e"`           // number of writes of the record, so that no two versions of the record are equal
	NoHandbackUntilMs int64  `json:"w,omitempty"` // Unix milliseconds; until then the shard is not handed back to its home node, which gave it away
}

// Leader names the controller that provisions machines, divides team limits and reserves
// capacity for gangs across shards. A controller writes it, conditional on its absence, and
// attaches it to its lease: the record is deleted when the lease expires.
type Leader struct {
	Node        string `json:"o"`
	StartedAtMs int64  `json:"b,omitempty"` // start of the leader's process, as in its Node record
}

// Machine is a rented machine. The record is written when the machine is being returned; until
// then only its Provision records the machine. The shard's owner writes it, conditional on
// its fencing token and the known version.
//
//easyjson:json
type Machine struct {
	Shard      string `json:"h"` // the machine's shard, which does not change while the machine is rented
	Type       string `json:"t"`
	Zone       string `json:"z"`
	Spot       bool   `json:"s,omitempty"`
	State      string `json:"x,omitempty"` // MachineInUse, MachineReturning or MachineGone
	RentedAtMs int64  `json:"b,omitempty"` // time of the rental, Unix milliseconds; used only to estimate and check boot times
}

// States of a machine. All but MachineInUse are final: no task is placed on the machine any
// more, whichever controller owns the shard.
const (
	MachineInUse     = ""
	MachineReturning = "r" // the machine is being returned; written before the return request is sent to the cloud
	MachineGone      = "g" // the cloud has confirmed the return
)
