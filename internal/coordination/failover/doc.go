// Package failover decides when a controller takes over a shard whose owner's lease has
// expired, and when a controller that does not own a shard extends the leases of its
// workers.
//
// Nothing here guarantees exclusive ownership: the compare-and-swap of the shard's record
// decides who owns a shard. The takeover order only spreads the attempts, so that machines
// of failed controllers are divided and few attempts fail. A lease that is extended by a
// controller other than the owner carries no command and no new fencing token.
//
// Every function depends on its arguments alone. The package has no clock, lock, goroutine
// or I/O. It imports the standard library alone and must not import other packages of the
// module.
package failover
