// Package admission decides how a controller spends what it shares with others or with
// itself: its part of the state service's budget, processor time, sockets, and which
// clients are turned away and when they should retry.
//
// Decisions only: no clock, no lock and no I/O.
package admission
