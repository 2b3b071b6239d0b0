// Package placement decides which tasks start on which machines. It has no clock, no lock
// and does no I/O: capacity and the time come in, choices go out.
package placement
