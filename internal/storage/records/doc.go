// Package records defines what controllers store in the state service: the record types,
// their keys and their codecs.
//
// The package owns the storage format. Struct tags, key prefixes and encodings do not change
// when Go names change: during a rolling restart controllers of two versions read and write
// the same records.
//
// The comment of each record type says who writes the record and what each write is
// conditional on. There, another record means the version of that record's key; the known
// version is the version of the written record itself that the writer last read; and the
// fencing token of a shard's owner is the version of the Shard record. The writers ensure
// these conditions; this package does not check them.
//
// The package keeps no state, does no I/O and imports nothing of the module but protocol.
package records
