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

// ProtocolVersion is the quota version that a controller of this version advertises: it
// allots limits.
const ProtocolVersion = 1

// Manager keeps what the records and the other controllers say about teams' limits and
// guarantees. Its methods need the caller's lock. Every version of a record has to be
// applied in the order of revisions.
type Manager struct {
	allotmentsEnabled bool
	configured        map[string]protocol.Team
	configuredHash    uint64
	teams             map[string]*teamState
	usage             UsageFunc
}

// UsageFunc returns what a team's placements take in a shard or, for CrossShard, across
// shards. Of a placement's committed version and the one being committed the larger
// counts.
type UsageFunc func(team, holder string) Resources

// teamState is all that is known of one team.
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

	transferring map[string]Resources     // being committed, by the holder that transfers
	demands      map[string]*holderDemand // by holder

	waitingSince      time.Time // since when the limit has held up a job of it; zero: it does not
	waitingReportedAt time.Time // when WaitingTeams last listed it
}

// allotment is a holder's record and its version.
type allotment struct {
	record  records.Allotment
	version uint64
}

// New returns a manager for the teams of the settings. With allotments disabled no limit
// is divided, and divided ones return to the team's TeamUsage record.
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

// Advertised returns what this controller's Node record tells the others: the quota
// version, 0 if it does not allot limits, and a hash of the limits in its settings.
func (m *Manager) Advertised() (version int, teamsHash uint64) {
	if !m.allotmentsEnabled {
		return 0, m.configuredHash
	}
	return ProtocolVersion, m.configuredHash
}

// team returns a team's state, made on first use.
func (m *Manager) team(name string) *teamState {
	team := m.teams[name]
	if team == nil {
		team = &teamState{name: name, configured: m.configured[name].Limit(), allotments: make(map[string]allotment),
			transferring: make(map[string]Resources), demands: make(map[string]*holderDemand)}
		m.teams[name] = team
	}
	return team
}

// ApplyLimit applies a version of a team's limit; nil: there is none.
func (m *Manager) ApplyLimit(name string, record *records.TeamLimit, version uint64) {
	team := m.team(name)
	team.limit, team.limitVersion, team.grantCache = records.TeamLimit{}, version, nil
	if record != nil {
		team.limit = *record
	}
}

// ApplyAllotment applies a version of a holder's allotment; nil: there is none. The key
// comes without records.AllotmentPrefix: the team, a slash and the holder. Any other key is
// ignored.
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

// ApplyReservations applies a version of a team's reservations; nil: there are none.
func (m *Manager) ApplyReservations(name string, record *records.Reservations, version uint64) {
	team := m.team(name)
	team.reservations, team.reservationsVersion = records.Reservations{}, version
	if record != nil {
		team.reservations = *record
	}
}
