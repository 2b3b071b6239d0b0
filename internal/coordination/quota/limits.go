package quota

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Member holds the values that a live controller publishes in its Node record.
type Member struct {
	QuotaVersion int
	TeamsHash    uint64
}

// ClusterState is the state of the cluster by which changes of limits are decided.
type ClusterState struct {
	Revision         uint64                                 // revision up to which the caller has applied every record
	Complete         bool                                   // the size of every claim is known
	IsLeader         bool                                   // this controller is the leader
	LeaderCompare    kv.Compare                             // the condition that this controller is the leader
	Members          []Member                               // all live controllers, this one included
	Holders          []string                               // names of all shards
	InitialShare     Resources                              // resources of one machine: a division gives each shard at least this amount beyond its use, if the limit suffices
	TeamUsageVersion func(team string) uint64               // version of the team's TeamUsage record
	TeamUsage        func(team string) map[string]Resources // the team's use, by the keys of the TeamUsage record
}

// isCompleteUpTo reports whether all records that were committed before a version have been
// applied and the size of every claim is known, so that a team's use can be counted.
func (s *ClusterState) isCompleteUpTo(version uint64) bool {
	return s.Revision >= version && s.Complete
}

// LimitChange is one step of changing a limit's record, as a transaction. The caller
// commits it and calls FinishChange, whatever the outcome.
type LimitChange struct {
	Team        string
	Description string // effect of the step on the limit, for the log
	Compares    []kv.Compare
	Ops         []kv.Op
	team        *teamState
}

// FinishChange ends a change after its commit, whether or not the commit succeeded. The
// outcome is no argument, because the manager derives the state of the limit from the records
// that the caller applies.
func (m *Manager) FinishChange(c LimitChange) { c.team.limitChangePending = false }

// LimitChanges returns the steps that are due, at most one for each team.
//
// Introducing or changing a limit takes two steps. The first step writes the limit's record
// without a division, which makes starts fail that are still being committed and permits no
// new starts. The second step divides the limit once all records committed before the first
// step have been applied. From the revision of a limit's record on, no start therefore exceeds
// the limit, whichever controller decided the start and whenever it did so. A limit below the
// current use is divided once enough tasks have ended; no task is stopped for it.
func (m *Manager) LimitChanges(s ClusterState) []LimitChange {
	var changes []LimitChange
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		team := m.teams[name]
		if team.limitChangePending {
			continue
		}
		if change, due := m.nextLimitChange(team, s); due {
			change.Team, change.team, team.limitChangePending = name, team, true
			change.Compares = append(change.Compares, kv.Compare{Key: records.TeamLimitPrefix + name, Version: team.limitVersion})
			changes = append(changes, change)
		}
	}
	return changes
}

// nextLimitChange returns a team's next step, and reports whether a step is due.
func (m *Manager) nextLimitChange(t *teamState, s ClusterState) (change LimitChange, due bool) {
	capable, agreed := m.compareMembers(s.Members)
	switch {
	case !t.isAllotted():
		if !s.IsLeader || !capable || !agreed || t.configured.IsZero() {
			return LimitChange{}, false
		}
		return t.beginAllotting(s), true
	case t.isConfiguredLower():
		return t.lowerLimit(), true
	case !s.IsLeader:
		return LimitChange{}, false
	case t.limit.Closing:
		return t.finishClosing(s)
	case !capable || (agreed && t.configured.IsZero()):
		return t.beginClosing(s), true
	case agreed && t.configured != t.limit.Max:
		return t.raiseLimit(s), true
	case t.limit.Base == nil:
		return m.divideLimit(t, s)
	}
	return LimitChange{}, false
}

// compareMembers reports whether all live controllers support allotments and have them
// enabled, and whether their settings have the same limits as this controller's settings.
func (m *Manager) compareMembers(members []Member) (capable, agreed bool) {
	capable, agreed = m.allotmentsEnabled, true
	for _, member := range members {
		capable = capable && member.QuotaVersion >= ProtocolVersion
		agreed = agreed && member.TeamsHash == m.configuredHash
	}
	return capable, agreed
}

// legacyBarrier is the key under which the TeamUsage record of an allotted team shows the
// whole limit as used, so that controllers of versions without allotments start no task of the
// team.
const legacyBarrier = "*"

// beginAllotting returns the first step of the change from the TeamUsage record to
// allotments.
func (t *teamState) beginAllotting(s ClusterState) LimitChange {
	change := t.writeLimit("to be divided", &records.TeamLimit{Max: t.configured}, s.LeaderCompare, t.usageCompare(s))
	change.Ops = append(change.Ops, kv.Op{Key: records.TeamUsagePrefix + t.name, Value: &records.TeamUsage{ByShard: map[string]Resources{legacyBarrier: t.configured}}})
	return change
}

// lowerLimit returns the step that lowers the record's limit to the limit of this
// controller's settings. Any controller may commit this step: if only the leader could, the
// other controllers would start tasks up to the higher limit until then.
func (t *teamState) lowerLimit() LimitChange {
	return t.writeLimit("lowered", &records.TeamLimit{Max: minLimit(t.limit.Max, t.configured), Closing: t.limit.Closing})
}

// raiseLimit returns the step that sets the record's limit to the limit that the settings of
// all controllers have. The current division ends, and no holder may use anything until the
// limit is divided again.
func (t *teamState) raiseLimit(s ClusterState) LimitChange {
	return t.writeLimit("raised", &records.TeamLimit{Max: t.configured}, s.LeaderCompare)
}

// beginClosing returns the first step of the change from allotments back to the TeamUsage
// record.
func (t *teamState) beginClosing(s ClusterState) LimitChange {
	return t.writeLimit("to be counted in one record again", &records.TeamLimit{Max: t.limit.Max, Closing: true}, s.LeaderCompare)
}

// finishClosing returns the last step of the change back to the TeamUsage record, which
// writes the team's use into that record. The step is due once the use is known.
func (t *teamState) finishClosing(s ClusterState) (change LimitChange, due bool) {
	if !s.isCompleteUpTo(t.limitVersion) {
		return LimitChange{}, false
	}
	usage := &records.TeamUsage{ByShard: make(map[string]Resources)}
	for holder, amount := range s.TeamUsage(t.name) {
		if !amount.IsZero() {
			usage.ByShard[holder] = amount
		}
	}
	change = t.writeLimit("counted in one record again", &records.TeamLimit{Max: t.limit.Max, Closed: true}, s.LeaderCompare, t.usageCompare(s))
	change.Ops = append(change.Ops, kv.Op{Key: records.TeamUsagePrefix + t.name, Value: usage})
	return change, true
}

// divideLimit returns the step that divides the limit among the holders. The step is due
// once their use is known and within the limit.
func (m *Manager) divideLimit(t *teamState, s ClusterState) (change LimitChange, due bool) {
	if !s.isCompleteUpTo(t.limitVersion) {
		return LimitChange{}, false
	}
	base, fits := Divide(t.limit.Max, s.Holders, func(holder string) Resources { return m.usage(t.name, holder) }, s.InitialShare)
	if !fits {
		return LimitChange{}, false
	}
	return t.writeLimit("divided", &records.TeamLimit{Max: t.limit.Max, Base: base}, s.LeaderCompare), true
}

// writeLimit returns the step that writes the next generation of a limit's record under the
// given conditions.
func (t *teamState) writeLimit(description string, next *records.TeamLimit, compares ...kv.Compare) LimitChange {
	next.Generation = t.limit.Generation + 1
	return LimitChange{Description: description, Compares: compares, Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}}}
}

func (t *teamState) usageCompare(s ClusterState) kv.Compare {
	return kv.Compare{Key: records.TeamUsagePrefix + t.name, Version: s.TeamUsageVersion(t.name)}
}

// isConfiguredLower reports whether this controller's settings have a lower limit than the
// record.
func (t *teamState) isConfiguredLower() bool {
	return isLowerLimit(t.configured.CPUs, t.limit.Max.CPUs) || isLowerLimit(t.configured.GPUs, t.limit.Max.GPUs)
}

// isLowerLimit reports whether a configured limit is lower than the limit in the record; 0
// means no limit.
func isLowerLimit(configured, recorded float64) bool {
	return configured > 0 && (recorded == 0 || configured < recorded-tolerance)
}

// minLimit returns the lower of two limits, for CPUs and GPUs separately; 0 means no limit.
func minLimit(a, b Resources) Resources {
	return Resources{CPUs: minLimitPart(a.CPUs, b.CPUs), GPUs: minLimitPart(a.GPUs, b.GPUs)}
}

func minLimitPart(a, b float64) float64 {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Divide splits a limit among CrossShard and the holders. Each of them gets its current use.
// Half of the rest is divided equally among the holders, if each part is at least
// initialShare. CrossShard gets the remainder, which is transferred to holders on demand.
// Divide returns false if the use exceeds the limit.
func Divide(limit Resources, holders []string, usage func(holder string) Resources, initialShare Resources) (map[string]Resources, bool) {
	base := make(map[string]Resources)
	left := limit
	for _, holder := range append([]string{CrossShard}, holders...) {
		used := limitedParts(usage(holder), limit)
		if !used.Within(left) {
			return nil, false
		}
		left = left.Minus(used)
		base[holder] = used
	}
	share := left.Times(0.5 / float64(max(1, len(holders))))
	if limitedParts(initialShare, limit).Within(share) {
		for _, holder := range slices.Sorted(maps.Keys(base)) {
			if holder != CrossShard {
				base[holder] = base[holder].Plus(share)
				left = left.Minus(share)
			}
		}
	}
	base[CrossShard] = base[CrossShard].Plus(left)
	return base, true
}
