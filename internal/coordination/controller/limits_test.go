package controller

import (
	"slices"
	"testing"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// After a commit of unknown fate a team's record can be known before the claim
// that went with it. What the record says counts then, not the sum of the claims
// that are known: with it a team was given its limit twice.
func TestTeamUseIsTheRecords(t *testing.T) {
	team := map[string]protocol.Team{"t": {Name: "t", MaxCPUs: 4}}
	controller := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: team}})
	spec := func(jobID string) *protocol.Submission {
		return &protocol.Submission{JobID: jobID, Team: "t", Shape: protocol.ShapeArray, Tasks: 2, CPUs: 2}
	}
	one := func() *records.Claim {
		return &records.Claim{Shard: "n0", TaskCount: 2, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}
	}
	controller.view.Revision = 5
	controller.view.ApplyJob("wk-1", &records.Job{Spec: spec("wk-1"), ChunkSize: 2}, 3)
	controller.view.ApplyClaim(records.ClaimKey("wk-1", 0), one(), 5) // its second task is placed at 8
	controller.view.Team("t").Record, controller.view.Team("t").Version = records.TeamUsage{ByShard: map[string]protocol.Resources{"n0": {CPUs: 4}}}, 8
	claim := &replica.Claim{Key: records.ClaimKey("wk-2", 0), JobID: "wk-2", Spec: spec("wk-2")}
	if _, _, _, ok := controller.reserveTeamUse("n0", claim, one()); ok {
		t.Fatal("the team has 4 of 4 CPUs by its record and was given 2 more")
	}
	controller.view.Team("t").Record.ByShard = map[string]protocol.Resources{"*": {CPUs: 4}} // the limit is allotted by newer sources
	if _, _, _, ok := controller.reserveTeamUse("n0", claim, one()); ok {
		t.Fatal("sources that know no allotments started something")
	}
	controller.view.Team("t").Record.ByShard = map[string]protocol.Resources{"n0": {CPUs: 4}}
	controller.view.Revision = 8 // all up to the record has been seen: the claim was in truth not changed
	if _, ops, _, ok := controller.reserveTeamUse("n0", claim, one()); !ok || ops[0].Value.(*records.TeamUsage).ByShard["n0"].CPUs != 4 {
		t.Fatalf("the sum of all claims is 2 of 4 CPUs, and 2 more gave %v", ops)
	}
}

// A start of a team is conditional on its limit, and on its bookings if it has a
// guarantee, as this controller knows them; an end on its limit alone. Without the
// first a start passed a limit that had just been lowered, without the second one
// decided a moment before a booking was not seen by it.
func TestStartsDependOnLimitAndBookings(t *testing.T) {
	controller := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: map[string]protocol.Team{"t": {Name: "t", GuaranteedCPUs: 2, MaxCPUs: 8}}}, Policy: policy.Policy{Allotments: true}})
	controller.view.Quota.ApplyLimit("t", &records.TeamLimit{Generation: 1, Max: protocol.Resources{CPUs: 8}, Base: map[string]protocol.Resources{"n0": {CPUs: 4}, "*": {CPUs: 4}}}, 11)
	controller.view.Quota.ApplyReservations("t", &records.Reservations{}, 12)
	claim := &replica.Claim{Key: records.ClaimKey("wk-1", 0), JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 2}}
	next := func(tasks int) *records.Claim {
		r := &records.Claim{Shard: "n0", TaskCount: 4}
		for i := range tasks {
			r.Placements = append(r.Placements, records.Placement{Task: i, Attempt: 1, Host: "vm-1"})
		}
		return r
	}
	compares, ops, _, ok := controller.reserveTeamUse("n0", claim, next(2))
	want := []kv.Compare{{Key: records.ReservationPrefix + "t", Version: 12}, {Key: records.TeamLimitPrefix + "t", Version: 11}}
	if !ok || len(ops) != 0 || !slices.Equal(compares, want) {
		t.Fatal(compares, ops, ok)
	}
	if _, _, _, ok = controller.reserveTeamUse("n0", claim, next(3)); ok {
		t.Fatal("6 CPUs were started within an allotment of 4")
	}
	claim.Record = next(2)
	if compares, _, _, ok = controller.reserveTeamUse("n0", claim, next(1)); !ok || !slices.Equal(compares, want[1:]) {
		t.Fatal("an end:", compares, ok)
	}
	controller.view.OrphanClaims["wk-9"] = map[string]*replica.Claim{"c/wk-9/0": {Key: "c/wk-9/0", Record: next(1)}}
	if _, _, _, ok = controller.reserveTeamUse("n0", &replica.Claim{Key: "c/wk-2/0", JobID: "wk-2", Spec: claim.Spec}, next(1)); ok {
		t.Fatal("started beside a claim whose size nobody knows")
	}
}
