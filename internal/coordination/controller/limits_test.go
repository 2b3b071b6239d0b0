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

// After a commit of unknown outcome the view can hold a team's usage record before the claim
// that was committed with it. The team's use is then taken from the record: by the sum of the
// claims in the view the team could use its limit twice.
func TestUsageRecordCountsAheadOfItsClaims(t *testing.T) {
	teams := map[string]protocol.Team{"t": {Name: "t", MaxCPUs: 4}}
	controller := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: teams}})
	spec := func(jobID string) *protocol.Submission {
		return &protocol.Submission{JobID: jobID, Team: "t", Shape: protocol.ShapeArray, Tasks: 2, CPUs: 2}
	}
	oneOfTwoTasks := func() *records.Claim {
		record := claimOfOneTask("n0", "vm-1")
		record.TaskCount = 2
		return record
	}
	controller.view.Revision = 5
	controller.view.ApplyJob("wk-1", &records.Job{Spec: spec("wk-1"), ChunkSize: 2}, 3)
	controller.view.ApplyClaim(records.ClaimKey("wk-1", 0), oneOfTwoTasks(), 5) // the second task of wk-1 is placed at revision 8, which the view has not received
	controller.view.Team("t").Record, controller.view.Team("t").Version = records.TeamUsage{ByShard: map[string]protocol.Resources{"n0": {CPUs: 4}}}, 8
	claim := &replica.Claim{Key: records.ClaimKey("wk-2", 0), JobID: "wk-2", Spec: spec("wk-2")}
	if _, _, _, ok := controller.reserveTeamUse("n0", claim, oneOfTwoTasks()); ok {
		t.Fatal("the team uses 4 of 4 CPUs by its usage record, and a start of 2 more was permitted")
	}
	controller.view.Team("t").Record.ByShard = map[string]protocol.Resources{"*": {CPUs: 4}} // a controller of a newer version has allotted the limit
	if _, _, _, ok := controller.reserveTeamUse("n0", claim, oneOfTwoTasks()); ok {
		t.Fatal("a controller without allotments was permitted to start a task")
	}
	controller.view.Team("t").Record.ByShard = map[string]protocol.Resources{"n0": {CPUs: 4}}
	controller.view.Revision = 8 // the view is complete up to revision 8, that of the usage record, and the claim of wk-1 still has one placed task
	if _, ops, _, ok := controller.reserveTeamUse("n0", claim, oneOfTwoTasks()); !ok || ops[0].Value.(*records.TeamUsage).ByShard["n0"].CPUs != 4 {
		t.Fatalf("the claims use 2 of 4 CPUs, and a start of 2 more gave %v", ops)
	}
}

// The commit of a task's start is conditional on the team's limit and, if the team has a
// guarantee, on its reservations, at the versions that this controller has read; the commit
// of an end is conditional on the limit alone. The condition on the limit prevents a start
// beyond a limit that has just been lowered, the one on the reservations a start that was
// decided just before a reservation.
func TestStartsDependOnLimitAndReservations(t *testing.T) {
	controller := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: map[string]protocol.Team{"t": {Name: "t", GuaranteedCPUs: 2, MaxCPUs: 8}}}, Policy: policy.Policy{Allotments: true}})
	controller.view.Quota.ApplyLimit("t", &records.TeamLimit{Generation: 1, Max: protocol.Resources{CPUs: 8}, Base: map[string]protocol.Resources{"n0": {CPUs: 4}, "*": {CPUs: 4}}}, 11)
	controller.view.Quota.ApplyReservations("t", &records.Reservations{}, 12)
	claim := &replica.Claim{Key: records.ClaimKey("wk-1", 0), JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 2}}
	next := func(tasks int) *records.Claim {
		record := &records.Claim{Shard: "n0", TaskCount: 4}
		for i := range tasks {
			record.Placements = append(record.Placements, records.Placement{Task: i, Attempt: 1, Host: "vm-1"})
		}
		return record
	}
	compares, ops, _, ok := controller.reserveTeamUse("n0", claim, next(2))
	want := []kv.Compare{{Key: records.ReservationPrefix + "t", Version: 12}, {Key: records.TeamLimitPrefix + "t", Version: 11}}
	if !ok || len(ops) != 0 || !slices.Equal(compares, want) {
		t.Fatal(compares, ops, ok)
	}
	if _, _, _, ok = controller.reserveTeamUse("n0", claim, next(3)); ok {
		t.Fatal("a start of 6 CPUs was permitted within an allotment of 4")
	}
	claim.Record = next(2)
	if compares, _, _, ok = controller.reserveTeamUse("n0", claim, next(1)); !ok || !slices.Equal(compares, want[1:]) {
		t.Fatal("conditions of an end:", compares, ok)
	}
	controller.view.OrphanClaims["wk-9"] = map[string]*replica.Claim{"c/wk-9/0": {Key: "c/wk-9/0", Record: next(1)}}
	if _, _, _, ok = controller.reserveTeamUse("n0", &replica.Claim{Key: "c/wk-2/0", JobID: "wk-2", Spec: claim.Spec}, next(1)); ok {
		t.Fatal("a start was permitted while the size of another claim is unknown")
	}
}
