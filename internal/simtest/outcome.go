package simtest

import (
	"fmt"
	"strings"
)

// Outcome is the result of playing a script.
type Outcome struct {
	Line   string   // at which it ended, if it did not reach the end
	Err    error    // the expectation or the check after quiescence that failed
	Broken []string // rules of the protocol that the emulator saw broken
	Events []string // what happened, a line each
	Left   []string // records of jobs that are not over, if the script failed
}

// Kind names what went wrong in a word: the broken rule's name or that of the failed
// check. It is empty if all was well.
func (o *Outcome) Kind() string {
	if len(o.Broken) > 0 {
		return beforeColon(o.Broken[0])
	}
	return kindOf(o.Err)
}

// String returns the outcome with all that happened, for a person to read.
func (o *Outcome) String() string {
	var b strings.Builder
	if o.Err != nil {
		fmt.Fprintf(&b, "%q: %v\n", o.Line, o.Err)
	}
	if len(o.Broken) > 0 {
		fmt.Fprintf(&b, "rules broken: %v\n", o.Broken)
	}
	b.WriteString(strings.Join(o.Events, "\n"))
	b.WriteString("\n" + strings.Join(o.Left, "\n"))
	return b.String()
}
