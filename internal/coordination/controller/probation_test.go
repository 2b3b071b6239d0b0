package controller

import (
	"testing"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// A job whose tasks fail on several machines is on probation and starts one task at a time. A
// gang on probation starts all its tasks, because a gang cannot start in part.
func TestJobOnProbationIsTriedWithOneTask(t *testing.T) {
	now := time.Unix(1000, 0)
	for shape, want := range map[protocol.Shape]int{protocol.ShapeArray: 1, protocol.ShapeService: 1, protocol.ShapeGang: 30} {
		job := &replica.Job{Record: &records.Job{}, ChunkSize: 30, Chunks: 1}
		job.Evidence.RecordFailure("vm-1", time.Second, 0, now)
		if job.OnProbation(now) {
			t.Error("on probation after a failure on one machine")
		}
		job.Evidence.RecordFailure("vm-2", time.Second, 0, now)
		entry := placement.QueueEntry{Job: job, Spec: &protocol.Submission{Shape: shape, Tasks: 30}, OnProbation: job.Evidence.Verdict(now) == quarantine.Suspect}
		if got := entry.PlaceableTasks(); got != want {
			t.Errorf("%s: %d tasks at a time, wanted %d", shape, got, want)
		}
	}
}
