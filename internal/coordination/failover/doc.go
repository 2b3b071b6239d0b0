// Package failover decides which controller takes over a shard whose owner's lease has
// expired, and when a controller that does not own a shard extends its workers' leases.
//
// It has no clock and does no I/O. The conditional write of the shard's record decides who
// owns it; what is decided here only spreads the attempts.
package failover
