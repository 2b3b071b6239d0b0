package testreport

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// MaxKnown is how many tests may be known to fail at a time.
const MaxKnown = 3

// KnownFailure is a test that fails for a real fault which is not mended yet.
type KnownFailure struct {
	Test  string // the package below the module, a point, and the test's name
	Cause string
	Issue string
}

func (k KnownFailure) String() string { return k.Test + " | " + k.Cause + " | " + k.Issue }

var testName = regexp.MustCompile(`^([a-z0-9_./-]+\.)?Test[^ .|][^ |]*$`)

// ReadKnown reads the list: a line "test | cause | issue" each.
func ReadKnown(in io.Reader) ([]KnownFailure, error) {
	var known []KnownFailure
	lines := bufio.NewScanner(in)
	for num := 1; lines.Scan(); num++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		f := strings.Split(text, "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		switch {
		case len(f) != 3 || slices.Contains(f, "") || !testName.MatchString(f[0]):
			return nil, fmt.Errorf("list of known failures: line %d is not \"package.Test | cause | issue\": %q", num, text)
		case len(known) == MaxKnown:
			return nil, fmt.Errorf("list of known failures: line %d is one more than the %d that may be known", num, MaxKnown)
		case slices.ContainsFunc(known, func(k KnownFailure) bool { return k.Test == f[0] }):
			return nil, fmt.Errorf("list of known failures: line %d names %s again", num, f[0])
		}
		known = append(known, KnownFailure{f[0], f[1], f[2]})
	}
	return known, lines.Err()
}

// event is a line of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// Report is what a run came to.
type Report struct {
	Passed, Failed, Skipped int
	KnownFailures           []KnownFailure // those that failed as listed
	Reasons                 []string       // why the run failed; none: it passed
	Output                  []string       // of what failed, for people
}

// run is what is known of a run while it is read.
type run struct {
	module string
	ended  map[string]string // by test: pass, fail or skip
	output map[string][]string
	failed map[string]bool // packages
	own    map[string]bool // tests that said something themselves
	why    []string
}

// said matches a line that a test itself has logged.
var said = regexp.MustCompile(`^\s+\S+_test\.go:\d+: `)

func (r *run) name(pkg, test string) string {
	short := strings.TrimPrefix(strings.TrimPrefix(pkg, r.module), "/")
	if test == "" {
		return cmp.Or(short, pkg)
	}
	if short == "" {
		return test
	}
	return short + "." + test
}

func (r *run) take(e event) {
	pkg, _, _ := strings.Cut(cmp.Or(e.Package, e.ImportPath), " ") // "m/a [m/a.test]" of a package's tests
	name := r.name(pkg, e.Test)
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
		if said.MatchString(e.Output) {
			r.own[name] = true
		}
		for what, mark := range map[string]string{"a panic": "panic: ", "the runtime ended it": "fatal error: "} {
			if strings.HasPrefix(e.Output, mark) {
				r.why = append(r.why, fmt.Sprintf("%s: %s: %s", name, what, strings.TrimSpace(e.Output)))
			}
		}
	case "build-fail":
		r.why = append(r.why, name+" does not build")
	case "pass", "fail", "skip":
		if e.Test != "" {
			r.ended[name] = e.Action
		} else if e.Action == "fail" {
			r.failed[name] = true
		}
	}
}

// Judge reads what go test -json printed for the module.
func Judge(in io.Reader, module string, known []KnownFailure) (Report, error) {
	r := &run{module: module, ended: make(map[string]string), output: make(map[string][]string), failed: make(map[string]bool), own: make(map[string]bool)}
	dec := json.NewDecoder(in)
	for {
		var e event
		if err := dec.Decode(&e); err == io.EOF {
			break
		} else if err != nil {
			return Report{}, fmt.Errorf("results of the tests: %w", err)
		}
		if e.Package != "" || e.ImportPath != "" {
			r.take(e)
		}
	}
	return r.judge(known), nil
}

func (r *run) judge(known []KnownFailure) Report {
	v := Report{Reasons: r.why}
	accounted := make(map[string]bool) // packages whose failure a test explains
	for _, name := range slices.Sorted(maps.Keys(r.ended)) {
		switch r.ended[name] {
		case "pass":
			v.Passed++
			continue
		case "skip":
			v.Skipped++
			continue
		}
		v.Failed++
		pkg, _, _ := strings.Cut(name, ".Test")
		accounted[pkg] = true
		listed := slices.IndexFunc(known, func(k KnownFailure) bool { return k.Test == name })
		switch {
		case listed >= 0:
			v.KnownFailures = append(v.KnownFailures, known[listed])
		case r.partsFail(name) && !r.own[name]:
			// It fails as its parts do, each of which is judged itself.
		default:
			v.Reasons = append(v.Reasons, name+" fails")
			v.Output = append(v.Output, r.output[name]...)
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.failed)) {
		if !accounted[pkg] {
			v.Reasons = append(v.Reasons, pkg+" fails, and none of its tests")
			v.Output = append(v.Output, r.output[pkg]...)
		}
	}
	for _, k := range known {
		switch how, ran := r.ended[k.Test]; {
		case !ran:
			v.Reasons = append(v.Reasons, k.Test+" is listed as known to fail, and there is no such test")
		case how != "fail":
			v.Reasons = append(v.Reasons, fmt.Sprintf("%s is listed as known to fail, and the run says %s", k.Test, how))
		}
	}
	if v.Passed+v.Failed == 0 {
		v.Reasons = append(v.Reasons, "no test ran")
	}
	return v
}

// partsFail tells whether a part of a test fails.
func (r *run) partsFail(name string) bool {
	for part, how := range r.ended {
		if how == "fail" && strings.HasPrefix(part, name+"/") {
			return true
		}
	}
	return false
}
