package quota

import (
	"slices"
	"testing"

	"madderslip/internal/protocol"
)

// fakeUsage is what is placed, as the owner of the only shard knows it.
type fakeUsage struct {
	inUse         map[string]Resources // by team
	beingPlaced   map[string]Resources // of that, by team
	placedBy      map[string]Resources // by claim
	taskUse       map[string]Resources // by task
	token         uint64
	holdsCapacity bool
}

func (u fakeUsage) InUse(team string) Resources       { return u.inUse[team] }
func (u fakeUsage) Committed(team string) Resources   { return u.inUse[team].Minus(u.beingPlaced[team]) }
func (u fakeUsage) PlacedBy(claim string) Resources   { return u.placedBy[claim] }
func (u fakeUsage) TaskUse(task string) Resources     { return u.taskUse[task] }
func (u fakeUsage) OwnerToken(string) uint64          { return u.token }
func (u fakeUsage) HoldsCapacity(string, string) bool { return u.holdsCapacity }

// guaranteedTeams is a team "due" with a guarantee of 8 CPUs of which it uses 2, a team
// "lend" that uses 12 with a guarantee of 4, and a team "poor" without one.
func guaranteedTeams() (*Manager, *fakeStore, fakeUsage) {
	m := New(map[string]protocol.Team{"due": {GuaranteedCPUs: 8}, "lend": {GuaranteedCPUs: 4}, "poor": {}}, true, nil)
	usage := fakeUsage{inUse: map[string]Resources{"due": cpus(2), "lend": cpus(12)}, taskUse: map[string]Resources{"x": cpus(4)}, token: 7, holdsCapacity: true}
	return m, &fakeStore{managers: []*Manager{m}, versions: make(map[string]uint64)}, usage
}

// reserve4 reserves 4 CPUs for a claim of team "due" and preempts the 4 CPUs of task "x".
var reserve4 = ReservationRequest{Team: "due", ClaimKey: "wk-1", Shard: "n0", FencingToken: 7, Use: cpus(4), Victims: map[string][]string{"lend": {"x"}}}

// What is placed and what is reserved counts against a guarantee, and a reservation is made
// once.
func TestReservationsCountAgainstTheGuarantee(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if got := m.Standing("due", "", usage).Entitled(cpus(2)); got != 3 {
		t.Fatalf("entitled to %d tasks of 8 CPUs with 2 used", got)
	}
	if got := m.Standing("due", "", usage).Entitled(Resources{CPUs: 1, GPUs: 1}); got != 0 {
		t.Fatal("a guarantee of CPUs claims GPUs:", got)
	}
	compares, ops := m.Reserve(reserve4)
	if !store.commit(compares, ops) || store.commit(compares, ops) {
		t.Fatal("the same reservation was made twice, or not at all")
	}
	if got := m.Standing("due", "", usage).Entitled(cpus(2)); got != 1 {
		t.Fatalf("entitled to %d with 2 used and 4 reserved", got)
	}
}

// A team's surplus is what it uses beyond its guarantee, without what is leaving and what is
// only being placed.
func TestSurplusExcludesPreemptedAndUncommittedTasks(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("not reserved")
	}
	if got := m.Standing("lend", "", usage).Surplus(cpus(1)); got != 4 {
		t.Fatalf("surplus %v of 12 with 4 leaving and 4 guaranteed", got)
	}
	if got := m.Standing("poor", "", fakeUsage{inUse: map[string]Resources{"poor": cpus(5)}}).Surplus(cpus(1)); got != 5 {
		t.Fatal("the surplus of a team without a guarantee is all that it uses, not", got)
	}
	usage.beingPlaced = map[string]Resources{"lend": cpus(2)}
	if got := m.Standing("lend", "", usage).Surplus(cpus(1)); got != 2 {
		t.Fatal("what is only being placed counts as surplus:", got)
	}
}

// No team loses so much that it has less than its guarantee, and a task that has nothing of
// the claimed resource stays.
func TestPreemptorLeavesTeamsTheirGuarantee(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("not reserved")
	}
	budget := Preemptor{ClaimedTask: cpus(2), StandingOf: func(team string) Standing { return m.Standing(team, "", usage) }}
	if !budget.MayPreempt("lend", cpus(4), Resources{}) || budget.MayPreempt("lend", cpus(4), cpus(2)) || budget.MayPreempt("lend", Resources{GPUs: 1}, Resources{}) {
		t.Fatal("what may be preempted")
	}
	if budget.RecordPreemption("lend", cpus(4)); budget.MayPreempt("lend", cpus(1), Resources{}) {
		t.Fatal("the team is left with less than its guarantee")
	}
}

// A reservation stays until it is placed, its owner is replaced or its capacity is no
// longer kept; released, it is gone at all teams.
func TestReservationsExpireAndAreReleasedEverywhere(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("not reserved")
	}
	if expired := m.ExpiredReservations(usage); len(expired) != 0 {
		t.Fatal("released too early:", expired)
	}
	for _, test := range []struct {
		name  string
		usage fakeUsage
	}{
		{"placed", fakeUsage{placedBy: map[string]Resources{"wk-1": cpus(4)}, token: 7, holdsCapacity: true}},
		{"of an earlier owner", fakeUsage{token: 9, holdsCapacity: true}},
		{"capacity not kept", fakeUsage{token: 7}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if expired := m.ExpiredReservations(test.usage); !slices.Equal(expired, []string{"wk-1"}) {
				t.Error(expired)
			}
		})
	}
	if !store.commit(m.Release([]string{"wk-1"})) || len(m.teams["lend"].reservations.Preempted) > 0 || m.HasReservation("due", "wk-1") {
		t.Fatal("still reserved")
	}
}
