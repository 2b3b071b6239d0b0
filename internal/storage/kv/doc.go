// Package kv is the client of the consensus-backed key-value store that holds all state:
// compare-and-swap transactions sent in groups within the store's rate limits, reads, a
// watch, and leases.
//
// A transaction that got no answer has an unknown outcome and may still be applied; so
// each must be conditional on versions that make it harmless when it is applied late or
// twice. The package knows nothing of what the keys mean.
package kv
