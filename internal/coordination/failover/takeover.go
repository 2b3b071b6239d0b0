package failover

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a live controller that may take over a shard.
type Candidate struct {
	Node     string
	Machines int // number of machines in the shards that the controller owns already
}

// takeoverInterval is the time between the attempts of two successive candidates. It is
// longer than the first candidate needs to write the shard's record and the second to
// observe the write.
const takeoverInterval = 400 * time.Millisecond

// StartupGrace is how long after its start a controller takes over no shard of another
// controller whose lease has expired. Controllers that stopped together restart at nearly the
// same time. Without the grace the first of them would acquire every shard and hand it back
// seconds later, which costs two new fencing tokens and two redirects for every worker.
const StartupGrace = 1500 * time.Millisecond

// TakeoverDelay returns how long the controller self waits before it takes over a shard whose
// owner's lease has expired. The candidate with the fewest machines attempts the takeover
// first. Each further candidate attempts the takeover if no earlier candidate has taken over
// the shard. Candidates with equally many machines are ordered by node name, so that all
// controllers agree on the order. The order prevents one controller from acquiring the shards
// of several failed ones. For a controller that is not among the candidates the delay is 0.
func TakeoverDelay(self string, candidates []Candidate) time.Duration {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Node, b.Node))
	})
	position := slices.IndexFunc(order, func(c Candidate) bool { return c.Node == self })
	return time.Duration(max(position, 0)) * takeoverInterval
}
