package dag

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// State is the state of a job, in the distinctions that matter to its dependents.
type State int

// The states of a dependency.
const (
	Unknown    State = iota // no record of the job has been read
	Unfinished              // accepted, and neither done nor cancelled
	Done
	Cancelled
)

// Job is a job that is blocked on its dependencies, as its record describes it.
type Job struct {
	ID           string
	Dependencies []string // IDs of the jobs on which the job depends
	Spec         *protocol.Submission
	AcceptedAt   time.Time // when the job was accepted; the job's deadline counts from this time
	Revision     uint64    // revision of the job's record
}

// Graph holds the blocked jobs and their dependencies. It is not safe for concurrent use.
type Graph struct {
	lookup     func(jobID string) State
	blocked    map[string]*blockedJob            // blocked jobs by job ID
	dependents map[string]map[string]*blockedJob // blocked jobs by ID of their dependency, then by their own ID
	unknown    map[string]struct{}               // dependencies of which no record has been read
	changes    uint64
	urgency    map[string]Urgency // cache, by job ID; cleared with every change
}

// blockedJob is a blocked job with the observed states of its dependencies.
type blockedJob struct {
	Job
	unfinished     map[string]struct{} // dependencies that were not observed to be done
	cancelled      bool                // a direct or indirect dependency is cancelled
	resolvedAt     time.Time           // when the job became ready or cancelled
	lastDependency string              // the dependency that was observed to be done last
}

// NewGraph returns an empty graph. lookup returns the recorded state of a job that is not
// blocked.
func NewGraph(lookup func(jobID string) State) *Graph {
	return &Graph{lookup: lookup, blocked: make(map[string]*blockedJob), dependents: make(map[string]map[string]*blockedJob),
		unknown: make(map[string]struct{}), urgency: make(map[string]Urgency)}
}

// Changes returns a counter that rises with every change of the graph. While the counter
// stays the same, the sets of ready and cancelled jobs stay the same.
func (g *Graph) Changes() uint64 { return g.changes }

// Len returns the number of blocked jobs.
func (g *Graph) Len() int { return len(g.blocked) }

// Lookup returns a blocked job, and false if the job is not blocked.
func (g *Graph) Lookup(jobID string) (Job, bool) {
	if job := g.blocked[jobID]; job != nil {
		return job.Job, true
	}
	return Job{}, false
}

// IsCancelled reports whether a job is blocked and a direct or indirect dependency of the
// job is cancelled.
func (g *Graph) IsCancelled(jobID string) bool {
	job := g.blocked[jobID]
	return job != nil && job.cancelled
}

// IsReady reports whether a job is blocked and all its dependencies are done.
func (g *Graph) IsReady(jobID string) bool {
	job := g.blocked[jobID]
	return job != nil && job.isReady()
}

// isReady reports whether all of the job's dependencies are done and no direct or indirect
// dependency is cancelled.
func (b *blockedJob) isReady() bool { return len(b.unfinished) == 0 && !b.cancelled }

// Resolve returns those dependencies of a new job that are neither done nor cancelled, and
// reports whether any dependency is cancelled.
func (g *Graph) Resolve(dependencies []string) (unfinished []string, cancelled bool) {
	for _, jobID := range dependencies {
		switch g.stateOf(jobID) {
		case Done:
		case Cancelled:
			cancelled = true
		default:
			unfinished = append(unfinished, jobID)
		}
	}
	return unfinished, cancelled
}

// stateOf returns the state of a job, blocked or not.
func (g *Graph) stateOf(jobID string) State {
	job := g.blocked[jobID]
	switch {
	case job == nil:
		return g.lookup(jobID)
	case job.cancelled:
		return Cancelled
	}
	return Unfinished
}

// Add adds a blocked job from its record; now is the time at which the record was read. The
// record of a blocked job is written only once, so a job that is already in the graph is not
// changed.
func (g *Graph) Add(j Job, now time.Time) {
	if g.blocked[j.ID] != nil {
		return
	}
	job := &blockedJob{Job: j, unfinished: make(map[string]struct{})}
	g.blocked[j.ID] = job
	g.recordChange()
	delete(g.unknown, j.ID)
	cancelled := false
	for _, jobID := range j.Dependencies {
		switch g.stateOf(jobID) {
		case Done:
			continue
		case Cancelled:
			cancelled = true
		case Unknown:
			g.unknown[jobID] = struct{}{}
		}
		job.unfinished[jobID] = struct{}{}
		if g.dependents[jobID] == nil {
			g.dependents[jobID] = make(map[string]*blockedJob)
		}
		g.dependents[jobID][j.ID] = job
	}
	if len(job.unfinished) == 0 {
		job.resolvedAt = now
	}
	if cancelled {
		g.cancel(job, now)
	}
}

// ObserveState applies the recorded state of a job whose record does not have the blocked
// state. The job is removed from the graph. If the job is done, each dependent without other
// unfinished dependencies becomes ready. If the job is cancelled, its direct and indirect
// dependents become cancelled.
func (g *Graph) ObserveState(jobID string, state State, now time.Time) {
	g.remove(jobID)
	if state != Unknown {
		delete(g.unknown, jobID)
	}
	dependents := g.dependents[jobID]
	if len(dependents) == 0 || (state != Done && state != Cancelled) {
		return
	}
	g.recordChange()
	if state == Cancelled {
		for _, job := range dependents {
			g.cancel(job, now)
		}
		return
	}
	delete(g.dependents, jobID)
	for _, job := range dependents {
		delete(job.unfinished, jobID)
		if job.isReady() {
			job.resolvedAt, job.lastDependency = now, jobID
		}
	}
}

// cancel marks a job and all its direct and indirect dependents as cancelled.
func (g *Graph) cancel(root *blockedJob, now time.Time) {
	pending := []*blockedJob{root}
	for len(pending) > 0 {
		job := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if job.cancelled {
			continue
		}
		job.cancelled, job.resolvedAt = true, now
		for _, dependent := range g.dependents[job.ID] {
			pending = append(pending, dependent)
		}
	}
}

// remove removes a job that is no longer blocked. The jobs that depend on the removed job stay
// registered as its dependents.
func (g *Graph) remove(jobID string) {
	job := g.blocked[jobID]
	if job == nil {
		return
	}
	g.recordChange()
	delete(g.blocked, jobID)
	for dependency := range job.unfinished {
		delete(g.dependents[dependency], jobID)
		if len(g.dependents[dependency]) == 0 {
			delete(g.dependents, dependency)
			delete(g.unknown, dependency)
		}
	}
}

// recordChange counts a change of the graph and clears the cached urgencies.
func (g *Graph) recordChange() {
	g.changes++
	clear(g.urgency)
}

// ResolvedJob is a blocked job that is ready or cancelled, while its record still has the
// blocked state.
type ResolvedJob struct {
	Job
	Since          time.Time // when the job became ready or cancelled
	LastDependency string    // the dependency that was observed to be done last; empty if none was
}

// ReadyJobs returns the blocked jobs that may be released, in order of their IDs.
func (g *Graph) ReadyJobs() []ResolvedJob {
	return g.listBlocked(func(job *blockedJob) bool { return job.isReady() })
}

// CancelledJobs returns the blocked jobs that are cancelled because a dependency is
// cancelled, in order of their IDs.
func (g *Graph) CancelledJobs() []ResolvedJob {
	return g.listBlocked(func(job *blockedJob) bool { return job.cancelled })
}

// listBlocked returns the blocked jobs that match, in order of their IDs.
func (g *Graph) listBlocked(matches func(*blockedJob) bool) []ResolvedJob {
	var out []ResolvedJob
	for _, job := range g.blocked {
		if matches(job) {
			out = append(out, ResolvedJob{job.Job, job.resolvedAt, job.lastDependency})
		}
	}
	slices.SortFunc(out, func(a, b ResolvedJob) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// UnknownDependencies returns the IDs of dependencies of which no record has been read,
// sorted.
func (g *Graph) UnknownDependencies() []string { return slices.Sorted(maps.Keys(g.unknown)) }

// DependencyIDs returns the IDs of jobs that other jobs are blocked on, sorted.
func (g *Graph) DependencyIDs() []string { return slices.Sorted(maps.Keys(g.dependents)) }

// DependentCount returns the number of blocked jobs that depend directly on a job.
func (g *Graph) DependentCount(jobID string) int { return len(g.dependents[jobID]) }
