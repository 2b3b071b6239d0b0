// Package emulator is a small world for tests, written from the protocol: state service,
// cloud, workers and users in one process, on the clock of the test. It checks the rules
// of the protocol itself, so that a test fails when one is broken.
package emulator
