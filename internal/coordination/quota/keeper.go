package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// ProtocolVersion is what controllers of these sources say of themselves: they allot limits.
const ProtocolVersion = 1

// Manager holds what the records and the other controllers say about teams' limits
// and guarantees. Its caller guards it, and tells it every version of a record in
// the order of their revisions.
type Manager struct {
	allotmentsEnabled bool
	configured        map[string]protocol.Team
	configuredHash    uint64
	teams             map[string]*team
	usage             UsageFunc
}

// UsageFunc tells what a team's placements in a shard come to, or with Wide those across
// shards: committed ones and those being committed, whichever is more.
type UsageFunc func(team, holder string) Resources

type team struct {
	name                string
	configured          Resources // the limit that this controller was given
	limit               records.TeamLimit
	limitVersion        uint64
	allotments          map[string]allotment // by holder
	grantCache          map[string]Resources // kept until a record changes
	busy                bool                 // a change of the limit's record is under way
	reservations        records.Reservations
	reservationsVersion uint64                   // its revision
	transferring        map[string]Resources     // gifts under way, by giver
	demands             map[string]*holderDemand // by holder
	waitingSince        time.Time                // when a job of it was first held up by the limit, until none is
	reportedAt          time.Time
}

type allotment struct {
	record  records.Allotment
	version uint64
}

type holderDemand struct {
	Demand
	reportedAt time.Time // when it was said last
	reportedBy string    // by whom; empty: this controller
	since      time.Time // since when it waits
}

// demandTTL is how long another controller's want counts after it was last said.
const demandTTL = 3 * time.Second

// New makes a keeper for the teams of the settings. With on unset no limit is
// allotted, and what is allotted is counted in one record again.
func New(set map[string]protocol.Team, on bool, uses UsageFunc) *Manager {
	k := &Manager{allotmentsEnabled: on, configured: set, teams: make(map[string]*team), usage: uses}
	d := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(set)) {
		t := set[name]
		fmt.Fprintf(d, "%s\x00%v\x00%v\x00", name, t.MaxCPUs, t.MaxGPUs)
		k.team(name)
	}
	k.configuredHash = d.Sum64()
	return k
}

// Advertised is what this controller's own record tells the others.
func (k *Manager) Advertised() (version int, teams uint64) {
	if !k.allotmentsEnabled {
		return 0, k.configuredHash
	}
	return ProtocolVersion, k.configuredHash
}

// HasNoLimits tells that no team has a limit, by the settings or on record.
func (k *Manager) HasNoLimits() bool {
	for _, t := range k.teams {
		if t.limitVersion != 0 || !t.configured.IsZero() {
			return false
		}
	}
	return true
}

func (k *Manager) team(name string) *team {
	t := k.teams[name]
	if t == nil {
		t = &team{name: name, configured: k.configured[name].Limit(), allotments: make(map[string]allotment),
			transferring: make(map[string]Resources), demands: make(map[string]*holderDemand)}
		k.teams[name] = t
	}
	return t
}

// ApplyLimit takes a version of a team's limit.
func (k *Manager) ApplyLimit(name string, r *records.TeamLimit, stamp uint64) {
	t := k.team(name)
	t.limit, t.limitVersion, t.grantCache = records.TeamLimit{}, stamp, nil
	if r != nil {
		t.limit = *r
	}
}

// ApplyAllotment takes a version of what a holder has given; the key is below
// records.AllotmentPrefix.
func (k *Manager) ApplyAllotment(key string, r *records.Allotment, stamp uint64) {
	cut := strings.LastIndexByte(key, '/')
	if cut < 0 {
		return
	}
	t := k.team(key[:cut])
	t.grantCache = nil
	if r == nil {
		r = &records.Allotment{}
	}
	t.allotments[key[cut+1:]] = allotment{*r, stamp}
}

// ApplyReservations takes a version of a team's bookings.
func (k *Manager) ApplyReservations(name string, r *records.Reservations, stamp uint64) {
	t := k.team(name)
	t.reservations, t.reservationsVersion = records.Reservations{}, stamp
	if r != nil {
		t.reservations = *r
	}
}

// isAllotted tells whether the limit is divided, or about to be: starts are not
// counted in the team's one record.
func (t *team) isAllotted() bool {
	return t.limitVersion != 0 && t.limit.Generation > 0 && !t.limit.Closed
}

// effectiveLimit is the limit that counts: the record's while it is allotted.
func (t *team) effectiveLimit() Resources {
	if t.isAllotted() {
		return t.limit.Max
	}
	return t.configured
}

// IsLimited tells whether a task of a size counts against its team's limit.
func (k *Manager) IsLimited(name string, unit Resources) bool {
	t := k.teams[name]
	if t == nil {
		return false
	}
	limit := t.effectiveLimit()
	return (limit.CPUs > 0 && unit.CPUs > 0) || (limit.GPUs > 0 && unit.GPUs > 0)
}

// Limit is what a team may use altogether; 0 in a part: no limit.
func (k *Manager) Limit(name string) Resources {
	if t := k.teams[name]; t != nil {
		return t.effectiveLimit()
	}
	return Resources{}
}

// IsAllotted tells whether a team's starts are bounded by allotments.
func (k *Manager) IsAllotted(name string) bool {
	return k.teams[name] != nil && k.teams[name].isAllotted()
}

// LimitCompares are the conditions of every change of a limited team's claims: the limit is
// as this controller knows it. A change of the limit so voids what is under way, and
// no start passes it from its record's revision on.
func (k *Manager) LimitCompares(name string) []kv.Compare {
	t := k.teams[name]
	if t == nil || (t.limitVersion == 0 && t.configured.IsZero()) {
		return nil
	}
	return []kv.Compare{{Key: records.TeamLimitPrefix + name, Version: t.limitVersion}}
}

// grants works out what each holder may use.
func (t *team) grants() map[string]Resources {
	if t.grantCache != nil {
		return t.grantCache
	}
	t.grantCache = make(map[string]Resources, len(t.limit.Base))
	if t.limit.Base == nil || t.limit.Closing {
		return t.grantCache
	}
	sum := make(map[string]Resources)
	for holder, a := range t.limit.Base {
		sum[holder] = a
	}
	for _, holder := range slices.Sorted(maps.Keys(t.allotments)) {
		a := t.allotments[holder].record
		if a.Generation != t.limit.Generation {
			continue // of an earlier division
		}
		for _, to := range slices.Sorted(maps.Keys(a.Transferred)) {
			sum[to] = sum[to].Plus(a.Transferred[to])
			sum[holder] = sum[holder].Difference(a.Transferred[to])
		}
	}
	for holder, a := range sum {
		t.grantCache[holder] = a.NonNegative()
	}
	return t.grantCache
}

// Free is what a holder may still use; a part without a limit is endless.
func (k *Manager) Free(name, holder string) Resources {
	free := Resources{CPUs: math.Inf(1), GPUs: math.Inf(1)}
	t := k.teams[name]
	if t == nil || !t.isAllotted() {
		return free
	}
	// Of two limits that controllers were given the lower one counts, and from
	// this very moment for this one.
	if t.lowersLimit() {
		return Resources{}
	}
	if t.limit.Base == nil {
		return Resources{}
	}
	left := t.grants()[holder].Minus(t.transferring[holder]).Minus(k.usage(name, holder))
	if t.limit.Max.CPUs > 0 {
		free.CPUs = left.CPUs
	}
	if t.limit.Max.GPUs > 0 {
		free.GPUs = left.GPUs
	}
	return free
}

// Allowance is how many tasks of a size a holder may still start, if others are not
// to be served first.
func (k *Manager) Allowance(name, holder string, unit Resources) int {
	return TasksThatFit(k.Free(name, holder), unit, k.Limit(name))
}

// Grant is what a holder may use altogether, for the log.
func (k *Manager) Grant(name, holder string) Resources {
	if t := k.teams[name]; t != nil && t.isAllotted() {
		return t.grants()[holder]
	}
	return Resources{}
}
