package testreport

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// events converts lines "action package [test [output]]" to the format of go test -json. A
// test "-" is left out.
func events(lines ...string) string {
	var b strings.Builder
	for _, line := range lines {
		f := strings.SplitN(line, " ", 4)
		b.WriteString(`{"Action":"` + f[0] + `",`)
		if strings.HasPrefix(f[0], "build") {
			b.WriteString(`"ImportPath":"m/` + f[1] + `"`)
		} else {
			b.WriteString(`"Package":"m/` + f[1] + `"`)
		}
		if len(f) > 2 && f[2] != "-" {
			b.WriteString(`,"Test":"` + f[2] + `"`)
		}
		if len(f) > 3 {
			b.WriteString(`,"Output":"` + f[3] + `\n"`)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// Exactly the listed tests may fail; any other failure fails the run.
func TestJudge(t *testing.T) {
	const knownRed = "internal/a.TestRed | it forgets | issue 7"
	clean := []string{"pass internal/a TestGood", "pass internal/a"}
	fails := []string{"pass internal/a TestGood", "fail internal/a TestRed", "fail internal/a"}
	subtests := []string{"fail internal/a TestAll/one", "pass internal/a TestAll/two", "fail internal/a TestAll", "fail internal/a"}
	for _, c := range []struct {
		name, known string
		lines       []string
		want        string // text that the reasons of the failed run contain; empty if the run passes
	}{
		{"all pass", "", clean, ""},
		{"a known one fails", knownRed, fails, ""},
		{"an unknown one fails", "", fails, "internal/a.TestRed fails"},
		{"another one fails beside it", knownRed, append([]string{"fail internal/a TestGreen"}, fails...), "internal/a.TestGreen fails"},
		{"a known one passes", knownRed, append([]string{"pass internal/a TestRed"}, clean...), "the run says pass"},
		{"a known one is skipped", knownRed, append([]string{"skip internal/a TestRed"}, clean...), "the run says skip"},
		{"a known one does not exist", knownRed, clean, "there is no such test"},
		{"a known part fails", "internal/a.TestAll/one | x | issue 7", subtests, ""},
		{"the whole says more than its known part", "internal/a.TestAll/one | x | issue 7", append([]string{"output internal/a TestAll     a_test.go:7: more"}, subtests...), "internal/a.TestAll fails"},
		{"an unknown part fails", "", subtests, "internal/a.TestAll/one fails"},
		{"it does not build", knownRed, append([]string{"build-output internal/b - no such name", "build-fail internal/b"}, fails...), "internal/b does not build"},
		{"a panic in a known one", knownRed, append([]string{"output internal/a TestRed panic: no such key"}, fails...), "a panic"},
		{"a time-out", knownRed, append([]string{"output internal/a TestRed panic: test timed out after 10m0s"}, fails...), "timed out"},
		{"a data race outside the tests", knownRed, append([]string{"output internal/b - WARNING: DATA RACE", "fail internal/b"}, fails...), "internal/b fails, and none of its tests"},
		{"a data race in another test", knownRed, append([]string{"output internal/b TestB     testing.go:1: race detected", "fail internal/b TestB", "fail internal/b"}, fails...), "internal/b.TestB fails"},
		{"nothing ran", "", []string{"pass internal/a"}, "no test ran"},
	} {
		t.Run(c.name, func(t *testing.T) {
			known, err := ReadKnown(strings.NewReader(c.known))
			if err != nil {
				t.Fatal(err)
			}
			v, err := Judge(strings.NewReader(events(c.lines...)), "m", known)
			reasons := strings.Join(v.Reasons, "; ")
			if err != nil || (c.want == "") != (reasons == "") || !strings.Contains(reasons, c.want) {
				t.Errorf("%q, %v, wanted %q", reasons, err, c.want)
			}
			if c.want == "" && len(v.KnownFailures) != len(known) {
				t.Errorf("known failures %v, wanted %v", v.KnownFailures, known)
			}
		})
	}
	if _, err := Judge(strings.NewReader("ok m 0.1s\n"), "m", nil); err == nil {
		t.Error("input that is not JSON was accepted")
	}
}

func TestReadKnown(t *testing.T) {
	one := "internal/a.TestA | why | issue 1\n"
	for text, want := range map[string]string{
		"":                              "",
		one + "\n":                      "",
		"TestA":                         "line 1 is not",
		one + "internal/a.TestB |  | 7": "line 2 is not",
		"internal/a.TestB | why":        "line 1 is not",
		"all tests | why | issue 1":     "line 1 is not",
		one + one:                       "names internal/a.TestA again",
		one + "TestB | b | 1\nTestC | c | 1\nTestD | d | 1": "line 4 is one more",
	} {
		_, err := ReadKnown(strings.NewReader(text))
		if (want == "") != (err == nil) || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// The error for an invalid line is a *ListError with the number of the line. The list is
// empty if the file does not exist.
func TestReadKnownFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	if known, err := ReadKnownFile(file); known != nil || err != nil {
		t.Errorf("no file: %v, %v", known, err)
	}
	if err := os.WriteFile(file, []byte("\nTestA\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadKnownFile(file)
	var fault *ListError
	if !errors.As(err, &fault) || fault.Line != 2 {
		t.Errorf("%v", err)
	}
}

// The error of a failed run contains all reasons why it failed. A run also fails if go test
// ended with an exit status that no failed test explains.
func TestReportErr(t *testing.T) {
	for _, c := range []struct {
		name, status string
		report       Report
		want         string // expected error; empty if no error is expected
	}{
		{"all pass", "0", Report{Passed: 1}, ""},
		{"a status without a failure", "2", Report{Passed: 1}, "go test ended with status 2, and no test failed"},
		{"a known failure explains the status", "1", Report{Passed: 1, Failed: 1}, ""},
		{"reasons", "1", Report{Failed: 1, Reasons: []string{"a fails", "b fails"}}, "a fails; b fails"},
		{"a reason without a status", "0", Report{Reasons: []string{"no test ran"}}, "no test ran"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.report.Err(c.status)
			if (err == nil) != (c.want == "") || (err != nil && err.Error() != c.want) {
				t.Errorf("%v, wanted %q", err, c.want)
			}
		})
	}
}
