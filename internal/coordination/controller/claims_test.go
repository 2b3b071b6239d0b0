package controller

import (
	"testing"
	"testing/synctest"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A controller may commit two claims of the same chunk at once, one as shard owner and one as
// leader, that place the same task on the same machine. When the first commit fails, the slot
// of the other claim must stay in the index: otherwise the machine's capacity would be
// allocated twice.
func TestFailedClaimKeepsOtherClaimsSlot(t *testing.T) {
	controller := newFleet(t, 30)
	controller.mu.Lock()
	shard := controller.view.Shards["n0"]
	spec := &protocol.Submission{JobID: "wk-5", Team: "t", Shape: protocol.ShapeGang, Tasks: 1, CPUs: 2, MemoryGB: 2}
	record := claimOfOneTask("n0", shard.Machines[0].Host)
	record.LastAttempt = 1
	var claims []*replica.Claim
	for range 2 {
		claim := &replica.Claim{Key: records.ClaimKey("wk-5", 0), JobID: "wk-5", Spec: spec}
		controller.view.Claims[claim.Key] = claim
		controller.view.SetPending(claim, record)
		claims = append(claims, claim)
	}
	controller.finishClaim(shard, claims[0], kv.ErrCompareFailed)
	controller.mu.Unlock()
	if err := controller.Recount(); err != nil {
		t.Error(err)
	}
}

// The commit of a claim may fail after another shard has finished the job, whose record was
// then read again without its spec. The failure must be processed without a panic, and the
// claim must keep its spec.
func TestFailedClaimKeepsSpecOfFinishedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newTestController(idleStore{})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		key := records.ClaimKey("wk-1", 0)
		spec := &protocol.Submission{JobID: "wk-1", Team: "t", CPUs: 2, Shape: protocol.ShapeArray}
		claim := &replica.Claim{Key: key, JobID: "wk-1", Spec: spec}
		controller.view.Claims[key] = claim
		controller.view.SetPending(claim, claimOfOneTask("n0", "vm-1"))
		controller.view.ApplyClaim(key, claimOfOneTask("n1", "vm-2"), 5)
		controller.view.ApplyJob("wk-1", &records.Job{State: protocol.JobDone, Tasks: 1}, 6)
		controller.finishClaim(controller.view.Shard("n0"), claim, kv.ErrCompareFailed)
		if claim.Pending != nil || claim.Spec == nil {
			t.Errorf("after the failed commit: pending version %v, spec %v", claim.Pending, claim.Spec)
		}
	})
}
