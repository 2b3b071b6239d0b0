package quota

import (
	"maps"
	"slices"
)

// Standing is how a team stands to its guarantee, by the records at one moment.
type Standing struct {
	Guarantee      Resources
	Use            Resources // placed, or being placed
	Committed      Resources // of that, what stays placed however a commit under way ends
	Reserved       Resources // reserved on the guarantee and not placed yet
	BeingPreempted Resources // placed, and being preempted for other teams
}

// HasGuarantee reports whether a team has a guarantee in this controller's settings.
func (m *Manager) HasGuarantee(name string) bool {
	guarantee := m.configured[name].Guarantee()
	return guarantee.CPUs > 0 || guarantee.GPUs > 0
}

// Standing returns how a team stands, without the reservation of exceptClaim, which is the
// claim key of the chunk that asks, or empty.
func (m *Manager) Standing(name, exceptClaim string, usage Usage) Standing {
	status := Standing{Guarantee: m.configured[name].Guarantee(), Use: usage.InUse(name), Committed: usage.Committed(name)}
	team := m.teams[name]
	if team == nil {
		return status
	}
	// In the order of keys: sums of fractions depend on it, and so does a replay.
	for _, claim := range slices.Sorted(maps.Keys(team.reservations.ByClaim)) {
		if reservation := team.reservations.ByClaim[claim]; claim != exceptClaim {
			status.Reserved = status.Reserved.Plus(reservation.Use.Minus(usage.PlacedBy(claim)))
		}
	}
	for _, claim := range slices.Sorted(maps.Keys(team.reservations.Preempted)) {
		for _, task := range team.reservations.Preempted[claim].Tasks {
			status.BeingPreempted = status.BeingPreempted.Plus(usage.TaskUse(task))
		}
	}
	return status
}

// StandingExcludingPreemptionsFor returns how a team that loses tasks to a claim stands
// without that loss and without the claim's own reservation. By it a recorded preemption
// is checked once more before it is carried out.
func (m *Manager) StandingExcludingPreemptionsFor(name, claim string, usage Usage) Standing {
	status := m.Standing(name, claim, usage)
	if team := m.teams[name]; team != nil {
		for _, task := range team.reservations.Preempted[claim].Tasks {
			status.BeingPreempted = status.BeingPreempted.Minus(usage.TaskUse(task))
		}
	}
	return status
}

// Entitled returns how many tasks that use perTask the team may still claim on its
// guarantee, beside what it uses and what is reserved. A guarantee of GPUs alone entitles
// no tasks without GPUs, and one of CPUs alone none with GPUs.
func (s Standing) Entitled(perTask Resources) int {
	if mainResource(perTask).of(s.Guarantee) == 0 {
		return 0
	}
	return TasksThatFit(s.Guarantee.Difference(s.Use.Plus(s.Reserved)), perTask, s.Guarantee)
}

// Surplus returns how much the team uses beyond its guarantee, of the resource by which the
// claiming task is counted; a team without a guarantee has all that it uses as surplus.
//
// What is leaving already does not count, so that two teams do not preempt the same tasks.
// Nor does what is only being placed: preempted tasks that try to start elsewhere would
// show as surplus once more, and cost the team its own guarantee.
func (s Standing) Surplus(claimingTask Resources) float64 {
	return mainResource(claimingTask).of(s.Committed.Difference(s.BeingPreempted).Minus(s.Guarantee))
}

// Preemptor sums up what the preemptions for one claim take from other teams, so that none
// is left with less than its guarantee. Its zero value lacks ClaimedTask and StandingOf.
type Preemptor struct {
	ClaimedTask Resources // one task of the claiming job
	StandingOf  func(team string) Standing
	taken       map[string]float64 // by team, of the resource by which the claim is counted
}

// MayPreempt reports whether one more task of a team may be stopped, beside tasks of the
// team that are chosen and not recorded yet. The surplus must cover the whole task: one
// that is partly within the guarantee stays.
func (p *Preemptor) MayPreempt(team string, task, beside Resources) bool {
	main := mainResource(p.ClaimedTask)
	if main.of(task) == 0 {
		return false // stopping it frees nothing of what is claimed
	}
	return p.taken[team]+main.of(beside)+main.of(task) <= p.StandingOf(team).Surplus(p.ClaimedTask)+tolerance
}

// RecordPreemption records that a task of a team is chosen.
func (p *Preemptor) RecordPreemption(team string, task Resources) {
	if p.taken == nil {
		p.taken = make(map[string]float64)
	}
	p.taken[team] += mainResource(p.ClaimedTask).of(task)
}
