package simtest

import (
	"errors"
	"fmt"
	"strings"
)

// scriptError is a fault of the script itself: a line that cannot be read or carried out.
type scriptError struct {
	line   int // 0 until the player adds it
	reason error
}

func (e *scriptError) Error() string {
	if e.line > 0 {
		return fmt.Sprintf("script: line %d: %v", e.line, e.reason)
	}
	return fmt.Sprintf("script: %v", e.reason)
}

func (e *scriptError) Unwrap() error { return e.reason }

func scriptErrorf(format string, args ...any) error {
	return &scriptError{reason: fmt.Errorf(format, args...)}
}

// checkError is a property of the cluster that does not hold. Its check's name is the kind
// of the outcome, by which failures are counted and shrunk.
type checkError struct {
	check  string
	reason error
}

func (e *checkError) Error() string { return fmt.Sprintf("%s: %v", e.check, e.reason) }

func (e *checkError) Unwrap() error { return e.reason }

func checkErrorf(check, format string, args ...any) error {
	return &checkError{check: check, reason: fmt.Errorf(format, args...)}
}

// kindOf names what kind of failure an error is. Expectations that are not met have no
// check of their own: their kind is the text.
func kindOf(err error) string {
	var script *scriptError
	var check *checkError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &script):
		return "script"
	case errors.As(err, &check):
		return check.check
	}
	return beforeColon(err.Error())
}

func beforeColon(text string) string {
	before, _, _ := strings.Cut(text, ":")
	return before
}
