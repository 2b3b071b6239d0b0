// Package simtest is the deterministic simulation test. It plays scripts of user requests and
// faults against a cluster of real controllers in the emulator, on a fake clock. Scripts are
// written by hand (the traces) or generated from a seed. The emulator checks the rules of the
// protocol while a script runs; after all faults have ended, the player checks the invariants
// of a quiescent cluster. The same script and seed yield the same events, so a failing script
// can be replayed, shrunk and kept as a trace.
//
// Play is the entry point. The verbs of scripts are implemented by group in verbs_*.go, and
// the checks of the verb "expect" in expectations.go. Invariants that hold at all times are
// checked in stale_ownership.go and preemption.go, those that hold after all faults have ended
// in quiescence.go and leaks.go. The generators draw scripts from a seed with a scriptBuilder.
// The script that a seed yields must not change, since failures are identified by their seed.
//
// The package imports the controllers and the emulator; only tests import it.
package simtest
