package replica

import (
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TeamUsage is the record by which claims of one team are kept within its limit.
type TeamUsage struct {
	Record  records.TeamUsage
	Version uint64
	Writing bool // a change of the record is in progress
}

// Team returns a team's usage record, and makes an empty one if there is none.
func (v *View) Team(name string) *TeamUsage {
	usage := v.Teams[name]
	if usage == nil {
		usage = &TeamUsage{}
		v.Teams[name] = usage
	}
	return usage
}

// applyTeamUsage applies a team's usage record. The record is never removed.
func (v *View) applyTeamUsage(name string, record *records.TeamUsage, version uint64) {
	if record == nil {
		return
	}
	usage := v.Team(name)
	usage.Record, usage.Version = *record, version
}

// TaskResources returns what one task of a job uses of its team's limit and guarantee.
func TaskResources(spec *protocol.Submission) quota.Resources { return spec.TaskResources() }

// UsedBy returns what a team has placed in a shard, or across shards if the holder is
// quota.CrossShard.
func (v *View) UsedBy(team, holder string) quota.Resources {
	if holder == quota.CrossShard {
		holder = ""
	}
	return v.UseByShard[TeamShard{team, holder}]
}

// KnowsUse reports whether the size of all that a holder's claims place is known. A claim
// can be read before its job; until then its use can be charged to no team.
func (v *View) KnowsUse(holder string) bool {
	for _, claims := range v.OrphanClaims {
		for _, claim := range claims {
			if claim.Record == nil || claim.Record.Shard == holder || (claim.Record.Shard == "" && holder == quota.CrossShard) {
				return false
			}
		}
	}
	return true
}
