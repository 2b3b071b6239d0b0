package kv

import (
	"errors"
	"fmt"
)

// Errors of calls to the state service, told apart by errors.Is.
var (
	ErrCompareFailed  = errors.New("a condition failed")
	ErrOutcomeUnknown = errors.New("no answer: the change may or may not be made")
	ErrNotExecuted    = errors.New("not executed")
	ErrInvalid        = errors.New("refused as malformed")
	ErrCompacted      = errors.New("watch fell behind")
	ErrLeaseExpired   = errors.New("lease is gone")
	ErrTooLarge       = fmt.Errorf("%w: larger than the state service takes", ErrInvalid)
)

// errNoKeyNamed says that the state service reports a failed condition of a transaction
// that was sent alone, and names no key of it.
var errNoKeyNamed = errors.New("no failed key named")

// Operations that an Error names.
const (
	opGet        = "get"
	opList       = "list"
	opWatch      = "watch"
	opGrantLease = "grant lease"
	opKeepAlive  = "keep lease alive"
	opCommit     = "commit"
)

// Error tells which call to the state service failed, with what, and why. errors.Is finds
// the errors above in it.
type Error struct {
	Op  string // what was being done
	Key string // the key, or the lease's id; of a transaction the one that failed it, else its first; may be empty
	Err error  // the cause
}

// Error is one line: operation, key, cause.
func (e *Error) Error() string {
	if e.Key == "" {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError adds operation and key to an error; nil stays nil.
func wrapError(op, key string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Key: key, Err: err}
}

// notExecuted is the cause when the state service answers with a status that says it did
// nothing.
func notExecuted(status int) error { return fmt.Errorf("%w: status %d", ErrNotExecuted, status) }
