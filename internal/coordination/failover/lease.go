package failover

import "time"

// LastContact is when a controller last heard from those that matter for a lease.
type LastContact struct {
	State time.Time // the state service executed a call
	Owner time.Time // the shard's owner spoke
}

// MayExtendLease tells whether a controller that does not own a shard keeps the leases
// of its machines, with the shard's token as recorded and without any order:
// when it hears neither the state service nor the owner, it is cut off from both,
// and so are the workers that turn to it. To send them back to the owner, as is
// done otherwise, lets their leases run out and with them all that they run.
func MayExtendLease(w LastContact, now time.Time, deaf time.Duration) bool {
	return now.Sub(w.State) > deaf && now.Sub(w.Owner) > deaf
}

// ColdStart is what a controller knows that has not read its records since it began.
type ColdStart struct {
	Uptime         time.Duration // for how long it has run
	HeardAnyone    bool          // state service, cloud or another controller have spoken since
	HasRemotePeers bool          // there are controllers in other zones that should have
}

// startupSettleTime is how long a controller needs to hear from others after its start,
// when all is well.
const startupSettleTime = 800 * time.Millisecond

// restartTime is how long a controller may have been away before its start.
const restartTime = 10 * time.Second

// MayExtendUnread tells whether a controller that could not read its records keeps the
// leases of the workers that turn to it, each with the token that it shows itself
// and without any order: it began behind a cut, and nobody else can.
//
// It does not know which jobs are cancelled, and an order to stop may have been
// lost with the process before it. So it does so only for as long as even a task
// that was cancelled then is gone in time once its lease runs out; and not in an
// outage of the state service alone, in which no other controller might know
// either.
func MayExtendUnread(u ColdStart, cancel, lease time.Duration) bool {
	return u.HasRemotePeers && !u.HeardAnyone && u.Uptime > startupSettleTime && u.Uptime < cancel-lease-restartTime
}
