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

// Play runs a script: lines of a time, an actor and what it does or what must
// be so by then; what follows a # is a comment. It is called in a test bubble,
// whose clock is the script's.
func Play(script string, seed uint64) *Outcome { return playObserved(script, seed, nil) }

// playObserved plays a script while observe runs beside it.
func playObserved(script string, seed uint64, observe func(*cluster)) *Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCluster(ctx, seed, controllerCount(script))
	defer func() {
		for _, name := range c.live() {
			c.kill(name)
		}
		c.users.Wait()
		cancel()
		time.Sleep(time.Minute) // the bubble's goroutines see the end
	}()
	out := &Outcome{}
	if out.Line, out.Err = c.configureBeforeStart(script); out.Err != nil {
		return out
	}
	go c.watchStaleOwnership()
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
		out.Left = unfinishedRecords(stored)
	}
	return out
}

// configureBeforeStart carries out what controllers are told at 0s, since that holds from
// the first moment on. It returns the line that failed.
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

// playLines carries out one line after the other, each at its time, until one fails; it
// returns that one.
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

// playLine carries out one line and checks what must hold after every one.
func (c *cluster) playLine(f command) error {
	if err := c.do(f); err != nil {
		return err
	}
	if err := c.recount(); err != nil {
		return err
	}
	return c.firstFailure()
}

// withLine adds the line's number to a fault of the script.
func withLine(err error, line int) error {
	var script *scriptError
	if errors.As(err, &script) {
		return &scriptError{line: line, reason: script.reason}
	}
	return err
}

// unfinishedRecords lists the records of jobs that are not over, without those of machines
// and images.
func unfinishedRecords(stored recordSet) []string {
	var left []string
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		isOver := strings.Contains(string(stored[key]), `"x":`)
		if !strings.HasPrefix(key, records.MachinePrefix) && !strings.HasPrefix(key, records.ImagePrefix) && !isOver {
			left = append(left, key+" "+string(stored[key]))
		}
	}
	return left
}

// controllerCount reads how many controllers a script wants: its first line may
// say "0s controllers 5".
func controllerCount(script string) int {
	for _, line := range scriptLines(script) {
		f := strings.Fields(line)
		if len(f) >= 3 && f[1] == "controllers" {
			if count, err := strconv.Atoi(f[2]); err == nil && count > 0 && count <= 16 {
				return count
			}
		}
	}
	return usualControllers
}
