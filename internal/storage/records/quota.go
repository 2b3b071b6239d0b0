package records

import "madderslip/internal/protocol"

// TeamUsage is what a team with a limit uses while its limit is not allotted. Every transaction
// that starts or ends a task of the team writes it, conditional on the known version. While
// the limit is allotted, the record shows the whole limit as used under "*", so that versions
// that do not support allotments start no task of the team.
type TeamUsage struct {
	ByShard map[string]protocol.Resources `json:"u"` // use by shard; the use of a job placed across shards has the key "*" followed by the job's id
}

// TeamLimit is a team's limit and its division among the holders: the shards, and "*" for work
// placed across shards. Every start of a task of the team is conditional on the record, so
// each write of it makes the starts in flight fail. The record is never deleted: otherwise a
// condition that it does not exist could hold again.
//
// The leader writes it, conditional on its Leader record and the known version; any controller
// may lower the limit. While Base is missing no task of the team starts, because its current
// usage is being counted.
type TeamLimit struct {
	Generation uint64                        `json:"v"`           // increases with each write; transfers of an earlier generation are void
	Max        protocol.Resources            `json:"m"`           // the limit; 0 CPUs means no limit on CPUs, and 0 GPUs no limit on GPUs
	Base       map[string]protocol.Resources `json:"b,omitempty"` // share of each holder; the sum does not exceed Max
	Closing    bool                          `json:"c,omitempty"` // accounting returns to TeamUsage once the current usage is counted
	Closed     bool                          `json:"x,omitempty"` // accounting has returned to TeamUsage
}

// Allotment records how much of its share a holder has transferred to each other holder since
// the limit was divided. A holder may use its base, plus the amounts it received, minus the
// amounts it transferred.
//
// Only the controller that decides for the holder writes it, conditional on its Shard or Leader
// record, the TeamLimit and the known version. Within a generation amounts only increase. Each
// key has one writer, so concurrent transfers of different holders do not make one another
// fail.
type Allotment struct {
	Generation  uint64                        `json:"v"` // generation of the TeamLimit; a record with another generation than the TeamLimit's is void
	Transferred map[string]protocol.Resources `json:"g"` // amounts transferred, by the receiving holder
}

// Reservations are the reservations on a team's guarantee, and the team's tasks that are being
// preempted for other teams. Both maps are keyed by the claim key of the chunk that the
// reservation is for.
//
// A shard's owner writes the record, conditional on its fencing token and the known versions
// of all teams' records that it changes in the same transaction, so no two owners count the
// same resources. Task starts of a team with a guarantee are conditional on the record.
// The record is never deleted: otherwise a condition that it does not exist could hold again.
type Reservations struct {
	ByClaim   map[string]Reservation `json:"d,omitempty"`
	Preempted map[string]Preemption  `json:"t,omitempty"`
}

// Reservation is the amount of a team's guarantee that is reserved for a chunk.
type Reservation struct {
	Shard        string             `json:"h"` // the shard whose owner preempts tasks for the chunk
	Use          protocol.Resources `json:"u"` // resources of all tasks of the chunk, including the tasks already placed
	FencingToken uint64             `json:"o"` // token under which the reservation was made; the reservation is void unless the current owner has this token
}

// Preemption lists the tasks of a team that are stopped for a chunk of another team.
type Preemption struct {
	BeneficiaryTeam string   `json:"b"` // the team of the chunk for which the tasks are stopped
	Shard           string   `json:"h"` // the shard that claims the chunk; its owner stops the tasks to free capacity for the chunk
	Tasks           []string `json:"n"` // claim key, task and host of each placement that is stopped
}
