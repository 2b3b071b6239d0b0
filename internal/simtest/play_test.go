package simtest

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// play plays a script in a synctest bubble of its own.
func play(t *testing.T, script string, seed uint64) (out *Outcome) {
	synctest.Test(t, func(*testing.T) { out = Play(script, seed) })
	return out
}

// timeOf returns the time of a script line, or 0 if the line is empty or has no valid time.
func timeOf(line string) time.Duration {
	if f := strings.Fields(line); len(f) > 0 {
		d, _ := time.ParseDuration(f[0])
		return d
	}
	return 0
}

// sortedLines sorts the lines of a script by time and joins them. Lines with the same time keep
// their order.
func sortedLines(lines []string) string {
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(timeOf(a), timeOf(b)) })
	return strings.Join(lines, "\n")
}
