package quota

import (
	"maps"
	"slices"

	"madderslip/internal/ledger"
)

// Member is a live controller as its own record tells.
type Member struct {
	Version int
	Teams   uint64
}

// Change is one step of a limit's own record, as a transaction.
type Change struct {
	Team  string
	What  string // for the log
	Conds []ledger.Cond
	Ops   []ledger.Op
	t     *team
}

// Changed ends a change, whatever came of it.
func (k *Keeper) Changed(c Change) { c.t.busy = false }

// Situation is what changes of limits are decided on.
type Situation struct {
	Epoch    uint64                              // the cache is complete up to here
	Complete bool                                // and knows the size of every claim
	Leads    bool                                // this controller leads
	Lead     ledger.Cond                         // under this condition
	Members  []Member                            // all live controllers, this one included
	Holders  []string                            // the shards
	Least    Amount                              // what a holder is given at first, if there is enough: a machine's worth
	Legacy   func(team string) uint64            // the revision of the team's one record
	Uses     func(team string) map[string]Amount // by the names that the one record has for holders
}

// Changes lists the steps that are due. A limit begins and changes in two steps:
// the first voids all starts under way and lets none begin, the second divides anew
// once the cache holds all that was committed before the first. So no start passes
// a limit from the revision of its record on, whoever decided it and when. Lowered
// below what is used it is divided once enough has ended; nothing is stopped.
func (k *Keeper) Changes(s Situation) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		if t.busy {
			continue
		}
		if c, due := k.change(t, s); due {
			c.Team, c.t, t.busy = name, t, true
			c.Conds = append(c.Conds, ledger.Cond{Key: ledger.LimitKeys + name, Stamp: t.stamp})
			out = append(out, c)
		}
	}
	return out
}

// barrier is the shard under which a limit that is allotted stands in the team's one
// record, as used up: sources that know no allotments start nothing then.
const barrier = "*"

func (k *Keeper) change(t *team, s Situation) (Change, bool) {
	able, agreed := k.on, true
	for _, m := range s.Members {
		able = able && m.Version >= Version
		agreed = agreed && m.Teams == k.hash
	}
	rec := t.limit
	rec.Base = nil
	switch {
	case !t.allotted():
		if !s.Leads || !able || !agreed || t.set.Zero() {
			return Change{}, false
		}
		stamp := s.Legacy(t.name)
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: t.set}
		return Change{What: "to be divided", Conds: []ledger.Cond{s.Lead, {Key: ledger.TeamKeys + t.name, Stamp: stamp}},
			Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next},
				{Key: ledger.TeamKeys + t.name, Value: &ledger.Team{Use: map[string][2]float64{barrier: t.set}}}}}, true
	case t.lowers():
		// Any controller may lower a limit that it was given; to wait for the leader
		// would let the others go on with the higher one.
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: lower(rec.Max, t.set), Closing: rec.Closing}
		return Change{What: "lowered", Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next}}}, true
	case !s.Leads:
		return Change{}, false
	case rec.Closing:
		if s.Epoch < t.stamp || !s.Complete {
			return Change{}, false
		}
		stamp, uses := s.Legacy(t.name), s.Uses(t.name)
		team := &ledger.Team{Use: make(map[string][2]float64)}
		for holder, a := range uses {
			if !a.Zero() {
				team.Use[holder] = a
			}
		}
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: rec.Max, Off: true}
		return Change{What: "counted in one record again", Conds: []ledger.Cond{s.Lead, {Key: ledger.TeamKeys + t.name, Stamp: stamp}},
			Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next}, {Key: ledger.TeamKeys + t.name, Value: team}}}, true
	case !able || (agreed && t.set.Zero()):
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: rec.Max, Closing: true}
		return Change{What: "to be counted in one record again", Conds: []ledger.Cond{s.Lead}, Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next}}}, true
	case agreed && t.set != Amount(rec.Max):
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: t.set}
		return Change{What: "raised", Conds: []ledger.Cond{s.Lead}, Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next}}}, true
	case t.limit.Base == nil:
		if s.Epoch < t.stamp || !s.Complete {
			return Change{}, false
		}
		base, ok := Divide(rec.Max, s.Holders, func(holder string) Amount { return k.uses(t.name, holder) }, s.Least)
		if !ok {
			return Change{}, false
		}
		next := &ledger.Limit{Gen: rec.Gen + 1, Max: rec.Max, Base: base}
		return Change{What: "divided", Conds: []ledger.Cond{s.Lead}, Ops: []ledger.Op{{Key: ledger.LimitKeys + t.name, Value: next}}}, true
	}
	return Change{}, false
}

// lowers tells that this controller was given a lower limit than the record has.
func (t *team) lowers() bool {
	for p := range t.set {
		if t.set[p] > 0 && (t.limit.Max[p] == 0 || t.set[p] < t.limit.Max[p]-eps) {
			return true
		}
	}
	return false
}

// lower is the lower of two limits, part by part; 0 is none.
func lower(a, b Amount) Amount {
	for p := range a {
		if a[p] == 0 || (b[p] > 0 && b[p] < a[p]) {
			a[p] = b[p]
		}
	}
	return a
}

// Divide splits a limit among the holders: each gets what it uses, then a machine's
// worth if half of the rest suffices for that, and what remains is with Wide, from
// which they ask for it. Nothing is divided while more is used than the limit.
func Divide(limit Amount, holders []string, uses func(holder string) Amount, least Amount) (map[string][2]float64, bool) {
	base := make(map[string][2]float64)
	left := limit
	for _, holder := range append([]string{Wide}, holders...) {
		u := uses(holder).masked(limit)
		if !u.Within(left) {
			return nil, false
		}
		left = left.Less(u)
		base[holder] = u
	}
	part := left.Times(0.5 / float64(max(1, len(holders))))
	if least = least.masked(limit); least.Within(part) {
		for _, holder := range slices.Sorted(maps.Keys(base)) {
			if holder != Wide {
				base[holder] = Amount(base[holder]).Plus(part)
				left = left.Less(part)
			}
		}
	}
	base[Wide] = Amount(base[Wide]).Plus(left)
	return base, true
}
