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

// event is a line of go test -json; its fields are named as there.
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

// results are what is known of a run. Tests and packages go by their names below the module.
type results struct {
	module         string
	ended          map[string]string // by test: passed, failed or skipped
	output         map[string][]string
	failedPackages map[string]bool
	hasOwnOutput   map[string]bool // tests that said something themselves
	faults         []string        // of the run as a whole
}

// readResults reads what go test -json printed for a module.
func readResults(in io.Reader, module string) (*results, error) {
	r := &results{
		module:         module,
		ended:          make(map[string]string),
		output:         make(map[string][]string),
		failedPackages: make(map[string]bool),
		hasOwnOutput:   make(map[string]bool),
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

// add takes a line of the run.
func (r *results) add(e event) {
	pkg, _, _ := strings.Cut(cmp.Or(e.Package, e.ImportPath), " ") // "m/a [m/a.test]" of a package's tests
	name := r.name(pkg, e.Test)
	switch e.Action {
	case "output", "build-output":
		r.addOutput(name, e.Output)
	case "build-fail":
		r.faults = append(r.faults, name+" does not build")
	case passed, failed, skipped:
		if e.Test != "" {
			r.ended[name] = e.Action
		} else if e.Action == failed {
			r.failedPackages[name] = true
		}
	}
}

// name is a test's or a package's name below the module.
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

// ownLine matches a line that a test itself has logged.
var ownLine = regexp.MustCompile(`^\s+\S+_test\.go:\d+: `)

// crashMarks are how lines begin that tell of the end of the whole process: whatever test
// was running, others did not.
var crashMarks = []struct{ prefix, fault string }{
	{"panic: ", "a panic"},
	{"fatal error: ", "the runtime ended it"},
}

// addOutput takes a line of output of a test or a package.
func (r *results) addOutput(name, line string) {
	r.output[name] = append(r.output[name], line)
	if ownLine.MatchString(line) {
		r.hasOwnOutput[name] = true
	}
	for _, mark := range crashMarks {
		if strings.HasPrefix(line, mark.prefix) {
			r.faults = append(r.faults, fmt.Sprintf("%s: %s: %s", name, mark.fault, strings.TrimSpace(line)))
		}
	}
}

// partFails reports whether a part of a test fails.
func (r *results) partFails(test string) bool {
	for part, how := range r.ended {
		if how == failed && strings.HasPrefix(part, test+"/") {
			return true
		}
	}
	return false
}
