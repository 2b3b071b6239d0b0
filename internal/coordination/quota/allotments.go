package quota

import (
	"maps"
	"math"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// CrossShard is the holder of the allotment for work that is placed across shards. The part of
// the limit that is not allotted to any shard yet also belongs to CrossShard. The leader
// decides for this holder.
const CrossShard = "*"

// isAllotted reports whether the limit is divided into allotments or is about to be. Starts of
// a team whose limit is allotted are not counted in the team's TeamUsage record.
func (t *teamState) isAllotted() bool {
	return t.limitVersion != 0 && t.limit.Generation > 0 && !t.limit.Closed
}

// effectiveLimit returns the limit of the record while the limit is allotted, and the limit
// of the settings otherwise.
func (t *teamState) effectiveLimit() Resources {
	if t.isAllotted() {
		return t.limit.Max
	}
	return t.configured
}

// HasNoLimits reports whether no team has a limit, in the settings or in a record.
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

// Limit returns the most that a team may use in the whole cluster. 0 CPUs or 0 GPUs means no
// limit on that resource.
func (m *Manager) Limit(name string) Resources {
	if team := m.teams[name]; team != nil {
		return team.effectiveLimit()
	}
	return Resources{}
}

// IsAllotted reports whether allotments, not the TeamUsage record, limit the team's starts.
func (m *Manager) IsAllotted(name string) bool {
	return m.teams[name] != nil && m.teams[name].isAllotted()
}

// LimitCompares returns the conditions of every change of a limited team's claims: that the
// limit's record still has the version cached here. A change of the limit therefore makes all
// starts fail that are being committed. From the revision of the changed limit record on, no
// start exceeds the limit.
func (m *Manager) LimitCompares(name string) []kv.Compare {
	team := m.teams[name]
	if team == nil || (team.limitVersion == 0 && team.configured.IsZero()) {
		return nil
	}
	return []kv.Compare{{Key: records.TeamLimitPrefix + name, Version: team.limitVersion}}
}

// grants returns the amount that each holder may use: the holder's part of the division, plus
// the amounts transferred to the holder, less the amounts transferred from the holder. No
// holder may use anything while the limit is not divided or is being closed.
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
			continue // the record belongs to an earlier division
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

// Grant returns the total that a holder may use, the holder's current use included. The result
// is zero if the limit is not allotted.
func (m *Manager) Grant(name, holder string) Resources {
	if team := m.teams[name]; team != nil && team.isAllotted() {
		return team.grants()[holder]
	}
	return Resources{}
}

// Free returns the amount that a holder may use beyond its current use. The result is infinite
// for resources without a limit, and for all resources of a team whose limit is not allotted.
// Amounts whose transfer is being committed count as transferred.
func (m *Manager) Free(name, holder string) Resources {
	free := Resources{CPUs: math.Inf(1), GPUs: math.Inf(1)}
	team := m.teams[name]
	if team == nil || !team.isAllotted() {
		return free
	}
	// If controllers have different limits in their settings, the lowest applies. This
	// controller applies its own lower limit at once, before the record is changed.
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

// Allowance returns how many more tasks that use perTask a holder may start. It does not
// take into account other jobs that are to be served first (see MustYield).
func (m *Manager) Allowance(name, holder string, perTask Resources) int {
	return TasksThatFit(m.Free(name, holder), perTask, m.Limit(name))
}
