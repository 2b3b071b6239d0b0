package quota

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Member is a live controller as its own record tells.
type Member struct {
	QuotaVersion int
	TeamsHash    uint64
}

// LimitChange is one step of a limit's own record, as a transaction.
type LimitChange struct {
	Team        string
	Description string // for the log
	Compares    []kv.Compare
	Ops         []kv.Op
	team        *team
}

// FinishChange ends a change, whatever came of it.
func (k *Manager) FinishChange(c LimitChange) { c.team.busy = false }

// ClusterState is what changes of limits are decided on.
type ClusterState struct {
	Revision         uint64                                 // the cache is complete up to here
	Complete         bool                                   // and knows the size of every claim
	IsLeader         bool                                   // this controller leads
	LeaderCompare    kv.Compare                             // under this condition
	Members          []Member                               // all live controllers, this one included
	Holders          []string                               // the shards
	InitialShare     Resources                              // what a holder is given at first, if there is enough: a machine's worth
	TeamUsageVersion func(team string) uint64               // the revision of the team's one record
	TeamUsage        func(team string) map[string]Resources // by the names that the one record has for holders
}

// LimitChanges lists the steps that are due. A limit begins and changes in two steps:
// the first voids all starts under way and lets none begin, the second divides anew
// once the cache holds all that was committed before the first. So no start passes
// a limit from the revision of its record on, whoever decided it and when. Lowered
// below what is used it is divided once enough has ended; nothing is stopped.
func (k *Manager) LimitChanges(s ClusterState) []LimitChange {
	var out []LimitChange
	for _, name := range slices.Sorted(maps.Keys(k.teams)) {
		t := k.teams[name]
		if t.busy {
			continue
		}
		if c, due := k.nextLimitChange(t, s); due {
			c.Team, c.team, t.busy = name, t, true
			c.Compares = append(c.Compares, kv.Compare{Key: records.TeamLimitPrefix + name, Version: t.limitVersion})
			out = append(out, c)
		}
	}
	return out
}

// legacyBarrier is the shard under which a limit that is allotted stands in the team's one
// record, as used up: sources that know no allotments start nothing then.
const legacyBarrier = "*"

func (k *Manager) nextLimitChange(t *team, s ClusterState) (LimitChange, bool) {
	able, agreed := k.allotmentsEnabled, true
	for _, m := range s.Members {
		able = able && m.QuotaVersion >= ProtocolVersion
		agreed = agreed && m.TeamsHash == k.configuredHash
	}
	rec := t.limit
	rec.Base = nil
	switch {
	case !t.isAllotted():
		if !s.IsLeader || !able || !agreed || t.configured.IsZero() {
			return LimitChange{}, false
		}
		stamp := s.TeamUsageVersion(t.name)
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: t.configured}
		return LimitChange{Description: "to be divided", Compares: []kv.Compare{s.LeaderCompare, {Key: records.TeamUsagePrefix + t.name, Version: stamp}},
			Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next},
				{Key: records.TeamUsagePrefix + t.name, Value: &records.TeamUsage{ByShard: map[string]Resources{legacyBarrier: t.configured}}}}}, true
	case t.lowersLimit():
		// Any controller may lower a limit that it was given; to wait for the leader
		// would let the others go on with the higher one.
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: lowerLimit(rec.Max, t.configured), Closing: rec.Closing}
		return LimitChange{Description: "lowered", Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}}}, true
	case !s.IsLeader:
		return LimitChange{}, false
	case rec.Closing:
		if s.Revision < t.limitVersion || !s.Complete {
			return LimitChange{}, false
		}
		stamp, uses := s.TeamUsageVersion(t.name), s.TeamUsage(t.name)
		team := &records.TeamUsage{ByShard: make(map[string]Resources)}
		for holder, a := range uses {
			if !a.IsZero() {
				team.ByShard[holder] = a
			}
		}
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: rec.Max, Closed: true}
		return LimitChange{Description: "counted in one record again", Compares: []kv.Compare{s.LeaderCompare, {Key: records.TeamUsagePrefix + t.name, Version: stamp}},
			Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}, {Key: records.TeamUsagePrefix + t.name, Value: team}}}, true
	case !able || (agreed && t.configured.IsZero()):
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: rec.Max, Closing: true}
		return LimitChange{Description: "to be counted in one record again", Compares: []kv.Compare{s.LeaderCompare}, Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}}}, true
	case agreed && t.configured != rec.Max:
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: t.configured}
		return LimitChange{Description: "raised", Compares: []kv.Compare{s.LeaderCompare}, Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}}}, true
	case t.limit.Base == nil:
		if s.Revision < t.limitVersion || !s.Complete {
			return LimitChange{}, false
		}
		base, ok := Divide(rec.Max, s.Holders, func(holder string) Resources { return k.usage(t.name, holder) }, s.InitialShare)
		if !ok {
			return LimitChange{}, false
		}
		next := &records.TeamLimit{Generation: rec.Generation + 1, Max: rec.Max, Base: base}
		return LimitChange{Description: "divided", Compares: []kv.Compare{s.LeaderCompare}, Ops: []kv.Op{{Key: records.TeamLimitPrefix + t.name, Value: next}}}, true
	}
	return LimitChange{}, false
}

// lowersLimit tells that this controller was given a lower limit than the record has.
func (t *team) lowersLimit() bool {
	return lowersPart(t.configured.CPUs, t.limit.Max.CPUs) || lowersPart(t.configured.GPUs, t.limit.Max.GPUs)
}

// lowersPart reports whether a configured limit is lower than the one on record; 0 is none.
func lowersPart(configured, onRecord float64) bool {
	return configured > 0 && (onRecord == 0 || configured < onRecord-tolerance)
}

// lowerLimit is the lower of two limits, part by part; 0 is none.
func lowerLimit(a, b Resources) Resources {
	return Resources{CPUs: lowerPart(a.CPUs, b.CPUs), GPUs: lowerPart(a.GPUs, b.GPUs)}
}

func lowerPart(a, b float64) float64 {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Divide splits a limit among the holders: each gets what it uses, then a machine's
// worth if half of the rest suffices for that, and what remains is with Wide, from
// which they ask for it. Nothing is divided while more is used than the limit.
func Divide(limit Resources, holders []string, uses func(holder string) Resources, least Resources) (map[string]Resources, bool) {
	base := make(map[string]Resources)
	left := limit
	for _, holder := range append([]string{CrossShard}, holders...) {
		u := limitedParts(uses(holder), limit)
		if !u.Within(left) {
			return nil, false
		}
		left = left.Minus(u)
		base[holder] = u
	}
	part := left.Times(0.5 / float64(max(1, len(holders))))
	if least = limitedParts(least, limit); least.Within(part) {
		for _, holder := range slices.Sorted(maps.Keys(base)) {
			if holder != CrossShard {
				base[holder] = base[holder].Plus(part)
				left = left.Minus(part)
			}
		}
	}
	base[CrossShard] = base[CrossShard].Plus(left)
	return base, true
}
