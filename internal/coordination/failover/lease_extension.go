package failover

import "time"

// LastContact holds the times of a controller's last contact with the state service and with
// the owner of a shard.
type LastContact struct {
	State time.Time // when the state service last executed a call of this controller
	Owner time.Time // when this controller last received a message from the owner
}

// MayExtendLease reports whether a controller that does not own a shard extends the leases
// of the shard's workers, without commands and with the shard's recorded fencing token, or with
// the one to which the recorded owner has raised the token of the worker's machine. The condition
// is that the controller has had no contact with the state service or the owner for longer than
// timeout. The controller is then partitioned from both, and so are the workers that send
// heartbeats to it. Without the extension these workers would be redirected to an owner that they
// cannot reach, and lose their tasks when their leases expire.
func MayExtendLease(last LastContact, now time.Time, timeout time.Duration) bool {
	return now.Sub(last.State) > timeout && now.Sub(last.Owner) > timeout
}

// ColdStart describes a controller that has not read its records since its process started.
type ColdStart struct {
	Uptime         time.Duration // time since the process started
	HadContact     bool          // the process has had contact with the state service, the cloud or another controller since its start
	HasRemotePeers bool          // controllers are configured in other zones
}

const (
	// startupSettleTime is the time within which a controller that is not partitioned has
	// contact with another process after its start.
	startupSettleTime = 800 * time.Millisecond
	// restartTime is the longest time that is assumed between the end of a controller's
	// former process and the start of the present one.
	restartTime = 10 * time.Second
)

// MayExtendLeaseAfterColdStart reports whether a controller that has not read its records
// since its start extends the leases of the workers that send heartbeats to it, each with the
// fencing token of the worker's own heartbeat and without commands. The condition is that the
// controller started behind a partition, so that no other controller can reach these workers.
//
// Such a controller has no record of cancelled jobs, and a stop command may have been lost
// with its former process. Leases are therefore extended only while the uptime is less than
// cancelLimit minus one lease and restartTime. With a later extension, a task whose job was
// cancelled when the former process ended could run for longer than cancelLimit after the
// cancellation. Leases are not extended in an outage of the state service alone, in which the
// cancellation may have reached no other controller either.
func MayExtendLeaseAfterColdStart(start ColdStart, cancelLimit, lease time.Duration) bool {
	partitioned := start.HasRemotePeers && !start.HadContact
	return partitioned && start.Uptime > startupSettleTime && start.Uptime < cancelLimit-lease-restartTime
}
