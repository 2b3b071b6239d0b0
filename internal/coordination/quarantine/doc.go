// Package quarantine attributes failed tasks to the machine that they ran on or to the job
// that they belong to. A broken job fails on every machine until its user cancels it, and
// must not cause machines to be quarantined. On a faulty machine the tasks of every job fail,
// and the machine is quarantined on the evidence of jobs that are known to be healthy.
//
// The package keeps the evidence about each job and machine and drops it after two minutes.
// It guarantees that a suspected job never counts against a machine, that two jobs with the
// verdict Unknown are not enough to quarantine a machine, and that the same records at the
// same times give the same verdicts. The caller acts on the verdicts.
//
// The package has no clock, lock, goroutine or I/O. It imports the standard library and the
// backoff package, and must not import other packages of the module. Its values are not
// safe for concurrent use; the caller synchronizes access to them.
package quarantine
