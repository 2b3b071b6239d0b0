package replica

import (
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// gangRetryPause is for how long no capacity is reserved again for a job whose reservation
// has ended.
const gangRetryPause = 20 * time.Second

// GangReservation is the reservation of capacity across shards for one gang. The leader
// makes it, the owners of the shards add their holds.
type GangReservation struct {
	Record  records.GangReservation
	Version uint64               // 0: there is no record
	Writing bool                 // a change of the record is in progress
	Holds   map[string]*GangHold // by shard
	RetryAt time.Time            // not made again before
}

// GangHold is the capacity that one shard's owner keeps free for a gang.
type GangHold struct {
	Record  records.GangHold
	Version uint64         // 0: there is no record
	Writing bool           // a change of the record is in progress
	Pending map[string]int // tasks by host, as being recorded
}

// GangReservation returns a job's reservation, and makes an empty one if there is none.
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

// ApplyGangHold applies the record of one shard's hold. name is the job's and the shard's,
// with a slash between them.
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
