// Package records defines what is stored in the state service: record types, their keys
// and their codecs. Struct tags and key prefixes are the storage format; they stay when Go
// names change. It has no state and does no I/O.
package records
