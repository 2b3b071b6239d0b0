package quota

import (
	"slices"
	"testing"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A limit must not be divided while more than the limit is in use, and a division has to
// give each holder at least its current use.
func TestDivideKeepsWhatIsUsed(t *testing.T) {
	usage := func(holder string) Resources {
		return map[string]Resources{"n0": cpus(6), CrossShard: cpus(2)}[holder]
	}
	base, ok := Divide(cpus(40), []string{"n0", "n1"}, usage, cpus(8))
	if !ok || base["n0"] != cpus(14) || base["n1"] != cpus(8) || base[CrossShard] != cpus(18) {
		t.Fatal(base, ok)
	}
	if base, ok = Divide(cpus(12), []string{"n0", "n1"}, usage, cpus(8)); !ok || base[CrossShard] != cpus(6) {
		t.Fatal("a small limit was split into shares smaller than the initial share:", base, ok)
	}
	if _, ok = Divide(cpus(7), []string{"n0", "n1"}, usage, cpus(8)); ok {
		t.Fatal("divided although more than the limit is in use")
	}
}

// limitedTeam is a test cluster with the shards n0 and n1, where several controllers divide
// the limit of team "t" through a common store.
type limitedTeam struct {
	t           *testing.T
	store       *fakeStore
	use         map[string]Resources // use of the team, by holder
	legacyUsage map[string]Resources // content of the TeamUsage record, which older versions read
}

// newController returns the manager of a controller whose settings limit the team to a number
// of CPUs.
func (l *limitedTeam) newController(limit float64, allotmentsEnabled bool) *Manager {
	return New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: limit}}, allotmentsEnabled, func(_, holder string) Resources { return l.use[holder] })
}

func (l *limitedTeam) clusterState(isLeader bool) ClusterState {
	clusterState := ClusterState{Revision: l.store.revision, Complete: true, IsLeader: isLeader, Holders: []string{"n0", "n1"}, InitialShare: cpus(8), LeaderCompare: kv.Compare{Key: records.LeaderKey},
		TeamUsageVersion: func(string) uint64 { return l.store.versions[records.TeamUsagePrefix+"t"] }, TeamUsage: func(string) map[string]Resources { return l.use }}
	for _, m := range l.store.managers {
		member := Member{}
		member.QuotaVersion, member.TeamsHash = m.Advertised()
		clusterState.Members = append(clusterState.Members, member)
	}
	return clusterState
}

// expectChanges commits the steps of LimitChanges that are due at a controller, and checks their
// descriptions.
func (l *limitedTeam) expectChanges(m *Manager, isLeader bool, want ...string) {
	l.t.Helper()
	var got []string
	for _, change := range m.LimitChanges(l.clusterState(isLeader)) {
		got = append(got, change.Description)
		for _, op := range change.Ops {
			if usage, isUsage := op.Value.(*records.TeamUsage); isUsage {
				l.legacyUsage = usage.ByShard
			}
		}
		l.store.commit(change.Compares, change.Ops)
		m.FinishChange(change)
	}
	if !slices.Equal(got, want) {
		l.t.Fatalf("changes of the limit: got %v, want %v", got, want)
	}
}

// A limit must not be exceeded in any of its states: divided at first; lowered below the
// current use by a controller with a lower limit in its settings, and divided again only
// once enough tasks have ended; raised once all settings agree; counted in the TeamUsage
// record again once a controller with allotments disabled is live.
func TestLimitIsDividedLoweredRaisedAndClosed(t *testing.T) {
	l := &limitedTeam{t: t, use: make(map[string]Resources), legacyUsage: make(map[string]Resources)}
	leader := l.newController(40, true)
	l.store = &fakeStore{managers: []*Manager{leader}, versions: make(map[string]uint64)}
	l.expectChanges(leader, true, "to be divided")
	if l.legacyUsage["*"] != cpus(40) {
		t.Fatal("older versions could start tasks within the limit:", l.legacyUsage)
	}
	l.store.revision-- // the leader has not applied the latest commit yet
	l.expectChanges(leader, true)
	l.store.revision++
	if leader.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("tasks may start while the use is being counted")
	}
	l.expectChanges(leader, true, "divided")
	l.expectChanges(leader, true)
	if leader.Allowance("t", "n0", cpus(2)) != 5 || leader.Allowance("t", CrossShard, cpus(2)) != 10 {
		t.Fatal(leader.Grant("t", "n0"), leader.Grant("t", CrossShard))
	}
	l.use["n0"] = cpus(10)

	lowLimit := l.newController(6, true)
	lowLimit.ApplyLimit("t", &leader.teams["t"].limit, leader.teams["t"].limitVersion)
	l.store.managers = append(l.store.managers, lowLimit)
	if lowLimit.Allowance("t", "n1", cpus(2)) != 0 {
		t.Fatal("a controller with a lower limit may start tasks within the higher limit")
	}
	l.expectChanges(leader, true)
	l.expectChanges(lowLimit, false, "lowered")
	if leader.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("tasks may start after the limit was lowered below its use")
	}
	l.expectChanges(leader, true) // 10 CPUs are in use, more than the limit of 6
	l.use["n0"] = cpus(4)
	l.expectChanges(leader, true, "divided")
	if got := leader.Allowance("t", CrossShard, cpus(2)) + leader.Allowance("t", "n0", cpus(2)) + leader.Allowance("t", "n1", cpus(2)); got != 1 {
		t.Fatalf("%d tasks may start with 4 of 6 CPUs in use", got)
	}
	l.store.managers = l.store.managers[:1] // the controller with the lower limit has ended
	l.expectChanges(leader, true, "raised")
	l.expectChanges(leader, true, "divided")

	disabled := l.newController(40, false)
	l.store.managers = append(l.store.managers, disabled)
	l.expectChanges(leader, true, "to be counted in one record again")
	l.expectChanges(leader, true, "counted in one record again")
	if leader.IsAllotted("t") || l.legacyUsage["*"] != (Resources{}) || l.legacyUsage["n0"] != cpus(4) {
		t.Fatal("the limit is still allotted, or the TeamUsage record does not show the use:", l.legacyUsage)
	}
}
