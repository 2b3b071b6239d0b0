// Package controller runs one controller of the cluster: it owns shards of machines,
// claims chunks of jobs for them, places and ends tasks, provisions machines, and answers
// users, agents and the other controllers.
//
// Its loops reconcile: they compare the desired state with the recorded and the observed
// state and act on the difference, so that a lost or repeated step does no harm. The state
// service is authoritative; everything in memory is a cache of it. A placement is committed,
// conditional on the shard's ownership and on the claim's version, before the start command
// is sent, and a task is placed again only after proof that it no longer runs.
//
// Decisions that need neither clock nor I/O live in the sibling packages; this package
// may import all of them and must not be imported by any.
package controller
