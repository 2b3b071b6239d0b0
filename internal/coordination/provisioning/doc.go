// Package provisioning decides what to expect of machines that were provisioned and have not
// booted yet: when one is overdue, so that work waiting for it gets another, when it is
// given up, and which machine types are unreliable in a zone.
//
// It owns the statistics of boots. Observed boot times of a machine type in a zone decide;
// until enough of them were observed, the nominal time of the type. It guarantees that an
// observation is forgotten within three minutes, so that an unreliable kind is tried again,
// that fast boots never make a machine overdue before one and a half times the nominal time,
// and that no kind counts as more than four times its price.
//
// The package has no clock, lock, goroutine or I/O. It imports the standard library and the
// histogram package, and must not import other packages of the module. Its values are not
// safe for concurrent use; the caller guards them.
package provisioning
