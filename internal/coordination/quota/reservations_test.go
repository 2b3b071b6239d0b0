package quota

import (
	"slices"
	"testing"

	"madderslip/internal/protocol"
)

// fakeUsage implements Usage for the owner of the only shard.
type fakeUsage struct {
	inUse         map[string]Resources // use by team
	beingPlaced   map[string]Resources // by team; the part of inUse whose placement is not committed yet
	placedBy      map[string]Resources // use of the placements of a claim, by claim
	taskUse       map[string]Resources // use of placed tasks, by task
	token         uint64
	holdsCapacity bool
}

func (u fakeUsage) InUse(team string) Resources       { return u.inUse[team] }
func (u fakeUsage) Committed(team string) Resources   { return u.inUse[team].Minus(u.beingPlaced[team]) }
func (u fakeUsage) PlacedBy(claim string) Resources   { return u.placedBy[claim] }
func (u fakeUsage) TaskUse(task string) Resources     { return u.taskUse[task] }
func (u fakeUsage) OwnerToken(string) uint64          { return u.token }
func (u fakeUsage) HoldsCapacity(string, string) bool { return u.holdsCapacity }

// guaranteedTeams returns a manager, its store and the use of three teams: "due" uses 2 of 8
// guaranteed CPUs, "lend" uses 12 CPUs with a guarantee of 4, and "poor" has no guarantee.
func guaranteedTeams() (*Manager, *fakeStore, fakeUsage) {
	m := New(map[string]protocol.Team{"due": {GuaranteedCPUs: 8}, "lend": {GuaranteedCPUs: 4}, "poor": {}}, true, nil)
	usage := fakeUsage{inUse: map[string]Resources{"due": cpus(2), "lend": cpus(12)}, taskUse: map[string]Resources{"x": cpus(4)}, token: 7, holdsCapacity: true}
	return m, &fakeStore{managers: []*Manager{m}, versions: make(map[string]uint64)}, usage
}

// reserve4 reserves 4 CPUs for a claim of team "due" and preempts the 4 CPUs of task "x".
var reserve4 = ReservationRequest{Team: "due", ClaimKey: "wk-1", Shard: "n0", FencingToken: 7, Use: cpus(4), Victims: map[string][]string{"lend": {"x"}}}

// Placed tasks and reservations must both count against a guarantee, and the same
// reservation must not be committed twice.
func TestReservationsCountAgainstTheGuarantee(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if got := m.GuaranteeStatus("due", "", usage).EntitledTasks(cpus(2)); got != 3 {
		t.Fatalf("entitled to %d tasks with 2 of 8 guaranteed CPUs in use", got)
	}
	if got := m.GuaranteeStatus("due", "", usage).EntitledTasks(Resources{CPUs: 1, GPUs: 1}); got != 0 {
		t.Fatal("a guarantee of CPUs covers tasks with GPUs:", got)
	}
	compares, ops := m.Reserve(reserve4)
	if !store.commit(compares, ops) || store.commit(compares, ops) {
		t.Fatal("the reservation was committed twice, or not at all")
	}
	if got := m.GuaranteeStatus("due", "", usage).EntitledTasks(cpus(2)); got != 1 {
		t.Fatalf("entitled to %d tasks with 2 CPUs in use and 4 reserved", got)
	}
}

// A team's surplus is its use beyond its guarantee. It must not include tasks that are being
// preempted or placements that are still being committed: the team would lose tasks within
// its guarantee.
func TestSurplusExcludesPreemptedAndUncommittedTasks(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("reservation not committed")
	}
	if got := m.GuaranteeStatus("lend", "", usage).Surplus(cpus(1)); got != 4 {
		t.Fatalf("surplus %v with 12 CPUs in use, 4 of them being preempted, and 4 guaranteed", got)
	}
	if got := m.GuaranteeStatus("poor", "", fakeUsage{inUse: map[string]Resources{"poor": cpus(5)}}).Surplus(cpus(1)); got != 5 {
		t.Fatal("the surplus of a team without a guarantee has to be all of its use, got", got)
	}
	usage.beingPlaced = map[string]Resources{"lend": cpus(2)}
	if got := m.GuaranteeStatus("lend", "", usage).Surplus(cpus(1)); got != 2 {
		t.Fatal("uncommitted placements count as surplus:", got)
	}
}

// Preemptions must not leave a team with less than its guarantee, and a task that uses
// nothing of the claimed resource must not be preempted.
func TestPreemptionBudgetLeavesTeamsTheirGuarantee(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("reservation not committed")
	}
	budget := PreemptionBudget{ClaimedTask: cpus(2), StatusOf: func(team string) GuaranteeStatus { return m.GuaranteeStatus(team, "", usage) }}
	if !budget.MayPreempt("lend", cpus(4), Resources{}) || budget.MayPreempt("lend", cpus(4), cpus(2)) || budget.MayPreempt("lend", Resources{GPUs: 1}, Resources{}) {
		t.Fatal("a task may be preempted within the guarantee or without the claimed resource, or no task may be")
	}
	if budget.RecordPreemption("lend", cpus(4)); budget.MayPreempt("lend", cpus(1), Resources{}) {
		t.Fatal("the team is left with less than its guarantee")
	}
}

// A reservation may be released only once its tasks are placed, its shard has another owner,
// or its capacity is no longer kept free. A release has to remove the reservation from
// the records of all teams.
func TestReservationsExpireAndAreReleasedEverywhere(t *testing.T) {
	m, store, usage := guaranteedTeams()
	if !store.commit(m.Reserve(reserve4)) {
		t.Fatal("reservation not committed")
	}
	if expired := m.ExpiredReservations(usage); len(expired) != 0 {
		t.Fatal("expired too early:", expired)
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
		t.Fatal("reservation or preemption still recorded")
	}
}
