package failover

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a live controller that may take over a shard.
type Candidate struct {
	Node     string
	Machines int // machines of the shards that it owns already
}

// takeoverInterval is the time between the attempts of two candidates that follow each
// other: longer than the former needs to write its record and the latter to observe it.
const takeoverInterval = 400 * time.Millisecond

// StartupGrace is how long a controller that has just started leaves other controllers'
// shards with an expired lease alone. Controllers that ended together start again within a
// moment of each other, so the grace prevents the first one from acquiring every shard and
// returning it seconds later, at the price of two new fencing tokens and two redirects for
// every worker.
const StartupGrace = 1500 * time.Millisecond

// TakeoverDelay returns how long the controller self waits before it takes over a shard
// whose owner's lease has expired. The candidate with the fewest machines goes first, and
// each further one follows in case those before it did not act; candidates with equally
// many go by node name, so that all controllers agree on the order. This prevents one
// controller from acquiring the shards of several failed ones. A controller that is not
// among the candidates does not wait.
func TakeoverDelay(self string, candidates []Candidate) time.Duration {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Node, b.Node))
	})
	position := slices.IndexFunc(order, func(c Candidate) bool { return c.Node == self })
	return time.Duration(max(position, 0)) * takeoverInterval
}
