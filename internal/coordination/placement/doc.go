// Package placement decides on which machines of a shard the tasks of queued jobs start. It
// scores machines, reserves them for blocked jobs and plans preemptions. It also decides how
// much capacity best-effort arrays may use, how much is provisioned for arrays, and when an
// array starts one task ahead of its turn.
//
// The package guarantees that best-effort work is granted capacity beyond its share only
// while no other work waits, and then leaves the warm reserve of services free. A job of
// which nothing has started is granted one task in any case, so that no job waits forever.
//
// Every function depends on its arguments alone, the current time among them. Some functions
// change the capacities, or the claim of the queue entry, that are passed in. The package has
// no clock, lock, goroutine or I/O. It imports protocol and replica, and must not import
// other packages of the module.
package placement
