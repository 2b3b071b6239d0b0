package pipeline

import (
	"time"

	"madderslip/internal/protocol"
)

// Urgency is what a job inherits from the jobs that need it.
type Urgency struct {
	// Rank is the highest rank of any of them; 0 where there is none.
	Rank int
	// By is when the job has to be done so that each of them can still meet its
	// deadline; zero where none has one.
	By time.Time
}

// Estimate is how long a job's tasks are expected to run.
type Estimate func(*protocol.Submission) time.Duration

// Urgency works out what a job inherits, along the longest of the ways to each
// deadline. Jobs that are cancelled pass nothing on. Answers are kept until the graph
// changes or Forget is called.
func (g *Graph) Urgency(ref string, estimate Estimate) Urgency {
	if u, known := g.urgency[ref]; known {
		return u
	}
	var u Urgency
	for _, n := range g.dependents[ref] {
		if n.cancelled {
			continue
		}
		beyond := g.Urgency(n.Ref, estimate)
		u.Rank = max(u.Rank, beyond.Rank, n.Spec.Prio())
		if by := earlier(beyond.By, n.deadline()); !by.IsZero() {
			u.By = earlier(u.By, by.Add(-estimate(n.Spec)))
		}
	}
	g.urgency[ref] = u
	return u
}

// Forget drops the answers kept, since estimates have changed.
func (g *Graph) Forget() { clear(g.urgency) }

// deadline is a job's own; zero: none.
func (j *Job) deadline() time.Time {
	if j.Spec.Due() == 0 {
		return time.Time{}
	}
	return j.Born.Add(j.Spec.Due())
}

// earlier is the earlier of two instants, of which zero ones do not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// offCheap is for how long a job on the way to a deadline keeps off cheap machines. Longer
// it would wait beside room that it may use.
const offCheap = 15 * time.Second

// Inherit is a description with the rank that it inherits, the description itself where
// nothing changes. On the way to a deadline a job keeps off cheap machines at first: what
// is lost with one that is taken without notice begins again only once that is proved, a
// minute later. waited is for how long it has been in the queues.
func Inherit(spec *protocol.Submission, u Urgency, waited time.Duration) *protocol.Submission {
	if spec == nil {
		return nil
	}
	rank := max(u.Rank, spec.Prio())
	spot := spec.Spot && (u.By.IsZero() || waited > offCheap)
	if rank == spec.Prio() && spot == spec.Spot {
		return spec
	}
	raised := *spec
	raised.Rank, raised.Spot = protocol.RankOf(rank), spot
	return &raised
}
