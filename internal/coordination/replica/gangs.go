package replica

import (
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// gangRetryPause is how long after the end of a job's reservation no capacity is reserved
// for the job again.
const gangRetryPause = 20 * time.Second

// gangYieldTime is how long after the end of a reservation no capacity is reserved for another job
// if the gang was not placed.
const gangYieldTime = 3 * time.Second

// GangReservation is the reservation of capacity across shards for one gang. The leader
// creates the reservation, and the shards' owners add their holds.
type GangReservation struct {
	Record  records.GangReservation
	Version uint64               // 0: there is no record
	Writing bool                 // a change of the record is in progress
	Holds   map[string]*GangHold // by shard
	RetryAt time.Time            // earliest next reservation for the job
}

// YieldsUntil returns the time until which no capacity is reserved for another job, since the
// reservation has ended; zero: the reservation has never ended.
func (r *GangReservation) YieldsUntil() time.Time {
	if r.RetryAt.IsZero() {
		return time.Time{}
	}
	return r.RetryAt.Add(gangYieldTime - gangRetryPause)
}

// GangHold is the capacity that one shard's owner keeps free for a gang.
type GangHold struct {
	Record  records.GangHold
	Version uint64         // 0: there is no record
	Writing bool           // a change of the record is in progress
	Pending map[string]int // by host: number of tasks in the version of the hold that is being committed
}

// GangReservation returns a job's reservation, and creates an empty one if there is none.
func (v *View) GangReservation(jobID string) *GangReservation {
	reservation := v.GangReservations[jobID]
	if reservation == nil {
		reservation = &GangReservation{Holds: make(map[string]*GangHold)}
		v.GangReservations[jobID] = reservation
	}
	return reservation
}

// ApplyGangReservation applies a gang reservation's record. A nil record means that the
// reservation was released, or that the lease of the leader that made it has expired.
func (v *View) ApplyGangReservation(jobID string, record *records.GangReservation, version uint64) {
	reservation := v.GangReservation(jobID)
	if record == nil {
		reservation.Version, reservation.RetryAt = 0, time.Now().Add(gangRetryPause)
		return
	}
	reservation.Record, reservation.Version = *record, version
}

// ApplyGangHold applies the record of one shard's hold. name consists of the job's ID and the
// shard's name, separated by a slash.
func (v *View) ApplyGangHold(name string, record *records.GangHold, version uint64) {
	jobID, shard, _ := strings.Cut(name, "/")
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
