package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

func cpus(k float64) Resources { return Resources{CPUs: k} }

func want(ref string, born int64, head, total float64) *Demand {
	return &Demand{JobID: ref, AcceptedAtMs: born, Head: cpus(head), PerTask: cpus(2), Total: cpus(total), AllOrNothing: head > 2}
}

// What nobody wants goes to who could use it, and no more than that.
func TestShareGivesWhatIsUnused(t *testing.T) {
	got := Rebalance(cpus(20), []Holder{
		{Name: "*", Grant: cpus(12)},
		{Name: "n0", Grant: cpus(4), Use: cpus(4), Demand: want("wk-1", 1, 2, 6)},
		{Name: "n1", Grant: cpus(4), Use: cpus(1)},
	})
	if len(got) != 1 || got[0] != (Transfer{"*", "n0", cpus(6)}) {
		t.Fatal(got)
	}
}

// Two holders that both have work keep what they have: nothing goes to and fro. Only
// a job that starves is served from younger work's part.
func TestShareLeavesOthersWorkAlone(t *testing.T) {
	old, young := want("wk-1", 1, 2, 10), want("wk-2", 2, 2, 10)
	holders := []Holder{{Name: "n0", Grant: cpus(0), Demand: old}, {Name: "n1", Grant: cpus(4), Demand: young}}
	if got := Rebalance(cpus(4), holders); len(got) != 0 {
		t.Fatal("took from work that could start at once:", got)
	}
	old.Waited = StarvationThreshold
	if got := Rebalance(cpus(4), holders); len(got) != 1 || got[0].From != "n1" || got[0].Amount != cpus(2) {
		t.Fatal("the older job starves on:", got)
	}
	old.Waited, young.Waited = 0, StarvationThreshold
	if got := Rebalance(cpus(4), []Holder{{Name: "n0", Grant: cpus(4), Demand: old}, {Name: "n1", Demand: young}}); len(got) != 0 {
		t.Fatal("older work gave way to younger:", got)
	}
}

// Two gangs that each need the whole limit, and hold half of it: the first in order
// gets all, whoever decides; copies of one gang likewise.
func TestShareTwoWholeGangs(t *testing.T) {
	for _, refs := range [][2]string{{"wk-1", "wk-2"}, {"wk-1", "wk-1"}} {
		a, b := want(refs[0], 1, 8, 8), want(refs[1], 1, 8, 8)
		a.Waited, b.Waited = StarvationThreshold, StarvationThreshold
		got := Rebalance(cpus(8), []Holder{{Name: "n0", Grant: cpus(4), Demand: a}, {Name: "n1", Grant: cpus(4), Demand: b}})
		if len(got) != 1 || got[0] != (Transfer{"n1", "n0", cpus(4)}) {
			t.Fatal(refs, got)
		}
	}
}

// What a job asks for ahead of its room is served from idle parts alone.
func TestShareAheadComesLast(t *testing.T) {
	ahead := want("wk-1", 1, 8, 8)
	ahead.Anticipated, ahead.Waited = true, time.Hour
	got := Rebalance(cpus(12), []Holder{
		{Name: "n0", Demand: ahead},
		{Name: "n1", Grant: cpus(8), Demand: want("wk-2", 2, 2, 4)},
		{Name: "n2", Grant: cpus(4)},
	})
	if len(got) != 0 {
		t.Fatal("took what others could use, for room that is not there:", got)
	}
}

// Whatever is wanted: no holder gives what it uses, or more than it has; the sum
// stays; and if anything is left that the first job could use, it is served.
func TestShareKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holders []Holder
		limit, use := 0.0, 0.0
		for i := range rapid.IntRange(2, 7).Draw(t, "holders") {
			h := Holder{Name: fmt.Sprint("n", i), Grant: cpus(float64(rapid.IntRange(0, 20).Draw(t, "grant")))}
			h.Use = cpus(float64(rapid.IntRange(0, int(h.Grant.CPUs)).Draw(t, "use")))
			if rapid.Bool().Draw(t, "wants") {
				head := float64(rapid.IntRange(1, 12).Draw(t, "head"))
				h.Demand = &Demand{JobID: fmt.Sprint("wk-", rapid.IntRange(1, 4).Draw(t, "ref")), Head: cpus(head), PerTask: cpus(1), Total: cpus(head + float64(rapid.IntRange(0, 20).Draw(t, "more"))),
					Waited: time.Duration(rapid.IntRange(0, 6).Draw(t, "waited")) * time.Second, AcceptedAtMs: int64(rapid.IntRange(1, 3).Draw(t, "born"))}
			}
			limit += h.Grant.CPUs
			use += h.Use.CPUs
			holders = append(holders, h)
		}
		gifts := Rebalance(cpus(limit), holders)
		after := make(map[string]float64)
		for _, h := range holders {
			after[h.Name] = h.Grant.CPUs
		}
		for _, g := range gifts {
			if g.Amount.CPUs <= 0 {
				t.Fatal("a gift of nothing", g)
			}
			after[g.From] -= g.Amount.CPUs
			after[g.To] += g.Amount.CPUs
		}
		sum := 0.0
		for _, h := range holders {
			sum += after[h.Name]
			if after[h.Name] < h.Use.CPUs-tolerance {
				t.Fatalf("%s uses %v and keeps %v", h.Name, h.Use, after[h.Name])
			}
		}
		if math.Abs(sum-limit) > tolerance {
			t.Fatalf("%v of %v are left", sum, limit)
		}
		var first *Holder
		for i := range holders {
			if h := &holders[i]; h.Demand != nil && (first == nil || h.before(first) < 0) {
				first = h
			}
		}
		if first != nil && first.isStarving() && first.Demand.Head.CPUs <= limit-use+tolerance && after[first.Name]-first.Use.CPUs < first.Demand.Head.CPUs-tolerance {
			t.Fatalf("%v could have had what it needs of %v unused: %v", first.Demand, limit-use, gifts)
		}
	})
}

// A limit is divided only if what is used fits it; each holder keeps what it uses.
func TestDivide(t *testing.T) {
	uses := func(holder string) Resources { return map[string]Resources{"n0": cpus(6), CrossShard: cpus(2)}[holder] }
	base, ok := Divide(cpus(40), []string{"n0", "n1"}, uses, cpus(8))
	if !ok || base["n0"] != cpus(14) || base["n1"] != cpus(8) || base[CrossShard] != cpus(18) {
		t.Fatal(base, ok)
	}
	if base, ok = Divide(cpus(12), []string{"n0", "n1"}, uses, cpus(8)); !ok || base[CrossShard] != cpus(6) {
		t.Fatal("a small limit is not split into parts that hold no task:", base, ok)
	}
	if _, ok = Divide(cpus(7), []string{"n0", "n1"}, uses, cpus(8)); ok {
		t.Fatal("divided although more is used")
	}
}

// fakeStore is a state service for keepers: each takes what is committed at once.
type fakeStore struct {
	keepers []*Manager
	stamps  map[string]uint64
	epoch   uint64
}

func (r *fakeStore) commit(conds []kv.Compare, ops []kv.Op) bool {
	for _, c := range conds {
		if r.stamps[c.Key] != c.Version {
			return false
		}
	}
	r.epoch++
	for _, op := range ops {
		r.stamps[op.Key] = r.epoch
		for _, k := range r.keepers {
			switch v := op.Value.(type) {
			case *records.TeamLimit:
				k.ApplyLimit(op.Key[len(records.TeamLimitPrefix):], v, r.epoch)
			case *records.Allotment:
				k.ApplyAllotment(op.Key[len(records.AllotmentPrefix):], v, r.epoch)
			case *records.Reservations:
				k.ApplyReservations(op.Key[len(records.ReservationPrefix):], v, r.epoch)
			}
		}
	}
	return true
}

// The life of a limit: divided, lowered below its use by a controller that was given
// less, not used again before enough has ended, and raised once all agree.
func TestLimitChanges(t *testing.T) {
	use := map[string]Resources{}
	uses := func(_, holder string) Resources { return use[holder] }
	with := func(most float64) *Manager {
		return New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: most}}, true, uses)
	}
	a := with(40)
	r := &fakeStore{keepers: []*Manager{a}, stamps: make(map[string]uint64)}
	situation := func(leads bool) ClusterState {
		s := ClusterState{Revision: r.epoch, Complete: true, IsLeader: leads, Holders: []string{"n0", "n1"}, InitialShare: cpus(8), LeaderCompare: kv.Compare{Key: records.LeaderKey},
			TeamUsageVersion: func(string) uint64 { return r.stamps[records.TeamUsagePrefix+"t"] }, TeamUsage: func(string) map[string]Resources { return use }}
		for _, k := range r.keepers {
			m := Member{}
			m.QuotaVersion, m.TeamsHash = k.Advertised()
			s.Members = append(s.Members, m)
		}
		return s
	}
	used := map[string]Resources{} // by the one record, for older sources
	tend := func(k *Manager, leads bool) (what []string) {
		for _, c := range k.LimitChanges(situation(leads)) {
			what = append(what, c.Description)
			for _, op := range c.Ops {
				if one, is := op.Value.(*records.TeamUsage); is {
					used = one.ByShard
				}
			}
			r.commit(c.Compares, c.Ops)
			k.FinishChange(c)
		}
		return what
	}
	expect := func(got []string, want ...string) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Fatalf("%v, wanted %v", got, want)
		}
	}
	expect(tend(a, true), "to be divided")
	if used["*"] != cpus(40) {
		t.Fatal("older sources find room within the limit:", used)
	}
	r.epoch-- // its cache lacks what was committed just before
	expect(tend(a, true))
	r.epoch++
	if a.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("something may start while the use is counted")
	}
	expect(tend(a, true), "divided")
	expect(tend(a, true))
	if a.Allowance("t", "n0", cpus(2)) != 5 || a.Allowance("t", CrossShard, cpus(2)) != 10 {
		t.Fatal(a.Grant("t", "n0"), a.Grant("t", CrossShard))
	}
	use["n0"] = cpus(10)

	b := with(6)
	b.ApplyLimit("t", &a.teams["t"].limit, a.teams["t"].limitVersion)
	r.keepers = append(r.keepers, b)
	if b.Allowance("t", "n1", cpus(2)) != 0 {
		t.Fatal("a controller with a lower limit starts within the higher one")
	}
	expect(tend(a, true))
	expect(tend(b, false), "lowered")
	if a.Allowance("t", CrossShard, cpus(2)) != 0 {
		t.Fatal("started from the record's revision on")
	}
	expect(tend(a, true)) // 10 are used of 6
	use["n0"] = cpus(4)
	expect(tend(a, true), "divided")
	if got := a.Allowance("t", CrossShard, cpus(2)) + a.Allowance("t", "n0", cpus(2)) + a.Allowance("t", "n1", cpus(2)); got != 1 {
		t.Fatalf("%d may start of 6 with 4 used", got)
	}
	r.keepers = r.keepers[:1] // the other has ended
	expect(tend(a, true), "raised")
	expect(tend(a, true), "divided")

	old := New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: 40}}, false, uses)
	r.keepers = append(r.keepers, old)
	expect(tend(a, true), "to be counted in one record again")
	expect(tend(a, true), "counted in one record again")
	if a.IsAllotted("t") || used["*"] != (Resources{}) || used["n0"] != cpus(4) {
		t.Fatal("still allotted, or older sources do not find what is used:", used)
	}
}

// A gift is one change of its giver's key; what is on its way is given already, and
// word that is older than the gift does not have it made again.
func TestGiftsUnderWayCount(t *testing.T) {
	now := time.Unix(0, 0)
	k := New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: 16}}, true, func(string, string) Resources { return Resources{} })
	r := &fakeStore{keepers: []*Manager{k}, stamps: map[string]uint64{records.ShardPrefix + "n0": 5}, epoch: 5}
	r.commit(nil, []kv.Op{{Key: records.TeamLimitPrefix + "t", Value: &records.TeamLimit{Generation: 1, Max: cpus(16), Base: map[string]Resources{"n0": cpus(16)}}}})
	k.ObserveDemands("other", []protocol.Demand{{Team: "t", Holder: "n1", Head: cpus(2), PerTask: cpus(2), Total: cpus(6), JobID: "wk-1"}}, now)
	own := func(holder string) (kv.Compare, bool) {
		return kv.Compare{Key: records.ShardPrefix + "n0", Version: 5}, holder == "n0"
	}
	gifts := k.DueTransfers(own, now)
	if len(gifts) != 1 || len(gifts[0].Ops) != 1 || k.Allowance("t", "n0", cpus(2)) != 5 {
		t.Fatal(gifts, k.Allowance("t", "n0", cpus(2)))
	}
	if again := k.DueTransfers(own, now); len(again) != 0 {
		t.Fatal("given twice:", again)
	}
	if !r.commit(gifts[0].Compares, gifts[0].Ops) {
		t.Fatal("conditions:", gifts[0].Compares)
	}
	k.FinishTransfer(gifts[0])
	if k.Grant("t", "n0") != cpus(10) || k.Grant("t", "n1") != cpus(6) || len(k.DueTransfers(own, now)) != 0 {
		t.Fatal(k.Grant("t", "n0"), k.Grant("t", "n1"))
	}
	r.stamps[records.ShardPrefix+"n0"] = 9 // another owner
	k.ObserveDemands("other", []protocol.Demand{{Team: "t", Holder: "n1", Head: cpus(2), PerTask: cpus(2), Total: cpus(8), JobID: "wk-1"}}, now)
	if g := k.DueTransfers(own, now); len(g) != 1 || r.commit(g[0].Compares, g[0].Ops) {
		t.Fatal("a former owner gave")
	}
}

// one is a world of one claimant and its lenders.
type one struct {
	run, placed map[string]Resources
	trying      map[string]Resources
	open        map[string]Resources
	owns        uint64
	keeps       bool
}

func (w one) InUse(team string) Resources       { return w.run[team] }
func (w one) Committed(team string) Resources   { return w.run[team].Minus(w.trying[team]) }
func (w one) PlacedBy(ref string) Resources     { return w.placed[ref] }
func (w one) TaskUse(task string) Resources     { return w.open[task] }
func (w one) OwnerToken(string) uint64          { return w.owns }
func (w one) HoldsCapacity(string, string) bool { return w.keeps }

// What is booked, placed and leaving counts together, at the claimant and at the
// lender, and a booking that has served its time goes.
func TestBookings(t *testing.T) {
	k := New(map[string]protocol.Team{"due": {GuaranteedCPUs: 8}, "lend": {GuaranteedCPUs: 4}, "poor": {}}, true, nil)
	r := &fakeStore{keepers: []*Manager{k}, stamps: make(map[string]uint64)}
	w := one{run: map[string]Resources{"due": cpus(2), "lend": cpus(12)}, placed: map[string]Resources{}, open: map[string]Resources{"x": cpus(4)}, owns: 7, keeps: true}
	if got := k.Standing("due", "", w).Entitled(cpus(2)); got != 3 {
		t.Fatalf("%d tasks are due of 8 CPUs with 2 used", got)
	}
	if got := k.Standing("due", "", w).Entitled(Resources{CPUs: 1, GPUs: 1}); got != 0 {
		t.Fatal("a guarantee of CPUs claims cards:", got)
	}
	claim := ReservationRequest{Team: "due", ClaimKey: "wk-1", Shard: "n0", FencingToken: 7, Use: cpus(4), Victims: map[string][]string{"lend": {"x"}}}
	conds, ops := k.Reserve(claim)
	if !r.commit(conds, ops) || r.commit(conds, ops) {
		t.Fatal("the same booking was made twice, or not at all")
	}
	if got := k.Standing("due", "", w).Entitled(cpus(2)); got != 1 {
		t.Fatalf("%d are due with 2 used and 4 booked", got)
	}
	if got := k.Standing("lend", "", w).Surplus(cpus(1)); got != 4 {
		t.Fatalf("lends %v of 12 with 4 leaving and 4 guaranteed", got)
	}
	if got := k.Standing("poor", "", one{run: map[string]Resources{"poor": cpus(5)}}).Surplus(cpus(1)); got != 5 {
		t.Fatal("a team without a guarantee lends all that it uses, not", got)
	}
	w.trying = map[string]Resources{"lend": cpus(2)}
	if got := k.Standing("lend", "", w).Surplus(cpus(1)); got != 2 {
		t.Fatal("what is only being placed was lent:", got)
	}
	w.trying = nil
	taker := Preemptor{ClaimedTask: cpus(2), StandingOf: func(team string) Standing { return k.Standing(team, "", w) }}
	if !taker.MayPreempt("lend", cpus(4), Resources{}) || taker.MayPreempt("lend", cpus(4), cpus(2)) || taker.MayPreempt("lend", Resources{GPUs: 1}, Resources{}) {
		t.Fatal("what may be taken")
	}
	if taker.RecordPreemption("lend", cpus(4)); taker.MayPreempt("lend", cpus(1), Resources{}) {
		t.Fatal("the lender is pushed below its guarantee")
	}
	if spent := k.ExpiredReservations(w); len(spent) != 0 {
		t.Fatal("tidied too early:", spent)
	}
	for name, over := range map[string]one{
		"placed":              {placed: map[string]Resources{"wk-1": cpus(4)}, owns: 7, keeps: true},
		"of an earlier owner": {owns: 9, keeps: true},
		"not kept":            {owns: 7},
	} {
		if spent := k.ExpiredReservations(over); !slices.Equal(spent, []string{"wk-1"}) {
			t.Error(name, spent)
		}
	}
	conds, ops = k.Release([]string{"wk-1"})
	if !r.commit(conds, ops) || len(k.teams["lend"].reservations.Preempted) > 0 || k.HasReservation("due", "wk-1") {
		t.Fatal("still booked")
	}
}
