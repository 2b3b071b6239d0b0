package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/protocol"
)

// Wish notes what a holder of this controller's could start if its allotment
// reached; nil: nothing. started tells that work of the team has begun there since
// the last time: what is not starving waits anew.
func (k *Keeper) Wish(name, holder string, w *Want, started bool, now time.Time) {
	t := k.team(name)
	was := t.wants[holder]
	if w == nil {
		delete(t.wants, holder)
		return
	}
	made := now
	if was != nil && was.from == "" && was.Ref == w.Ref && was.Ahead == w.Ahead && (!started || w.Whole) {
		made = was.made
	}
	next := &wanted{Want: *w, at: now, made: made}
	next.Waited = now.Sub(made)
	t.wants[holder] = next
}

// Wants lists what this controller's holders want, to be told to the others.
func (k *Keeper) Wants(now time.Time) []protocol.Want {
	var out []protocol.Want
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		for _, holder := range slices.Sorted(maps.Keys(t.wants)) {
			if w := t.wants[holder]; w.from == "" && now.Sub(w.at) <= stale && t.allotted() {
				out = append(out, protocol.Want{Team: name, Holder: holder, Head: w.Head, Unit: w.Unit, Total: w.Total,
					Rank: w.Rank, Born: w.Born, Ref: w.Ref, Whole: w.Whole, Ahead: w.Ahead, WaitedMs: w.Waited.Milliseconds()})
			}
		}
	}
	return out
}

// Heard takes all that another controller's holders want. It is advice: a want that
// is missing, old or made up moves an allotment late, or for nothing, and starts
// nothing.
func (k *Keeper) Heard(from string, list []protocol.Want, now time.Time) {
	for _, t := range k.teams {
		maps.DeleteFunc(t.wants, func(_ string, w *wanted) bool { return w.from == from })
	}
	for _, w := range list {
		t := k.teams[w.Team]
		if t == nil {
			continue
		}
		if was := t.wants[w.Holder]; was != nil && was.from == "" && now.Sub(was.at) < stale {
			continue // this controller decides for it, or did until just now
		}
		t.wants[w.Holder] = &wanted{from: from, at: now, made: now.Add(-time.Duration(w.WaitedMs) * time.Millisecond),
			Want: Want{Head: w.Head, Unit: w.Unit, Total: w.Total, Rank: w.Rank, Born: w.Born, Ref: w.Ref, Whole: w.Whole, Ahead: w.Ahead}}
	}
}

// Sought tells whether any holder wants more of a team's limit.
func (k *Keeper) Sought(name string) bool {
	if t := k.teams[name]; t != nil {
		for _, w := range t.wants {
			if !w.Ahead {
				return true
			}
		}
	}
	return false
}

// holders is a snapshot of a team's division.
func (k *Keeper) holders(t *team, now time.Time) []Holder {
	names := make(map[string]bool)
	for holder := range t.grants() {
		names[holder] = true
	}
	for holder, w := range t.wants {
		if now.Sub(w.at) > stale {
			delete(t.wants, holder) // nobody decides for it who still wants that
			continue
		}
		w.Waited = now.Sub(w.made)
		names[holder] = true
	}
	out := make([]Holder, 0, len(names))
	for _, holder := range slices.Sorted(maps.Keys(names)) {
		h := Holder{Name: holder, Grant: t.grants()[holder].Less(t.lent[holder]), Use: k.uses(t.name, holder)}
		if w := t.wants[holder]; w != nil {
			h.Want = &w.Want
		}
		out = append(out, h)
	}
	return out
}

// YieldsTo tells that a holder's own work must wait: older work at another holder
// starves for what this one has left, and a gift to it is due.
func (k *Keeper) YieldsTo(name string, rank int, born int64, ref string, now time.Time) bool {
	t := k.teams[name]
	if t == nil || !t.allotted() {
		return false
	}
	mine := Want{Rank: rank, Born: born, Ref: ref}
	for _, w := range t.wants {
		if now.Sub(w.at) > stale {
			continue
		}
		if !w.Ahead && now.Sub(w.made) >= Patience && w.before(&mine) < 0 {
			return true
		}
	}
	return false
}

// Move is a gift as a transaction: one change of the giver's own key.
type Move struct {
	Gift
	Team  string
	Conds []ledger.Cond
	Ops   []ledger.Op
	t     *team
	to    map[string]Amount
}

// Gifts makes the gifts that are due from holders that this controller decides for.
// decides gives the condition under which it does, its ownership's version.
func (k *Keeper) Gifts(decides func(holder string) (ledger.Cond, bool), now time.Time) []Move {
	var out []Move
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		if !t.allotted() || t.limit.Base == nil || t.limit.Closing || len(t.wants) == 0 {
			continue
		}
		due := make(map[string]map[string]Amount)
		for _, g := range Share(t.limit.Max, k.holders(t, now)) {
			if due[g.From] == nil {
				due[g.From] = make(map[string]Amount)
			}
			due[g.From][g.To] = g.Amount
		}
		for _, from := range slices.Sorted(maps.Keys(due)) {
			own, ok := decides(from)
			if _, busy := t.lent[from]; !ok || busy {
				continue
			}
			out = append(out, t.move(from, due[from], own))
		}
	}
	return out
}

func (t *team) move(from string, to map[string]Amount, own ledger.Cond) Move {
	was := t.allot[from]
	rec := &ledger.Allotment{Gen: t.limit.Gen, Given: make(map[string][2]float64)}
	if was.rec.Gen == rec.Gen {
		maps.Copy(rec.Given, was.rec.Given)
	}
	sum := Amount{}
	for holder, a := range to {
		rec.Given[holder] = Amount(rec.Given[holder]).Plus(a)
		sum = sum.Plus(a)
	}
	t.lent[from] = sum
	key := ledger.AllotKeys + t.name + "/" + from
	m := Move{Gift: Gift{From: from, Amount: sum}, Team: t.name, t: t,
		Conds: []ledger.Cond{own, {Key: ledger.LimitKeys + t.name, Stamp: t.stamp}, {Key: key, Stamp: was.stamp}},
		Ops:   []ledger.Op{{Key: key, Value: rec}}}
	m.To, m.to = strings.Join(slices.Sorted(maps.Keys(to)), ","), to
	return m
}

// Moved ends a gift, whatever came of it: the records show. What was wanted is not
// known any more until its holder says so again: it was given over and over while
// word of what it had done with it was on its way.
func (k *Keeper) Moved(m Move) {
	delete(m.t.lent, m.From)
	for holder := range m.to {
		if w := m.t.wants[holder]; w != nil && w.from != "" {
			delete(m.t.wants, holder)
		}
	}
}

// Held is a team that waits for its limit, for people to read.
type Held struct {
	Team   string
	Since  time.Duration
	Limit  Amount
	Grants map[string]Amount
	Uses   map[string]Amount
}

// Waiting lists the teams whose jobs the limit holds up at this controller's
// holders, each at most once in every so long.
func (k *Keeper) Waiting(every time.Duration, now time.Time) []Held {
	var out []Held
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		var first time.Time
		for _, w := range t.wants {
			if w.from == "" && !w.Ahead && (first.IsZero() || w.made.Before(first)) {
				first = w.made
			}
		}
		if first.IsZero() {
			t.began = time.Time{}
			continue
		}
		if t.began.IsZero() || first.Before(t.began) {
			t.began = first
		}
		if now.Sub(t.began) < every || now.Sub(t.told) < every {
			continue
		}
		t.told = now
		h := Held{Team: name, Since: now.Sub(t.began), Limit: t.limitNow(), Grants: maps.Clone(t.grants()), Uses: make(map[string]Amount)}
		for holder := range h.Grants {
			h.Uses[holder] = k.uses(name, holder)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Held) int { return cmp.Compare(b.Since, a.Since) })
	return out
}
