package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// lowerPriorityPolicy is a PreemptionPolicy that permits the preemption of tasks of lower
// priority only.
type lowerPriorityPolicy struct{ spec *protocol.Submission }

func (lowerPriorityPolicy) Reset()                            {}
func (lowerPriorityPolicy) RecordPreemption([]replica.Victim) {}
func (p lowerPriorityPolicy) MayPreempt(victim *protocol.Submission, _ []replica.Victim) bool {
	return victim.Priority() < p.spec.Priority()
}

// capacitiesOf returns machines of a type with the given free CPUs, alternately in zones a
// and b.
func capacitiesOf(t *protocol.MachineType, free ...float64) []*Capacity {
	var capacities []*Capacity
	for i, cpus := range free {
		zone := []string{"a", "b"}[i%2]
		capacities = append(capacities, &Capacity{Host: fmt.Sprint("vm-", i), TypeName: t.Name, Zone: zone, Type: t, Free: protocol.MachineResources{CPUs: cpus, MemoryGB: t.MemoryGB}, Usable: true, Detailed: true})
	}
	return capacities
}

// A gang's reservation covers the machines of all its tasks, and all of these machines are in
// one zone if the gang requires one zone. If only one machine were reserved, arrays would take
// the other machines and the gang would never start.
func TestReservationCoversWholeGang(t *testing.T) {
	now := time.Now()
	machineType := &protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}
	capacities := capacitiesOf(machineType, 8, 0, 0, 8, 0, 0)
	array := &protocol.Submission{CPUs: 8, Shape: protocol.ShapeArray}
	for i, after := range []time.Duration{0, 9, 30, 0, 20, 10} {
		if capacities[i].Free.CPUs == 0 {
			capacities[i].Releases = []replica.Release{{At: now.Add(after * time.Second), Spec: array}}
		}
	}
	gang := &protocol.Submission{Shape: protocol.ShapeGang, Tasks: 3, CPUs: 8, SameZone: true}
	zones := NewZoneConstraint(gang, nil)
	reserved, start := Reserve(gang, "wk-1", capacities, &zones, 3, now)
	var hosts []string
	for _, r := range reserved {
		hosts = append(hosts, r.Host)
	}
	slices.Sort(hosts)
	// Zone b has a free machine, a machine that is free in 9 s and a machine that is free in
	// 10 s. In zone a the third machine is free in 30 s.
	if !slices.Equal(hosts, []string{"vm-1", "vm-3", "vm-5"}) || !start.Equal(now.Add(10*time.Second)) {
		t.Fatalf("reserved %v, start after %v", hosts, start.Sub(now))
	}
	if Select(array, "wk-2", capacities, &ZoneConstraint{}, 30*time.Second, now) != 0 {
		t.Fatal("a task that ends after the reservation's start is not placed on the free machine without a reservation")
	}
}

// A preemption plan makes capacity for all of a gang's tasks or for none.
func TestGangPreemptionIsPlannedWhole(t *testing.T) {
	now := time.Now()
	machineType := &protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}
	array := &protocol.Submission{Shape: protocol.ShapeArray, CPUs: 8, PriorityClass: "normal"}
	service := &protocol.Submission{Shape: protocol.ShapeService, CPUs: 8, PriorityClass: "critical"}
	capacities := capacitiesOf(machineType, 0, 0, 8)
	for i, s := range []*protocol.Submission{array, service} {
		capacities[i].Victims = []replica.Victim{{Claim: &replica.Claim{Spec: s, Key: fmt.Sprint(i)}, StartedAt: now.Add(-time.Minute)}}
	}
	plan := func(tasks int) []Eviction {
		gang := &protocol.Submission{Shape: protocol.ShapeGang, Tasks: tasks, CPUs: 8, PriorityClass: "high"}
		entry := &QueueEntry{Job: &replica.Job{ID: "wk-1", ChunkSize: tasks}, Spec: gang}
		zones := NewZoneConstraint(gang, nil)
		return PlanPreemption(entry, capacities, &zones, lowerPriorityPolicy{gang}, now)
	}
	if evictions := plan(3); evictions != nil {
		t.Fatalf("planned %v although the service may not be preempted", evictions)
	}
	evictions := plan(2)
	if len(evictions) != 2 || len(evictions[0].Victims)+len(evictions[1].Victims) != 1 {
		t.Fatalf("planned %v", evictions)
	}
	if capacities[0].Free.CPUs != 0 || len(capacities[0].Victims) != 1 || capacities[2].Free.CPUs != 8 {
		t.Fatal("the plan changed the capacities")
	}
}

// TestMachineTakesNoMoreTasksThanItListsAtMost guards against heartbeats that are refused for their length.
func TestMachineTakesNoMoreTasksThanItListsAtMost(t *testing.T) {
	now := time.Now()
	machineType := &protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}
	tiny := &protocol.Submission{Shape: protocol.ShapeArray, Tasks: 2000, CPUs: 0.004, MemoryGB: 0.004}
	capacities := capacitiesOf(machineType, 8)
	capacities[0].Tasks = 100
	if fit := TasksThatFit(tiny, "wk-1", capacities, 2000); fit != MaxListedTasks-100 {
		t.Errorf("%d tasks fit beside 100", fit)
	}
	zones, placed := NewZoneConstraint(tiny, nil), 0
	for Select(tiny, "wk-1", capacities, &zones, time.Second, now) >= 0 {
		capacities[0].Allocate(tiny)
		placed++
	}
	if placed != MaxListedTasks-100 {
		t.Errorf("%d tasks are placed beside 100", placed)
	}
	capacities[0].Release(tiny)
	if !capacities[0].Fits(tiny) {
		t.Error("no task fits once one is released")
	}
	if perMachine := TasksPerMachine(tiny, machineType); perMachine != MaxListedTasks {
		t.Errorf("%d tasks for each machine that is rented", perMachine)
	}
}
