// Package records defines what controllers store in the state service: the record types,
// their keys and their codecs.
//
// It owns the storage format. Struct tags, key prefixes and encodings do not change when Go
// names change: during a rolling restart controllers of two versions read and write the same
// records. The comment of each record type says who writes the record and what the write is
// conditional on: a record stands for the version of its key, the known version is that of
// the record itself as the writer last read it, and a shard owner's fencing token is the
// version of its Shard record. The writers ensure these conditions; this package does not
// check them.
//
// It keeps no state, does no I/O and imports nothing of the module but protocol.
package records
