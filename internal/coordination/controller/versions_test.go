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

// Records that the version in production (6672a9c) wrote in the emulator must be readable, and
// must keep all their fields when they are written again.
func TestRecordsOfProductionKeepTheirFields(t *testing.T) {
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
			t.Errorf("%s: unknown kind of record", key)
			continue
		}
		kinds[key[:2]] = true
		if err := protocol.Decode(value, record); err != nil {
			t.Errorf("%s: %v", key, err)
			continue
		}
		written, err := protocol.Encode(record)
		var before, after any
		if err != nil || json.Unmarshal(value, &before) != nil || json.Unmarshal(written, &after) != nil || !reflect.DeepEqual(before, after) {
			t.Errorf("%s: %s, written again %s (%v)", key, value, written, err)
		}
		if job, ok := record.(*records.Job); ok && (job.State == records.JobBlocked || len(job.Dependencies) > 0 || job.ReleasedAtMs != 0) {
			t.Errorf("%s: read as a job that is or was blocked", key)
		}
	}
	if len(kinds) < 9 {
		t.Errorf("the test data holds only %d kinds of records: %v", len(kinds), kinds)
	}
}

// productionJob is a job's record as the version in production decodes it: that version ignores
// unknown fields.
type productionJob struct {
	Spec          *protocol.Submission `json:"d,omitempty"`
	ShardNames    []string             `json:"q,omitempty"`
	AcceptedAtMs  int64                `json:"b,omitempty"`
	State         string               `json:"x,omitempty"`
	Tasks         int                  `json:"n,omitempty"`
	TasksPerChunk int                  `json:"k,omitempty"`
	CancelledAtMs int64                `json:"e,omitempty"`
}

// isFinal reports whether the version in production treats a job as final. It then starts none of
// the job's tasks, and answers users with the job's state.
func (j *productionJob) isFinal() bool { return j.State != "" }

// A controller of the version in production must start no task of a blocked job, nor of a job that
// was cancelled while blocked, and must treat a released job like any other.
func TestProductionReadsBlockedJobs(t *testing.T) {
	spec := &protocol.Submission{JobID: "wk-7", Shape: protocol.ShapeArray, Tasks: 3, CPUs: 2}
	read := func(record *records.Job) *productionJob {
		t.Helper()
		raw, err := protocol.Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		var decoded productionJob
		if err := json.Unmarshal(raw, &decoded); err != nil {
			t.Fatal(err)
		}
		return &decoded
	}
	blocked := read(&records.Job{State: records.JobBlocked, Spec: spec, Dependencies: records.JobIDs{"wk-1", "wk-000002"}, AcceptedAtMs: 5})
	if !blocked.isFinal() || blocked.State != protocol.JobPending {
		t.Errorf("a blocked job is not treated as final and pending: %+v", blocked)
	}
	released := read(&records.Job{Spec: spec, Shards: []string{"n0", "n1"}, AcceptedAtMs: 5, ReleasedAtMs: 9, ChunkSize: 3})
	if released.isFinal() || released.Spec.Tasks != 3 || len(released.ShardNames) != 2 || released.TasksPerChunk != 3 {
		t.Errorf("a released job is not treated like any other: %+v", released)
	}
	cancelled := read(&records.Job{State: protocol.JobCancelled, Tasks: 3, CancelledAtMs: 9})
	if !cancelled.isFinal() || cancelled.State != protocol.JobCancelled {
		t.Errorf("a cancelled job is not treated as final and cancelled: %+v", cancelled)
	}
}

// A job with dependencies must not be accepted while any live controller does not support job
// dependencies.
func TestNoDependenciesBesideOlderVersions(t *testing.T) {
	controller := &Controller{view: &replica.View{Nodes: map[string]replica.NodeInfo{"n0": {DependencyVersion: dependencyVersion}, "n1": {}}}}
	if controller.allSupportDependencies() {
		t.Error("dependencies count as supported although the record of n1 does not declare support")
	}
	controller.view.Nodes["n1"] = replica.NodeInfo{DependencyVersion: dependencyVersion}
	if !controller.allSupportDependencies() {
		t.Error("dependencies count as unsupported although all controllers support them")
	}
	if (&Controller{view: &replica.View{}}).allSupportDependencies() {
		t.Error("dependencies count as supported before the record of any controller is read")
	}
}
