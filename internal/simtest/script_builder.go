package simtest

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// scriptBuilder draws a script from a seed. What a seed gives must stay the same to the
// byte, since failures are known by their seeds: the order of draws, their labels and their
// bounds are part of that.
type scriptBuilder struct {
	t           *rapid.T
	steps       []step
	jobs        int      // submitted so far; they are wk-1, wk-2 and so on
	names       []string // of the controllers
	noKills     []span   // no controller ends in these
	restartsAll bool     // the script depends on the restart of every controller
}

// step is a line of a script.
type step struct {
	at   time.Duration
	text string
}

// span is a stretch of a script's time, without its ends.
type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return at > s.from && at < s.to }

// choice is something that a generator may draw, as often as its weight says.
type choice struct {
	weight int
	draw   func()
}

// drawOne draws one of the choices. Their order is part of what a seed gives.
func (b *scriptBuilder) drawOne(label string, choices []choice) {
	total := 0
	for _, c := range choices {
		total += c.weight
	}
	drawn := b.number(label, 0, total-1)
	for _, c := range choices {
		if drawn -= c.weight; drawn < 0 {
			c.draw()
			return
		}
	}
}

// nothing is the choice to draw nothing.
func nothing() {}

// number draws evenly, a bit at a time: the library's own ranges prefer small
// numbers, and with them all faults would come within the same milliseconds.
func (b *scriptBuilder) number(label string, low, high int) int {
	count := uint64(high - low + 1)
	drawn := uint64(0)
	for range bits.Len64(count) + 8 {
		drawn <<= 1
		if rapid.Bool().Draw(b.t, label) {
			drawn |= 1
		}
	}
	return low + int(drawn%count)
}

// chance draws whether something that happens in so many of a hundred scripts does.
func (b *scriptBuilder) chance(percent int, label string) bool {
	return b.number(label, 1, 100) <= percent
}

// moment draws a time or a duration, down to the microsecond.
func (b *scriptBuilder) moment(label string, low, high time.Duration) time.Duration {
	return time.Duration(b.number(label, int(low/time.Microsecond), int(high/time.Microsecond))) * time.Microsecond
}

// soonAfter returns a function that draws times up to so long after a given one.
func (b *scriptBuilder) soonAfter(at, longest time.Duration) func() time.Duration {
	return func() time.Duration { return at + b.moment("soon", 0, longest) }
}

func (b *scriptBuilder) pick(label string, from ...string) string {
	return from[b.number(label, 0, len(from)-1)]
}

func (b *scriptBuilder) node() string { return b.names[b.number("node", 0, len(b.names)-1)] }

func (b *scriptBuilder) host() string { return fmt.Sprintf("%06d", b.number("host", 1, 9)) }

// faultDuration draws how long a fault lasts: mostly some seconds, at times longer
// than any lease or limit.
func (b *scriptBuilder) faultDuration() time.Duration {
	longest := []time.Duration{3 * time.Second, 15 * time.Second, 15 * time.Second, 50 * time.Second}
	return b.moment("lasts", 200*time.Millisecond, longest[b.number("how long", 0, 3)])
}

// add adds a line.
func (b *scriptBuilder) add(at time.Duration, format string, args ...any) {
	b.steps = append(b.steps, step{at, fmt.Sprintf(format, args...)})
}

// script writes the lines down in order, with the check of quiescence at their end.
func (b *scriptBuilder) script() string {
	b.steps = slices.DeleteFunc(b.steps, func(s step) bool {
		return strings.HasPrefix(s.text, "kill") && slices.ContainsFunc(b.noKills, func(in span) bool { return in.contains(s.at) })
	})
	slices.SortStableFunc(b.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	var text strings.Builder
	last := time.Duration(0)
	for _, s := range b.steps {
		fmt.Fprintf(&text, "%-14s %s\n", s.at, s.text)
		last = s.at
	}
	fmt.Fprintf(&text, "%-14s calm\n", last+time.Second)
	return text.String()
}
