// Package emulator simulates everything outside the controllers, implemented from the
// protocol, for tests and load tests: the state service, the cloud, the machines with their
// workers, the users and the networks between them, in one process. With a fake clock, runs
// with the same seed are identical: every delay and every loss is drawn from the seed and
// from the message or event that it affects, never from the order in which goroutines run.
//
// It injects faults by the names that scripts use (SetFault for faults of the world, of one
// controller or of one zone, SetMachineFault for those of a machine) and checks the rules
// of the protocol itself, so that a test fails if a rule is broken (Violations). It must
// not import the code under test: no package of the controllers.
package emulator
