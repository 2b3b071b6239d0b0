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

func (v *View) GangReservation(jobID string) *GangReservation {
	reservation := v.GangReservations[jobID]
	if reservation == nil {
		reservation = &GangReservation{Holds: make(map[string]*GangHold)}
		v.GangReservations[jobID] = reservation
	}
	return reservation
}

func (v *View) ApplyGangReservation(jobID string, record *records.GangReservation, version uint64) {
	reservation := v.GangReservation(jobID)
	if record == nil {
		// Gone with its purpose, or with the leader's lease.
		reservation.Version, reservation.RetryAt = 0, time.Now().Add(gangRetryPause)
		return
	}
	reservation.Record, reservation.Version = *record, version
}

func (v *View) ApplyGangHold(key string, record *records.GangHold, version uint64) {
	jobID, shard, _ := strings.Cut(key, "/")
	reservation := v.GangReservation(jobID)
	hold := reservation.Holds[shard]
	if hold == nil {
		hold = &GangHold{}
		reservation.Holds[shard] = hold
	}
	hold.Record, hold.Version = records.GangHold{}, 0
	if record != nil {
		hold.Record, hold.Version = *record, version
	}
}
