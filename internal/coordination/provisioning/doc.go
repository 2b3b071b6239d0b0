// Package provisioning decides what to expect of machines that were rented and are not up
// yet: when one is overdue, so that work waiting for it gets another, when it is given up,
// and which kinds are better avoided. Observed boot times of a machine type in a zone
// decide; until enough were observed, the nominal time of the type.
//
// It has no clock, no lock and does no I/O.
package provisioning
