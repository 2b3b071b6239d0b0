package simtest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Checks of what calm does not show: a class may starve all day and run at its end.

// servedEarly is how long ago a job must have been accepted to be done by now.
const servedEarly = 60 * time.Second

// beginWithin is how long a class's largest jobs may wait for their beginning.
const beginWithin = 4 * time.Minute

// everyServed checks that at least a part of every class and team was served, of a
// class's largest jobs too, and that these have begun in time.
func (c *cluster) everyServed(least float64) error {
	served := c.w.Served(servedEarly)
	var starved []string
	for _, name := range slices.Sorted(maps.Keys(served)) {
		if s := served[name]; s.Share() < least {
			starved = append(starved, fmt.Sprintf("%s was served %.2f of %.0f", name, s.Share(), s.Possible))
		}
	}
	if len(starved) > 0 {
		return fmt.Errorf("starved: %s", strings.Join(starved, ", "))
	}
	if late := c.w.LargestNotStarted(beginWithin); len(late) > 0 {
		return fmt.Errorf("starved: %s, of the largest of their class, did not begin within %v", strings.Join(late, ", "), beginWithin)
	}
	return nil
}

// rateFor reads "COUNT for TIME" of a step.
func rateFor(step string, f []string) (count int, last time.Duration, err error) {
	if len(f) == 3 && f[1] == "for" {
		if count, err = strconv.Atoi(f[0]); err == nil {
			last, err = time.ParseDuration(f[2])
		}
	}
	if err != nil || count < 1 || last <= 0 {
		return 0, 0, fmt.Errorf("script: %s COUNT for TIME, not %q", step, strings.Join(f, " "))
	}
	return count, last, nil
}

// polls has users ask again and again, each for an answer of its own.
func (c *cluster) polls(f []string) error {
	count, last, err := rateFor("polls", f)
	if err != nil {
		return err
	}
	end := time.Now().Add(last)
	c.users.Go(func() {
		for i := 0; time.Now().Before(end) && c.ctx.Err() == nil; i++ {
			node, ref := c.names[i%len(c.names)], fmt.Sprintf("wk-%d", i%40+1) // the latter of them mostly unknown
			c.users.Go(func() { c.w.Query(node, ref) })
			time.Sleep(time.Second/time.Duration(count) + 113*time.Nanosecond)
		}
	})
	return nil
}

// stream has users submit jobs of one task, at all nodes by turns, and cancel every
// fourth: at once, as it should begin, while it runs, or as it should end.
func (c *cluster) stream(f []string) error {
	count, last, err := rateFor("stream", f)
	if err != nil {
		return err
	}
	end := time.Now().Add(last)
	c.users.Go(func() {
		for i := 0; time.Now().Before(end) && c.ctx.Err() == nil; i++ {
			node, ref := c.names[i%len(c.names)], fmt.Sprintf("wk-%d", 10_000+i)
			_ = c.user(node, "submit", []string{ref, "array", "tasks=1", "class=small", fmt.Sprintf("run=%d", 1+i%5)})
			if i%4 == 3 {
				other := c.names[(i/4)%len(c.names)]
				after := []time.Duration{2 * time.Millisecond, 150 * time.Millisecond, 1500 * time.Millisecond, time.Duration(1+i%5)*time.Second + 1100*time.Millisecond}[i/4%4]
				c.users.Go(func() {
					if time.Sleep(after); c.ctx.Err() == nil {
						_ = c.user(other, "abort", []string{ref})
					}
				})
			}
			time.Sleep(time.Second/time.Duration(count) + 113*time.Nanosecond)
		}
	})
	return nil
}
