// Package simtest is the deterministic simulation test: it plays scripts of what happens
// to a cluster, written by people (the kept traces) or generated from a seed, against the
// emulator on a fake clock. The emulator checks the rules all along; once faults have ended
// the player checks what must hold then. The same script and seed give the same events, so
// that a failing one can be replayed, shrunk and kept.
//
// The player (Play) is a cluster of controllers in an emulated world; the verbs of its
// scripts stand by group in verbs_*.go, what "expect" asks for in expectations.go. What must
// hold all along is checked in stale_ownership.go and preemption.go, what must hold once all
// faults are over in quiescence.go and leaks.go. The generators draw scripts from a seed
// with a scriptBuilder: what a seed gives may not change, since failures are known by it.
//
// It imports controllers and the emulator; only tests import it.
package simtest
