package replica

import (
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// gangRetryPause is for how long no capacity is reserved again for a job whose reservation
// has ended.
const gangRetryPause = 20 * time.Second

// GangReservation is the search for room across shards for one gang.
type GangReservation struct {
	Record  records.GangReservation
	Version uint64
	Writing bool
	Holds   map[string]*GangHold // by shard
	RetryAt time.Time            // not sought anew before
}

type GangHold struct {
	Record  records.GangHold
	Version uint64
	Writing bool
	Pending map[string]int // what is being recorded as held
}

func (v *View) GangReservation(ref string) *GangReservation {
	g := v.GangReservations[ref]
	if g == nil {
		g = &GangReservation{Holds: make(map[string]*GangHold)}
		v.GangReservations[ref] = g
	}
	return g
}

func (v *View) ApplyGangReservation(ref string, r *records.GangReservation, stamp uint64) {
	g := v.GangReservation(ref)
	if r == nil {
		// Gone with its purpose, or with the leader's lease.
		g.Version, g.RetryAt = 0, time.Now().Add(gangRetryPause)
		return
	}
	g.Record, g.Version = *r, stamp
}

func (v *View) ApplyGangHold(key string, r *records.GangHold, stamp uint64) {
	ref, shard, _ := strings.Cut(key, "/")
	g := v.GangReservation(ref)
	h := g.Holds[shard]
	if h == nil {
		h = &GangHold{}
		g.Holds[shard] = h
	}
	h.Record, h.Version = records.GangHold{}, 0
	if r != nil {
		h.Record, h.Version = *r, stamp
	}
}
