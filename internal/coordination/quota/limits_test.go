package quota

import (
	"slices"
	"testing"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A limit is divided only if what is used fits it; each holder keeps what it uses.
func TestDivideKeepsWhatIsUsed(t *testing.T) {
	usage := func(holder string) Resources {
		return map[string]Resources{"n0": cpus(6), CrossShard: cpus(2)}[holder]
	}
	base, ok := Divide(cpus(40), []string{"n0", "n1"}, usage, cpus(8))
	if !ok || base["n0"] != cpus(14) || base["n1"] != cpus(8) || base[CrossShard] != cpus(18) {
		t.Fatal(base, ok)
	}
	if base, ok = Divide(cpus(12), []string{"n0", "n1"}, usage, cpus(8)); !ok || base[CrossShard] != cpus(6) {
		t.Fatal("a small limit is not split into parts that hold no task:", base, ok)
	}
	if _, ok = Divide(cpus(7), []string{"n0", "n1"}, usage, cpus(8)); ok {
		t.Fatal("divided although more is used")
	}
}

// limitedTeam is team "t" on controllers that share a store. Its shards are n0 and n1.
type limitedTeam struct {
	t           *testing.T
	store       *fakeStore
	use         map[string]Resources // by holder
	legacyUsage map[string]Resources // by the TeamUsage record, which older versions read
}

// newController is a newController whose settings limit the team to so many CPUs.
func (l *limitedTeam) newController(limit float64, allotmentsEnabled bool) *Manager {
	return New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: limit}}, allotmentsEnabled, func(_, holder string) Resources { return l.use[holder] })
}

func (l *limitedTeam) clusterState(isLeader bool) ClusterState {
	state := ClusterState{Revision: l.store.revision, Complete: true, IsLeader: isLeader, Holders: []string{"n0", "n1"}, InitialShare: cpus(8), LeaderCompare: kv.Compare{Key: records.LeaderKey},
		TeamUsageVersion: func(string) uint64 { return l.store.versions[records.TeamUsagePrefix+"t"] }, TeamUsage: func(string) map[string]Resources { return l.use }}
	for _, m := range l.store.managers {
		member := Member{}
		member.QuotaVersion, member.TeamsHash = m.Advertised()
		state.Members = append(state.Members, member)
	}
	return state
}

// expectChanges commits what a controller finds due and checks what that is.
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
		l.t.Fatalf("%v, wanted %v", got, want)
	}
}

// The life of a limit: divided, lowered below its use by a controller with a lower one in
// its settings, not used again before enough has ended, raised once all agree, and back in
// one record once a controller without allotments is live.
func TestLimitIsDividedLoweredRaisedAndClosed(t *testing.T) {
	l := &limitedTeam{t: t, use: make(map[string]Resources), legacyUsage: make(map[string]Resources)}
	leader := l.newController(40, true)
	l.store = &fakeStore{managers: []*Manager{leader}, versions: make(map[string]uint64)}
	l.expectChanges(leader, true, "to be divided")
	if l.legacyUsage["*"] != cpus(40) {
		t.Fatal("older versions find capacity within the limit:", l.legacyUsage)
	}
	l.store.revision-- // the leader lacks what was committed just before
	l.expectChanges(leader, true)
	l.store.revision++
	if leader.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("something may start while the use is counted")
	}
	l.expectChanges(leader, true, "divided")
	l.expectChanges(leader, true)
	if leader.Allowance("t", "n0", cpus(2)) != 5 || leader.Allowance("t", CrossShard, cpus(2)) != 10 {
		t.Fatal(leader.Grant("t", "n0"), leader.Grant("t", CrossShard))
	}
	l.use["n0"] = cpus(10)

	lower := l.newController(6, true)
	lower.ApplyLimit("t", &leader.teams["t"].limit, leader.teams["t"].limitVersion)
	l.store.managers = append(l.store.managers, lower)
	if lower.Allowance("t", "n1", cpus(2)) != 0 {
		t.Fatal("a controller with a lower limit starts within the higher one")
	}
	l.expectChanges(leader, true)
	l.expectChanges(lower, false, "lowered")
	if leader.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("started from the record's revision on")
	}
	l.expectChanges(leader, true) // 10 are used of 6
	l.use["n0"] = cpus(4)
	l.expectChanges(leader, true, "divided")
	if got := leader.Allowance("t", CrossShard, cpus(2)) + leader.Allowance("t", "n0", cpus(2)) + leader.Allowance("t", "n1", cpus(2)); got != 1 {
		t.Fatalf("%d may start of 6 with 4 used", got)
	}
	l.store.managers = l.store.managers[:1] // the other has ended
	l.expectChanges(leader, true, "raised")
	l.expectChanges(leader, true, "divided")

	disabled := l.newController(40, false)
	l.store.managers = append(l.store.managers, disabled)
	l.expectChanges(leader, true, "to be counted in one record again")
	l.expectChanges(leader, true, "counted in one record again")
	if leader.IsAllotted("t") || l.legacyUsage["*"] != (Resources{}) || l.legacyUsage["n0"] != cpus(4) {
		t.Fatal("still allotted, or older versions do not find what is used:", l.legacyUsage)
	}
}
