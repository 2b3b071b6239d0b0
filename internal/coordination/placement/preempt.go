package placement

import (
	"math"
	"slices"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// PreemptionPolicy says whose tasks may be stopped for a job. It counts what a plan takes
// from each team.
type PreemptionPolicy interface {
	// Reset forgets what was recorded: a plan is begun anew.
	Reset()
	// MayPreempt reports whether a task of another job may be stopped, beside those chosen
	// for the same task of the job so far.
	MayPreempt(victim *protocol.Submission, chosen []replica.Victim) bool
	// RecordPreemption counts what was chosen for one task of the job.
	RecordPreemption(victims []replica.Victim)
}

// Eviction is a machine and what is to be stopped there for one more task. Without victims
// there is capacity already.
type Eviction struct {
	Capacity *Capacity
	Victims  []replica.Victim
}

// maxPreemptions bounds the tasks that one pass makes capacity for.
const maxPreemptions = 16

// missingImageCost is added to the cost of preempting on a machine without the image: its
// fetch delays the start.
const missingImageCost = 1000

// PlanPreemption plans capacity for as many tasks of a queue entry as can have it, or for
// all if they must start together. The capacities are left as they were.
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

// planGangPreemption plans capacity for all tasks of a gang, in the zone where that throws
// the least work away, or none. The capacities are left as they were.
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

// selectForGang chooses a machine for the next task of a gang: free capacity where the
// image is, else what can be preempted where it is, else any free capacity. The index is -1
// if there is none.
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

// preemptionTrial tries a plan on copies of the capacities.
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
	capacity := t.own(index)
	for _, victim := range victims {
		capacity.Release(victim.Claim.Spec)
	}
	capacity.Victims = WithoutVictims(capacity.Victims, victims)
	capacity.Allocate(spec)
	t.zones.Add(spec, capacity.Zone)
	t.plan = append(t.plan, Eviction{t.original[index], victims})
	return capacity
}

// own returns a copy of a capacity that the trial may change. Only those that a plan
// changes are copied: copying all of them for each plan takes a sixth of the processor time
// when services preempt arrays.
func (t *preemptionTrial) own(index int) *Capacity {
	if t.capacities[index] == t.original[index] {
		copied := *t.original[index]
		t.capacities[index] = &copied
	}
	return t.capacities[index]
}

// WithoutVictims returns a list of victims without some of them.
func WithoutVictims(victims, removed []replica.Victim) []replica.Victim {
	return slices.DeleteFunc(slices.Clone(victims), func(victim replica.Victim) bool {
		return slices.ContainsFunc(removed, func(other replica.Victim) bool {
			return other.Claim == victim.Claim && other.Task == victim.Task
		})
	})
}

// SelectVictims chooses the machine where making capacity for one task throws the least
// work away, and the tasks to stop there. The index is -1 and the list empty if there is
// none.
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

// mayPreemptOn reports whether tasks may be preempted on a machine for a job at all.
func mayPreemptOn(spec *protocol.Submission, jobID string, capacity *Capacity, zones *ZoneConstraint) bool {
	if !capacity.Accepts(spec, zones) || capacity.AvoidedBy[jobID] || capacity.reservedForOther(jobID) {
		return false
	}
	wastesGPUs := spec.GPUs == 0 && capacity.Type.GPUs > 0 && capacity.Free.GPUs > 0
	return FitsEmpty(spec, capacity.Type) && !wastesGPUs
}

// victimsOn chooses the tasks to stop on a machine for one task, in the order of its
// victims, with the work that is lost, and reports whether that is enough.
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
