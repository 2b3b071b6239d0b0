package testreport

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// event is one line of the output of go test -json, with the field names of that format.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// Actions that end a test or a package.
const (
	passed  = "pass"
	failed  = "fail"
	skipped = "skip"
)

// results are the collected events of a run. The keys are the names of tests and packages
// without the module's path.
type results struct {
	module         string
	outcomes       map[string]string // per test: passed, failed or skipped
	output         map[string][]string
	failedPackages map[string]bool
	hasLogged      map[string]bool // tests that logged lines of their own
	faults         []string        // failures that concern the run as a whole, such as a panic
}

// readResults reads the output of go test -json for a module.
func readResults(in io.Reader, module string) (*results, error) {
	r := &results{
		module:         module,
		outcomes:       make(map[string]string),
		output:         make(map[string][]string),
		failedPackages: make(map[string]bool),
		hasLogged:      make(map[string]bool),
	}
	decoder := json.NewDecoder(in)
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return r, nil
		}
		if err != nil {
			return nil, fmt.Errorf("results of the tests: %w", err)
		}
		if e.Package != "" || e.ImportPath != "" {
			r.add(e)
		}
	}
}

// add records one event.
func (r *results) add(e event) {
	pkg, _, _ := strings.Cut(cmp.Or(e.Package, e.ImportPath), " ") // for a package's tests the import path is "m/a [m/a.test]"
	name := r.name(pkg, e.Test)
	switch e.Action {
	case "output", "build-output":
		r.addOutput(name, e.Output)
	case "build-fail":
		r.faults = append(r.faults, name+" does not build")
	case passed, failed, skipped:
		if e.Test != "" {
			r.outcomes[name] = e.Action
		} else if e.Action == failed {
			r.failedPackages[name] = true
		}
	}
}

// name returns the name of a test, or of a package if test is empty, without the module's
// path.
func (r *results) name(pkg, test string) string {
	short := strings.TrimPrefix(strings.TrimPrefix(pkg, r.module), "/")
	switch {
	case test == "":
		return cmp.Or(short, pkg)
	case short == "":
		return test
	}
	return short + "." + test
}

// testLogLine matches a line that a test has logged, with its file and line number.
var testLogLine = regexp.MustCompile(`^\s+\S+_test\.go:\d+: `)

// crashPrefixes are the prefixes of lines that report the end of the whole test process. A
// crash fails the run even if the running test is a known failure, because the remaining
// tests did not run.
var crashPrefixes = []struct{ prefix, fault string }{
	{"panic: ", "a panic"},
	{"fatal error: ", "the runtime ended it"},
}

// addOutput records a line of output of a test or a package.
func (r *results) addOutput(name, line string) {
	r.output[name] = append(r.output[name], line)
	if testLogLine.MatchString(line) {
		r.hasLogged[name] = true
	}
	for _, crash := range crashPrefixes {
		if strings.HasPrefix(line, crash.prefix) {
			r.faults = append(r.faults, fmt.Sprintf("%s: %s: %s", name, crash.fault, strings.TrimSpace(line)))
		}
	}
}

// hasFailedSubtest reports whether a subtest of a test failed.
func (r *results) hasFailedSubtest(test string) bool {
	for subtest, outcome := range r.outcomes {
		if outcome == failed && strings.HasPrefix(subtest, test+"/") {
			return true
		}
	}
	return false
}
