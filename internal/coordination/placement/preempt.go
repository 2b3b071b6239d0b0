package placement

import (
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// PreemptionPolicy determines which tasks may be preempted for a job. It counts the victims
// of a plan by team.
type PreemptionPolicy interface {
	// Reset discards the recorded preemptions, before a new plan is made.
	Reset()
	// MayPreempt reports whether a task of another job may be preempted for a task of the
	// claiming job, in addition to the victims already chosen for that task.
	MayPreempt(victim *protocol.Submission, chosen []replica.Victim) bool
	// RecordPreemption counts the victims chosen for one task of the job.
	RecordPreemption(victims []replica.Victim)
}

// Eviction is a machine and its victims: the tasks to be preempted there to make capacity for
// one more task. Victims is empty if the machine has enough free capacity already.
type Eviction struct {
	Capacity *Capacity
	Victims  []replica.Victim
}

// maxPreemptions bounds the tasks for which one plan makes capacity. It does not bound the
// tasks of a gang, which must start together.
const maxPreemptions = 16

// missingImageCost is added, in CPU seconds of lost work, to the cost of preempting on a
// machine without the image, since the fetch of the image delays the start.
const missingImageCost = 1000

// PlanPreemption plans capacity for as many tasks of a queue entry as possible, or for all or
// none of them if they must start together. The capacities are not changed.
func PlanPreemption(entry *QueueEntry, capacities []*Capacity, zones *ZoneConstraint, policy PreemptionPolicy, now time.Time) []Eviction {
	if entry.StartsTogether() {
		return planGangPreemption(entry, capacities, zones, policy, now)
	}
	trial := newPreemptionTrial(capacities, zones)
	for range min(entry.PlaceableTasks(), maxPreemptions) {
		index, victims := SelectVictims(entry.Spec, entry.Job.ID, trial.capacities, &trial.zones, policy, now)
		if len(victims) == 0 {
			break
		}
		policy.RecordPreemption(victims)
		capacity := trial.apply(entry.Spec, index, victims)
		capacity.ReserveFor(entry.Spec, entry.Job.ID, 0, now)
	}
	return trial.plan
}

// planGangPreemption plans capacity for all tasks of a gang, in the zone where the plan loses
// the least work, or returns nil if there is no such plan. The capacities are not changed.
func planGangPreemption(entry *QueueEntry, capacities []*Capacity, zones *ZoneConstraint, policy PreemptionPolicy, now time.Time) []Eviction {
	var best []Eviction
	bestCost := math.Inf(1)
	tasks := entry.PlaceableTasks()
	for _, zone := range CandidateZones(entry.Spec, capacities) {
		policy.Reset()
		trial := newPreemptionTrial(capacities, zones)
		if zone != "" && trial.zones.Only == "" {
			trial.zones.Only = zone
		}
		cost := 0.0
		for len(trial.plan) < tasks {
			index, victims := selectForGang(entry, trial, policy, now)
			if index < 0 {
				break
			}
			for _, victim := range victims {
				cost += victim.LostWork(now)
			}
			policy.RecordPreemption(victims)
			trial.apply(entry.Spec, index, victims)
		}
		if len(trial.plan) == tasks && cost < bestCost {
			best, bestCost = trial.plan, cost
		}
	}
	return best
}

// selectForGang selects a machine for the next task of a gang: free capacity on a machine that
// holds the image; else the cheapest preemption, if its machine holds the image or no machine
// has free capacity; else any free capacity. The index is -1 if neither free capacity nor a
// preemption is possible.
func selectForGang(entry *QueueEntry, trial *preemptionTrial, policy PreemptionPolicy, now time.Time) (index int, victims []replica.Victim) {
	spec, jobID := entry.Spec, entry.Job.ID
	index = Select(spec, jobID, trial.capacities, &trial.zones, 0, now)
	if index >= 0 && (trial.capacities[index].HasImage(spec.Image) || spec.ImageGB <= 0) {
		return index, nil
	}
	preempted, chosen := SelectVictims(spec, jobID, trial.capacities, &trial.zones, policy, now)
	if len(chosen) > 0 && (index < 0 || trial.capacities[preempted].HasImage(spec.Image)) {
		return preempted, chosen
	}
	return index, nil
}

// preemptionTrial builds a plan on copies of the capacities.
type preemptionTrial struct {
	original   []*Capacity
	capacities []*Capacity
	zones      ZoneConstraint
	plan       []Eviction
}

func newPreemptionTrial(capacities []*Capacity, zones *ZoneConstraint) *preemptionTrial {
	return &preemptionTrial{original: capacities, capacities: slices.Clone(capacities), zones: zones.clone()}
}

// apply adds an eviction for one task to the plan and returns the changed copy of its
// capacity.
func (t *preemptionTrial) apply(spec *protocol.Submission, index int, victims []replica.Victim) *Capacity {
	capacity := t.writableCopy(index)
	for _, victim := range victims {
		capacity.Release(victim.Claim.Spec)
	}
	capacity.Victims = WithoutVictims(capacity.Victims, victims)
	capacity.Allocate(spec)
	t.zones.Add(spec, capacity.Zone)
	t.plan = append(t.plan, Eviction{t.original[index], victims})
	return capacity
}

// writableCopy returns the trial's copy of a capacity, which the trial may change. Only the
// capacities that a plan changes are copied: copying all capacities for each plan takes a
// sixth of the processor time when services preempt arrays.
func (t *preemptionTrial) writableCopy(index int) *Capacity {
	if t.capacities[index] == t.original[index] {
		copied := *t.original[index]
		t.capacities[index] = &copied
	}
	return t.capacities[index]
}

// WithoutVictims returns a copy of victims without the tasks listed in removed.
func WithoutVictims(victims, removed []replica.Victim) []replica.Victim {
	return slices.DeleteFunc(slices.Clone(victims), func(victim replica.Victim) bool {
		return slices.ContainsFunc(removed, func(other replica.Victim) bool {
			return other.Claim == victim.Claim && other.Task == victim.Task
		})
	})
}

// SelectVictims selects the machine on which preemption for one task costs least, and the
// tasks to be preempted there. The cost is the lost work, plus missingImageCost on a machine
// without the image. If there is no such machine, the index is -1 and the list is empty.
func SelectVictims(spec *protocol.Submission, jobID string, capacities []*Capacity, zones *ZoneConstraint, policy PreemptionPolicy, now time.Time) (index int, victims []replica.Victim) {
	index = -1
	bestCost := math.Inf(1)
	for i, capacity := range capacities {
		if !mayPreemptOn(spec, jobID, capacity, zones) {
			continue
		}
		chosen, cost, enough := victimsOn(spec, capacity, policy, now)
		if !enough || len(chosen) == 0 {
			continue
		}
		if !capacity.HasImage(spec.Image) {
			cost += missingImageCost
		}
		if cost < bestCost {
			index, victims, bestCost = i, chosen, cost
		}
	}
	return index, victims
}

// mayPreemptOn reports whether a machine may be considered for preemptions for a job,
// regardless of the tasks that run on the machine.
func mayPreemptOn(spec *protocol.Submission, jobID string, capacity *Capacity, zones *ZoneConstraint) bool {
	if !capacity.Accepts(spec, zones) || capacity.AvoidedBy[jobID] || capacity.isReservedForOther(jobID) {
		return false
	}
	wastesGPUs := spec.GPUs == 0 && capacity.Type.GPUs > 0 && capacity.Free.GPUs > 0
	return FitsEmpty(spec, capacity.Type) && !wastesGPUs
}

// victimsOn selects the tasks to be preempted on a machine to make capacity for one task, in
// the order of the machine's victims, and returns the lost work as cost. enough reports
// whether the task then fits.
func victimsOn(spec *protocol.Submission, capacity *Capacity, policy PreemptionPolicy, now time.Time) (chosen []replica.Victim, cost float64, enough bool) {
	free := capacity.Free
	for _, victim := range capacity.Victims {
		if free.Fits(spec) {
			break
		}
		if !policy.MayPreempt(victim.Claim.Spec, chosen) {
			continue
		}
		free = free.Plus(victim.Claim.Spec)
		cost += victim.LostWork(now)
		chosen = append(chosen, victim)
	}
	return chosen, cost, free.Fits(spec)
}
