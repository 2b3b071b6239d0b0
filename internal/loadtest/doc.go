// Package loadtest measures real controller processes with clusters that are too large for
// unit tests. The workers, the cloud and the state service are emulated and reached over
// loopback. The package also scales the counts and rates of site files for simulated
// measurements.
//
// A measurement ends by itself, within the bounds of its configuration, or when its context
// ends. When Measure returns, the controller processes and the goroutines that it started
// have ended. The usage of processor time, memory and sockets is read from /proc, which
// requires Linux. The package imports emulator and protocol but no package of the
// controller, because it measures the controller's program from outside.
package loadtest
