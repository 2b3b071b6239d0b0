package records

import (
	"fmt"
	"math/bits"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"madderslip/internal/protocol"
)

// Bitmap is a set of small numbers, one bit each. In a record it is a list of ranges,
// [from, to, from, to, ...] without the numbers "to": tasks complete nearly in order, so
// there are few ranges, while the bits of ten thousand tasks exceed a small value.
type Bitmap []byte

func (b Bitmap) has(i int) bool { return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b *Bitmap) set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

func (b Bitmap) count() int {
	total := 0
	for _, octet := range b {
		total += bits.OnesCount8(octet)
	}
	return total
}

// visitRangeBounds calls visit with the start and the end of each range, in order.
func (b Bitmap) visitRangeBounds(visit func(i int)) {
	inside := false
	for i := 0; i <= 8*len(b); i++ {
		if b.has(i) != inside {
			inside = !inside
			visit(i)
		}
	}
}

// MarshalEasyJSON writes the ranges.
func (b Bitmap) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	first := true
	b.visitRangeBounds(func(i int) {
		if !first {
			w.RawByte(',')
		}
		w.Int(i)
		first = false
	})
	w.RawByte(']')
}

// UnmarshalEasyJSON reads the ranges. They must rise and end at protocol.MaxTasks, rounded
// up to whole bytes; anything else is an error.
func (b *Bitmap) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*b = nil
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('[')
	for last := 0; !l.IsDelim(']') && l.Ok(); {
		from := l.Int()
		l.WantComma()
		to := l.Int()
		l.WantComma()
		if l.Ok() && (from < last || to < from || to > protocol.MaxTasks+8) {
			l.AddError(fmt.Errorf("range from %d up to %d after %d", from, to, last))
			return
		}
		for i := from; i < to; i++ {
			b.set(i)
		}
		last = to
	}
	l.Delim(']')
}
