package dag

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// State is what the records say of a job, as far as the jobs that need it are concerned.
type State int

// The states of a needed job.
const (
	Unknown    State = iota // no record of it has been read
	Unfinished              // accepted, and neither done nor cancelled
	Done
	Cancelled
)

// Job is a job that waits for others, as its record has it.
type Job struct {
	ID           string
	Dependencies []string
	Spec         *protocol.Submission
	AcceptedAt   time.Time // its acceptance, from which its deadline counts
	Revision     uint64
}

// Graph holds the jobs that wait and whom each of them waits for.
type Graph struct {
	lookup     func(ref string) State
	waiting    map[string]*blockedJob
	dependents map[string]map[string]*blockedJob // by needed job, then by the job that needs it
	unknown    map[string]struct{}               // needed jobs of which no record has been read
	changes    uint64
	urgency    map[string]Urgency // worked out since the latest change
}

// blockedJob is a waiting job.
type blockedJob struct {
	Job
	unfinished     map[string]struct{} // needed jobs that are not known to be done
	cancelled      bool
	resolvedAt     time.Time // when the last needed job was seen done, or one of them cancelled
	lastDependency string    // the needed job that was the last to be done
}

// NewGraph makes an empty graph. lookup says what the records hold of a job that does
// not wait itself.
func NewGraph(lookup func(ref string) State) *Graph {
	return &Graph{lookup: lookup, waiting: make(map[string]*blockedJob), dependents: make(map[string]map[string]*blockedJob),
		unknown: make(map[string]struct{}), urgency: make(map[string]Urgency)}
}

// Changes counts what has changed: while it stays the same, so do all answers.
func (g *Graph) Changes() uint64 { return g.changes }

// Len is how many jobs wait.
func (g *Graph) Len() int { return len(g.waiting) }

// Lookup is a waiting job.
func (g *Graph) Lookup(ref string) (Job, bool) {
	if n := g.waiting[ref]; n != nil {
		return n.Job, true
	}
	return Job{}, false
}

// IsCancelled tells whether a waiting job is cancelled because a job before it is.
func (g *Graph) IsCancelled(ref string) bool {
	n := g.waiting[ref]
	return n != nil && n.cancelled
}

// IsReady tells whether all that a waiting job needs is done.
func (g *Graph) IsReady(ref string) bool {
	n := g.waiting[ref]
	return n != nil && n.ready()
}

func (n *blockedJob) ready() bool { return len(n.unfinished) == 0 && !n.cancelled }

// Resolve is how a job that names others would stand: which of them are not done, and
// whether one is cancelled.
func (g *Graph) Resolve(needs []string) (left []string, cancelled bool) {
	for _, ref := range needs {
		switch g.stateOf(ref) {
		case Done:
		case Cancelled:
			cancelled = true
		default:
			left = append(left, ref)
		}
	}
	return left, cancelled
}

func (g *Graph) stateOf(ref string) State {
	n := g.waiting[ref]
	switch {
	case n == nil:
		return g.lookup(ref)
	case n.cancelled:
		return Cancelled
	}
	return Unfinished
}

// Add takes the record of a job that waits. Such a record is written once; what is held
// already is left as it is.
func (g *Graph) Add(j Job, now time.Time) {
	if g.waiting[j.ID] != nil {
		return
	}
	n := &blockedJob{Job: j, unfinished: make(map[string]struct{})}
	g.waiting[j.ID] = n
	g.changed()
	delete(g.unknown, j.ID)
	cancelled := false
	for _, ref := range j.Dependencies {
		switch g.stateOf(ref) {
		case Done:
			continue
		case Cancelled:
			cancelled = true
		case Unknown:
			g.unknown[ref] = struct{}{}
		}
		n.unfinished[ref] = struct{}{}
		if g.dependents[ref] == nil {
			g.dependents[ref] = make(map[string]*blockedJob)
		}
		g.dependents[ref][j.ID] = n
	}
	if len(n.unfinished) == 0 {
		n.resolvedAt = now
	}
	if cancelled {
		g.cancel(n, now)
	}
}

// ObserveState takes what a record says of a job that does not wait, or does not wait any more.
func (g *Graph) ObserveState(ref string, state State, now time.Time) {
	g.drop(ref)
	if state != Unknown {
		delete(g.unknown, ref)
	}
	needing := g.dependents[ref]
	if len(needing) == 0 || (state != Done && state != Cancelled) {
		return
	}
	g.changed()
	if state == Cancelled {
		for _, n := range needing {
			g.cancel(n, now)
		}
		return
	}
	delete(g.dependents, ref)
	for _, n := range needing {
		delete(n.unfinished, ref)
		if n.ready() {
			n.resolvedAt, n.lastDependency = now, ref
		}
	}
}

// cancel marks a job and all that need it, directly or through others.
func (g *Graph) cancel(first *blockedJob, now time.Time) {
	todo := []*blockedJob{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.cancelled {
			continue
		}
		n.cancelled, n.resolvedAt = true, now
		for _, next := range g.dependents[n.ID] {
			todo = append(todo, next)
		}
	}
}

// drop takes a job out that does not wait any more. Those that need it stay linked.
func (g *Graph) drop(ref string) {
	n := g.waiting[ref]
	if n == nil {
		return
	}
	g.changed()
	delete(g.waiting, ref)
	for need := range n.unfinished {
		delete(g.dependents[need], ref)
		if len(g.dependents[need]) == 0 {
			delete(g.dependents, need)
			delete(g.unknown, need)
		}
	}
}

func (g *Graph) changed() {
	g.changes++
	clear(g.urgency)
}

// ResolvedJob is a waiting job whose fate is decided and not yet on record.
type ResolvedJob struct {
	Job
	Since          time.Time
	LastDependency string // the job whose end decided it, as far as known
}

// ReadyJobs lists the jobs that may be released, in order.
func (g *Graph) ReadyJobs() []ResolvedJob {
	return g.list(func(n *blockedJob) bool { return n.ready() })
}

// CancelledJobs lists the waiting jobs that are cancelled because one before them is,
// in order.
func (g *Graph) CancelledJobs() []ResolvedJob {
	return g.list(func(n *blockedJob) bool { return n.cancelled })
}

func (g *Graph) list(which func(*blockedJob) bool) []ResolvedJob {
	var out []ResolvedJob
	for _, n := range g.waiting {
		if which(n) {
			out = append(out, ResolvedJob{n.Job, n.resolvedAt, n.lastDependency})
		}
	}
	slices.SortFunc(out, func(a, b ResolvedJob) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// UnknownDependencies lists the needed jobs of which no record has been read, in order.
func (g *Graph) UnknownDependencies() []string { return slices.Sorted(maps.Keys(g.unknown)) }

// DependencyIDs lists the jobs that others wait for, in order.
func (g *Graph) DependencyIDs() []string { return slices.Sorted(maps.Keys(g.dependents)) }

// DependentCount counts the jobs that wait for a job directly.
func (g *Graph) DependentCount(ref string) int { return len(g.dependents[ref]) }
