package dag

import (
	"time"

	"madderslip/internal/protocol"
)

// Urgency is what a job inherits from the jobs that need it.
type Urgency struct {
	// Rank is the highest rank of any of them; 0 where there is none.
	Priority int
	// By is when the job has to be done so that each of them can still meet its
	// deadline; zero where none has one.
	FinishBy time.Time
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
		beyond := g.Urgency(n.ID, estimate)
		u.Priority = max(u.Priority, beyond.Priority, n.Spec.Priority())
		if by := earlier(beyond.FinishBy, n.deadline()); !by.IsZero() {
			u.FinishBy = earlier(u.FinishBy, by.Add(-estimate(n.Spec)))
		}
	}
	g.urgency[ref] = u
	return u
}

// InvalidateUrgency drops the answers kept, since estimates have changed.
func (g *Graph) InvalidateUrgency() { clear(g.urgency) }

// deadline is a job's own; zero: none.
func (j *Job) deadline() time.Time {
	if j.Spec.Deadline() == 0 {
		return time.Time{}
	}
	return j.AcceptedAt.Add(j.Spec.Deadline())
}

// earlier is the earlier of two instants, of which zero ones do not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// spotAvoidance is for how long a job on the way to a deadline keeps off cheap machines. Longer
// it would wait beside room that it may use.
const spotAvoidance = 15 * time.Second

// Inherit is a description with the rank that it inherits, the description itself where
// nothing changes. On the way to a deadline a job keeps off cheap machines at first: what
// is lost with one that is taken without notice begins again only once that is proved, a
// minute later. waited is for how long it has been in the queues.
func Inherit(spec *protocol.Submission, u Urgency, waited time.Duration) *protocol.Submission {
	if spec == nil {
		return nil
	}
	rank := max(u.Priority, spec.Priority())
	spot := spec.AllowSpot && (u.FinishBy.IsZero() || waited > spotAvoidance)
	if rank == spec.Priority() && spot == spec.AllowSpot {
		return spec
	}
	raised := *spec
	raised.PriorityClass, raised.AllowSpot = protocol.PriorityClassOf(rank), spot
	return &raised
}
