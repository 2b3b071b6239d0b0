package simtest

import (
	"errors"
	"fmt"
	"testing"
)

func TestKindOfOutcome(t *testing.T) {
	for _, c := range []struct {
		name string
		out  Outcome
		want string
	}{
		{"all well", Outcome{}, ""},
		{"a broken rule", Outcome{Broken: []string{"ran_twice: wk-1/0", "quota: tight"}}, "ran_twice"},
		{"a broken rule goes before an error", Outcome{Broken: []string{"quota: tight"}, Err: checkErrorf("waits", "wk-1")}, "quota"},
		{"a failed check", Outcome{Err: checkErrorf("leaked", "cl-1: %w", errors.New("a claim"))}, "leaked"},
		{"a failed check that is wrapped", Outcome{Err: fmt.Errorf("after quiescence: %w", checkErrorf("leaked", "cl-1"))}, "leaked"},
		{"a fault of the script", Outcome{Err: withLine(scriptErrorf("unknown step %q", "sever"), 3)}, "script"},
		{"an expectation", Outcome{Err: errors.New("answered 409, wanted 201")}, "answered 409, wanted 201"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.out.Kind(); got != c.want {
				t.Errorf("kind %q, want %q", got, c.want)
			}
		})
	}
}

func TestLineIsAddedToFaultsOfScriptsAlone(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"a fault of the script", scriptErrorf("users do not %q", "sing"), `script: line 7: users do not "sing"`},
		{"a failed check", checkErrorf("waits", "wk-1"), "waits: wk-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := withLine(c.err, 7).Error(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
