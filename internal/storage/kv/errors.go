package kv

import (
	"errors"
	"fmt"
)

// Errors of calls to the state service, for use with errors.Is.
var (
	ErrCompareFailed  = errors.New("version condition failed")
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	ErrNotExecuted    = errors.New("not executed")
	ErrInvalid        = errors.New("invalid transaction")
	ErrCompacted      = errors.New("watch revision compacted")
	ErrLeaseExpired   = errors.New("lease expired")
	ErrTooLarge       = fmt.Errorf("%w: larger than the state service accepts", ErrInvalid)
)

// errNoKeyNamed is the cause when the state service reports a failed condition of a
// transaction that was sent alone, but names none of its keys.
var errNoKeyNamed = errors.New("answer names no failed key")

// Operations that an Error names.
const (
	opGet        = "get"
	opList       = "list"
	opWatch      = "watch"
	opGrantLease = "grant lease"
	opKeepAlive  = "keep lease alive"
	opCommit     = "commit"
)

// Error is a failed call to the state service: the operation, the key and the cause. It
// wraps the cause, so errors.Is finds the errors above.
type Error struct {
	Op  string // the operation, one of the constants above
	Key string // the key or the lease's id; for a transaction the first key whose condition failed, else its first key; may be empty
	Err error  // the cause
}

// Error returns operation, key and cause in one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError adds the operation and the key to an error; nil stays nil.
func wrapError(op, key string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Key: key, Err: err}
}

// notExecuted returns the cause for a status by which the state service reports that it did
// not execute the call.
func notExecuted(status int) error { return fmt.Errorf("%w: status %d", ErrNotExecuted, status) }
