package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// ProtocolVersion is the quota version that a controller advertises if it supports
// allotments.
const ProtocolVersion = 1

// Manager keeps the records of teams' limits and guarantees, and the demands that
// controllers report. Its caller must hold a lock around every method call, and apply every
// version of a record in the order of revisions.
type Manager struct {
	allotmentsEnabled bool
	configured        map[string]protocol.Team
	configuredHash    uint64
	teams             map[string]*teamState
	usage             UsageFunc
}

// UsageFunc returns the resources that a team's placements use in a shard or, for
// CrossShard, across shards. While a new version of a claim is being committed, the larger of
// its committed and its new version counts.
type UsageFunc func(team, holder string) Resources

// teamState holds the records and demands of one team.
type teamState struct {
	name       string
	configured Resources // the limit in this controller's settings

	limit              records.TeamLimit
	limitVersion       uint64
	limitChangePending bool // a change of the limit's record is being committed
	allotments         map[string]allotment
	grantCache         map[string]Resources // by holder; nil once a record has changed

	reservations        records.Reservations
	reservationsVersion uint64

	transferring map[string]Resources     // amounts whose transfer is being committed, by donor
	demands      map[string]*holderDemand // by holder

	waitingSince      time.Time // since when the limit has held up a job of the team; zero if the limit holds up no job
	waitingReportedAt time.Time // when WaitingTeams last returned the team
}

// allotment is the record of a holder's allotment, and the record's version.
type allotment struct {
	record  records.Allotment
	version uint64
}

// New returns a manager for the teams of the settings. With allotments disabled no limit is
// divided, and use under limits that were divided before is counted in the teams' TeamUsage
// records again.
func New(configured map[string]protocol.Team, allotmentsEnabled bool, usage UsageFunc) *Manager {
	m := &Manager{allotmentsEnabled: allotmentsEnabled, configured: configured, teams: make(map[string]*teamState), usage: usage}
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(configured)) {
		settings := configured[name]
		fmt.Fprintf(digest, "%s\x00%v\x00%v\x00", name, settings.MaxCPUs, settings.MaxGPUs)
		m.team(name)
	}
	m.configuredHash = digest.Sum64()
	return m
}

// Advertised returns the values that this controller publishes in its Node record: its
// quota version, which is 0 with allotments disabled, and a hash of the limits in its
// settings.
func (m *Manager) Advertised() (version int, teamsHash uint64) {
	if !m.allotmentsEnabled {
		return 0, m.configuredHash
	}
	return ProtocolVersion, m.configuredHash
}

// team returns a team's state, which is created on first use.
func (m *Manager) team(name string) *teamState {
	team := m.teams[name]
	if team == nil {
		team = &teamState{name: name, configured: m.configured[name].Limit(), allotments: make(map[string]allotment),
			transferring: make(map[string]Resources), demands: make(map[string]*holderDemand)}
		m.teams[name] = team
	}
	return team
}

// ApplyLimit applies a version of a team's limit record; nil means that there is no record.
func (m *Manager) ApplyLimit(name string, record *records.TeamLimit, version uint64) {
	team := m.team(name)
	team.limit, team.limitVersion, team.grantCache = records.TeamLimit{}, version, nil
	if record != nil {
		team.limit = *record
	}
}

// ApplyAllotment applies a version of a holder's allotment record; nil means that there is
// no record. The key has the form TEAM/HOLDER, without records.AllotmentPrefix. A key
// without a slash is ignored.
func (m *Manager) ApplyAllotment(key string, record *records.Allotment, version uint64) {
	slash := strings.LastIndexByte(key, '/')
	if slash < 0 {
		return
	}
	team := m.team(key[:slash])
	team.grantCache = nil
	if record == nil {
		record = &records.Allotment{}
	}
	team.allotments[key[slash+1:]] = allotment{*record, version}
}

// ApplyReservations applies a version of a team's reservations record; nil means that there
// is no record.
func (m *Manager) ApplyReservations(name string, record *records.Reservations, version uint64) {
	team := m.team(name)
	team.reservations, team.reservationsVersion = records.Reservations{}, version
	if record != nil {
		team.reservations = *record
	}
}
