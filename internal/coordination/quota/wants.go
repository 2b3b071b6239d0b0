package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// SetDemand notes what a holder of this controller's could start if its allotment
// reached; nil: nothing. started tells that work of the team has begun there since
// the last time: what is not starving waits anew.
func (k *Manager) SetDemand(name, holder string, w *Demand, started bool, now time.Time) {
	t := k.team(name)
	was := t.demands[holder]
	if w == nil {
		delete(t.demands, holder)
		return
	}
	made := now
	if was != nil && was.reportedBy == "" && was.JobID == w.JobID && was.Anticipated == w.Anticipated && (!started || w.AllOrNothing) {
		made = was.since
	}
	next := &holderDemand{Demand: *w, reportedAt: now, since: made}
	next.Waited = now.Sub(made)
	t.demands[holder] = next
}

// Demands lists what this controller's holders want, to be told to the others.
func (k *Manager) Demands(now time.Time) []protocol.Demand {
	var out []protocol.Demand
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		for _, holder := range slices.Sorted(maps.Keys(t.demands)) {
			if w := t.demands[holder]; w.reportedBy == "" && now.Sub(w.reportedAt) <= demandTTL && t.isAllotted() {
				out = append(out, protocol.Demand{Team: name, Holder: holder, Head: w.Head, PerTask: w.PerTask, Total: w.Total,
					Priority: w.Priority, AcceptedAtMs: w.AcceptedAtMs, JobID: w.JobID, AllOrNothing: w.AllOrNothing, Anticipated: w.Anticipated, WaitedMs: w.Waited.Milliseconds()})
			}
		}
	}
	return out
}

// ObserveDemands takes all that another controller's holders want. It is advice: a want that
// is missing, old or made up moves an allotment late, or for nothing, and starts
// nothing.
func (k *Manager) ObserveDemands(from string, list []protocol.Demand, now time.Time) {
	for _, t := range k.teams {
		maps.DeleteFunc(t.demands, func(_ string, w *holderDemand) bool { return w.reportedBy == from })
	}
	for _, w := range list {
		t := k.teams[w.Team]
		if t == nil {
			continue
		}
		if was := t.demands[w.Holder]; was != nil && was.reportedBy == "" && now.Sub(was.reportedAt) < demandTTL {
			continue // this controller decides for it, or did until just now
		}
		t.demands[w.Holder] = &holderDemand{reportedBy: from, reportedAt: now, since: now.Add(-time.Duration(w.WaitedMs) * time.Millisecond),
			Demand: Demand{Head: w.Head, PerTask: w.PerTask, Total: w.Total, Priority: w.Priority, AcceptedAtMs: w.AcceptedAtMs, JobID: w.JobID, AllOrNothing: w.AllOrNothing, Anticipated: w.Anticipated}}
	}
}

// IsDemanded tells whether any holder wants more of a team's limit.
func (k *Manager) IsDemanded(name string) bool {
	if t := k.teams[name]; t != nil {
		for _, w := range t.demands {
			if !w.Anticipated {
				return true
			}
		}
	}
	return false
}

// holders is a snapshot of a team's division.
func (k *Manager) holders(t *team, now time.Time) []Holder {
	names := make(map[string]bool)
	for holder := range t.grants() {
		names[holder] = true
	}
	for holder, w := range t.demands {
		if now.Sub(w.reportedAt) > demandTTL {
			delete(t.demands, holder) // nobody decides for it who still wants that
			continue
		}
		w.Waited = now.Sub(w.since)
		names[holder] = true
	}
	out := make([]Holder, 0, len(names))
	for _, holder := range slices.Sorted(maps.Keys(names)) {
		h := Holder{Name: holder, Grant: t.grants()[holder].Minus(t.transferring[holder]), Use: k.usage(t.name, holder)}
		if w := t.demands[holder]; w != nil {
			h.Demand = &w.Demand
		}
		out = append(out, h)
	}
	return out
}

// YieldsTo tells that a holder's own work must wait: older work at another holder
// starves for what this one has left, and a gift to it is due.
func (k *Manager) YieldsTo(name string, rank int, born int64, ref string, now time.Time) bool {
	t := k.teams[name]
	if t == nil || !t.isAllotted() {
		return false
	}
	mine := Demand{Priority: rank, AcceptedAtMs: born, JobID: ref}
	for _, w := range t.demands {
		if now.Sub(w.reportedAt) > demandTTL {
			continue
		}
		if !w.Anticipated && now.Sub(w.since) >= StarvationThreshold && w.before(&mine) < 0 {
			return true
		}
	}
	return false
}

// PendingTransfer is a gift as a transaction: one change of the giver's own key.
type PendingTransfer struct {
	Transfer
	Team      string
	Compares  []kv.Compare
	Ops       []kv.Op
	team      *team
	receivers map[string]Resources
}

// DueTransfers makes the gifts that are due from holders that this controller decides for.
// decides gives the condition under which it does, its ownership's version.
func (k *Manager) DueTransfers(decides func(holder string) (kv.Compare, bool), now time.Time) []PendingTransfer {
	var out []PendingTransfer
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		if !t.isAllotted() || t.limit.Base == nil || t.limit.Closing || len(t.demands) == 0 {
			continue
		}
		due := make(map[string]map[string]Resources)
		for _, g := range Rebalance(t.limit.Max, k.holders(t, now)) {
			if due[g.From] == nil {
				due[g.From] = make(map[string]Resources)
			}
			due[g.From][g.To] = g.Amount
		}
		for _, from := range slices.Sorted(maps.Keys(due)) {
			own, ok := decides(from)
			if _, busy := t.transferring[from]; !ok || busy {
				continue
			}
			out = append(out, t.newTransfer(from, due[from], own))
		}
	}
	return out
}

func (t *team) newTransfer(from string, to map[string]Resources, own kv.Compare) PendingTransfer {
	was := t.allotments[from]
	rec := &records.Allotment{Generation: t.limit.Generation, Transferred: make(map[string]Resources)}
	if was.record.Generation == rec.Generation {
		maps.Copy(rec.Transferred, was.record.Transferred)
	}
	sum := Resources{}
	for holder, a := range to {
		rec.Transferred[holder] = rec.Transferred[holder].Plus(a)
		sum = sum.Plus(a)
	}
	t.transferring[from] = sum
	key := records.AllotmentPrefix + t.name + "/" + from
	m := PendingTransfer{Transfer: Transfer{From: from, Amount: sum}, Team: t.name, team: t,
		Compares: []kv.Compare{own, {Key: records.TeamLimitPrefix + t.name, Version: t.limitVersion}, {Key: key, Version: was.version}},
		Ops:      []kv.Op{{Key: key, Value: rec}}}
	m.To, m.receivers = strings.Join(slices.Sorted(maps.Keys(to)), ","), to
	return m
}

// FinishTransfer ends a gift, whatever came of it: the records show. What was wanted is not
// known any more until its holder says so again: it was given over and over while
// word of what it had done with it was on its way.
func (k *Manager) FinishTransfer(m PendingTransfer) {
	delete(m.team.transferring, m.From)
	for holder := range m.receivers {
		if w := m.team.demands[holder]; w != nil && w.reportedBy != "" {
			delete(m.team.demands, holder)
		}
	}
}

// WaitingTeam is a team that waits for its limit, for people to read.
type WaitingTeam struct {
	Team      string
	WaitedFor time.Duration
	Limit     Resources
	Grants    map[string]Resources
	Usage     map[string]Resources
}

// WaitingTeams lists the teams whose jobs the limit holds up at this controller's
// holders, each at most once in every so long.
func (k *Manager) WaitingTeams(every time.Duration, now time.Time) []WaitingTeam {
	var out []WaitingTeam
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		var first time.Time
		for _, w := range t.demands {
			if w.reportedBy == "" && !w.Anticipated && (first.IsZero() || w.since.Before(first)) {
				first = w.since
			}
		}
		if first.IsZero() {
			t.waitingSince = time.Time{}
			continue
		}
		if t.waitingSince.IsZero() || first.Before(t.waitingSince) {
			t.waitingSince = first
		}
		if now.Sub(t.waitingSince) < every || now.Sub(t.reportedAt) < every {
			continue
		}
		t.reportedAt = now
		h := WaitingTeam{Team: name, WaitedFor: now.Sub(t.waitingSince), Limit: t.effectiveLimit(), Grants: maps.Clone(t.grants()), Usage: make(map[string]Resources)}
		for holder := range h.Grants {
			h.Usage[holder] = k.usage(name, holder)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b WaitingTeam) int { return cmp.Compare(b.WaitedFor, a.WaitedFor) })
	return out
}
