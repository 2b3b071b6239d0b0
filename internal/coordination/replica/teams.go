package replica

import (
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// TaskResources is what one task of a job takes of its team's limit and guarantee.
func TaskResources(s *protocol.Submission) quota.Resources { return s.TaskResources() }

// UsedBy is what a team has placed in a shard, or across shards.
func (v *View) UsedBy(team, holder string) quota.Resources {
	if holder == quota.CrossShard {
		holder = ""
	}
	return v.UseByShard[TeamShard{team, holder}]
}

// KnowsUse tells whether the size of all that a shard's claims place is known. A claim
// can be read before its job; until then nobody can say whose use it is.
func (v *View) KnowsUse(holder string) bool {
	for _, set := range v.OrphanClaims {
		for _, claim := range set {
			if claim.Record == nil || claim.Record.Shard == holder || (claim.Record.Shard == "" && holder == quota.CrossShard) {
				return false
			}
		}
	}
	return true
}

type TeamUsage struct {
	Record  records.TeamUsage
	Version uint64
	Writing bool
}

func (v *View) Team(name string) *TeamUsage {
	usage := v.Teams[name]
	if usage == nil {
		usage = &TeamUsage{}
		v.Teams[name] = usage
	}
	return usage
}
