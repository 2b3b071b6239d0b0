package simtest

import (
	"slices"
	"strings"
)

// Shrink leaves lines out of a script for as long as it still fails in the same
// way, first many at a time. It plays at most maxPlays scripts; fails plays one
// and tells the kind of its failure.
func Shrink(script string, maxPlays int, fails func(script string) string) string {
	lines := scriptLines(script)
	kind := fails(strings.Join(lines, "\n"))
	if kind == "" {
		return script
	}
	for size := len(lines) / 2; size > 0 && maxPlays > 0; {
		isShorter := false
		for at := 0; at < len(lines) && maxPlays > 0; {
			end := min(at+size, len(lines))
			rest := slices.Concat(lines[:at], lines[end:])
			maxPlays--
			if fails(strings.Join(rest, "\n")) == kind {
				lines, isShorter = rest, true
				continue
			}
			at = end
		}
		if !isShorter || size > 1 {
			size /= 2
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
