package simtest

import (
	"errors"
	"fmt"
	"strings"
)

// scriptError is an error in the script itself: a line that cannot be parsed or executed.
type scriptError struct {
	line   int // number of the script's line; 0 until the player adds it
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

// checkError is the failure of an invariant of the cluster. The name of the check is the kind
// of the outcome: failures are counted by kind, and a shrunk script has to fail with the same
// kind.
type checkError struct {
	check  string
	reason error
}

func (e *checkError) Error() string { return fmt.Sprintf("%s: %v", e.check, e.reason) }

func (e *checkError) Unwrap() error { return e.reason }

func checkErrorf(check, format string, args ...any) error {
	return &checkError{check: check, reason: fmt.Errorf(format, args...)}
}

// kindOf returns the kind of failure that an error stands for: "script", or the name of a
// check. The error of an expectation that is not met names no check; its kind is its text up to
// the first colon.
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
