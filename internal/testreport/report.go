package testreport

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Report is the result of a run.
type Report struct {
	Passed, Failed, Skipped int            // numbers of tests, subtests included
	KnownFailures           []KnownFailure // listed tests that failed
	Reasons                 []string       // reasons why the run failed; empty if it passed
	Output                  []string       // output of the tests and packages that failed
}

// Judge reads the output of go test -json for the module and compares it with the list of
// known failures. It returns an error only if the input cannot be read; a failed run is
// described by the report's Reasons.
func Judge(in io.Reader, module string, known []KnownFailure) (Report, error) {
	r, err := readResults(in, module)
	if err != nil {
		return Report{}, err
	}
	report := Report{Reasons: r.faults}
	explained := report.addTests(r, known)
	report.addPackages(r, explained)
	report.addUnfailedKnown(r, known)
	if report.Passed+report.Failed == 0 {
		report.fail("no test ran")
	}
	return report, nil
}

// fail adds a reason why the run failed, and the output that belongs to it.
func (v *Report) fail(reason string, output ...string) {
	v.Reasons = append(v.Reasons, reason)
	v.Output = append(v.Output, output...)
}

// addTests adds every test to the report and returns the packages that have a failed test,
// which explains the failure of the package.
func (v *Report) addTests(r *results, known []KnownFailure) (explained map[string]bool) {
	explained = make(map[string]bool)
	for _, test := range slices.Sorted(maps.Keys(r.outcomes)) {
		switch r.outcomes[test] {
		case passed:
			v.Passed++
		case skipped:
			v.Skipped++
		default:
			v.Failed++
			pkg, _, _ := strings.Cut(test, ".Test")
			explained[pkg] = true
			v.addFailed(test, r, known)
		}
	}
	return explained
}

// addFailed adds a failed test to the report, as a known failure, as the consequence of a
// failed subtest, or as a reason why the run failed.
func (v *Report) addFailed(test string, r *results, known []KnownFailure) {
	listed := slices.IndexFunc(known, func(k KnownFailure) bool { return k.Test == test })
	switch {
	case listed >= 0:
		v.KnownFailures = append(v.KnownFailures, known[listed])
	case r.hasFailedSubtest(test) && !r.hasLogged[test]:
		// The test failed only because of its subtests, which are reported themselves.
	default:
		v.fail(test+" fails", r.output[test]...)
	}
}

// addPackages adds a reason for each package that failed without a failed test.
func (v *Report) addPackages(r *results, explained map[string]bool) {
	for _, pkg := range slices.Sorted(maps.Keys(r.failedPackages)) {
		if !explained[pkg] {
			v.fail(pkg+" fails, and none of its tests", r.output[pkg]...)
		}
	}
}

// addUnfailedKnown adds a reason for each listed test that did not fail, so that the list
// is kept up to date.
func (v *Report) addUnfailedKnown(r *results, known []KnownFailure) {
	for _, k := range known {
		switch outcome, ran := r.outcomes[k.Test]; {
		case !ran:
			v.fail(k.Test + " is listed as known to fail, and there is no such test")
		case outcome != failed:
			v.fail(fmt.Sprintf("%s is listed as known to fail, and the run says %s", k.Test, outcome))
		}
	}
}

// Write writes the report as text: the output of the failed tests and packages, the known
// failures and the counts.
func (v *Report) Write(w io.Writer) error {
	var text strings.Builder
	text.WriteString(strings.Join(v.Output, ""))
	for _, k := range v.KnownFailures {
		fmt.Fprintln(&text, "known to fail:", k)
	}
	fmt.Fprintf(&text, "%d passed, %d failed, %d skipped\n", v.Passed, v.Failed, v.Skipped)
	_, err := io.WriteString(w, text.String())
	return err
}

// Err returns the reasons why the run failed, or nil. status is the exit status of go test;
// the run also fails if the status is not "0" and no test failed.
func (v *Report) Err(status string) error {
	if status != "0" && v.Failed+len(v.Reasons) == 0 {
		return fmt.Errorf("go test ended with status %s, and no test failed", status)
	}
	if len(v.Reasons) > 0 {
		return errors.New(strings.Join(v.Reasons, "; "))
	}
	return nil
}
