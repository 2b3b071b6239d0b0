// Package provisioning decides which machines are provisioned for the tasks that existing and
// expected capacity cannot run. It also decides when a machine that has not booted yet is
// overdue, so that another machine is provisioned for the work that waits for it, when such a
// machine is returned, and which machine types are unreliable in a zone.
//
// The package owns the statistics of boots. Decisions use the observed boot times of a
// machine type in a zone or, until enough boots were observed, the nominal time of the type.
// The package guarantees that an observation is dropped within three minutes, so that an
// unreliable kind is tried again, that fast boots never make a machine overdue before one and
// a half times the nominal time, and that the price of a kind is multiplied by at most four.
//
// The package has no clock, lock, goroutine or I/O. It imports placement, protocol and the
// histogram package, and must not import other packages of the module. Its values are not
// safe for concurrent use; the caller guards them.
package provisioning
