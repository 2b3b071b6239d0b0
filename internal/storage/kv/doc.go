// Package kv is the client of the state service, the consensus-backed key-value store that
// holds all state. It provides compare-and-swap transactions, sent in batches within the
// service's rate limits, as well as reads, a watch and leases.
//
// The package owns the pending transactions and this node's share of the service's budgets:
// its limits on requests and changes a second. A Client consists of a queue of pending
// transactions, a batcher that selects the next batch, a limiter, a watcher, the handling of
// a batch's outcome, and a log of how the budgets are used; each has a file of its own.
// Their locks are acquired in the order budget log, batcher, queue, limits.
//
// Each submitted transaction gets exactly one result, at the latest when Run ends. A result
// without an error means that all changes of the transaction were applied atomically and
// that all its conditions held. More urgent transactions have precedence in the use of the
// budgets. A transaction that got no answer has an unknown outcome and may still be applied;
// therefore each transaction must be conditional on versions that make it harmless when it
// is applied late or twice.
//
// The package does not interpret keys. Of this module it imports only protocol, neither
// storage/records nor any higher layer.
package kv
