package failover

import "time"

// LastContact is when a controller last heard from those that may renew the leases of a
// shard's workers.
type LastContact struct {
	State time.Time // when the state service last executed a call
	Owner time.Time // when the shard's owner last sent a message
}

// MayExtendLease reports whether a controller that does not own a shard extends the leases
// of its workers, with the shard's recorded token and without any command. It does so if
// it has heard neither the state service nor the owner for longer than timeout: it is cut
// off from both, and so are the workers that call it. They would otherwise be redirected to
// an owner that they cannot reach, and lose their tasks when their leases expire.
func MayExtendLease(last LastContact, now time.Time, timeout time.Duration) bool {
	return now.Sub(last.State) > timeout && now.Sub(last.Owner) > timeout
}

// ColdStart is what a controller knows that has not read its records since it started.
type ColdStart struct {
	Uptime         time.Duration // since the process started
	HeardAnyone    bool          // state service, cloud or another controller has been heard since
	HasRemotePeers bool          // controllers are configured in other zones
}

const (
	// startupSettleTime is how long after its start a controller needs to hear from others
	// if nothing is wrong.
	startupSettleTime = 800 * time.Millisecond
	// restartTime is the longest time that a controller is assumed to have been down before
	// it started.
	restartTime = 10 * time.Second
)

// MayExtendUnread reports whether a controller that could not read its records extends the
// leases of the workers that call it, each with the token that the worker itself shows and
// without any command. It started behind a partition, and no other controller can reach
// these workers.
//
// Such a controller does not know which jobs are cancelled, and a stop command may have
// been lost with its former process. So it extends leases only up to the uptime from which
// a task that was cancelled when that process ended could outlive cancelLimit: cancelLimit
// less one lease and restartTime. It does not do so in an outage of the state service
// alone, in which no other controller might know of the cancellation either.
func MayExtendUnread(start ColdStart, cancelLimit, lease time.Duration) bool {
	partitioned := start.HasRemotePeers && !start.HeardAnyone
	return partitioned && start.Uptime > startupSettleTime && start.Uptime < cancelLimit-lease-restartTime
}
