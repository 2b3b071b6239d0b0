package simtest

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// verbHandler carries out a line whose first field is its verb.
type verbHandler func(c *cluster, f command) error

// allVerbs lists what a script can say, each group in a file of its own.
func allVerbs() map[string]verbHandler {
	verbs := map[string]verbHandler{
		"calm":   func(c *cluster, _ command) error { return c.checkQuiescence() },
		"expect": func(c *cluster, f command) error { return c.expect(f[1:]) },
	}
	for _, group := range []map[string]verbHandler{configurationVerbs(), controllerVerbs(), machineVerbs(), networkVerbs(), userVerbs()} {
		maps.Copy(verbs, group)
	}
	return verbs
}

// do carries out one line. One that ends in "for 5s" also has what it begins
// end by itself, so that a shrunk script keeps the two together.
func (c *cluster) do(f command) error {
	if k := len(f) - 2; k > 0 && f[k] == "for" && f[0] != "polls" && f[0] != "stream" {
		return c.doFor(f[:k], f[k+1])
	}
	if handle := c.verbs[f[0]]; handle != nil {
		return handle(c, f)
	}
	return scriptErrorf("unknown step %q", f[0])
}

// opposites names what ends a thing that a line has begin.
var opposites = map[string]string{"kill": "start", "on": "off", "hang": "resume", "cut": "heal", "sick": "well", "slow": "well", "deaf": "hears", "mute": "speaks"}

// doFor carries out a line and, after some time, its opposite.
func (c *cluster) doFor(f command, duration string) error {
	last, err := time.ParseDuration(duration)
	if err != nil {
		return scriptErrorf("%w", err)
	}
	begin := slices.Clone(f)
	if jobID, ok := strings.CutPrefix(begin[min(1, len(f)-1)], "@"); ok {
		begin[1] = strings.TrimPrefix(c.world.HostOf(jobID), "vm-") // both are of the same machine
	}
	end, err := oppositeOf(begin)
	if err != nil {
		return err
	}
	if err := c.do(begin); err != nil {
		return err
	}
	// After what the script does at that instant, and one end after the other.
	c.endings++
	last += time.Duration(c.endings) * 23 * time.Nanosecond
	c.users.Go(func() {
		if time.Sleep(last); c.ctx.Err() == nil {
			if err := c.do(end); err != nil {
				c.fail(err)
			}
		}
	})
	return nil
}

// oppositeOf returns the line that ends what a line begins: its verb or its last word
// says what that is.
func oppositeOf(begin command) (command, error) {
	end := slices.Clone(begin)
	for i, word := range begin {
		if opposites[word] != "" && (i == 0 || i == len(begin)-1) {
			end[i] = opposites[word]
		}
	}
	if slices.Equal(begin, end) {
		return nil, scriptErrorf("nothing ends %q", strings.Join(begin, " "))
	}
	return end, nil
}
