package controller

import (
	"testing"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Two tries of this node to claim the same chunk, its shard's and the leader's, may place
// the same task on the same machine. As the first ended it took the other's place out of
// the index, and the machine's room was given away twice.
func TestTwoTriesOfOneClaim(t *testing.T) {
	controller := fleetOf(t, 30)
	controller.mu.Lock()
	spec := &protocol.Submission{JobID: "wk-5", Team: "t", Shape: protocol.ShapeGang, Tasks: 1, CPUs: 2, MemoryGB: 2}
	record := &records.Claim{Shard: "n0", TaskCount: 1, LastAttempt: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: controller.view.Shards["n0"].Machines[0].Host}}}
	var tries []*replica.Claim
	for range 2 {
		claim := &replica.Claim{Key: records.ClaimKey("wk-5", 0), JobID: "wk-5", Spec: spec}
		controller.view.Claims[claim.Key] = claim
		controller.view.SetPending(claim, record)
		tries = append(tries, claim)
	}
	controller.finishClaim(controller.view.Shards["n0"], tries[0], kv.ErrCompareFailed)
	controller.mu.Unlock()
	if err := controller.Recount(); err != nil {
		t.Error(err)
	}
}
