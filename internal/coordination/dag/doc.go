// Package dag holds the jobs that are blocked on their dependencies. It decides when each
// blocked job is ready, which blocked jobs are cancelled because a job that they depend on
// is cancelled, and which priority and deadline a job inherits from its dependents.
//
// The package owns only the graph, which is derived from records. It guarantees that records
// read in any order give the same graph, and that a cancellation takes effect for every direct
// and indirect dependent without a write for each of them. Lists are in order of job IDs.
//
// The package has no clock, lock, goroutine or I/O; its caller guards a Graph with a lock
// and passes the time. It imports the standard library and protocol, and must not import the
// controller, storage or other decision packages.
package dag
