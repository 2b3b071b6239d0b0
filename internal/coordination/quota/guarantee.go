package quota

import (
	"maps"
	"slices"
)

// GuaranteeStatus compares a team's use with its guarantee, by the records at one moment.
type GuaranteeStatus struct {
	Guarantee      Resources
	Use            Resources // resources of tasks that are placed or whose placement is being committed
	Committed      Resources // part of Use: resources of tasks that stay placed whatever the outcome of pending commits
	Reserved       Resources // resources reserved on the guarantee for tasks that are not placed yet
	BeingPreempted Resources // resources of placed tasks that are being preempted for other teams
}

// HasGuarantee reports whether a team has a guarantee in this controller's settings.
func (m *Manager) HasGuarantee(name string) bool {
	guarantee := m.configured[name].Guarantee()
	return guarantee.CPUs > 0 || guarantee.GPUs > 0
}

// GuaranteeStatus returns a team's use compared with its guarantee. The reservation of
// exceptClaim, the claim key of the chunk to be placed, is left out; exceptClaim may be empty.
func (m *Manager) GuaranteeStatus(name, exceptClaim string, usage Usage) GuaranteeStatus {
	status := GuaranteeStatus{Guarantee: m.configured[name].Guarantee(), Use: usage.InUse(name), Committed: usage.Committed(name)}
	team := m.teams[name]
	if team == nil {
		return status
	}
	// In the order of keys: floating-point sums depend on the order, and a replay has to
	// give the same sums.
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

// GuaranteeStatusExcludingPreemptionsFor is like GuaranteeStatus, but also leaves out the
// preemptions of the team's tasks for the claim. It serves to check a recorded preemption
// once more before the preemption is executed.
func (m *Manager) GuaranteeStatusExcludingPreemptionsFor(name, claim string, usage Usage) GuaranteeStatus {
	status := m.GuaranteeStatus(name, claim, usage)
	if team := m.teams[name]; team != nil {
		for _, task := range team.reservations.Preempted[claim].Tasks {
			status.BeingPreempted = status.BeingPreempted.Minus(usage.TaskUse(task))
		}
	}
	return status
}

// EntitledTasks returns how many more tasks that use perTask the team may claim on its
// guarantee, in addition to its use and its reservations. A guarantee of GPUs alone covers no
// tasks without GPUs, and a guarantee of CPUs alone covers no tasks with GPUs.
func (s GuaranteeStatus) EntitledTasks(perTask Resources) int {
	if mainResource(perTask).of(s.Guarantee) == 0 {
		return 0
	}
	return TasksThatFit(s.Guarantee.Difference(s.Use.Plus(s.Reserved)), perTask, s.Guarantee)
}

// Surplus returns how much the team uses beyond its guarantee, in the main resource of the
// claiming task. Without a guarantee all of the team's use is surplus.
//
// Tasks that are already being preempted do not count, so that two teams do not preempt the
// same tasks. Placements that are only being committed do not count either: preempted tasks
// that are being placed again elsewhere would count as surplus a second time, and the team
// would lose tasks within its guarantee.
func (s GuaranteeStatus) Surplus(claimingTask Resources) float64 {
	return mainResource(claimingTask).of(s.Committed.Difference(s.BeingPreempted).Minus(s.Guarantee))
}

// PreemptionBudget sums up the resources that preemptions for one claim take from each other
// team, so that no team is left with less than its guarantee. ClaimedTask and StatusOf must be
// set.
type PreemptionBudget struct {
	ClaimedTask Resources // resources of one task of the claiming job
	StatusOf    func(team string) GuaranteeStatus
	taken       map[string]float64 // amounts taken so far, by team, in the main resource of the claiming tasks
}

// MayPreempt reports whether one more task of a team may be stopped. beside is the use of
// the team's tasks that are chosen and not yet passed to RecordPreemption. The surplus must
// cover the whole task: a task that is partly within the guarantee is not preempted.
func (p *PreemptionBudget) MayPreempt(team string, task, beside Resources) bool {
	main := mainResource(p.ClaimedTask)
	if main.of(task) == 0 {
		return false // stopping the task frees nothing of the claimed resource
	}
	return p.taken[team]+main.of(beside)+main.of(task) <= p.StatusOf(team).Surplus(p.ClaimedTask)+tolerance
}

// RecordPreemption counts a task of a team as chosen for preemption.
func (p *PreemptionBudget) RecordPreemption(team string, task Resources) {
	if p.taken == nil {
		p.taken = make(map[string]float64)
	}
	p.taken[team] += mainResource(p.ClaimedTask).of(task)
}
