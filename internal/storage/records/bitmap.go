package records

import (
	"fmt"
	"math/bits"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"madderslip/internal/protocol"
)

// Bitmap is a set of small numbers, one bit each. In a record it is encoded as a list of
// half-open ranges, [from, to, from, to, ...], in which each "to" is excluded: tasks complete
// nearly in order, so there are few ranges, while the bits of ten thousand tasks exceed a low
// limit on the size of values.
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

// visitRangeBounds calls visit with the start and the excluded end of each range, in order.
func (b Bitmap) visitRangeBounds(visit func(i int)) {
	inside := false
	for i := 0; i <= 8*len(b); i++ {
		if b.has(i) != inside {
			inside = !inside
			visit(i)
		}
	}
}

// MarshalEasyJSON encodes the set as its ranges.
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

// UnmarshalEasyJSON decodes a bitmap from the list of the ranges of set bits. The ranges must
// be in ascending order, and no range may end more than 8 bits above protocol.MaxTasks, which
// is a margin for rounding up to whole bytes; anything else is an error.
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
