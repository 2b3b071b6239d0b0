package failover

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a live controller that might take a shard over.
type Candidate struct {
	Node     string
	Machines int // that it answers for already
}

// turnDelay is how far apart the candidates' turns are: longer than it takes the one
// before to write its claim and the others to see it.
const turnDelay = 400 * time.Millisecond

// StartupGrace is how long a controller that has just come back leaves the shards of
// others alone whose leases are over. When all end together they come back within
// a moment of one another; whoever was first took everything, and gave it back
// seconds later, with two new tokens and two moves for every worker.
const StartupGrace = 1500 * time.Millisecond

// TakeoverDelay is how long a controller waits before it takes over a shard whose owner's
// lease has ended: the one that answers for the fewest machines goes first, the
// next follows if that one did not. Whoever noticed first used to take all: of
// seven controllers one had the machines of three dead ones.
func TakeoverDelay(me string, all []Candidate) time.Duration {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Node, b.Node))
	})
	at := slices.IndexFunc(order, func(c Candidate) bool { return c.Node == me })
	return time.Duration(max(at, 0)) * turnDelay
}
