// Package emulator is everything outside the controllers, written from the protocol, for
// tests and load runs: state service, cloud, machines with their workers, users and the
// networks between them, in one process. With a fake clock a run repeats to the letter for
// the same seed: every delay and every loss is drawn from the seed and what it happens to,
// never from the order in which goroutines run.
//
// It injects faults by the names that scripts give them (SetFault for the world,
// SetMachineFault for a machine) and checks the rules of the protocol itself, so that a test fails when one is
// broken (Broken). It must not import what it tests: no package of the controllers.
package emulator
