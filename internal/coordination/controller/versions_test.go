package controller

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TestRecordsOfProduction: the records that the version in production (6672a9c) wrote in
// the stand-in world are read, and written again without losing a field.
func TestRecordsOfProduction(t *testing.T) {
	raw, err := os.ReadFile("testdata/records-6672a9c.json")
	if err != nil {
		t.Fatal(err)
	}
	var stored map[string]json.RawMessage
	if err := json.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]bool)
	for key, value := range stored {
		record := replica.NewRecord(key)
		if record == nil {
			t.Errorf("%s: of no known kind", key)
			continue
		}
		kinds[key[:2]] = true
		if err := protocol.Decode(value, record); err != nil {
			t.Errorf("%s: %v", key, err)
			continue
		}
		again, err := protocol.Encode(record)
		var was, is any
		if err != nil || json.Unmarshal(value, &was) != nil || json.Unmarshal(again, &is) != nil || !reflect.DeepEqual(was, is) {
			t.Errorf("%s: %s, written again %s (%v)", key, value, again, err)
		}
		if j, ok := record.(*records.Job); ok && (j.State == records.JobBlocked || len(j.Dependencies) > 0 || j.ReleasedAtMs != 0) {
			t.Errorf("%s is taken for one that waits", key)
		}
	}
	if len(kinds) < 9 {
		t.Errorf("only %d kinds of records: %v", len(kinds), kinds)
	}
}

// formerJob is a job's record as the version in production reads it; it ignores fields
// that it does not know.
type formerJob struct {
	Spec  *protocol.Submission `json:"d,omitempty"`
	At    []string             `json:"q,omitempty"`
	Born  int64                `json:"b,omitempty"`
	State string               `json:"x,omitempty"`
	Tasks int                  `json:"n,omitempty"`
	Size  int                  `json:"k,omitempty"`
	Ended int64                `json:"e,omitempty"`
}

// final is how that version tells that a job is over: it starts nothing of it then, and
// answers its users with the state.
func (j *formerJob) final() bool { return j.State != "" }

// TestProductionReadsPipelines: what the version in production makes of the records of
// jobs that wait, wait no longer, or were cancelled while they waited.
func TestProductionReadsPipelines(t *testing.T) {
	spec := &protocol.Submission{JobID: "wk-7", Shape: protocol.ShapeArray, Tasks: 3, CPUs: 2}
	read := func(record *records.Job) *formerJob {
		t.Helper()
		raw, err := protocol.Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		var former formerJob
		if err := json.Unmarshal(raw, &former); err != nil {
			t.Fatal(err)
		}
		return &former
	}
	held := read(&records.Job{State: records.JobBlocked, Spec: spec, Dependencies: records.JobIDs{"wk-1", "wk-000002"}, AcceptedAtMs: 5})
	if !held.final() || held.State != protocol.JobPending {
		t.Errorf("a job that waits would be started: %+v", held)
	}
	released := read(&records.Job{Spec: spec, Shards: []string{"n0", "n1"}, AcceptedAtMs: 5, ReleasedAtMs: 9, ChunkSize: 3})
	if released.final() || released.Spec.Tasks != 3 || len(released.At) != 2 || released.Size != 3 {
		t.Errorf("a released job is no ordinary one: %+v", released)
	}
	cancelled := read(&records.Job{State: protocol.JobCancelled, Tasks: 3, CancelledAtMs: 9})
	if !cancelled.final() || cancelled.State != protocol.JobCancelled {
		t.Errorf("a cancelled job: %+v", cancelled)
	}
}

// TestNoPipelineBesideOlderVersions: while a live controller does not understand jobs that
// wait, none is accepted.
func TestNoPipelineBesideOlderVersions(t *testing.T) {
	controller := &Controller{view: &replica.View{Nodes: map[string]replica.NodeInfo{"n0": {DependencyVersion: dependencyVersion}, "n1": {}}}}
	if controller.allSupportDependencies() {
		t.Error("accepted beside n1, which does not say that it understands them")
	}
	controller.view.Nodes["n1"] = replica.NodeInfo{DependencyVersion: dependencyVersion}
	if !controller.allSupportDependencies() {
		t.Error("refused though all understand them")
	}
	if (&Controller{view: &replica.View{}}).allSupportDependencies() {
		t.Error("accepted before any controller is known, this one included")
	}
}
