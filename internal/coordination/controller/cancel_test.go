package controller

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// unavailableStore has executed nothing for long.
type unavailableStore struct{ idleStore }

func (unavailableStore) LastSuccess() time.Time { return time.Time{} }

// In an outage all cancellations are repeated, by turns: with the first hundred each
// time the next one was never told to an owner that had not read of it. What another
// controller says that it took counts as told to it for a while.
func TestAllCancellationsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New(Options{Settings: protocol.Settings{NodeName: "n0", Peers: []protocol.Peer{{Node: "n1"}}}, Store: unavailableStore{}, Log: slog.New(slog.DiscardHandler)})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		for i := range 250 {
			jobID := fmt.Sprintf("wk-%03d", i)
			controller.view.ApplyClaim(records.ClaimKey(jobID, 0), &records.Claim{Shard: "n1", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}, uint64(i+1))
			controller.view.ApplyJob(jobID, &records.Job{Spec: &protocol.Submission{JobID: jobID, Tasks: 1, Shape: protocol.ShapeService}, State: protocol.JobCancelled, ChunkSize: 1}, uint64(i+1000))
		}
		told := make(map[string]bool)
		for range 3 {
			news := controller.repeatedCancellations(time.Now())
			if len(news) > maxRepeatedCancellations {
				t.Fatalf("%d in one message", len(news))
			}
			for _, k := range news {
				told[k.Key] = true
			}
			controller.mu.Unlock()
			controller.recordNotified("n1", news)
			controller.mu.Lock()
		}
		if len(told) != 250 {
			t.Errorf("%d of 250 are repeated", len(told))
		}
		if job := controller.view.Jobs["wk-249"]; time.Since(job.NotifiedAt["n1"]) > notifiedTTL {
			t.Error("what n1 has taken does not count as told")
		}
	})
}

// A cancellation may be known ahead of the watch, which then brings a claim committed
// before it: the claim finds its job, so that its machine is minded. Forgotten for having
// no claims yet, the job had to be read again for that, which nobody can in an outage.
func TestClaimsFollowTheirJobsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: idleStore{}, Log: slog.New(slog.DiscardHandler)})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		controller.view.Loaded, controller.view.Revision = true, 5
		for _, jobID := range []string{"wk-1", "wk-2"} {
			spec := &protocol.Submission{JobID: jobID, Tasks: 1, Shape: protocol.ShapeService}
			controller.view.Apply(records.JobPrefix+jobID, &records.Job{Spec: spec, State: protocol.JobCancelled, ChunkSize: 1}, 8)
		}
		key := records.ClaimKey("wk-1", 0)
		controller.view.Apply(key, &records.Claim{Shard: "n1", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}, 7)
		if claim := controller.view.Claims[key]; claim == nil || claim.Spec == nil || controller.view.CancelledJobs["wk-1"] == nil || controller.view.CancelledJobs["wk-1"].Claims[0] != claim || len(controller.view.OrphanClaims) != 0 {
			t.Errorf("the claim has not found its job: %+v", claim)
		}
		controller.view.ReachRevision(8)
		if controller.view.Jobs["wk-1"] == nil || controller.view.Jobs["wk-2"] != nil || controller.view.FinalJobs["wk-2"].State != protocol.JobCancelled || len(controller.view.EarlyCancellations) != 0 {
			t.Errorf("once the watch has come as far: jobs %v, ahead %v", controller.view.Jobs, controller.view.EarlyCancellations)
		}
		controller.view.Apply(key, nil, 9)
		if len(controller.view.Jobs) != 0 || controller.view.FinalJobs["wk-1"].State != protocol.JobCancelled {
			t.Errorf("once its claim is gone: jobs %v", controller.view.Jobs)
		}
	})
}
