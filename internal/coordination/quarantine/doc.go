// Package quarantine attributes failed tasks to the machine that they ran on or to the job
// that they belong to. A job with a mistake fails on every machine until its user cancels
// it, and must not put machines out of use. A faulty machine fails the tasks of every job,
// and is quarantined on the evidence of jobs that are known to be healthy.
//
// The package owns the evidence of each job and machine, and forgets it after two minutes.
// It guarantees that a suspected job never counts against a machine, that two jobs of which
// nothing is known do not quarantine one, and that the same records at the same times give
// the same verdicts. Its owner acts on them.
//
// The package has no clock, lock, goroutine or I/O. It imports the standard library and the
// backoff package, and must not import other packages of the module. Its values are not
// safe for concurrent use; the caller guards them.
package quarantine
