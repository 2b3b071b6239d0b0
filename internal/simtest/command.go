package simtest

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// command holds the fields of a script line after the time: a verb and its arguments.
type command []string

// arg returns field i, or an empty string if the line has fewer fields. Field 0 is the verb.
func (f command) arg(i int) string {
	if i < len(f) {
		return f[i]
	}
	return ""
}

// number returns field i as a number, or 0 if the field is not a number.
func (f command) number(i int) int {
	n, _ := strconv.Atoi(f.arg(i))
	return n
}

// isOn reports whether field i is "on".
func (f command) isOn(i int) bool { return f.arg(i) == "on" }

// scriptLines splits a script into its lines and leaves out empty lines and comment lines.
func scriptLines(script string) []string {
	return slices.DeleteFunc(strings.Split(script, "\n"), func(line string) bool {
		line, _, _ = strings.Cut(line, "#")
		return strings.TrimSpace(line) == ""
	})
}

// parseRate parses the arguments "COUNT for TIME" of a verb: a number of requests a second and
// for how long they are sent.
func parseRate(verb string, args []string) (count int, duration time.Duration, err error) {
	if len(args) == 3 && args[1] == "for" {
		if count, err = strconv.Atoi(args[0]); err == nil {
			duration, err = time.ParseDuration(args[2])
		}
	}
	if err != nil || count < 1 || duration <= 0 {
		return 0, 0, scriptErrorf("%s COUNT for TIME, not %q", verb, strings.Join(args, " "))
	}
	return count, duration, nil
}
