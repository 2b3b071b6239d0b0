package controller

import (
	"testing"
	"testing/synctest"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Two attempts of this controller at the same chunk, its shard's and the leader's, may place
// the same task on the same machine. The end of the first must leave the other's slot in the
// index: without it the machine's capacity would be allocated twice.
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

// An attempt at a claim may fail after another shard has finished the job, whose record was
// read again without its description. The attempt ends like any other that fails, and the
// process goes on.
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
			t.Errorf("being committed %v, description %v", claim.Pending, claim.Spec)
		}
	})
}
