package simtest

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// command is a line's fields without its time: a verb and its arguments.
type command []string

// arg returns the i-th field, the verb being the first; it is empty if there are fewer.
func (f command) arg(i int) string {
	if i < len(f) {
		return f[i]
	}
	return ""
}

// number returns the i-th field as a number, 0 if it is none.
func (f command) number(i int) int {
	n, _ := strconv.Atoi(f.arg(i))
	return n
}

// isOn reports whether the i-th field switches something on.
func (f command) isOn(i int) bool { return f.arg(i) == "on" }

// scriptLines splits a script into its lines, without those that are empty or comments.
func scriptLines(script string) []string {
	return slices.DeleteFunc(strings.Split(script, "\n"), func(line string) bool {
		line, _, _ = strings.Cut(line, "#")
		return strings.TrimSpace(line) == ""
	})
}

// parseRate reads "COUNT for TIME" after a verb.
func parseRate(verb string, args []string) (count int, last time.Duration, err error) {
	if len(args) == 3 && args[1] == "for" {
		if count, err = strconv.Atoi(args[0]); err == nil {
			last, err = time.ParseDuration(args[2])
		}
	}
	if err != nil || count < 1 || last <= 0 {
		return 0, 0, scriptErrorf("%s COUNT for TIME, not %q", verb, strings.Join(args, " "))
	}
	return count, last, nil
}
