package provisioning

import (
	"testing"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// TestFullListsAreNoSupply guards against arrays of tiny tasks that wait for machines with free CPUs and a full list of tasks.
func TestFullListsAreNoSupply(t *testing.T) {
	machineType := &protocol.MachineType{Name: "m64", CPUs: 64, MemoryGB: 256, Price: 1, SpotPrice: 1, Zones: []string{"a"}}
	market := Market{
		Types: map[string]*protocol.MachineType{"m64": machineType}, Now: time.Now(),
		IsPartitioned: func(string) bool { return false }, Unreliability: func(string, string) float64 { return 1 },
	}
	policy := BudgetPolicy{ArrayWait: 10 * time.Second}
	array := func(cpus float64) []Demand {
		spec := &protocol.Submission{JobID: "wk-1", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 1200, CPUs: cpus, MemoryGB: 0.1}
		return []Demand{{Spec: spec, Count: spec.Tasks, Runtime: 25 * time.Second}}
	}
	for _, test := range []struct {
		name   string
		cpus   float64
		listed int
		offers int
	}{
		{"tiny tasks beside a full list", 0.04, placement.MaxListedTasks, 2},
		{"tiny tasks and an empty machine", 0.04, 0, 1},
		{"larger tasks, which a list does not bound", 0.16, 0, 2},
	} {
		machine := Offer{Type: machineType, Zone: "a"}.Capacity()
		machine.Tasks = test.listed
		planner := Planner{Market: market, Supply: []*placement.Capacity{machine}}
		demands := array(test.cpus)
		budget, _ := planner.ArrayBudget(demands, nil, RunningLoad{}, policy)
		if offers := planner.Fill(demands[0], budget); len(offers) != test.offers {
			t.Errorf("%s: %d machines for a budget of %.0f CPUs, want %d", test.name, len(offers), budget, test.offers)
		}
	}
}
