package records

// GangReservation requests the owners of all shards to hold capacity for a job that fits no
// single shard. The leader writes it, conditional on its Leader record and on the absence of
// the reservation, and attaches it to its lease. It deletes the record, conditional on the
// known version.
type GangReservation struct {
	ExpiresAtMs int64 `json:"u"` // Unix milliseconds; after this time the leader deletes the reservation, which ends in any case when its lease expires
}

// GangHold is the capacity that a shard holds for the job of a GangReservation. The shard's
// owner writes it, conditional on its fencing token, the GangReservation and the known
// version, and attaches it to its lease.
type GangHold struct {
	TasksByHost map[string]int `json:"m"`
}
