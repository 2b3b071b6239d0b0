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
		n := New(Options{Settings: protocol.Settings{NodeName: "n0", Peers: []protocol.Peer{{Node: "n1"}}}, Store: unavailableStore{}, Log: slog.New(slog.DiscardHandler)})
		n.mu.Lock()
		defer n.mu.Unlock()
		for i := range 250 {
			ref := fmt.Sprintf("wk-%03d", i)
			n.view.ApplyClaim(records.ClaimKey(ref, 0), &records.Claim{Shard: "n1", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}, uint64(i+1))
			n.view.ApplyJob(ref, &records.Job{Spec: &protocol.Submission{JobID: ref, Tasks: 1, Shape: protocol.ShapeService}, State: protocol.JobCancelled, ChunkSize: 1}, uint64(i+1000))
		}
		told := make(map[string]bool)
		for range 3 {
			news := n.repeatedCancellations(time.Now())
			if len(news) > maxRepeatedCancellations {
				t.Fatalf("%d in one message", len(news))
			}
			for _, k := range news {
				told[k.Key] = true
			}
			n.mu.Unlock()
			n.recordNotified("n1", news)
			n.mu.Lock()
		}
		if len(told) != 250 {
			t.Errorf("%d of 250 are repeated", len(told))
		}
		if j := n.view.Jobs["wk-249"]; time.Since(j.NotifiedAt["n1"]) > notifiedTTL {
			t.Error("what n1 has taken does not count as told")
		}
	})
}

// A cancellation may be known ahead of the watch, which then brings a claim committed
// before it: the claim finds its job, so that its machine is minded. Forgotten for having
// no claims yet, the job had to be read again for that, which nobody can in an outage.
func TestClaimsFollowTheirJobsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: idleStore{}, Log: slog.New(slog.DiscardHandler)})
		n.mu.Lock()
		defer n.mu.Unlock()
		n.view.Loaded, n.view.Revision = true, 5
		for _, ref := range []string{"wk-1", "wk-2"} {
			spec := &protocol.Submission{JobID: ref, Tasks: 1, Shape: protocol.ShapeService}
			n.view.Apply(records.JobPrefix+ref, &records.Job{Spec: spec, State: protocol.JobCancelled, ChunkSize: 1}, 8)
		}
		key := records.ClaimKey("wk-1", 0)
		n.view.Apply(key, &records.Claim{Shard: "n1", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}, 7)
		if c := n.view.Claims[key]; c == nil || c.Spec == nil || n.view.CancelledJobs["wk-1"] == nil || n.view.CancelledJobs["wk-1"].Claims[0] != c || len(n.view.OrphanClaims) != 0 {
			t.Errorf("the claim has not found its job: %+v", c)
		}
		n.view.ReachRevision(8)
		if n.view.Jobs["wk-1"] == nil || n.view.Jobs["wk-2"] != nil || n.view.FinalJobs["wk-2"].State != protocol.JobCancelled || len(n.view.EarlyCancellations) != 0 {
			t.Errorf("once the watch has come as far: jobs %v, ahead %v", n.view.Jobs, n.view.EarlyCancellations)
		}
		n.view.Apply(key, nil, 9)
		if len(n.view.Jobs) != 0 || n.view.FinalJobs["wk-1"].State != protocol.JobCancelled {
			t.Errorf("once its claim is gone: jobs %v", n.view.Jobs)
		}
	})
}
