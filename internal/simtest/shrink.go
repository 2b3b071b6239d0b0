package simtest

import (
	"slices"
	"strings"
)

// Shrink removes lines from a script that are not needed for a failure of the same kind. It
// first tries to remove half of the lines at a time, then ever fewer. It plays at most maxPlays
// shortened scripts. failureKind plays a script and returns the kind of its failure, empty if it
// passes; a script that passes is returned unchanged.
func Shrink(script string, maxPlays int, failureKind func(script string) string) string {
	lines := scriptLines(script)
	kind := failureKind(strings.Join(lines, "\n"))
	if kind == "" {
		return script
	}
	for size := len(lines) / 2; size > 0 && maxPlays > 0; {
		isShorter := false
		for at := 0; at < len(lines) && maxPlays > 0; {
			end := min(at+size, len(lines))
			rest := slices.Concat(lines[:at], lines[end:])
			maxPlays--
			if failureKind(strings.Join(rest, "\n")) == kind {
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
