// Package dag holds the jobs that are blocked on their dependencies. It decides when each
// is ready, which are cancelled with a job that they depend on, and which priority and
// deadline a job inherits from its dependents.
//
// It owns the graph alone, which is derived from records: it guarantees that records read
// in any order give the same graph, and that a cancellation reaches every direct and
// indirect dependent without a write of its own. Lists come in order of job IDs.
//
// The package has no clock, lock, goroutine or I/O; its caller guards a Graph and passes
// the time. It imports the standard library and protocol, and must not import the
// controller, storage or other decision packages.
package dag
