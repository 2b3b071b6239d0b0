package simtest

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// play plays a script in a bubble of its own.
func play(t *testing.T, script string, seed uint64) (out *Outcome) {
	synctest.Test(t, func(*testing.T) { out = Play(script, seed) })
	return out
}

// timeOf returns the time of a script's line, 0 if it has none.
func timeOf(line string) time.Duration {
	if f := strings.Fields(line); len(f) > 0 {
		d, _ := time.ParseDuration(f[0])
		return d
	}
	return 0
}

// sortedLines joins a script's lines in the order of their times.
func sortedLines(lines []string) string {
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(timeOf(a), timeOf(b)) })
	return strings.Join(lines, "\n")
}
