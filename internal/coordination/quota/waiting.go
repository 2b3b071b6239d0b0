package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// WaitingTeam describes a team whose limit holds up jobs, for the log.
type WaitingTeam struct {
	Team      string
	WaitedFor time.Duration
	Limit     Resources
	Grants    map[string]Resources // total amount that each holder may use
	Usage     map[string]Resources // current use of each holder
}

// WaitingTeams returns the teams whose jobs the limit has held up for at least interval at
// this controller's holders, longest wait first. It returns a team at most once per
// interval.
func (m *Manager) WaitingTeams(interval time.Duration, now time.Time) []WaitingTeam {
	var waiting []WaitingTeam
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		team := m.teams[name]
		team.updateWaitingSince()
		if team.waitingSince.IsZero() || now.Sub(team.waitingSince) < interval || now.Sub(team.waitingReportedAt) < interval {
			continue
		}
		team.waitingReportedAt = now
		grants, usage := maps.Clone(team.grants()), make(map[string]Resources)
		for holder := range grants {
			usage[holder] = m.usage(name, holder)
		}
		waiting = append(waiting, WaitingTeam{Team: name, WaitedFor: now.Sub(team.waitingSince), Limit: team.effectiveLimit(), Grants: grants, Usage: usage})
	}
	slices.SortFunc(waiting, func(a, b WaitingTeam) int { return cmp.Compare(b.WaitedFor, a.WaitedFor) })
	return waiting
}

// updateWaitingSince updates the time since when the limit has held up jobs of the team. The
// earliest time is kept until no job is held up.
func (t *teamState) updateWaitingSince() {
	var first time.Time
	for _, demand := range t.demands {
		if demand.isLocal() && !demand.Anticipated && (first.IsZero() || demand.since.Before(first)) {
			first = demand.since
		}
	}
	if first.IsZero() || t.waitingSince.IsZero() || first.Before(t.waitingSince) {
		t.waitingSince = first
	}
}
