package testreport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strings"
)

// MaxKnown is the maximum number of listed known failures.
const MaxKnown = 3

// KnownFailure is a test that fails because of a defect that is not fixed yet.
type KnownFailure struct {
	Test  string // package path without the module, a dot, and the test's name
	Cause string
	Issue string
}

func (k KnownFailure) String() string { return k.Test + " | " + k.Cause + " | " + k.Issue }

// testName matches KnownFailure.Test. The name of a subtest follows the test's name after a
// slash.
var testName = regexp.MustCompile(`^([a-z0-9_./-]+\.)?Test[^ .|][^ |]*$`)

// ListError describes an invalid line of the list of known failures.
type ListError struct {
	Line   int // line number, from 1
	Reason string
}

func (e *ListError) Error() string {
	return fmt.Sprintf("list of known failures: line %d %s", e.Line, e.Reason)
}

// ReadKnownFile reads the list from a file. The list is empty if the file does not exist.
func ReadKnownFile(name string) ([]KnownFailure, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("list of known failures: %w", err)
	}
	defer func() { _ = file.Close() }()
	return ReadKnown(file)
}

// ReadKnown reads the list, which has at most MaxKnown lines of the form
// "test | cause | issue". Blank lines are skipped. The error for an invalid line is a
// *ListError.
func ReadKnown(in io.Reader) ([]KnownFailure, error) {
	var known []KnownFailure
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		failure, ok := parseKnown(text)
		switch {
		case !ok:
			return nil, &ListError{number, fmt.Sprintf("is not \"package.Test | cause | issue\": %q", text)}
		case len(known) == MaxKnown:
			return nil, &ListError{number, fmt.Sprintf("is one more than the %d that may be known", MaxKnown)}
		case slices.ContainsFunc(known, func(k KnownFailure) bool { return k.Test == failure.Test }):
			return nil, &ListError{number, fmt.Sprintf("names %s again", failure.Test)}
		}
		known = append(known, failure)
	}
	return known, lines.Err()
}

// parseKnown parses a line of the list and reports whether the line is valid.
func parseKnown(text string) (KnownFailure, bool) {
	fields := strings.Split(text, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	if len(fields) != 3 || slices.Contains(fields, "") || !testName.MatchString(fields[0]) {
		return KnownFailure{}, false
	}
	return KnownFailure{Test: fields[0], Cause: fields[1], Issue: fields[2]}, true
}
