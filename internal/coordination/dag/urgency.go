package dag

import (
	"time"

	"madderslip/internal/protocol"
)

// Urgency is the priority and the deadline that a job inherits from its direct and indirect
// dependents.
type Urgency struct {
	// Priority is the highest priority of any dependent; 0 if there is no dependent.
	Priority int
	// FinishBy is the latest instant at which the job may finish so that each dependent can
	// still meet its deadline; zero if no dependent has a deadline.
	FinishBy time.Time
}

// Estimate returns how long a job's tasks are expected to run.
type Estimate func(*protocol.Submission) time.Duration

// Urgency returns the priority and the deadline that a job inherits. The deadline follows
// from the longest path to each dependent with a deadline. Nothing is inherited from
// cancelled dependents. Results are cached until the graph changes or InvalidateUrgency is
// called.
func (g *Graph) Urgency(jobID string, estimate Estimate) Urgency {
	if cached, ok := g.urgency[jobID]; ok {
		return cached
	}
	var urgency Urgency
	for _, dependent := range g.dependents[jobID] {
		if dependent.cancelled {
			continue
		}
		inherited := g.Urgency(dependent.ID, estimate)
		urgency.Priority = max(urgency.Priority, inherited.Priority, dependent.Spec.Priority())
		if finishBy := earlier(inherited.FinishBy, dependent.deadline()); !finishBy.IsZero() {
			startBy := finishBy.Add(-estimate(dependent.Spec))
			urgency.FinishBy = earlier(urgency.FinishBy, startBy)
		}
	}
	g.urgency[jobID] = urgency
	return urgency
}

// InvalidateUrgency clears the cached results of Urgency. It has to be called after estimates
// have changed.
func (g *Graph) InvalidateUrgency() { clear(g.urgency) }

// deadline returns the job's own deadline; zero if the job has none.
func (j *Job) deadline() time.Time {
	if j.Spec.Deadline() == 0 {
		return time.Time{}
	}
	return j.AcceptedAt.Add(j.Spec.Deadline())
}

// earlier returns the earlier of two instants. A zero instant is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// spotAvoidance is how long a queued job that inherits a deadline is not placed on spot
// machines. Afterwards the job may use them, so that it does not wait while spot machines
// have free capacity.
const spotAvoidance = 15 * time.Second

// Inherit returns a submission with the inherited priority, or the submission itself if
// nothing changes. waited is how long the job has been queued. A job that inherits a deadline
// is not placed on spot machines until it has waited for spotAvoidance: if a spot machine is
// preempted without notice, its tasks restart only once their loss is proved, a minute later.
func Inherit(spec *protocol.Submission, urgency Urgency, waited time.Duration) *protocol.Submission {
	if spec == nil {
		return nil
	}
	priority := max(urgency.Priority, spec.Priority())
	allowSpot := spec.AllowSpot && (urgency.FinishBy.IsZero() || waited > spotAvoidance)
	if priority == spec.Priority() && allowSpot == spec.AllowSpot {
		return spec
	}
	raised := *spec
	raised.PriorityClass, raised.AllowSpot = protocol.PriorityClassOf(priority), allowSpot
	return &raised
}
