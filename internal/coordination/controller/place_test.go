package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

func roomsFor(t *protocol.MachineType, free ...float64) []*room {
	var rooms []*room
	for i, cpus := range free {
		zone := []string{"a", "b"}[i%2]
		rooms = append(rooms, &room{host: fmt.Sprint("vm-", i), typ: t.Name, zone: zone, total: t, cpus: cpus, mem: t.MemoryGB, usable: true, detailed: true})
	}
	return rooms
}

// A gang's reservation covers all of its machines, in one zone if it must: one
// machine held while arrays took the others never let it start.
func TestReserveHoldsAllOfAGang(t *testing.T) {
	now := time.Now()
	typ := &protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}
	rooms := roomsFor(typ, 8, 0, 0, 8, 0, 0)
	short := &protocol.Submission{CPUs: 8, Shape: protocol.ShapeArray}
	for i, after := range []time.Duration{0, 9, 30, 0, 20, 10} {
		if rooms[i].cpus == 0 {
			rooms[i].ends = []replica.Release{{At: now.Add(after * time.Second), Spec: short}}
		}
	}
	gang := &protocol.Submission{Shape: protocol.ShapeGang, Tasks: 3, CPUs: 8, SameZone: true}
	z := newZoneRule(gang, nil)
	held, start := reserve(gang, "wk-1", rooms, &z, 3, now)
	var hosts []string
	for _, r := range held {
		hosts = append(hosts, r.host)
	}
	slices.Sort(hosts)
	// Zone b has a free machine, one free in 9 s and one in 10 s; zone a needs 30.
	if !slices.Equal(hosts, []string{"vm-1", "vm-3", "vm-5"}) || !start.Equal(now.Add(10*time.Second)) {
		t.Fatalf("held %v from %v on", hosts, start.Sub(now))
	}
	if choose(short, "wk-2", rooms, &zoneRule{}, 30*time.Second, now) != 0 {
		t.Fatal("a long task must go beside the reservation")
	}
}

// A plan to displace is for all of a gang's tasks or for none.
func TestDisplaceForPlansWhole(t *testing.T) {
	now := time.Now()
	typ := &protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}
	array := &protocol.Submission{Shape: protocol.ShapeArray, CPUs: 8, PriorityClass: "normal"}
	service := &protocol.Submission{Shape: protocol.ShapeService, CPUs: 8, PriorityClass: "critical"}
	rooms := roomsFor(typ, 0, 0, 8)
	for i, s := range []*protocol.Submission{array, service} {
		rooms[i].victims = []replica.Victim{{Claim: &replica.Claim{Spec: s, Key: fmt.Sprint(i)}, StartedAt: now.Add(-time.Minute)}}
	}
	gang := &protocol.Submission{Shape: protocol.ShapeGang, CPUs: 8, PriorityClass: "high"}
	may := new(Controller).byRank(gang)
	z := newZoneRule(gang, nil)
	if plan := displaceFor(gang, "wk-1", rooms, &z, 3, may, now); plan != nil {
		t.Fatalf("planned %v although a service is in the way", plan)
	}
	plan := displaceFor(gang, "wk-1", rooms, &z, 2, may, now)
	if len(plan) != 2 || len(plan[0].victims)+len(plan[1].victims) != 1 {
		t.Fatalf("planned %v", plan)
	}
	if rooms[0].cpus != 0 || len(rooms[0].victims) != 1 || rooms[2].cpus != 8 {
		t.Fatal("the plan changed the rooms")
	}
}

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
	if _, _, _, ok := n.reserveTeam("n0", c, one()); ok {
		t.Fatal("the team has 4 of 4 CPUs by its record and was given 2 more")
	}
	n.view.Team("t").Record.ByShard = map[string]protocol.Resources{"*": {CPUs: 4}} // the limit is allotted by newer sources
	if _, _, _, ok := n.reserveTeam("n0", c, one()); ok {
		t.Fatal("sources that know no allotments started something")
	}
	n.view.Team("t").Record.ByShard = map[string]protocol.Resources{"n0": {CPUs: 4}}
	n.view.Revision = 8 // all up to the record has been seen: the claim was in truth not changed
	if _, ops, _, ok := n.reserveTeam("n0", c, one()); !ok || ops[0].Value.(*records.TeamUsage).ByShard["n0"].CPUs != 4 {
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
	conds, ops, _, ok := n.reserveTeam("n0", c, next(2))
	want := []kv.Compare{{Key: records.ReservationPrefix + "t", Version: 12}, {Key: records.TeamLimitPrefix + "t", Version: 11}}
	if !ok || len(ops) != 0 || !slices.Equal(conds, want) {
		t.Fatal(conds, ops, ok)
	}
	if _, _, _, ok = n.reserveTeam("n0", c, next(3)); ok {
		t.Fatal("6 CPUs were started within an allotment of 4")
	}
	c.Record = next(2)
	if conds, _, _, ok = n.reserveTeam("n0", c, next(1)); !ok || !slices.Equal(conds, want[1:]) {
		t.Fatal("an end:", conds, ok)
	}
	n.view.OrphanClaims["wk-9"] = map[string]*replica.Claim{"c/wk-9/0": {Key: "c/wk-9/0", Record: next(1)}}
	if _, _, _, ok = n.reserveTeam("n0", &replica.Claim{Key: "c/wk-2/0", JobID: "wk-2", Spec: c.Spec}, next(1)); ok {
		t.Fatal("started beside a claim whose size nobody knows")
	}
}
