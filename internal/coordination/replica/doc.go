// Package replica holds one controller's cache of the cluster's records and the indexes
// derived from it.
//
// It owns View, which the watch, the controller's own commits and its reads feed in any
// order, and the types that the view keeps: jobs, claims, machines, shards and the other
// records, each with what the controller remembers about it beside the record.
//
// It guarantees that a cached record is never replaced by an older version, and that every
// index over claims is derived by View.Reindex alone, which View.Recount compares with a
// count from scratch.
//
// It makes no scheduling decision and does no I/O. A view has no lock: its owner's guards
// every method and field. The package must not import controller, placement, provisioning
// or transport.
package replica
