// Package kv is the client of the consensus-backed key-value store that holds all state:
// compare-and-swap transactions sent in groups within the store's rate limits, reads, a
// watch, and leases.
//
// The package owns the pending transactions and this node's share of the store's budgets.
// Client is made of a queue of what waits, a batcher that decides what goes next and
// together, a limiter, a watcher, the outcomes of what was sent, and a log of what the
// budgets went to; each has a file of its own. Their locks are taken in the order budget
// log, batcher, queue, limits.
//
// It guarantees that each transaction submitted gets its result once, at the latest when
// Run ends; that a result without an error means that all of the transaction's changes were
// made together, under all of its conditions; and that the more urgent have the first claim
// to the budgets. A transaction that got no answer has an unknown outcome and may still be
// applied; so each must be conditional on versions that make it harmless when it is applied
// late or twice.
//
// The package knows nothing of what the keys mean. It imports protocol alone of this
// module: not storage/records, and nothing above.
package kv
