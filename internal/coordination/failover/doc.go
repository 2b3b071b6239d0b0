// Package failover decides when a controller takes over a shard whose owner's lease has
// expired, and when a controller that does not own a shard extends the leases of the
// shard's workers.
//
// The package does not guarantee exclusive ownership: the compare-and-swap of a shard's
// record determines the shard's owner. The takeover order spreads the attempts over time, so
// that the machines of failed controllers are divided among the live ones and few attempts
// fail. A response by which a controller other than the owner extends a lease carries no
// command and no new fencing token.
//
// Every function depends on its arguments alone. The package has no clock, lock, goroutine
// or I/O. It imports only the standard library and must not import other packages of the
// module.
package failover
