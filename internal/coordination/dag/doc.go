// Package dag holds the jobs that are blocked on others and decides when each is released,
// which are cancelled with a job that they depend on, and which priority and deadline a
// job inherits from its dependents.
//
// The graph is derived from records: cancellation follows from them without a write of its
// own. It has no clock, no lock and does no I/O; its caller guards it and passes the time.
package dag
