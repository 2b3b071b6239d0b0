package records

import "madderslip/internal/protocol"

// TeamUsage is what a team with a limit has reserved while its limit is not allotted. It
// is part of every transaction that starts or ends a task of the team, on the version
// known. While the limit is allotted it shows the whole limit as used under "*", so that
// versions without allotments start nothing.
type TeamUsage struct {
	ByShard map[string]protocol.Resources `json:"u"` // by shard; of a job placed across shards by "*" and its id
}

// TeamLimit is a team's limit and how it was divided among the holders: the shards, and
// "*" for work placed across shards. Every start of the team is conditional on its
// version, so each change voids the starts under way, and it is never deleted: a
// condition that it does not exist must not hold again.
//
// The leader writes it, on its Leader record and the version known; any controller may
// lower it. Without Base nothing starts: what is in use is being counted.
type TeamLimit struct {
	Generation uint64                        `json:"v"`           // rises with each change; transfers of an earlier one are void
	Max        protocol.Resources            `json:"m"`           // a part of 0: no limit
	Base       map[string]protocol.Resources `json:"b,omitempty"` // by holder; together no more than Max
	Closing    bool                          `json:"c,omitempty"` // it goes back to TeamUsage once what is in use is counted
	Closed     bool                          `json:"x,omitempty"` // it is back in TeamUsage
}

// Allotment is what a holder has transferred to others since the division, by receiver.
// What a holder may use is its base, plus what it received, less what it transferred.
//
// Only the controller that decides for the holder writes it, on its Shard or Leader
// record, the TeamLimit and the version known. Amounts only rise. Each key has one
// writer, so holders that transfer at the same time do not make one another fail.
type Allotment struct {
	Generation  uint64                        `json:"v"` // the TeamLimit's; void with any other
	Transferred map[string]protocol.Resources `json:"g"` // by receiver
}

// Reservations are what is reserved on a team's guarantee, and what of the team is being
// preempted for other teams. Both maps are keyed by the claim key of the chunk that the
// reservation is for.
//
// A shard's owner writes them, on its fencing token and the versions of all teams' records
// that it changes together, so no two owners count the same resources. Starts of a team
// with a guarantee are conditional on the version. It is never deleted: a condition that
// it does not exist must not hold again.
type Reservations struct {
	ByClaim   map[string]Reservation `json:"d,omitempty"`
	Preempted map[string]Preemption  `json:"t,omitempty"`
}

// Reservation is a chunk's reservation on its team's guarantee.
type Reservation struct {
	Shard        string             `json:"h"` // whose owner preempts for it
	Use          protocol.Resources `json:"u"` // of all its tasks, those placed already included
	FencingToken uint64             `json:"o"` // of that owner; with an earlier owner's token it is void
}

// Preemption is what of a team is stopped for a chunk of another team.
type Preemption struct {
	BeneficiaryTeam string   `json:"b"` // the other team
	Shard           string   `json:"h"` // whose owner stops it
	Tasks           []string `json:"n"` // claim key, task and host of each placement
}
