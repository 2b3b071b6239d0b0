package simtest

import "strings"

// Shrink leaves lines out of a script for as long as it still fails in the same
// way, first many at a time. It plays at most so many scripts; fails plays one
// and tells the kind of its failure.
func Shrink(script string, most int, fails func(script string) string) string {
	lines := cut(script)
	kind := fails(strings.Join(lines, "\n"))
	if kind == "" {
		return script
	}
	for size := len(lines) / 2; size > 0 && most > 0; {
		shorter := false
		for at := 0; at < len(lines) && most > 0; {
			end := min(at+size, len(lines))
			try := append(append([]string{}, lines[:at]...), lines[end:]...)
			most--
			if fails(strings.Join(try, "\n")) == kind {
				lines, shorter = try, true
				continue
			}
			at = end
		}
		if !shorter || size > 1 {
			size /= 2
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
