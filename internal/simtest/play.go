package simtest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Play runs a script. Each line has a time, counted from the start of the script, a verb and
// its arguments; the rest of a line from # on is a comment. Play is called in a synctest
// bubble, whose fake clock is the clock of the script.
func Play(script string, seed uint64) *Outcome { return playObserved(script, seed, nil) }

// playObserved plays a script and runs observe, if it is not nil, in a goroutine of its own
// meanwhile.
func playObserved(script string, seed uint64, observe func(*cluster)) *Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCluster(ctx, seed, controllerCount(script))
	defer func() {
		for _, name := range c.live() {
			c.kill(name)
		}
		c.users.Wait()
		cancel()
		time.Sleep(time.Minute) // lets the goroutines of the bubble return after the cancellation
	}()
	out := &Outcome{}
	if out.Line, out.Err = c.configureBeforeStart(script); out.Err != nil {
		return out
	}
	go c.watchStaleOwnership()
	go c.watchReadiness()
	if observe != nil {
		go observe(c)
	}
	for _, name := range c.names {
		if out.Err = c.start(name); out.Err != nil {
			return out
		}
	}
	out.Line, out.Err = c.playLines(script)
	out.Broken, out.Events = c.world.Violations(), c.world.Events()
	if stored := c.records(); out.Kind() != "" {
		out.UnfinishedRecords = unfinishedRecords(stored)
	}
	return out
}

// configureBeforeStart executes the configuration lines at 0s before any controller starts,
// so that the first start of a controller already uses them. On an error it returns the line
// that failed.
func (c *cluster) configureBeforeStart(script string) (line string, err error) {
	for _, line := range scriptLines(script) {
		f := command(strings.Fields(line))
		if len(f) > 2 && f[0] == "0s" && (f[1] == "team" || f[1] == "allot" || f[1] == "announce") {
			if err := c.configure(f[1:]); err != nil {
				return line, err
			}
		}
	}
	return "", nil
}

// playLines executes the lines in the order of the script, each at its time, until one fails.
// It returns the line that failed.
func (c *cluster) playLines(script string) (failed string, err error) {
	for i, line := range strings.Split(script, "\n") {
		text, _, _ := strings.Cut(line, "#")
		f := command(strings.Fields(text))
		if len(f) == 0 {
			continue
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || len(f) < 2 {
			return line, scriptErrorf("line %d is not a time and a step", i+1)
		}
		if wait := at - time.Since(c.began); wait > 0 {
			time.Sleep(wait)
		}
		if err := c.playLine(f[1:]); err != nil {
			return line, withLine(err, i+1)
		}
	}
	return "", nil
}

// playLine executes one line, and then checks the controllers' indexes and that no check that
// runs in the background has failed.
func (c *cluster) playLine(f command) error {
	if err := c.do(f); err != nil {
		return err
	}
	if err := c.recount(); err != nil {
		return err
	}
	return c.firstFailure()
}

// withLine adds the number of the line to an error in the script itself; other errors are
// returned as they are.
func withLine(err error, line int) error {
	var script *scriptError
	if errors.As(err, &script) {
		return &scriptError{line: line, reason: script.reason}
	}
	return err
}

// unfinishedRecords lists the stored records, except those of machines and images and those
// with a field "x". In the record of a job this field is the state of a job that has ended, or
// that is blocked by its dependencies.
func unfinishedRecords(stored recordSet) []string {
	var unfinished []string
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		hasState := strings.Contains(string(stored[key]), `"x":`)
		if !strings.HasPrefix(key, records.MachinePrefix) && !strings.HasPrefix(key, records.ImagePrefix) && !hasState {
			unfinished = append(unfinished, key+" "+string(stored[key]))
		}
	}
	return unfinished
}

// controllerCount returns the number of controllers that a script asks for with a line such
// as "0s controllers 5", or the default. Counts above 16 are ignored.
func controllerCount(script string) int {
	for _, line := range scriptLines(script) {
		f := strings.Fields(line)
		if len(f) >= 3 && f[1] == "controllers" {
			if count, err := strconv.Atoi(f[2]); err == nil && count > 0 && count <= 16 {
				return count
			}
		}
	}
	return defaultControllerCount
}
