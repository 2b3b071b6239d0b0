package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// In an outage all cancellations are repeated, by turns: were it the first hundred each time,
// the next one would never reach an owner that had not read it. What another controller has
// confirmed counts as known to it for a while.
func TestAllCancellationsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newTestController(unavailableStore{}, "n1")
		controller.mu.Lock()
		defer controller.mu.Unlock()
		for i := range 250 {
			jobID := fmt.Sprintf("wk-%03d", i)
			spec := &protocol.Submission{JobID: jobID, Tasks: 1, Shape: protocol.ShapeService}
			controller.view.ApplyClaim(records.ClaimKey(jobID, 0), claimOfOneTask("n1", "vm-1"), uint64(i+1))
			controller.view.ApplyJob(jobID, &records.Job{Spec: spec, State: protocol.JobCancelled, ChunkSize: 1}, uint64(i+1000))
		}
		repeated := make(map[string]bool)
		for range 3 {
			updates := controller.repeatedCancellations(time.Now())
			if len(updates) > maxRepeatedCancellations {
				t.Fatalf("%d in one message", len(updates))
			}
			for _, update := range updates {
				repeated[update.Key] = true
			}
			controller.mu.Unlock()
			controller.recordNotified("n1", updates)
			controller.mu.Lock()
		}
		if len(repeated) != 250 {
			t.Errorf("%d of 250 are repeated", len(repeated))
		}
		if job := controller.view.Jobs["wk-249"]; time.Since(job.NotifiedAt["n1"]) > notifiedTTL {
			t.Error("what n1 has confirmed does not count as known to it")
		}
	})
}
