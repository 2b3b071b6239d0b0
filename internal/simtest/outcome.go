package simtest

import (
	"fmt"
	"strings"
)

// Outcome is the result of playing a script.
type Outcome struct {
	Line              string   // the line at which the script ended, if an error ended it
	Err               error    // an error in the script, an expectation that was not met or a check that failed
	Broken            []string // violations of the protocol's rules that the emulator recorded
	Events            []string // the events that the emulator recorded, a line each
	UnfinishedRecords []string // if the script failed, the stored records that unfinishedRecords lists
}

// Kind returns the kind of the failure: the name of the first broken rule, else the kind of Err
// (see kindOf). It is empty if the script passed.
func (o *Outcome) Kind() string {
	if len(o.Broken) > 0 {
		return beforeColon(o.Broken[0])
	}
	return kindOf(o.Err)
}

// String returns the error, the broken rules, all events and the unfinished records as text.
func (o *Outcome) String() string {
	var b strings.Builder
	if o.Err != nil {
		fmt.Fprintf(&b, "%q: %v\n", o.Line, o.Err)
	}
	if len(o.Broken) > 0 {
		fmt.Fprintf(&b, "rules broken: %v\n", o.Broken)
	}
	b.WriteString(strings.Join(o.Events, "\n"))
	b.WriteString("\n" + strings.Join(o.UnfinishedRecords, "\n"))
	return b.String()
}
