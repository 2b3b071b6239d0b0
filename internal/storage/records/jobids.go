package records

import (
	"strings"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// jobIDPrefix begins every id that users give to jobs; lists in records omit it.
const jobIDPrefix = "wk-"

// JobIDs is a list of job ids. In a record it is encoded as one string of their numbers,
// separated by spaces, so that about two hundred fit the smallest value limit.
type JobIDs []string

// MarshalEasyJSON encodes the list as one string.
func (ids JobIDs) MarshalEasyJSON(w *jwriter.Writer) {
	numbers := make([]string, len(ids))
	for i, id := range ids {
		numbers[i] = strings.TrimPrefix(id, jobIDPrefix)
	}
	w.String(strings.Join(numbers, " "))
}

// UnmarshalEasyJSON decodes the form that MarshalEasyJSON writes. A word that begins with a
// digit is an id without its prefix; any other word is a whole id.
func (ids *JobIDs) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*ids = nil
	if l.IsNull() {
		l.Skip()
		return
	}
	for word := range strings.FieldsSeq(l.String()) {
		if word[0] >= '0' && word[0] <= '9' {
			word = jobIDPrefix + word
		}
		*ids = append(*ids, word)
	}
}

// MarshalJSON encodes the list as the same string for encoding/json.
func (ids JobIDs) MarshalJSON() ([]byte, error) {
	var w jwriter.Writer
	ids.MarshalEasyJSON(&w)
	return w.BuildBytes()
}
