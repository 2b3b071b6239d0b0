// Package loadtest measures real controller processes at sizes that unit tests cannot
// have, against emulated workers, cloud and state service over loopback. It also scales the
// counts of site files for simulated measurements.
//
// It guarantees that a measurement ends by itself, within the bounds of its configuration
// and with its context, and that its processes and goroutines have ended then. Figures of the machine
// (processor time, memory, sockets) are read from /proc, so that they need Linux. It
// imports emulator and protocol, never a controller's own packages: it measures the program.
package loadtest
