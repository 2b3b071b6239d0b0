package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// In an outage of the state service all cancellations are repeated, in rotation. If each
// message repeated the first hundred, the others would never reach an owner whose watch has not
// delivered them. A controller that has confirmed a cancellation counts as notified of it for
// notifiedTTL.
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
				t.Fatalf("%d cancellations in one message", len(updates))
			}
			for _, update := range updates {
				repeated[update.Key] = true
			}
			controller.mu.Unlock()
			controller.recordNotified("n1", updates)
			controller.mu.Lock()
		}
		if len(repeated) != 250 {
			t.Errorf("%d of 250 cancellations are repeated", len(repeated))
		}
		if job := controller.view.Jobs["wk-249"]; time.Since(job.NotifiedAt["n1"]) > notifiedTTL {
			t.Error("n1 does not count as notified of a cancellation that it has confirmed")
		}
	})
}
