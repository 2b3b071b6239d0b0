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

// scriptBuilder draws a script from a seed. A seed must give the same script, byte for
// byte, in every version, because failures are identified by their seeds. The order of the
// draws, their labels and their bounds therefore must not change.
type scriptBuilder struct {
	t                *rapid.T
	steps            []step
	jobs             int      // number of jobs submitted so far, named wk-1, wk-2 and so on
	controllers      []string // names of the controllers
	killFreeSpans    []span   // lines that kill a controller within these are dropped
	needsAllRestarts bool     // the script depends on the restart of every controller, so no kill may be dropped
}

// step is one line of a script.
type step struct {
	at   time.Duration
	text string
}

// span is an open interval of a script's time: its ends are not part of it.
type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return at > s.from && at < s.to }

// choice is an alternative that drawOne may draw, with a probability proportional to its
// weight.
type choice struct {
	weight int
	draw   func()
}

// drawOne draws one of the choices. Which one a seed draws depends on their order.
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

// drawNothing is the draw function of a choice that adds no line to the script.
func drawNothing() {}

// number draws a number from low to high with equal probabilities, one bit at a time. The
// ranges of the library prefer small numbers and would place all faults within the same
// milliseconds.
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

// chance draws whether an event occurs whose probability is given in percent.
func (b *scriptBuilder) chance(percent int, label string) bool {
	return b.number(label, 1, 100) <= percent
}

// moment draws a time or a duration in whole microseconds.
func (b *scriptBuilder) moment(label string, low, high time.Duration) time.Duration {
	return time.Duration(b.number(label, int(low/time.Microsecond), int(high/time.Microsecond))) * time.Microsecond
}

// soonAfter returns a function that draws times from at up to longest after it.
func (b *scriptBuilder) soonAfter(at, longest time.Duration) func() time.Duration {
	return func() time.Duration { return at + b.moment("soon", 0, longest) }
}

func (b *scriptBuilder) pick(label string, from ...string) string {
	return from[b.number(label, 0, len(from)-1)]
}

func (b *scriptBuilder) node() string {
	return b.controllers[b.number("node", 0, len(b.controllers)-1)]
}

func (b *scriptBuilder) host() string { return fmt.Sprintf("%06d", b.number("host", 1, 9)) }

// faultDuration draws how long a fault lasts: usually some seconds, sometimes longer than
// any lease or limit.
func (b *scriptBuilder) faultDuration() time.Duration {
	longest := []time.Duration{3 * time.Second, 15 * time.Second, 15 * time.Second, 50 * time.Second}
	return b.moment("lasts", 200*time.Millisecond, longest[b.number("how long", 0, 3)])
}

// add adds a line to the script.
func (b *scriptBuilder) add(at time.Duration, format string, args ...any) {
	b.steps = append(b.steps, step{at, fmt.Sprintf(format, args...)})
}

// script returns the lines in the order of their times, followed by "calm", which checks
// the cluster after quiescence.
func (b *scriptBuilder) script() string {
	b.steps = slices.DeleteFunc(b.steps, func(s step) bool {
		return strings.HasPrefix(s.text, "kill") && slices.ContainsFunc(b.killFreeSpans, func(in span) bool { return in.contains(s.at) })
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
