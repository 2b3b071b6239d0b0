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
	n := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: team}})
	spec := func(ref string) *protocol.Submission {
		return &protocol.Submission{JobID: ref, Team: "t", Shape: protocol.ShapeArray, Tasks: 2, CPUs: 2}
	}
	one := func() *records.Claim {
		return &records.Claim{Shard: "n0", TaskCount: 2, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}}
	}
	n.view.Revision = 5
	n.view.ApplyJob("wk-1", &records.Job{Spec: spec("wk-1"), ChunkSize: 2}, 3)
	n.view.ApplyClaim(records.ClaimKey("wk-1", 0), one(), 5) // its second task is placed at 8
	n.view.Team("t").Record, n.view.Team("t").Version = records.TeamUsage{ByShard: map[string]protocol.Resources{"n0": {CPUs: 4}}}, 8
	c := &replica.Claim{Key: records.ClaimKey("wk-2", 0), JobID: "wk-2", Spec: spec("wk-2")}
	if _, _, _, ok := n.reserveTeamUse("n0", c, one()); ok {
		t.Fatal("the team has 4 of 4 CPUs by its record and was given 2 more")
	}
	n.view.Team("t").Record.ByShard = map[string]protocol.Resources{"*": {CPUs: 4}} // the limit is allotted by newer sources
	if _, _, _, ok := n.reserveTeamUse("n0", c, one()); ok {
		t.Fatal("sources that know no allotments started something")
	}
	n.view.Team("t").Record.ByShard = map[string]protocol.Resources{"n0": {CPUs: 4}}
	n.view.Revision = 8 // all up to the record has been seen: the claim was in truth not changed
	if _, ops, _, ok := n.reserveTeamUse("n0", c, one()); !ok || ops[0].Value.(*records.TeamUsage).ByShard["n0"].CPUs != 4 {
		t.Fatalf("the sum of all claims is 2 of 4 CPUs, and 2 more gave %v", ops)
	}
}

// A start of a team is conditional on its limit, and on its bookings if it has a
// guarantee, as this controller knows them; an end on its limit alone. Without the
// first a start passed a limit that had just been lowered, without the second one
// decided a moment before a booking was not seen by it.
func TestStartsDependOnLimitAndBookings(t *testing.T) {
	n := New(Options{Settings: protocol.Settings{NodeName: "n0", Teams: map[string]protocol.Team{"t": {Name: "t", GuaranteedCPUs: 2, MaxCPUs: 8}}}, Policy: policy.Policy{Allotments: true}})
	n.view.Quota.ApplyLimit("t", &records.TeamLimit{Generation: 1, Max: protocol.Resources{CPUs: 8}, Base: map[string]protocol.Resources{"n0": {CPUs: 4}, "*": {CPUs: 4}}}, 11)
	n.view.Quota.ApplyReservations("t", &records.Reservations{}, 12)
	c := &replica.Claim{Key: records.ClaimKey("wk-1", 0), JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", Shape: protocol.ShapeArray, Tasks: 4, CPUs: 2}}
	next := func(tasks int) *records.Claim {
		r := &records.Claim{Shard: "n0", TaskCount: 4}
		for i := range tasks {
			r.Placements = append(r.Placements, records.Placement{Task: i, Attempt: 1, Host: "vm-1"})
		}
		return r
	}
	conds, ops, _, ok := n.reserveTeamUse("n0", c, next(2))
	want := []kv.Compare{{Key: records.ReservationPrefix + "t", Version: 12}, {Key: records.TeamLimitPrefix + "t", Version: 11}}
	if !ok || len(ops) != 0 || !slices.Equal(conds, want) {
		t.Fatal(conds, ops, ok)
	}
	if _, _, _, ok = n.reserveTeamUse("n0", c, next(3)); ok {
		t.Fatal("6 CPUs were started within an allotment of 4")
	}
	c.Record = next(2)
	if conds, _, _, ok = n.reserveTeamUse("n0", c, next(1)); !ok || !slices.Equal(conds, want[1:]) {
		t.Fatal("an end:", conds, ok)
	}
	n.view.OrphanClaims["wk-9"] = map[string]*replica.Claim{"c/wk-9/0": {Key: "c/wk-9/0", Record: next(1)}}
	if _, _, _, ok = n.reserveTeamUse("n0", &replica.Claim{Key: "c/wk-2/0", JobID: "wk-2", Spec: c.Spec}, next(1)); ok {
		t.Fatal("started beside a claim whose size nobody knows")
	}
}
