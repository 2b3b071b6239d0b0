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
