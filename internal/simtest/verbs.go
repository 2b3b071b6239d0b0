package simtest

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// verbHandler executes a line. Field 0 of f is the verb.
type verbHandler func(c *cluster, f command) error

// allVerbs returns the handlers of all verbs that a script can use. Each group of verbs is
// implemented in a file of its own.
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

// do executes one line. If the line ends in a duration, such as "for 5s", its effect is undone
// after that time. Shrinking a script thus removes the begin and the end of a fault together.
func (c *cluster) do(f command) error {
	if k := len(f) - 2; k > 0 && f[k] == "for" && f[0] != "polls" && f[0] != "stream" {
		return c.doFor(f[:k], f[k+1])
	}
	if handle := c.verbs[f[0]]; handle != nil {
		return handle(c, f)
	}
	return scriptErrorf("unknown step %q", f[0])
}

// opposites maps the word of a line that begins an effect to the word that ends it.
var opposites = map[string]string{"kill": "start", "on": "off", "hang": "resume", "cut": "heal", "sick": "well", "slow": "well", "deaf": "hears", "mute": "speaks"}

// doFor executes a line and, after the duration, its opposite.
func (c *cluster) doFor(f command, duration string) error {
	delay, err := time.ParseDuration(duration)
	if err != nil {
		return scriptErrorf("%w", err)
	}
	begin := slices.Clone(f)
	if jobID, ok := strings.CutPrefix(begin[min(1, len(f)-1)], "@"); ok {
		begin[1] = strings.TrimPrefix(c.world.HostOf(jobID), "vm-") // resolved once, so that both lines affect the same machine
	}
	end, err := oppositeOf(begin)
	if err != nil {
		return err
	}
	if err := c.do(begin); err != nil {
		return err
	}
	// The offset puts the end after the lines of the script at the same instant, and makes
	// the ends of different steps differ, so that their order is the same in every run.
	c.timedSteps++
	delay += time.Duration(c.timedSteps) * 23 * time.Nanosecond
	c.users.Go(func() {
		if time.Sleep(delay); c.ctx.Err() == nil {
			if err := c.do(end); err != nil {
				c.fail(err)
			}
		}
	})
	return nil
}

// oppositeOf returns the line that ends the effect of a line. The verb or the last word is
// replaced by its opposite; a line with an opposite for neither is an error.
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
