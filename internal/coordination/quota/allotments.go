package quota

import (
	"maps"
	"math"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// CrossShard is the holder of the allotment for work that is placed across shards, and of
// what no shard has been given yet. The leader decides for it.
const CrossShard = "*"

// isAllotted reports whether the limit is divided or about to be, so that starts are not
// counted in the team's TeamUsage record.
func (t *teamState) isAllotted() bool {
	return t.limitVersion != 0 && t.limit.Generation > 0 && !t.limit.Closed
}

// effectiveLimit returns the limit that counts: the record's while it is allotted, else
// the one in the settings.
func (t *teamState) effectiveLimit() Resources {
	if t.isAllotted() {
		return t.limit.Max
	}
	return t.configured
}

// HasNoLimits reports whether no team has a limit, in the settings or on record.
func (m *Manager) HasNoLimits() bool {
	for _, team := range m.teams {
		if team.limitVersion != 0 || !team.configured.IsZero() {
			return false
		}
	}
	return true
}

// IsLimited reports whether a task that uses perTask counts against its team's limit.
func (m *Manager) IsLimited(name string, perTask Resources) bool {
	team := m.teams[name]
	if team == nil {
		return false
	}
	limit := team.effectiveLimit()
	return (limit.CPUs > 0 && perTask.CPUs > 0) || (limit.GPUs > 0 && perTask.GPUs > 0)
}

// Limit returns what a team may use altogether; a part of 0 is not limited.
func (m *Manager) Limit(name string) Resources {
	if team := m.teams[name]; team != nil {
		return team.effectiveLimit()
	}
	return Resources{}
}

// IsAllotted reports whether allotments bound the team's starts.
func (m *Manager) IsAllotted(name string) bool {
	return m.teams[name] != nil && m.teams[name].isAllotted()
}

// LimitCompares returns the conditions of every change of a limited team's claims: that
// the limit is the one that this controller knows. So a change of the limit voids what is
// being committed, and no start exceeds the limit from its record's revision on.
func (m *Manager) LimitCompares(name string) []kv.Compare {
	team := m.teams[name]
	if team == nil || (team.limitVersion == 0 && team.configured.IsZero()) {
		return nil
	}
	return []kv.Compare{{Key: records.TeamLimitPrefix + name, Version: team.limitVersion}}
}

// grants returns what each holder may use: its base, plus what it received, less what it
// transferred. Nobody may use anything while the limit is not divided.
func (t *teamState) grants() map[string]Resources {
	if t.grantCache != nil {
		return t.grantCache
	}
	t.grantCache = make(map[string]Resources, len(t.limit.Base))
	if t.limit.Base == nil || t.limit.Closing {
		return t.grantCache
	}
	balance := maps.Clone(t.limit.Base)
	for _, holder := range slices.Sorted(maps.Keys(t.allotments)) {
		record := t.allotments[holder].record
		if record.Generation != t.limit.Generation {
			continue // of an earlier division
		}
		for _, receiver := range slices.Sorted(maps.Keys(record.Transferred)) {
			amount := record.Transferred[receiver]
			balance[receiver] = balance[receiver].Plus(amount)
			balance[holder] = balance[holder].Difference(amount)
		}
	}
	for holder, amount := range balance {
		t.grantCache[holder] = amount.NonNegative()
	}
	return t.grantCache
}

// Grant returns what a holder may use altogether, what it uses already included; nothing
// if the limit is not allotted.
func (m *Manager) Grant(name, holder string) Resources {
	if team := m.teams[name]; team != nil && team.isAllotted() {
		return team.grants()[holder]
	}
	return Resources{}
}

// Free returns what a holder may still use; a part without a limit is infinite. What is
// being transferred counts as transferred.
func (m *Manager) Free(name, holder string) Resources {
	free := Resources{CPUs: math.Inf(1), GPUs: math.Inf(1)}
	team := m.teams[name]
	if team == nil || !team.isAllotted() {
		return free
	}
	// With different limits in the controllers' settings the lowest counts, for this
	// controller from this moment on.
	if team.isConfiguredLower() {
		return Resources{}
	}
	if team.limit.Base == nil {
		return Resources{}
	}
	left := team.grants()[holder].Minus(team.transferring[holder]).Minus(m.usage(name, holder))
	if team.limit.Max.CPUs > 0 {
		free.CPUs = left.CPUs
	}
	if team.limit.Max.GPUs > 0 {
		free.GPUs = left.GPUs
	}
	return free
}

// Allowance returns how many tasks that use perTask a holder may still start, jobs that
// are to be served first left aside (see YieldsTo).
func (m *Manager) Allowance(name, holder string, perTask Resources) int {
	return TasksThatFit(m.Free(name, holder), perTask, m.Limit(name))
}
