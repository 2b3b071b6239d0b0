// Package loadtest measures real controller processes at sizes that unit tests cannot
// have, against emulated workers over loopback.
package loadtest
