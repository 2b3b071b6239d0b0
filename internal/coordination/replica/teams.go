package replica

import (
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TeamUsage is a team's usage record, by which the claims of the team are kept within its
// limit while the limit is not allotted.
type TeamUsage struct {
	Record  records.TeamUsage
	Version uint64
	Writing bool // a change of the record is in progress
}

// Team returns a team's usage record, and creates an empty one if there is none.
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

// UsedBy returns the resources for which a team is charged in a shard, or, if the holder is
// quota.CrossShard, across shards.
func (v *View) UsedBy(team, holder string) quota.Resources {
	if holder == quota.CrossShard {
		holder = ""
	}
	return v.UseByShard[TeamShard{team, holder}]
}

// IsUseKnown reports whether all claims of a holder are charged to their teams. A claim can be
// read before its job; until the job is read, the use of the claim cannot be charged.
func (v *View) IsUseKnown(holder string) bool {
	for _, claims := range v.OrphanClaims {
		for _, claim := range claims {
			if claim.Record == nil || claim.Record.Shard == holder || (claim.Record.Shard == "" && holder == quota.CrossShard) {
				return false
			}
		}
	}
	return true
}
