// Package simtest is the deterministic simulation test: it plays scripts of what happens
// to a cluster, written by people (the kept traces) or generated from a seed, against the
// emulator on a fake clock. The emulator checks the rules all along; once faults have ended
// the player checks what must hold then. The same script and seed give the same events, so
// that a failing one can be replayed, shrunk and kept.
package simtest
