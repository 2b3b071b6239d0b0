package records

import (
	"strings"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// jobIDPrefix starts every job id; records leave it out of lists.
const jobIDPrefix = "wk-"

// JobIDs is a list of job ids. In a record it is one string of their numbers, so that
// some two hundred fit the smallest value.
type JobIDs []string

// MarshalEasyJSON writes the list.
func (r JobIDs) MarshalEasyJSON(w *jwriter.Writer) {
	numbers := make([]string, len(r))
	for i, ref := range r {
		numbers[i] = strings.TrimPrefix(ref, jobIDPrefix)
	}
	w.String(strings.Join(numbers, " "))
}

// UnmarshalEasyJSON undoes MarshalEasyJSON.
func (r *JobIDs) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*r = nil
	if l.IsNull() {
		l.Skip()
		return
	}
	for number := range strings.FieldsSeq(l.String()) {
		if number[0] >= '0' && number[0] <= '9' {
			number = jobIDPrefix + number
		}
		*r = append(*r, number)
	}
}

// MarshalJSON does the same for the standard library.
func (r JobIDs) MarshalJSON() ([]byte, error) {
	var w jwriter.Writer
	r.MarshalEasyJSON(&w)
	return w.BuildBytes()
}
