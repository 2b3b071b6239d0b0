// Package replica holds one controller's cache of the cluster's records and the indexes
// derived from it.
//
// It owns View, which is updated by the watch, by the controller's own commits and by its
// reads, in any order, and the types that the view holds: jobs, claims, machines, shards and
// the other records, each together with the state that the controller keeps beside the
// record.
//
// It guarantees that a cached record is never replaced by an older version, and that the
// indexes over claims (slots, shards' claims, teams' use) are derived by View.Reindex alone.
// View.Recount compares these indexes with values computed anew from all claims, except
// View.UseByTeam and View.ServiceUse.
//
// It makes no scheduling decision and does no I/O. A view has no lock of its own: the lock
// of its owner guards every method and field. The package must not import controller,
// placement, provisioning or transport.
package replica
