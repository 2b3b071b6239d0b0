package records

// GangReservation asks the owners of all shards to hold capacity for a job that fits no
// single shard. The leader writes it, on its Leader record and that there is none,
// attached to its lease, and deletes it on the version known.
type GangReservation struct {
	ExpiresAtMs int64 `json:"u"` // Unix milliseconds; for tidiness, the lease decides
}

// GangHold is the capacity that a shard holds for such a job. The shard's owner writes it,
// on its fencing token, the GangReservation and the version known, attached to its lease.
type GangHold struct {
	TasksByHost map[string]int `json:"m"`
}
