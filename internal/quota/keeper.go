package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderslip/internal/ledger"
	"madderslip/internal/protocol"
)

// Version is what controllers of these sources say of themselves: they allot limits.
const Version = 1

// Keeper holds what the records and the other controllers say about teams' limits
// and guarantees. Its caller guards it, and tells it every version of a record in
// the order of their revisions.
type Keeper struct {
	on    bool
	set   map[string]protocol.Team
	hash  uint64
	teams map[string]*team
	uses  Uses
}

// Uses tells what a team's placements in a shard come to, or with Wide those across
// shards: committed ones and those being committed, whichever is more.
type Uses func(team, holder string) Amount

type team struct {
	name  string
	set   Amount // the limit that this controller was given
	limit ledger.Limit
	stamp uint64
	allot map[string]allotment // by holder
	grant map[string]Amount    // kept until a record changes
	busy  bool                 // a change of the limit's record is under way
	book  ledger.Bookings
	books uint64             // its revision
	lent  map[string]Amount  // gifts under way, by giver
	wants map[string]*wanted // by holder
	began time.Time          // when a job of it was first held up by the limit, until none is
	told  time.Time
}

type allotment struct {
	rec   ledger.Allotment
	stamp uint64
}

type wanted struct {
	Want
	at   time.Time // when it was said last
	from string    // by whom; empty: this controller
	made time.Time // since when it waits
}

// stale is how long another controller's want counts after it was last said.
const stale = 3 * time.Second

// New makes a keeper for the teams of the settings. With on unset no limit is
// allotted, and what is allotted is counted in one record again.
func New(set map[string]protocol.Team, on bool, uses Uses) *Keeper {
	k := &Keeper{on: on, set: set, teams: make(map[string]*team), uses: uses}
	d := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(set)) {
		t := set[name]
		fmt.Fprintf(d, "%s\x00%v\x00%v\x00", name, t.CPUsMax, t.GMax)
		k.team(name)
	}
	k.hash = d.Sum64()
	return k
}

// Says is what this controller's own record tells the others.
func (k *Keeper) Says() (version int, teams uint64) {
	if !k.on {
		return 0, k.hash
	}
	return Version, k.hash
}

// Idle tells that no team has a limit, by the settings or on record.
func (k *Keeper) Idle() bool {
	for _, t := range k.teams {
		if t.stamp != 0 || !t.set.Zero() {
			return false
		}
	}
	return true
}

func (k *Keeper) team(name string) *team {
	t := k.teams[name]
	if t == nil {
		t = &team{name: name, set: Amount{k.set[name].CPUsMax, k.set[name].GMax}, allot: make(map[string]allotment),
			lent: make(map[string]Amount), wants: make(map[string]*wanted)}
		k.teams[name] = t
	}
	return t
}

// StoreLimit takes a version of a team's limit.
func (k *Keeper) StoreLimit(name string, r *ledger.Limit, stamp uint64) {
	t := k.team(name)
	t.limit, t.stamp, t.grant = ledger.Limit{}, stamp, nil
	if r != nil {
		t.limit = *r
	}
}

// StoreAllotment takes a version of what a holder has given; the key is below
// ledger.AllotKeys.
func (k *Keeper) StoreAllotment(key string, r *ledger.Allotment, stamp uint64) {
	cut := strings.LastIndexByte(key, '/')
	if cut < 0 {
		return
	}
	t := k.team(key[:cut])
	t.grant = nil
	if r == nil {
		r = &ledger.Allotment{}
	}
	t.allot[key[cut+1:]] = allotment{*r, stamp}
}

// StoreBookings takes a version of a team's bookings.
func (k *Keeper) StoreBookings(name string, r *ledger.Bookings, stamp uint64) {
	t := k.team(name)
	t.book, t.books = ledger.Bookings{}, stamp
	if r != nil {
		t.book = *r
	}
}

// allotted tells whether the limit is divided, or about to be: starts are not
// counted in the team's one record.
func (t *team) allotted() bool { return t.stamp != 0 && t.limit.Gen > 0 && !t.limit.Off }

// limitNow is the limit that counts: the record's while it is allotted.
func (t *team) limitNow() Amount {
	if t.allotted() {
		return t.limit.Max
	}
	return t.set
}

// Limited tells whether a task of a size counts against its team's limit.
func (k *Keeper) Limited(name string, unit Amount) bool {
	t := k.teams[name]
	if t == nil {
		return false
	}
	limit := t.limitNow()
	return (limit[0] > 0 && unit[0] > 0) || (limit[1] > 0 && unit[1] > 0)
}

// Limit is what a team may use altogether; 0 in a part: no limit.
func (k *Keeper) Limit(name string) Amount {
	if t := k.teams[name]; t != nil {
		return t.limitNow()
	}
	return Amount{}
}

// Allotted tells whether a team's starts are bounded by allotments.
func (k *Keeper) Allotted(name string) bool { return k.teams[name] != nil && k.teams[name].allotted() }

// Conds are the conditions of every change of a limited team's claims: the limit is
// as this controller knows it. A change of the limit so voids what is under way, and
// no start passes it from its record's revision on.
func (k *Keeper) Conds(name string) []ledger.Cond {
	t := k.teams[name]
	if t == nil || (t.stamp == 0 && t.set.Zero()) {
		return nil
	}
	return []ledger.Cond{{Key: ledger.LimitKeys + name, Stamp: t.stamp}}
}

// grants works out what each holder may use.
func (t *team) grants() map[string]Amount {
	if t.grant != nil {
		return t.grant
	}
	t.grant = make(map[string]Amount, len(t.limit.Base))
	if t.limit.Base == nil || t.limit.Closing {
		return t.grant
	}
	sum := make(map[string]Amount)
	for holder, a := range t.limit.Base {
		sum[holder] = a
	}
	for _, holder := range slices.Sorted(maps.Keys(t.allot)) {
		a := t.allot[holder].rec
		if a.Gen != t.limit.Gen {
			continue // of an earlier division
		}
		for _, to := range slices.Sorted(maps.Keys(a.Given)) {
			sum[to] = sum[to].Plus(a.Given[to])
			sum[holder] = Amount{sum[holder][0] - a.Given[to][0], sum[holder][1] - a.Given[to][1]}
		}
	}
	for holder, a := range sum {
		t.grant[holder] = a.Less(Amount{})
	}
	return t.grant
}

// Free is what a holder may still use; a part without a limit is endless.
func (k *Keeper) Free(name, holder string) Amount {
	free := Amount{math.Inf(1), math.Inf(1)}
	t := k.teams[name]
	if t == nil || !t.allotted() {
		return free
	}
	for p := range free {
		// Of two limits that controllers were given the lower one counts, and from
		// this very moment for this one.
		if t.set[p] > 0 && (t.limit.Max[p] == 0 || t.set[p] < t.limit.Max[p]-eps) {
			return Amount{}
		}
	}
	if t.limit.Base == nil {
		return Amount{}
	}
	left := t.grants()[holder].Less(t.lent[holder]).Less(k.uses(name, holder))
	for p := range free {
		if t.limit.Max[p] > 0 {
			free[p] = left[p]
		}
	}
	return free
}

// Allowance is how many tasks of a size a holder may still start, if others are not
// to be served first.
func (k *Keeper) Allowance(name, holder string, unit Amount) int {
	return k.Free(name, holder).count(unit, k.Limit(name))
}

// Grant is what a holder may use altogether, for the log.
func (k *Keeper) Grant(name, holder string) Amount {
	if t := k.teams[name]; t != nil && t.allotted() {
		return t.grants()[holder]
	}
	return Amount{}
}
