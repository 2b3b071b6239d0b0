// Package records defines what controllers store in the state service: the record types,
// their keys and their codecs.
//
// It owns the storage format. Struct tags, key prefixes and the codecs' spelling stay when
// Go names change: controllers of two versions read and write the same records while they
// are restarted one after the other. Each type's comment says who writes it and which
// conditions its transaction carries; the writers hold to that, this package does not
// check it.
//
// It keeps no state, does no I/O and imports nothing of the project but protocol.
package records
