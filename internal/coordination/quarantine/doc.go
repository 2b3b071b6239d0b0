// Package quarantine attributes failed tasks to the machine they ran on or to the job they
// belong to. A job with a mistake fails on every machine until its user cancels it, and
// must not put machines out of use; a faulty machine fails the tasks of every job, and is
// quarantined on the evidence of jobs that are known to be healthy.
//
// The package keeps what was observed and weighs it. It has no clock, no lock and does no
// I/O: times come in, verdicts go out, and its owner acts on them.
package quarantine
