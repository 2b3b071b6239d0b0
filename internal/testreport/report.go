package testreport

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Report is what a run came to.
type Report struct {
	Passed, Failed, Skipped int            // tests, and parts of tests
	KnownFailures           []KnownFailure // those that failed as listed
	Reasons                 []string       // why the run failed; none: it passed
	Output                  []string       // of what failed, for people
}

// Judge reads what go test -json printed for the module, and compares it with the list of
// known failures. An error tells that the input can't be read; a run that fails is none.
func Judge(in io.Reader, module string, known []KnownFailure) (Report, error) {
	r, err := readResults(in, module)
	if err != nil {
		return Report{}, err
	}
	report := Report{Reasons: r.faults}
	explained := report.addTests(r, known)
	report.addPackages(r, explained)
	report.addUnexpected(r, known)
	if report.Passed+report.Failed == 0 {
		report.fail("no test ran")
	}
	return report, nil
}

// fail adds a reason, and the output that goes with it.
func (v *Report) fail(reason string, output ...string) {
	v.Reasons = append(v.Reasons, reason)
	v.Output = append(v.Output, output...)
}

// addTests judges every test and returns the packages whose failure a test explains.
func (v *Report) addTests(r *results, known []KnownFailure) (explained map[string]bool) {
	explained = make(map[string]bool)
	for _, test := range slices.Sorted(maps.Keys(r.ended)) {
		switch r.ended[test] {
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

// addFailed judges a test that failed: as listed, as its parts do, or unexpectedly.
func (v *Report) addFailed(test string, r *results, known []KnownFailure) {
	listed := slices.IndexFunc(known, func(k KnownFailure) bool { return k.Test == test })
	switch {
	case listed >= 0:
		v.KnownFailures = append(v.KnownFailures, known[listed])
	case r.partFails(test) && !r.hasOwnOutput[test]:
		// It fails as its parts do, each of which is judged itself.
	default:
		v.fail(test+" fails", r.output[test]...)
	}
}

// addPackages judges packages that failed though none of their tests did.
func (v *Report) addPackages(r *results, explained map[string]bool) {
	for _, pkg := range slices.Sorted(maps.Keys(r.failedPackages)) {
		if !explained[pkg] {
			v.fail(pkg+" fails, and none of its tests", r.output[pkg]...)
		}
	}
}

// addUnexpected judges listed tests that did not fail: the list has to go with the run.
func (v *Report) addUnexpected(r *results, known []KnownFailure) {
	for _, k := range known {
		switch how, ran := r.ended[k.Test]; {
		case !ran:
			v.fail(k.Test + " is listed as known to fail, and there is no such test")
		case how != failed:
			v.fail(fmt.Sprintf("%s is listed as known to fail, and the run says %s", k.Test, how))
		}
	}
}

// Write writes the report for people: the output of what failed, the known failures and
// the counts.
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

// Err returns why the run failed, or nil. status is go test's exit status: one other than
// "0" that no test explains fails the run as well.
func (v *Report) Err(status string) error {
	if status != "0" && v.Failed+len(v.Reasons) == 0 {
		return fmt.Errorf("go test ended with status %s, and no test failed", status)
	}
	if len(v.Reasons) > 0 {
		return errors.New(strings.Join(v.Reasons, "; "))
	}
	return nil
}
